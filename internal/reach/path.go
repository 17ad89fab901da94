// Package reach finds out whether this host has lost its own path to the endpoints of a
// service, as opposed to endpoints that fail by themselves.
package reach

import "time"

// State is what this host takes the path to the endpoints of a service for.
type State int

// The states of a path.
const (
	// Direct means that endpoints answer this host.
	Direct State = iota
	// Suspect means that none of those checked answers, for whatever reason. Requests
	// are better sent by way of a peer, if one reaches the endpoints.
	Suspect
	// Cut means that none answers for longer than sound endpoints are silent, or that a
	// peer reaches them while this host does not. Sending directly is in vain.
	Cut
)

// String implements fmt.Stringer.
func (s State) String() string { return [...]string{"direct", "suspect", "cut"}[s] }

const (
	// silentFor is how long no endpoint answers until the path counts as cut without the
	// word of a peer. Sound endpoints may be silent for up to 1.8 s.
	silentFor = 2 * time.Second
	// refusedFor is the same while all connections are refused or reset, which a silent
	// endpoint does not do. It covers endpoints that restart together.
	refusedFor = time.Second
	// settleTime is how long endpoints must answer without interruption until a confirmed
	// cut counts as over, so that requests do not change ways with a path that fails each
	// second.
	settleTime = 1200 * time.Millisecond
)

// Check is the result of one round of calls to endpoints of a service, each on a new
// connection.
type Check struct {
	StartedAt time.Time
	// QuietSince is since when requests have waited without anything from any endpoint;
	// zero if the check has another reason.
	QuietSince time.Time
	// Answered, Refused and Silent are the numbers of endpoints that answered, that
	// refused or reset the connection, and that did neither in time.
	Answered, Refused, Silent int
}

// Path is the state of this host's path to the endpoints of one service. It does no I/O;
// callers pass in the time. It is not safe for concurrent use. The zero value is a path
// that works.
type Path struct {
	state State
	// since is when the first check began that nothing answered, or the silence before it.
	since time.Time
	// confirmed is set once a peer was shown to reach the endpoints during a cut.
	confirmed bool
	// answeringSince is since when all checks are answered during a confirmed cut.
	answeringSince time.Time
	// receivedAt is when endpoints last sent anything to this host directly. viaPeerAt is
	// when they first did by way of a peer since the path is suspect.
	receivedAt, viaPeerAt time.Time
}

// State returns the state of the path.
func (p *Path) State() State { return p.state }

// Confirmed reports whether a peer reaches the endpoints while this host does not.
func (p *Path) Confirmed() bool { return p.confirmed }

// RecordReceived records that bytes of an endpoint arrived on a direct connection.
func (p *Path) RecordReceived(now time.Time) { p.receivedAt = now }

// RecordViaPeer records that a response arrived by way of a peer.
func (p *Path) RecordViaPeer(now time.Time) {
	if !p.viaPeerAt.After(p.since) {
		p.viaPeerAt = now
	}
}

// RecordCheck records a check that ended now. It reports whether there is something to
// report: the path began or ceased to be direct, counts as cut, or is confirmed to be.
func (p *Path) RecordCheck(now time.Time, c Check) bool {
	before, wasConfirmed := p.state, p.confirmed
	switch {
	case c.Answered > 0:
		p.recordAnswered(now, c)
	case c.Refused+c.Silent > 0:
		p.recordUnanswered(now, c)
	}
	if wasConfirmed && p.confirmed {
		return false
	}
	return p.state != before || p.confirmed != wasConfirmed
}

// recordAnswered records a check that some endpoint answered. After a confirmed cut, most
// of them must answer for settleTime: this host may have lost its path to all but a few.
func (p *Path) recordAnswered(now time.Time, c Check) {
	if p.confirmed {
		p.state = Suspect
		if c.Answered <= c.Refused+c.Silent {
			p.answeringSince = time.Time{}
			return
		}
		if p.answeringSince.IsZero() {
			p.answeringSince = c.StartedAt
		}
		if now.Sub(p.answeringSince) < settleTime {
			return
		}
	}
	p.state, p.confirmed, p.answeringSince = Direct, false, time.Time{}
}

func (p *Path) recordUnanswered(now time.Time, c Check) {
	p.answeringSince = time.Time{}
	// Endpoints that send on open connections are only slow to answer new ones.
	slow := c.Refused == 0 && p.receivedAt.After(c.StartedAt)
	switch {
	case p.confirmed:
		p.state = Cut
		return
	case p.state == Cut:
	case slow:
		p.state = Direct
		return
	case p.state == Direct:
		p.state, p.since = Suspect, c.StartedAt
		if !c.QuietSince.IsZero() && c.QuietSince.Before(p.since) {
			p.since = c.QuietSince
		}
	}
	if p.viaPeerAt.After(p.since) && !c.StartedAt.Before(p.viaPeerAt) {
		p.state, p.confirmed = Cut, true
		return
	}
	if p.receivedAt.After(p.since) {
		return
	}
	if wait := now.Sub(p.since); wait >= silentFor || c.Silent == 0 && wait >= refusedFor {
		p.state = Cut
	}
}
