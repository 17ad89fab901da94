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
	// OthersServe reports whether callers that are refused find another host. Nil means that
	// it isn't known.
	OthersServe func() bool

	period atomic.Pointer[period]
}

type period struct {
	began, balanced, limit time.Time
}

// Begin records that a shutdown has begun, that the balancer sends new callers until
// balanced, and that requests may run until limit.
func (w *Window) Begin(now, balanced, limit time.Time) {
	w.period.Store(&period{began: now, balanced: balanced, limit: limit})
}

// Balanced reports whether the balancer has noticed the shutdown, so that few requests
// arrive any more. It returns false if no shutdown has begun.
func (w *Window) Balanced(now time.Time) bool {
	p := w.period.Load()
	return p != nil && !now.Before(p.balanced)
}

// UntilBalanced returns the time until the balancer has noticed the shutdown; zero if it has,
// or if none has begun.
func (w *Window) UntilBalanced(now time.Time) time.Duration {
	p := w.period.Load()
	if p == nil {
		return 0
	}
	return max(p.balanced.Sub(now), 0)
}

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
