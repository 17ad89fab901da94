package process_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/test/cluster"
)

var _ = Describe("A request that may not be repeated runs at most once", Ordered, func() {
	var (
		c      *cluster.Cluster
		caller *cluster.Caller
	)

	BeforeAll(func() {
		c = cluster.Start(programs, cluster.Options{Zones: 3, ServicesPerZone: 1})
		caller = cluster.NewCaller(c.GrantKey(c.Hosts[0], "key-a", cluster.OrganisationA))
		for _, host := range c.Hosts {
			Eventually(host.UsableUnits).Should(BeNumerically(">", 0))
			Eventually(func() string { return caller.RequestCertificate(host, unique("ready"), unique("ready")).Body }).Should(ContainSubstring("number"))
		}
	})

	AfterEach(func() {
		c.Platform.Control(cluster.Change{"loseAnswers": 0, "slowMillis": 0, "down": false})
		setServiceFaults(c, cluster.Change{"runThenClose": 0, "closeBeforeRun": 0, "silent": 0, "late": 0})
	})

	// requestOnAll sends the same call to every host at once. It retries while a
	// host refuses the call for its rate, because a recently started host has no
	// share of the rates yet.
	requestOnAll := func(request string) []*cluster.Response {
		return onAll(c.Hosts, func(h *cluster.Host) (response *cluster.Response) {
			defer GinkgoRecover()
			Eventually(func() string {
				response = caller.RequestCertificate(h, request, request)
				return response.Error.Code
			}).ShouldNot(Equal("rate_limit_exceeded"))
			return response
		})
	}
	// expectRepeats repeats the call on every host and checks that it does not run
	// again and that all hosts return the recorded response.
	expectRepeats := func(request string, first *cluster.Response) {
		GinkgoHelper()
		runs := c.Runs(request)
		Expect(runs).To(BeNumerically("<=", 1))
		for _, repeat := range requestOnAll(request) {
			Expect(repeat.Err).NotTo(HaveOccurred())
			if first.OK() {
				Expect(repeat.Body).To(Equal(first.Body))
				continue
			}
			if runs == 1 {
				Expect(repeat.NotRun()).To(BeFalse(), repeat.Body)
			}
		}
		Expect(c.Runs(request)).To(BeNumerically("<=", 1))
	}

	It("when every host receives the same idempotency key concurrently", func() {
		for range 10 {
			request := unique("at-once")
			responses := requestOnAll(request)
			Expect(c.Runs(request)).To(Equal(1))
			var winner *cluster.Response
			for _, response := range responses {
				if response.OK() {
					winner = response
				}
			}
			Expect(winner).NotTo(BeNil())
			expectRepeats(request, winner)
		}
	})

	It("and the same idempotency key of another organisation is a separate request", func() {
		other := cluster.NewCaller(c.GrantKey(c.Hosts[0], "key-b", cluster.OrganisationB))
		request := unique("other-organisation")
		first := caller.RequestCertificate(c.Hosts[0], request, request)
		second := other.RequestCertificate(c.Hosts[1], request, request)
		Expect(first.OK()).To(BeTrue(), first.Body)
		Expect(second.OK()).To(BeTrue(), second.Body)
		Expect(second.Body).NotTo(Equal(first.Body))
		Expect(c.Runs(request)).To(Equal(2))
	})

	DescribeTable("when the service fails", func(fault string) {
		setServiceFaults(c, cluster.Change{fault: 1, "lateMillis": 500})
		request := unique(fault)
		first := caller.RequestCertificate(c.Hosts[0], request, request)
		if !first.OK() {
			Expect(first.Error.Run).To(Equal("unknown"), first.Body)
		}
		setServiceFaults(c, cluster.Change{fault: 0})
		expectRepeats(request, first)
	},
		Entry("after it ran the request, by closing the connection", "runThenClose"),
		Entry("before it ran the request, by closing the connection", "closeBeforeRun"),
		Entry("after it ran the request, by sending no response", "silent"),
		Entry("by a late response", "late"),
	)

	It("when the pooled connections to the service have gone silent", func() {
		for _, service := range c.Services {
			service.Relay.Blackhole()
		}
		request := unique("silent-connections")
		first := caller.RequestCertificate(c.Hosts[0], request, request)
		Expect(first.OK()).To(BeTrue(), first.Body)
		expectRepeats(request, first)
	})

	DescribeTable("when the responses to claim writes are lost", func(lost int) {
		c.Platform.Control(cluster.Change{"loseAnswers": lost, "loseAnswersKind": "claims"})
		request := unique("lost-answer")
		first := caller.RequestCertificate(c.Hosts[0], request, request)
		if first.NotRun() {
			Expect(c.Runs(request)).To(BeZero(), first.Body)
		}
		c.Platform.Control(cluster.Change{"loseAnswers": 0})
		expectRepeats(request, first)
	}, Entry("the first", 1), Entry("the first two", 2), Entry("the first four", 4))

	It("and is refused as not run while the platform is down", func() {
		c.Platform.Control(cluster.Change{"down": true})
		request := unique("platform-down")
		for _, response := range requestOnAll(request) {
			Expect(response.NotRun()).To(BeTrue(), response.Body)
			Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(c.Runs(request)).To(BeZero())
		c.Platform.Control(cluster.Change{"down": false})
		Eventually(func() bool { first := caller.RequestCertificate(c.Hosts[0], request, request); return first.OK() }).Should(BeTrue())
		Expect(c.Runs(request)).To(Equal(1))
	})

	It("when its host is paused while the service runs the request", func() {
		setServiceFaults(c, cluster.Change{"late": 1, "lateMillis": 300})
		request := unique("paused")
		responseCh := make(chan *cluster.Response, 1)
		go func() { responseCh <- caller.RequestCertificate(c.Hosts[0], request, request) }()
		Eventually(func() int { return c.Runs(request) }, "10s", "10ms").Should(Equal(1))
		c.Hosts[0].Pause()
		DeferCleanup(c.Hosts[0].Continue)
		for _, repeat := range onAll(c.Hosts[1:], func(h *cluster.Host) *cluster.Response { return caller.RequestCertificate(h, request, request) }) {
			Expect(repeat.OK() || repeat.NotRun()).To(BeFalse(), repeat.Body)
		}
		c.Hosts[0].Continue()
		var first *cluster.Response
		Eventually(responseCh).Should(Receive(&first))
		Expect(first.OK()).To(BeTrue(), first.Body)
		expectRepeats(request, first)
	})

	// The delays spread the kill over the steps of a request: before the claim,
	// after it, after the call was sent, after its response and before the response
	// is recorded. Each round kills the replacement from the round before, so
	// that the other hosts keep their shares of the rates.
	It("when its host is killed at any step", func() {
		victim := c.Hosts[0]
		for _, delay := range []time.Duration{20, 60, 120, 150, 190, 230, 280, 330} {
			c.Platform.Control(cluster.Change{"slowMillis": 100})
			setServiceFaults(c, cluster.Change{"late": 1, "lateMillis": 100})
			request := unique("killed")
			responseCh := make(chan *cluster.Response, 1)
			go func() { responseCh <- caller.RequestCertificate(victim, request, request) }()
			time.Sleep(delay * time.Millisecond)
			victim.Kill()
			c.Platform.Control(cluster.Change{"slowMillis": 0})
			setServiceFaults(c, cluster.Change{"late": 0})
			var first *cluster.Response
			Eventually(responseCh).Should(Receive(&first))
			replacement := c.Replace(victim, unique("replacement"))
			Eventually(func() string { return caller.RequestCertificate(replacement, unique("ready"), unique("ready")).Body }).Should(ContainSubstring("number"))
			for range 3 {
				expectRepeats(request, first)
			}
			victim = replacement
		}
	})
})

// setServiceFaults sets control switches of every plain service.
func setServiceFaults(c *cluster.Cluster, change cluster.Change) {
	GinkgoHelper()
	for _, service := range c.Services {
		service.Control(change)
	}
}
