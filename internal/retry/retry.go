// Package retry paces repeated attempts.
package retry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"
)

// NewBackOff returns pauses that grow, with jitter, from initial to longest,
// without end.
func NewBackOff(initial, longest time.Duration) *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initial),
		backoff.WithMaxInterval(longest),
		backoff.WithMaxElapsedTime(0),
	)
}

// Sleep waits and reports whether the time passed; false means that the
// context ended first.
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
