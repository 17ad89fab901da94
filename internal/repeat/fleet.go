package repeat

import "time"

// FleetBudget is a retry budget for all hosts together. In any period of length
// Window, the number of retries is at most Ratio times the number of requests
// plus Reserve.
type FleetBudget struct {
	Ratio, Reserve float64
	Window         time.Duration
}

const (
	// usableRatio is the fraction of the ratio that the hosts use. The rest is
	// a margin, because the limit applies to any sliding window.
	usableRatio = 0.75
	// usableReserve is the fraction of the reserve that the hosts use. In the
	// worst case a full balance and the part regained within a window are
	// spent in the same window.
	usableReserve = 0.5
	// noRetries is an effectively zero value for BudgetConfig, in which zero
	// would select the default.
	noRetries = 1e-9
)

// PerHost returns the configuration of a single host's budget if the fleet has the
// given number of hosts.
func (f FleetBudget) PerHost(hosts int) BudgetConfig {
	reserve := usableReserve * f.Reserve / float64(max(hosts, 1))
	cfg := BudgetConfig{Ratio: max(usableRatio*f.Ratio, noRetries), Reserve: max(reserve, noRetries)}
	if reserve > 0 {
		cfg.ReserveInterval = time.Duration(float64(f.Window) / reserve)
	}
	return cfg
}
