package ratelimit

import (
	"slices"
	"time"
)

// Part is a loan: tokens that a peer reserved for a request of this host.
type Part struct {
	// Peer is the lender's incarnation.
	Peer string
	// ID is the identifier of the transfer.
	ID     string
	Tokens float64
}

// Report is a settlement addressed to the lending peer.
type Report struct {
	Peer string
	Settlement
}

// Funding collects the tokens of one request from this host's bucket and from
// loans of peers, and tracks their use. It is not safe for concurrent use.
type Funding struct {
	organisation    string
	tokens, missing float64
	local           *Grant
	loans           []incomingLoan
	deadline        time.Time
	granted, closed bool
}

// incomingLoan tracks the use of a loan from a peer.
type incomingLoan struct {
	Part
	// remaining is the number of tokens that the request may still use, released
	// the number returned to the lender because they were not needed.
	remaining, released float64
	// reported is the value of remaining in the last settlement sent to the
	// lender.
	reported float64
}

// settlement returns the current settlement of the loan and records what it
// reports. A final settlement returns the remaining tokens.
func (p *incomingLoan) settlement(final bool) Settlement {
	p.reported = p.remaining
	s := Settlement{ID: p.ID, Unused: p.released, Used: p.Tokens - p.released - p.remaining, Final: final}
	if final {
		s.Unused += p.remaining
	}
	return s
}

// Missing returns how many tokens are still to be acquired.
func (f *Funding) Missing() float64 { return max(0, f.missing) }

// roundingTolerance is the relative rounding error allowed in sums of tokens.
const roundingTolerance = 1e-9

// Grant makes the tokens of the request usable and reports whether it did. It
// reports false if tokens are missing, if loans are past their deadline, or if
// this host's share, which provides the local tokens, shrank in the meantime.
func (l *Limiter) Grant(now time.Time, f *Funding) bool {
	l.advance(now)
	late := len(f.loans) > 0 && !now.Before(f.deadline)
	reduced := f.local.refundable < f.local.remaining*(1-roundingTolerance)
	if f.closed || f.missing > roundingTolerance || late || reduced {
		return false
	}
	f.granted = true
	return true
}

// Add adds a loan and returns a settlement for the tokens of it that are not
// needed. A loan that arrives after the request was granted, refused or settled
// is returned in full. Adding the same loan again has no effect.
func (f *Funding) Add(now time.Time, loan Part) []Report {
	if slices.ContainsFunc(f.loans, func(p incomingLoan) bool { return p.ID == loan.ID }) {
		return nil
	}
	if f.granted || f.closed || !now.Before(f.deadline) {
		return []Report{{loan.Peer, Settlement{ID: loan.ID, Unused: loan.Tokens, Final: true}}}
	}
	needed := min(loan.Tokens, max(0, f.missing))
	f.missing -= needed
	surplus := loan.Tokens - needed
	f.loans = append(f.loans, incomingLoan{Part: loan, remaining: needed, released: surplus, reported: needed})
	if surplus <= 0 {
		return nil
	}
	return []Report{{loan.Peer, Settlement{ID: loan.ID, Unused: surplus}}}
}

// TopUp adds tokens that this host's bucket has gained since, up to the missing
// number.
func (l *Limiter) TopUp(now time.Time, f *Funding) {
	l.advance(now)
	if !f.closed && !f.granted {
		f.missing -= f.local.Extend(now, f.Missing())
	}
}

// waitFactor is the most missing tokens for which a request waits, as a multiple
// of the tokens that the rate adds during the wait. It is above 1 because
// refunds of other requests add tokens as well.
const waitFactor = 3

// WorthWaiting reports whether the missing tokens are likely to be available
// within the wait, and the request can still be granted after it.
func (l *Limiter) WorthWaiting(now time.Time, f *Funding, wait time.Duration) bool {
	a := l.accounts[f.organisation]
	return a != nil && !f.closed && f.missing <= waitFactor*a.policy.Rate*wait.Seconds() && now.Add(wait).Before(f.deadline)
}

// Consume uses tokens, borrowed ones first. Tokens in excess of the reservation
// are charged to this host's bucket; Consume returns their number.
func (f *Funding) Consume(tokens float64) (excess float64) {
	for i := range f.loans {
		used := min(tokens, f.loans[i].remaining)
		f.loans[i].remaining -= used
		tokens -= used
	}
	return f.local.Consume(tokens)
}

// Borrowed reports whether the request is open and has loans from peers.
func (f *Funding) Borrowed() bool { return len(f.loans) > 0 && !f.closed }

// Progress returns settlements for the loans whose tokens were used since the
// last settlement, or nil.
func (f *Funding) Progress() []Report {
	var reports []Report
	for i := range f.loans {
		if loan := &f.loans[i]; !f.closed && loan.remaining < loan.reported {
			reports = append(reports, Report{loan.Peer, loan.settlement(false)})
		}
	}
	return reports
}

// Close ends the request, returns the unused local tokens to the bucket and
// returns the final settlements for the lenders. Repeated calls return nil.
func (f *Funding) Close(now time.Time) []Report {
	if f.closed {
		return nil
	}
	f.closed = true
	f.local.Settle(now)
	reports := make([]Report, 0, len(f.loans))
	for i := range f.loans {
		reports = append(reports, Report{f.loans[i].Peer, f.loans[i].settlement(true)})
	}
	return reports
}
