// Package decay measures what happened lately: amounts that lose their weight
// with time. It reads no clock.
package decay

import (
	"math"
	"time"
)

// Sum is a sum of amounts that each fall to 1/e over a window. It is never
// negative.
type Sum struct {
	window time.Duration
	amount float64
	at     time.Time
}

// NewSum returns an empty sum.
func NewSum(window time.Duration) *Sum { return &Sum{window: window} }

// Add adds an amount, or takes it away where it is negative.
func (s *Sum) Add(now time.Time, amount float64) {
	s.amount = max(0, s.Now(now)+amount)
	s.at = now
}

// Now returns the sum.
func (s *Sum) Now(now time.Time) float64 {
	elapsed := max(now.Sub(s.at), 0)
	return s.amount * math.Exp(-elapsed.Seconds()/s.window.Seconds())
}

// PerSecond returns the rate that would keep the sum as it is.
func (s *Sum) PerSecond(now time.Time) float64 { return s.Now(now) / s.window.Seconds() }
