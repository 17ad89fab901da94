package repeat

import "time"

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
