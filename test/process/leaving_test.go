package process_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/test/cluster"
)

// leavingBound is the time after which a leaving endpoint may get no new work.
const leavingBound = 5 * time.Second

var _ = Describe("A leaving endpoint gets no new work", func() {
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

	// spread sends short requests to all hosts until every engine has run one.
	spread := func(engines []*cluster.Engine) {
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
	// expectNoNewWork sends requests beyond the bound; all must be answered,
	// and none may reach the endpoint after the bound.
	expectNoNewWork := func(journal func() []control.Entry, send func(*cluster.Host) *cluster.Response) {
		GinkgoHelper()
		left := time.Now()
		for time.Since(left) < leavingBound+2*time.Second {
			for _, answer := range onAll(c.Hosts, send) {
				Expect(answer.OK()).To(BeTrue(), answer.Body)
			}
			time.Sleep(20 * time.Millisecond)
		}
		for _, entry := range journal() {
			Expect(time.UnixMilli(entry.UnixMillis)).To(BeTemporally("<=", left.Add(leavingBound)))
		}
	}
	complete := func(h *cluster.Host) *cluster.Response {
		return caller.Complete(h, cluster.CompletionRequest{Model: cluster.Model, Prompt: unique("more"), MaxTokens: 1})
	}

	It("once its report says so, and its running streams end whole", func() {
		spread(c.Engines)
		leaving := c.Engines[0]
		request := cluster.CompletionRequest{Model: cluster.Model, Prompt: "long", MaxTokens: 80, Stream: true}
		streams := make(chan *cluster.Response, 8)
		for range cap(streams) {
			go func() { streams <- caller.Complete(c.Hosts[0], request) }()
		}
		Eventually(func() int { return c.Runs(`"long"`) }).Should(Equal(cap(streams)))
		leaving.Control(cluster.Change{"leaving": true})
		expectNoNewWork(func() []control.Entry { return leaving.State().Journal }, complete)
		for range cap(streams) {
			answer := <-streams
			Expect(answer.IsComplete(request)).To(BeTrue(), answer.Body)
		}
	})

	It("once an operator drains it", func() {
		spread(c.Engines)
		ctx, admin := c.Hosts[1].Admin()
		_, err := admin.DrainEndpoint(ctx, &apiv1.DrainEndpointRequest{Name: c.Engines[1].Name})
		Expect(err).NotTo(HaveOccurred())
		expectNoNewWork(func() []control.Entry { return c.Engines[1].State().Journal }, complete)
	})

	It("where it is a plain service", func() {
		leaving := c.Services[0]
		leaving.Control(cluster.Change{"leaving": true})
		expectNoNewWork(func() []control.Entry { return leaving.State().Journal }, func(h *cluster.Host) *cluster.Response {
			return caller.RequestCertificate(h, unique("certificate"), unique("certificate"))
		})
	})
})
