package routing

import "time"

// RetryBudgetConfig sets a RetryBudget. Zero values mean the defaults named.
type RetryBudgetConfig struct {
	// Ratio is the most retries for each request. It defaults to 0.1.
	Ratio float64
	// Reserve is how many retries a quiet host may make at once. It defaults
	// to 5.
	Reserve float64
	// ReserveInterval is how long one retry of the reserve takes to come
	// back without requests. It defaults to 10 s.
	ReserveInterval time.Duration
}

// RetryBudget bounds the load that retries add. It reads no clock and is not
// safe for concurrent use.
type RetryBudget struct {
	config  RetryBudgetConfig
	balance float64
	last    time.Time
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget {
	if cfg.Ratio == 0 {
		cfg.Ratio = 0.1
	}
	if cfg.Reserve == 0 {
		cfg.Reserve = 5
	}
	if cfg.ReserveInterval == 0 {
		cfg.ReserveInterval = 10 * time.Second
	}
	return &RetryBudget{config: cfg, balance: cfg.Reserve}
}

// Request enters a first attempt.
func (b *RetryBudget) Request(now time.Time) {
	b.refill(now)
	// The cap keeps saved-up retries from flooding a failing endpoint.
	b.balance = min(b.balance+b.config.Ratio, max(b.config.Reserve, 20*b.config.Ratio))
}

// Retry takes one retry out of the budget, or reports that none is left.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	gained := now.Sub(b.last).Seconds() / b.config.ReserveInterval.Seconds()
	b.last = now
	if b.balance < b.config.Reserve {
		b.balance = min(b.balance+gained, b.config.Reserve)
	}
}
