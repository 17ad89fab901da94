package drain

import "time"

// Admission decides whether a request may start while its host shuts down.
type Admission struct {
	Window    *Window
	Estimator *Estimator
}

// Admits reports whether a request that starts now and must have ended by deadline is
// expected to end before the host's process does. Without a shutdown all are admitted.
func (a Admission) Admits(now, deadline time.Time, r Request) bool {
	left, draining := a.Window.Left(now)
	if !draining || deadline.Sub(now) <= left {
		return true
	}
	expected, known := a.Estimator.Estimate(r)
	return known && expected <= left
}
