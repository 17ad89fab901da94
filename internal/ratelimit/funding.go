package ratelimit

import (
	"slices"
	"time"
)

// Part is tokens that a peer reserved for a request of this host.
type Part struct {
	// Peer is the lender's incarnation.
	Peer string
	// ID is the transfer's identifier.
	ID     string
	Tokens float64
}

// Report is a settlement and the peer that it is for.
type Report struct {
	Peer string
	Settlement
}

// Funding gathers the tokens of one request from this host and its peers. It
// is not safe for concurrent use.
type Funding struct {
	organisation    string
	tokens, missing float64
	local           *Grant
	parts           []fundingPart
	deadline        time.Time
	granted, closed bool
}

type fundingPart struct {
	Part
	remaining, released float64
	// reported is what remained when the lender was last told.
	reported float64
}

func (p *fundingPart) settlement(final bool) Settlement {
	p.reported = p.remaining
	s := Settlement{ID: p.ID, Unused: p.released, Used: p.Tokens - p.released - p.remaining, Final: final}
	if final {
		s.Unused += p.remaining
	}
	return s
}

// Missing returns how many tokens are still to be found.
func (f *Funding) Missing() float64 { return max(0, f.missing) }

// rounding is the relative error that is allowed in sums of tokens.
const rounding = 1e-9

// Grant makes the tokens usable if they are all there, in time, and the share
// that the local ones came from did not shrink in the meantime.
func (l *Limiter) Grant(now time.Time, f *Funding) bool {
	l.advance(now)
	late := len(f.parts) > 0 && !now.Before(f.deadline)
	cut := f.local.refundable < f.local.remaining*(1-rounding)
	if f.closed || f.missing > rounding || late || cut {
		return false
	}
	f.granted = true
	return true
}

// Add takes a part and returns the report on what of it is not needed. A part
// that comes after the request was granted, refused or settled is returned
// whole, and a repeated one ignored.
func (f *Funding) Add(now time.Time, part Part) []Report {
	if slices.ContainsFunc(f.parts, func(p fundingPart) bool { return p.ID == part.ID }) {
		return nil
	}
	if f.granted || f.closed || !now.Before(f.deadline) {
		return []Report{{part.Peer, Settlement{ID: part.ID, Unused: part.Tokens, Final: true}}}
	}
	needed := min(part.Tokens, max(0, f.missing))
	f.missing -= needed
	surplus := part.Tokens - needed
	f.parts = append(f.parts, fundingPart{Part: part, remaining: needed, released: surplus, reported: needed})
	if surplus <= 0 {
		return nil
	}
	return []Report{{part.Peer, Settlement{ID: part.ID, Unused: surplus}}}
}

// TopUp adds what this host's share has gained since.
func (l *Limiter) TopUp(now time.Time, f *Funding) {
	l.advance(now)
	if !f.closed && !f.granted {
		f.missing -= f.local.Extend(now, f.Missing())
	}
}

// waitFactor is how many times what the rate brings may be missing for a
// request to wait: refunds of other requests come in besides.
const waitFactor = 3

// WorthWaiting reports whether the missing tokens may well come within a time,
// and the request's tokens can still be granted then.
func (l *Limiter) WorthWaiting(now time.Time, f *Funding, wait time.Duration) bool {
	a := l.accounts[f.organisation]
	return a != nil && !f.closed && f.missing <= waitFactor*a.policy.Rate*wait.Seconds() && now.Add(wait).Before(f.deadline)
}

// Consume uses tokens, borrowed ones first. What exceeds the reservation is
// charged to this host's bucket and returned.
func (f *Funding) Consume(tokens float64) (excess float64) {
	for i := range f.parts {
		used := min(tokens, f.parts[i].remaining)
		f.parts[i].remaining -= used
		tokens -= used
	}
	return f.local.Consume(tokens)
}

// Borrowed reports whether the request holds tokens of peers.
func (f *Funding) Borrowed() bool { return len(f.parts) > 0 && !f.closed }

// Progress returns the reports on what was used since the last ones.
func (f *Funding) Progress() []Report {
	var reports []Report
	for i := range f.parts {
		if part := &f.parts[i]; !f.closed && part.remaining < part.reported {
			reports = append(reports, Report{part.Peer, part.settlement(false)})
		}
	}
	return reports
}

// Close ends the request, settles the local tokens and returns the reports for
// the lenders. Repeated calls return nothing.
func (f *Funding) Close(now time.Time) []Report {
	if f.closed {
		return nil
	}
	f.closed = true
	f.local.Settle(now)
	reports := make([]Report, 0, len(f.parts))
	for i := range f.parts {
		reports = append(reports, Report{f.parts[i].Peer, f.parts[i].settlement(true)})
	}
	return reports
}
