package ratelimit

import (
	"slices"
	"time"
)

// Loan is a number of tokens that a peer reserved for a request of this host.
type Loan struct {
	// Peer is the lender's incarnation.
	Peer string
	// ID is the identifier of the transfer.
	ID     string
	Tokens float64
}

// PeerSettlement is a settlement addressed to the lending peer.
type PeerSettlement struct {
	Peer string
	Settlement
}

// Acquisition collects the tokens of one request from this host's bucket and from
// loans of peers, and tracks their use. It is not safe for concurrent use.
type Acquisition struct {
	organisation    string
	tokens, missing float64
	local           *Grant
	loans           []incomingLoan
	deadline        time.Time
	granted, closed bool
}

// incomingLoan tracks the use of a loan from a peer.
type incomingLoan struct {
	Loan
	// remaining is the number of tokens that the request may still use, released
	// the number returned to the lender because they were not needed.
	remaining, released float64
	// reported is the value of remaining in the last settlement sent to the
	// lender.
	reported float64
}

// settlement returns the current settlement of the loan and records what it
// reports. A final settlement returns the remaining tokens.
func (l *incomingLoan) settlement(final bool) Settlement {
	l.reported = l.remaining
	s := Settlement{ID: l.ID, Unused: l.released, Used: l.Tokens - l.released - l.remaining, Final: final}
	if final {
		s.Unused += l.remaining
	}
	return s
}

// Missing returns how many tokens are still to be acquired.
func (acq *Acquisition) Missing() float64 { return max(0, acq.missing) }

// roundingTolerance is the relative rounding error allowed in sums of tokens.
const roundingTolerance = 1e-9

// Grant makes the tokens of the request usable and reports whether it did. It
// reports false if tokens are missing, if it has loans and their deadline has
// passed, or if this host's share, which provides the local tokens, shrank in
// the meantime.
func (l *Limiter) Grant(now time.Time, acq *Acquisition) bool {
	l.advance(now)
	late := len(acq.loans) > 0 && !now.Before(acq.deadline)
	reduced := acq.local.refundable < acq.local.remaining*(1-roundingTolerance)
	if acq.closed || acq.missing > roundingTolerance || late || reduced {
		return false
	}
	acq.granted = true
	return true
}

// AddLoan adds a loan and returns a settlement for the tokens of it that are not
// needed. A loan that arrives after the deadline, or after the request was
// granted, refused or settled, is returned in full. Adding the same loan again
// has no effect.
func (acq *Acquisition) AddLoan(now time.Time, loan Loan) []PeerSettlement {
	if slices.ContainsFunc(acq.loans, func(l incomingLoan) bool { return l.ID == loan.ID }) {
		return nil
	}
	if acq.granted || acq.closed || !now.Before(acq.deadline) {
		return []PeerSettlement{{loan.Peer, Settlement{ID: loan.ID, Unused: loan.Tokens, Final: true}}}
	}
	needed := min(loan.Tokens, max(0, acq.missing))
	acq.missing -= needed
	surplus := loan.Tokens - needed
	acq.loans = append(acq.loans, incomingLoan{Loan: loan, remaining: needed, released: surplus, reported: needed})
	if surplus <= 0 {
		return nil
	}
	return []PeerSettlement{{loan.Peer, Settlement{ID: loan.ID, Unused: surplus}}}
}

// TopUp adds tokens that this host's bucket has gained since, up to the missing
// number.
func (l *Limiter) TopUp(now time.Time, acq *Acquisition) {
	l.advance(now)
	if !acq.closed && !acq.granted {
		acq.missing -= acq.local.Extend(now, acq.Missing())
	}
}

// waitFactor limits the missing tokens for which a request waits, as a multiple
// of the tokens that the rate adds during the wait. It is above 1 because
// refunds of other requests add tokens as well.
const waitFactor = 3

// WorthWaiting reports whether the missing tokens are likely to be available
// within the wait, and the request can still be granted after it.
func (l *Limiter) WorthWaiting(now time.Time, acq *Acquisition, wait time.Duration) bool {
	a := l.accounts[acq.organisation]
	return a != nil && !acq.closed && acq.missing <= waitFactor*a.policy.Rate*wait.Seconds() && now.Add(wait).Before(acq.deadline)
}

// Consume uses tokens, borrowed ones first. Tokens in excess of the reservation
// are charged to this host's bucket; Consume returns their number.
func (acq *Acquisition) Consume(tokens float64) (excess float64) {
	for i := range acq.loans {
		used := min(tokens, acq.loans[i].remaining)
		acq.loans[i].remaining -= used
		tokens -= used
	}
	return acq.local.Consume(tokens)
}

// Borrowed reports whether the request is open and has loans from peers.
func (acq *Acquisition) Borrowed() bool { return len(acq.loans) > 0 && !acq.closed }

// Progress returns settlements for the loans whose tokens were used since the
// last settlement, or nil.
func (acq *Acquisition) Progress() []PeerSettlement {
	var settlements []PeerSettlement
	for i := range acq.loans {
		if loan := &acq.loans[i]; !acq.closed && loan.remaining < loan.reported {
			settlements = append(settlements, PeerSettlement{loan.Peer, loan.settlement(false)})
		}
	}
	return settlements
}

// Close ends the request, returns the unused local tokens to the bucket and
// returns the final settlements for the lenders. Repeated calls return nil.
func (acq *Acquisition) Close(now time.Time) []PeerSettlement {
	if acq.closed {
		return nil
	}
	acq.closed = true
	acq.local.Settle(now)
	settlements := make([]PeerSettlement, 0, len(acq.loans))
	for i := range acq.loans {
		settlements = append(settlements, PeerSettlement{acq.loans[i].Peer, acq.loans[i].settlement(true)})
	}
	return settlements
}
