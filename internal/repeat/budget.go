// Package repeat decides whether a request is sent once more, for routed
// requests and the project's own interface alike. It does no I/O; the clock is
// given.
package repeat

import (
	"cmp"
	"sync"
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

// FleetBudget bounds the sends beyond each request's first over all hosts
// together: in any window, Ratio for each request and the reserve.
type FleetBudget struct {
	Ratio, Reserve float64
	Window         time.Duration
}

const (
	// ratioMargin is the part of the ratio that is used, since the windows of
	// the check slide.
	ratioMargin = 0.75
	// reserveMargin is the part of the reserve that is used: a full balance and
	// what comes back within a window are spent in one window at worst.
	reserveMargin = 0.5
	// nothing stands for none, where zero would mean a default.
	nothing = 1e-9
)

// Host returns one host's part of the budget.
func (f FleetBudget) Host(hosts int) BudgetConfig {
	reserve := reserveMargin * f.Reserve / float64(max(hosts, 1))
	cfg := BudgetConfig{Ratio: max(ratioMargin*f.Ratio, nothing), Reserve: max(reserve, nothing)}
	if reserve > 0 {
		cfg.ReserveInterval = time.Duration(float64(f.Window) / reserve)
	}
	return cfg
}

// Budgets keeps one budget for each service. It is safe for concurrent use.
type Budgets struct {
	clock func() time.Time

	mu      sync.Mutex
	config  BudgetConfig
	budgets map[string]*Budget
}

// NewBudgets returns full budgets of the same settings for all services.
func NewBudgets(cfg BudgetConfig, clock func() time.Time) *Budgets {
	return &Budgets{clock: clock, config: cfg, budgets: make(map[string]*Budget)}
}

// Configure takes over other settings.
func (b *Budgets) Configure(cfg BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg == b.config {
		return
	}
	b.config = cfg
	for _, budget := range b.budgets {
		budget.Configure(cfg)
	}
}

// Request enters a request for a service.
func (b *Budgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Request(b.clock())
}

// Again decides on a further send of a request for a service and charges the
// budget where it is allowed.
func (b *Budgets) Again(service string, rule Rule, sent Sent, end End) Decision {
	decision := rule.Again(sent, end)
	if decision != AllowedWithinBudget {
		return decision
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.of(service).Retry(b.clock()) {
		return OverBudget
	}
	return decision
}

// of must be called with the mutex held.
func (b *Budgets) of(service string) *Budget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = NewBudget(b.config)
		b.budgets[service] = budget
	}
	return budget
}
