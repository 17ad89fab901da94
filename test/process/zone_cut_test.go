package process_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/test/cluster"
)

// shareLease is short, so that the partition outlasts it.
const shareLease = 2 * time.Second

var _ = Describe("A zone that is partitioned from the platform and from the other zones", func() {
	It("keeps serving every model that its engines have loaded, and recovers", func() {
		c := cluster.Start(programs, cluster.Options{
			Zones: 2, HostsPerZone: 2, EnginesPerZone: 2,
			Settings: func(s *settings.Settings) {
				s.Shares.Lease = settings.Duration(shareLease)
				s.Placement.Lease = settings.Duration(shareLease)
			},
		})
		caller := cluster.NewCaller(c.GrantKey(c.Hosts[0], "key", cluster.OrganisationA))
		for _, host := range c.Hosts {
			caller.ExpectServes(host)
			Eventually(host.UsableUnits).Should(BeNumerically(">", 0))
		}
		c.PartitionZone(0)
		start := time.Now()
		for time.Since(start) < 3*shareLease {
			for _, response := range onAll(c.Hosts, func(h *cluster.Host) *cluster.Response {
				return caller.Complete(h, cluster.CompletionRequest{Model: cluster.Adapter, Prompt: unique("cut"), MaxTokens: 4})
			}) {
				Expect(response.OK()).To(BeTrue(), "%v after the start of the partition: %s", time.Since(start), response.Body)
			}
			time.Sleep(20 * time.Millisecond)
		}
		for _, engine := range c.Engines {
			Expect(engine.State().Memory.Overcommits).To(BeZero())
			Expect(engine.State().Report.Models).To(HaveLen(1))
		}
		c.Heal()
		lateKey := c.GrantKey(c.Zone(1)[0], "late", cluster.OrganisationB)
		for _, host := range c.Hosts {
			cluster.NewCaller(lateKey).ExpectServes(host)
		}
	})
})
