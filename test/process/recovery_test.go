package process_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/ratelimit"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/test/cluster"
)

const (
	recoveryLease = 2 * time.Second
	floorFraction = 0.5
	// rebalanceLimit is the time for marking and reclaiming the units of the killed
	// hosts and dividing them among the running ones.
	rebalanceLimit = 20 * time.Second
)

var _ = Describe("The part of the rates that is not under the floor's lease is usable again", func() {
	var c *cluster.Cluster

	usableUnits := func() (sum int64) {
		for _, host := range c.Hosts {
			sum += host.UsableUnits()
		}
		return sum
	}
	start := func(hostsPerZone int) {
		GinkgoHelper()
		c = cluster.Start(programs, cluster.Options{Zones: 3, HostsPerZone: hostsPerZone, EnginesPerZone: 1, Settings: func(s *settings.Settings) {
			s.Shares.Lease = settings.Duration(recoveryLease)
			s.Shares.FloorFraction = floorFraction
		}})
		// Dividing the units among the hosts may leave a few of them unassigned.
		Eventually(usableUnits).Should(BeNumerically("~", ratelimit.TotalUnits, 2*len(c.Hosts)))
	}
	// killAndReplace kills and replaces the first host and returns the units that it
	// held.
	killAndReplace := func(name string) int64 {
		GinkgoHelper()
		heldUnits := c.Hosts[0].UsableUnits()
		c.Replace(c.Hosts[0], name)
		return heldUnits
	}
	// expectUsable waits until all units except the floors of the killed hosts are
	// usable, and every host has some of them.
	expectUsable := func(heldUnits int64) {
		GinkgoHelper()
		minUsable := int64((float64(ratelimit.TotalUnits) - floorFraction*float64(heldUnits)) * 0.99)
		Eventually(usableUnits, recoveryLease+rebalanceLimit, "200ms").Should(BeNumerically(">=", minUsable))
		for _, host := range c.Hosts {
			Eventually(host.UsableUnits, rebalanceLimit, "200ms").Should(BeNumerically(">", 0), host.Name)
		}
	}

	It("after one host was killed and replaced", func() {
		start(2)
		expectUsable(killAndReplace("replacement"))
	})

	It("after every host was killed and replaced", func() {
		start(1)
		heldUnits := int64(0)
		for range 3 {
			heldUnits += killAndReplace(unique("replacement"))
		}
		expectUsable(heldUnits)
	})
})
