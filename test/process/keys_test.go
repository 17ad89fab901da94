package process_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/test/cluster"
)

// withdrawalLimit is the time within which every host has to refuse a withdrawn
// key.
const withdrawalLimit = 5 * time.Second

var _ = Describe("A withdrawn key stops working on every host", Ordered, func() {
	var c *cluster.Cluster
	request := cluster.CompletionRequest{Model: cluster.Model, Prompt: "a key", MaxTokens: 1}

	BeforeAll(func() {
		c = cluster.Start(programs, cluster.Options{Zones: 3, EnginesPerZone: 1})
	})

	// grant returns a caller with a new key and open connections to every host.
	grant := func(name string) *cluster.Caller {
		GinkgoHelper()
		caller := cluster.NewCaller(c.GrantKey(c.Hosts[0], name, cluster.OrganisationA))
		for _, host := range c.Hosts {
			caller.ExpectServes(host)
		}
		return caller
	}
	withdraw := func(name string) time.Time {
		GinkgoHelper()
		ctx, admin := c.Hosts[0].Admin()
		_, err := admin.WithdrawKey(ctx, &apiv1.WithdrawKeyRequest{Name: name, WaitMillis: 1})
		Expect(err).NotTo(HaveOccurred())
		return time.Now()
	}
	// expectRefused checks that a host refuses the caller before the limit and keeps
	// refusing it.
	expectRefused := func(caller *cluster.Caller, host *cluster.Host, since time.Time) {
		GinkgoHelper()
		status := func() int { return caller.Complete(host, request).Status }
		Eventually(status, time.Until(since.Add(withdrawalLimit)), "20ms").Should(Equal(http.StatusUnauthorized))
		Consistently(status, "300ms", "20ms").Should(Equal(http.StatusUnauthorized))
	}

	It("on open connections", func() {
		caller := grant("plain")
		accepted := withdraw("plain")
		onAll(c.Hosts, func(h *cluster.Host) bool {
			defer GinkgoRecover()
			expectRefused(caller, h, accepted)
			return true
		})
	})

	It("when the watches of all hosts have gone silent", func() {
		caller := grant("silent")
		c.Platform.Control(cluster.Change{"silentWatches": true})
		c.Platform.Control(cluster.Change{"silentWatches": false})
		accepted := withdraw("silent")
		onAll(c.Hosts, func(h *cluster.Host) bool {
			defer GinkgoRecover()
			expectRefused(caller, h, accepted)
			return true
		})
	})

	It("when a host cannot reach the platform, but a peer can", func() {
		caller := grant("cut")
		c.Hosts[2].ToPlatform.Block()
		DeferCleanup(c.Hosts[2].ToPlatform.Unblock)
		accepted := withdraw("cut")
		expectRefused(caller, c.Hosts[2], accepted)
	})

	It("after a host was paused", func() {
		caller := grant("paused")
		c.Hosts[1].Pause()
		DeferCleanup(c.Hosts[1].Continue)
		withdraw("paused")
		c.Hosts[1].Continue()
		expectRefused(caller, c.Hosts[1], time.Now())
	})
})
