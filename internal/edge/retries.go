package edge

import (
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/settings"
)

// hostsAssumed divides the retry budget until the other hosts are known. If
// there are fewer, retries are scarce in the first second only.
const hostsAssumed = 100

// retries divides the fleet's retry budget among the hosts that may be
// serving. It implements exchange.Part.
type retries struct {
	fleet   repeat.FleetBudget
	budgets *repeat.Budgets
	// most is the largest number of hosts so far: those that are silent for
	// long may be serving on the other side of a cut.
	most int
}

func newRetries(bounds settings.Bounds) *retries {
	fleet := repeat.FleetBudget{Ratio: bounds.RetryRatio, Reserve: bounds.RetryReserve, Window: bounds.RetryWindow.Std()}
	return &retries{fleet: fleet, budgets: repeat.NewBudgets(fleet.PerHost(hostsAssumed), time.Now)}
}

// Contribute implements exchange.Part.
func (r *retries) Contribute(*fleetv1.Report) {}

// Hear implements exchange.Part.
func (r *retries) Hear(*fleetv1.Report, bool) {}

// Reach implements exchange.Part.
func (r *retries) Reach(reach exchange.Reach) {
	r.most = max(r.most, len(reach.Heard)+len(reach.Silent)+1)
	r.budgets.Configure(r.fleet.PerHost(r.most))
}
