package repeat

import (
	"sync"
	"time"
)

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
