// Package retry provides backoff and interruptible sleep for retry loops.
package retry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"
)

// NewBackOff returns an exponential backoff with jitter whose intervals grow from
// initial to maximum. It never stops.
func NewBackOff(initial, maximum time.Duration) *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initial),
		backoff.WithMaxInterval(maximum),
		backoff.WithMaxElapsedTime(0),
	)
}

// Sleep waits for the duration d. It returns false if ctx is cancelled before
// that.
func Sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
