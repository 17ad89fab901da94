package drain

import "time"

// A request is admitted if this percentage of those like it ends in the time left. While the
// balancer sends new callers, a refusal of many costs each an attempt, which may find the
// other hosts' endpoints full; afterwards few requests arrive, and none should be cut.
const (
	percentileAtFirst  = 90
	percentileBalanced = 99
	// headroomBalanced is by how much a request may exceed the estimate then, relative to it:
	// an estimate may rest on few requests, and endpoints slow down while a fleet restarts.
	headroomBalanced = 0.25
)

// Admission decides whether a request may start while its host shuts down.
type Admission struct {
	Window    *Window
	Estimator *Estimator
}

// Basis is what an admission or a refusal rests on.
type Basis string

const (
	// BasisNone means that no shutdown has begun.
	BasisNone Basis = "none"
	// BasisDeadline means that the request's deadline lies within the time left.
	BasisDeadline Basis = "deadline"
	// BasisEstimate means that requests like it told how long it takes.
	BasisEstimate Basis = "estimate"
	// BasisUnknown means that no request like it was served.
	BasisUnknown Basis = "unknown"
)

// Decision is the decision on one request.
type Decision struct {
	Admitted bool
	Basis    Basis
	// Left is the time that requests may still run, Expected how long the request is expected
	// to take; zero if it isn't known.
	Left, Expected time.Duration
}

// Decide decides whether a request that starts now and must have ended by deadline is
// expected to end before the host's process does. Without a shutdown all are admitted. One
// like which none was served is admitted until the balancer has noticed.
func (a Admission) Decide(now, deadline time.Time, r Request) Decision {
	left, draining := a.Window.Left(now)
	if !draining {
		return Decision{Admitted: true, Basis: BasisNone}
	}
	d := Decision{Basis: BasisDeadline, Left: left}
	if d.Admitted = deadline.Sub(now) <= left; d.Admitted {
		return d
	}
	percentile := float64(percentileAtFirst)
	if a.Window.Balanced(now) {
		percentile = percentileBalanced
	}
	expected, known := a.Estimator.Estimate(r, percentile)
	if !known {
		d.Admitted, d.Basis = !a.Window.Balanced(now), BasisUnknown
		return d
	}
	if a.Window.Balanced(now) {
		expected += time.Duration(headroomBalanced * float64(expected))
	}
	d.Admitted, d.Basis, d.Expected = expected <= left, BasisEstimate, expected
	return d
}
