package process_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/test/cluster"
)

// drainLimit is the time after which a draining endpoint must not get new work.
const drainLimit = 5 * time.Second

var _ = Describe("A draining endpoint gets no new work", func() {
	var (
		c      *cluster.Cluster
		caller *cluster.Caller
	)

	BeforeEach(func() {
		c = cluster.Start(programs, cluster.Options{Zones: 2, EnginesPerZone: 2, ServicesPerZone: 1, EngineArgs: []string{"--token-interval", "100ms"}})
		caller = cluster.NewCaller(c.GrantKey(c.Hosts[0], "key", cluster.OrganisationA))
		for _, host := range c.Hosts {
			caller.ExpectServes(host)
		}
	})

	// runOnEvery sends short requests to all hosts until every engine has received
	// one.
	runOnEvery := func(engines []*cluster.Engine) {
		GinkgoHelper()
		Eventually(func(g Gomega) {
			onAll(c.Hosts, func(h *cluster.Host) bool {
				request := cluster.CompletionRequest{Model: cluster.Model, Prompt: unique("spread"), MaxTokens: 1}
				return caller.Complete(h, request).OK()
			})
			for _, engine := range engines {
				g.Expect(engine.State().Journal).NotTo(BeEmpty())
			}
		}).Should(Succeed())
	}
	// expectNoNewWork sends requests until after the limit. All must succeed, and
	// none may reach the endpoint after the limit.
	expectNoNewWork := func(journal func() []control.Entry, send func(*cluster.Host) *cluster.Response) {
		GinkgoHelper()
		drainStart := time.Now()
		for time.Since(drainStart) < drainLimit+2*time.Second {
			for _, response := range onAll(c.Hosts, send) {
				Expect(response.OK()).To(BeTrue(), response.Body)
			}
			time.Sleep(20 * time.Millisecond)
		}
		for _, entry := range journal() {
			Expect(time.UnixMilli(entry.UnixMillis)).To(BeTemporally("<=", drainStart.Add(drainLimit)))
		}
	}
	complete := func(h *cluster.Host) *cluster.Response {
		return caller.Complete(h, cluster.CompletionRequest{Model: cluster.Model, Prompt: unique("more"), MaxTokens: 1})
	}

	It("once its report says that it is draining, and its running streams complete", func() {
		runOnEvery(c.Engines)
		draining := c.Engines[0]
		request := cluster.CompletionRequest{Model: cluster.Model, Prompt: "long", MaxTokens: 80, Stream: true}
		streams := make(chan *cluster.Response, 8)
		for range cap(streams) {
			go func() { streams <- caller.Complete(c.Hosts[0], request) }()
		}
		Eventually(func() int { return c.Runs(`"long"`) }).Should(Equal(cap(streams)))
		draining.Control(cluster.Change{"leaving": true})
		expectNoNewWork(func() []control.Entry { return draining.State().Journal }, complete)
		for range cap(streams) {
			response := <-streams
			Expect(response.IsComplete(request)).To(BeTrue(), response.Body)
		}
	})

	It("once an operator drains it", func() {
		runOnEvery(c.Engines)
		ctx, admin := c.Hosts[1].Admin()
		_, err := admin.DrainEndpoint(ctx, &apiv1.DrainEndpointRequest{Name: c.Engines[1].Name})
		Expect(err).NotTo(HaveOccurred())
		expectNoNewWork(func() []control.Entry { return c.Engines[1].State().Journal }, complete)
	})

	It("if it is a plain service", func() {
		draining := c.Services[0]
		draining.Control(cluster.Change{"leaving": true})
		expectNoNewWork(func() []control.Entry { return draining.State().Journal }, func(h *cluster.Host) *cluster.Response {
			return caller.RequestCertificate(h, unique("certificate"), unique("certificate"))
		})
	})
})
