package repeat

import (
	"sync"
	"time"
)

// Budgets holds a retry budget per service. It is safe for concurrent use.
type Budgets struct {
	clock func() time.Time

	mu      sync.Mutex
	config  BudgetConfig
	budgets map[string]*Budget
}

// NewBudgets returns Budgets in which each service gets its own budget with the
// same configuration and a full reserve.
func NewBudgets(cfg BudgetConfig, clock func() time.Time) *Budgets {
	return &Budgets{clock: clock, config: cfg, budgets: make(map[string]*Budget)}
}

// Configure replaces the configuration of all budgets and keeps their balances.
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

// RecordRequest records the first attempt of a request for a service.
func (b *Budgets) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordRequest(b.clock())
}

// Decide decides whether to retry a request for a service after an attempt with
// the given outcome, as Policy.Decide does, and charges the service's budget if
// it returns AllowedWithinBudget.
func (b *Budgets) Decide(service string, policy Policy, attempts Attempts, outcome Outcome) Decision {
	decision := policy.Decide(attempts, outcome)
	if decision != AllowedWithinBudget {
		return decision
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.budget(service).TryRetry(b.clock()) {
		return OverBudget
	}
	return decision
}

// budget returns the budget of a service. The caller must hold b.mu.
func (b *Budgets) budget(service string) *Budget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = NewBudget(b.config)
		b.budgets[service] = budget
	}
	return budget
}
