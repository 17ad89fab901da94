package edge

import (
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/settings"
)

// assumedHosts is the number of hosts by which the retry budget is divided until
// the other hosts are discovered. If there are fewer, retries are scarce only in
// the first second.
const assumedHosts = 100

// retryDivider configures this host's part of the fleet's retry budget from the
// number of hosts that may be serving. It implements exchange.Participant.
type retryDivider struct {
	fleet   repeat.FleetBudget
	budgets *repeat.Budgets
	// maxHosts is the largest number of hosts so far. It doesn't shrink, since
	// hosts that stay unreachable may be serving on the other side of a network
	// partition.
	maxHosts int
}

func newRetryDivider(bounds settings.Bounds) *retryDivider {
	fleet := repeat.FleetBudget{Ratio: bounds.RetryRatio, Reserve: bounds.RetryReserve, Window: bounds.RetryWindow.Std()}
	return &retryDivider{fleet: fleet, budgets: repeat.NewBudgets(fleet.PerHost(assumedHosts), time.Now)}
}

// FillReport implements exchange.Participant.
func (r *retryDivider) FillReport(*fleetv1.Report) {}

// HandleReport implements exchange.Participant.
func (r *retryDivider) HandleReport(*fleetv1.Report, bool) {}

// SetReachability implements exchange.Participant.
func (r *retryDivider) SetReachability(reachability exchange.Reachability) {
	r.maxHosts = max(r.maxHosts, len(reachability.Reachable)+len(reachability.Unreachable)+1)
	r.budgets.Configure(r.fleet.PerHost(r.maxHosts))
}
