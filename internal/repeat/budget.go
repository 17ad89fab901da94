// Package repeat decides whether a request is sent once more, for routed
// requests and the project's own interface alike. It does no I/O; the clock is
// given.
package repeat

import (
	"cmp"
	"time"
)

// BudgetConfig sets a Budget. Zero values mean the defaults named.
type BudgetConfig struct {
	// Ratio is the most retries for each request. It defaults to 0.1.
	Ratio float64
	// Reserve is how many retries a quiet host may make at once. It defaults
	// to 5.
	Reserve float64
	// ReserveInterval is how long one retry of the reserve takes to come
	// back without requests. It defaults to 10 s.
	ReserveInterval time.Duration
}

// Budget bounds the load that retries add. It reads no clock and is not
// safe for concurrent use.
type Budget struct {
	config  BudgetConfig
	balance float64
	last    time.Time
}

// NewBudget returns a budget with a full reserve.
func NewBudget(cfg BudgetConfig) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{config: cfg, balance: cfg.Reserve}
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	c.Ratio = cmp.Or(c.Ratio, 0.1)
	c.Reserve = cmp.Or(c.Reserve, 5)
	c.ReserveInterval = cmp.Or(c.ReserveInterval, 10*time.Second)
	return c
}

// highest keeps saved-up retries from flooding a failing endpoint.
func (c BudgetConfig) highest() float64 { return max(c.Reserve, 20*c.Ratio) }

// Request enters a first attempt.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.balance = min(b.balance+b.config.Ratio, b.config.highest())
}

// Retry takes one retry out of the budget, or reports that none is left.
func (b *Budget) Retry(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	gained := now.Sub(b.last).Seconds() / b.config.ReserveInterval.Seconds()
	b.last = now
	if b.balance < b.config.Reserve {
		b.balance = min(b.balance+gained, b.config.Reserve)
	}
}

// Configure takes over other settings and keeps what is left of the budget.
func (b *Budget) Configure(cfg BudgetConfig) {
	b.config = cfg.withDefaults()
	b.balance = min(b.balance, b.config.highest())
}
