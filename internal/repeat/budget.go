// Package repeat decides whether a request is retried, by retry policies and
// retry budgets. It is used for routed requests and for the gateway's own API.
// It does no I/O; callers provide the clock.
package repeat

import (
	"cmp"
	"time"
)

// BudgetConfig configures a Budget. Zero values select the defaults.
type BudgetConfig struct {
	// Ratio is the number of retries that each request adds to the budget. It
	// defaults to 0.1.
	Ratio float64
	// Reserve is the number of retries available without preceding requests.
	// It defaults to 5.
	Reserve float64
	// ReserveInterval is the time in which the reserve regains one retry
	// without any requests. It defaults to 10 s.
	ReserveInterval time.Duration
}

// Budget is a retry budget: it limits retries to a fraction of the requests plus
// a reserve. Callers pass in the time. It is not safe for concurrent use.
type Budget struct {
	config BudgetConfig
	// balance is the number of retries available.
	balance    float64
	lastRefill time.Time
}

// NewBudget returns a Budget with a full reserve.
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

// maxBalance returns the limit of the balance. It keeps retries accumulated over
// a long time from overloading a failing endpoint.
func (c BudgetConfig) maxBalance() float64 { return max(c.Reserve, 20*c.Ratio) }

// RecordRequest records the first attempt of a request, which adds Ratio to the
// budget.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.balance = min(b.balance+b.config.Ratio, b.config.maxBalance())
}

// TryRetry takes one retry from the budget, and reports whether one was
// available.
func (b *Budget) TryRetry(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// refill restores the reserve by the time elapsed.
func (b *Budget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
	}
	gained := now.Sub(b.lastRefill).Seconds() / b.config.ReserveInterval.Seconds()
	b.lastRefill = now
	if b.balance < b.config.Reserve {
		b.balance = min(b.balance+gained, b.config.Reserve)
	}
}

// Configure replaces the configuration and keeps the balance, up to the new
// limit.
func (b *Budget) Configure(cfg BudgetConfig) {
	b.config = cfg.withDefaults()
	b.balance = min(b.balance, b.config.maxBalance())
}
