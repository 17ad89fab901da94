package edge

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/lease"
)

// leaseYield returns how long the host called self lets others compete for the placement
// lease first. They are ranked by name, among the reachable ones; while none is in reach
// and the host has recently started, among those whose entries it has read.
func leaseYield(self string, reachability exchange.Reachability, joining bool, duration time.Duration) time.Duration {
	peers := reachability.Reachable
	if joining && len(peers) == 0 {
		peers = reachability.Unreachable
	}
	rank := 0
	for _, name := range peers {
		if name < self {
			rank++
		}
	}
	return lease.YieldTime(rank, len(reachability.Reachable)+len(reachability.Unreachable)+1, duration)
}

// leaseYield returns how long this host lets others compete for the placement lease first.
func (c *watchCoordinator) leaseYield() time.Duration {
	settings := c.host.settings
	return leaseYield(settings.Host.Name, c.peers.Reachability(), time.Since(c.startedAt) < joinGrace, settings.Bounds.Lease.Std())
}
