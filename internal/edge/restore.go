package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

// observeEra passes on the era of the store that a peer reports, so that this host
// detects a restore without access to the store.
func (c *watchCoordinator) observeEra(report *fleetv1.Report) {
	for _, reading := range report.GetReadings() {
		if era := reading.GetEra(); era > 0 {
			c.host.adapter.Store().ObserveEra(era)
		}
	}
}

// handleRestore is called when the store has been restored from an older copy. All
// kinds are listed again; for the endpoints see fleet.Registry.StoreRestored.
func (c *watchCoordinator) handleRestore(era int64) {
	logrus.WithField("era", era).Info("listing all kinds again after the store's restore")
	c.host.endpoints.StoreRestored(era)
	for _, m := range c.served {
		m.Refresh()
	}
}

// SetReachability implements exchange.Participant. It updates this host's role, and lists
// the endpoints again if the registry holds entries back.
func (c *watchCoordinator) SetReachability(reachability exchange.Reachability) {
	c.mu.Lock()
	c.large = len(reachability.Reachable)+len(reachability.Unreachable)+1 >= followFleetSize
	c.reachable = reachability.Reachable
	c.mu.Unlock()
	c.updateRole(time.Now())
	if m := c.served[c.endpoints]; m != nil && c.host.endpoints.NeedsListing() {
		m.Refresh()
	}
}
