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

// Admits reports whether a request that starts now and must have ended by deadline is
// expected to end before the host's process does. Without a shutdown all are admitted. One
// like which none was served is admitted until the balancer has noticed.
func (a Admission) Admits(now, deadline time.Time, r Request) bool {
	left, draining := a.Window.Left(now)
	if !draining || deadline.Sub(now) <= left {
		return true
	}
	percentile := float64(percentileAtFirst)
	if a.Window.Balanced(now) {
		percentile = percentileBalanced
	}
	expected, known := a.Estimator.Estimate(r, percentile)
	if !known {
		return !a.Window.Balanced(now)
	}
	if a.Window.Balanced(now) {
		expected += time.Duration(headroomBalanced * float64(expected))
	}
	return expected <= left
}
