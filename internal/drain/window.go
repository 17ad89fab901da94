// Package drain decides which requests a host that shuts down still accepts: those that
// are expected to end before its process does.
package drain

import (
	"sync/atomic"
	"time"
)

// Window is the time in which a host shuts down. The zero Window means that no shutdown
// has begun. It is safe for concurrent use.
type Window struct {
	period atomic.Pointer[period]
}

type period struct {
	began, limit time.Time
}

// Begin records that a shutdown has begun and that requests may run until limit.
func (w *Window) Begin(now, limit time.Time) { w.period.Store(&period{began: now, limit: limit}) }

// Left returns the time that requests may still run. It returns false if no shutdown has
// begun.
func (w *Window) Left(now time.Time) (left time.Duration, draining bool) {
	p := w.period.Load()
	if p == nil {
		return 0, false
	}
	return p.limit.Sub(now), true
}

// Elapsed returns the time since the shutdown began. It returns false if none has.
func (w *Window) Elapsed(now time.Time) (elapsed time.Duration, draining bool) {
	p := w.period.Load()
	if p == nil {
		return 0, false
	}
	return now.Sub(p.began), true
}
