// Package decay provides exponentially decaying sums, used to estimate recent
// rates. It reads no clock: callers pass the current time.
package decay

import (
	"math"
	"time"
)

// Sum is an exponentially decaying sum: each added amount falls to 1/e after
// one window. It is never negative. It is not safe for concurrent use.
type Sum struct {
	window time.Duration
	amount float64
	// updated is the time at which the sum was amount.
	updated time.Time
}

// NewSum returns an empty sum whose amounts decay with the time constant
// window.
func NewSum(window time.Duration) *Sum { return &Sum{window: window} }

// Add adds amount, which may be negative, to the sum at time now. The sum is
// clamped to zero.
func (s *Sum) Add(now time.Time, amount float64) {
	s.amount = max(0, s.Value(now)+amount)
	s.updated = now
}

// Value returns the decayed sum at time now. A time before the last Add returns
// the sum without decay.
func (s *Sum) Value(now time.Time) float64 {
	elapsed := max(now.Sub(s.updated), 0)
	return s.amount * math.Exp(-elapsed.Seconds()/s.window.Seconds())
}

// PerSecond returns the rate, in amount per second, at which steady additions
// would keep the sum at its current value.
func (s *Sum) PerSecond(now time.Time) float64 { return s.Value(now) / s.window.Seconds() }
