package fleet

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

var _ = Describe("The limit that an endpoint names", func() {
	const interval = 200 * time.Millisecond
	var (
		now        time.Time
		registries map[string]*Registry
	)
	newRegistry := func(host string) *Registry {
		r := NewRegistry(Config{Host: host, Zone: "z1", Clock: func() time.Time { return now }})
		r.Put(Endpoint{ID: "e", Service: "s", Zone: "z1", Slots: 8})
		return r
	}
	BeforeEach(func() {
		now = time.Unix(1_700_000_000, 0)
		registries = map[string]*Registry{"a": newRegistry("a"), "b": newRegistry("b")}
	})
	// exchangeReports has the two hosts report to each other.
	exchangeReports := func() {
		now = now.Add(interval)
		for host, from := range registries {
			for peer, to := range registries {
				if host != peer {
					from.SetReachability(exchange.Reachability{Reachable: []string{peer}, Interval: interval})
					report := &fleetv1.Report{Host: host}
					from.FillReport(report)
					to.HandleReport(report, false)
				}
			}
		}
	}
	// sendFor has the hosts send as many requests as they may for a time, and returns
	// their number.
	sendFor := func(length time.Duration) int {
		sent := 0
		for range length / interval {
			exchangeReports()
			for _, r := range registries {
				if attempt, _ := r.Start(Work{Service: "s"}); attempt != nil {
					attempt.Finish(endpoint.OutcomeAnswered)
					sent++
				}
			}
		}
		return sent
	}
	// state has a response to a host make a statement.
	state := func(host string, statement LimitStatement) {
		r := registries[host]
		a := &Attempt{registry: r, member: r.members["e"]}
		a.RecordLimit(statement)
	}

	It("binds hosts that a peer told of it, and ends for them, too", func() {
		exchangeReports()
		state("a", LimitStatement{Known: true, Named: true, PerSecond: 2})
		Expect(sendFor(10 * time.Second)).To(BeNumerically("<=", 25))
		Expect(registries["b"].members["e"].limit.inForce).NotTo(BeNil())
		state("b", LimitStatement{Known: true})
		Expect(sendFor(10 * time.Second)).To(Equal(100))
	})

	It("is not revived by an older statement of a peer", func() {
		state("a", LimitStatement{Known: true, Named: true, PerSecond: 2})
		now = now.Add(time.Second)
		state("b", LimitStatement{Known: true})
		exchangeReports()
		exchangeReports()
		Expect(registries["a"].members["e"].limit.inForce).To(BeNil())
		Expect(registries["b"].members["e"].limit.inForce).To(BeNil())
	})

	It("ends with the endpoint's incarnation", func() {
		state("a", LimitStatement{Known: true, Named: true, PerSecond: 1})
		exchangeReports()
		for _, r := range registries {
			r.Put(Endpoint{ID: "e", Service: "s", Zone: "z1", Slots: 8, Started: now})
		}
		Expect(sendFor(10 * time.Second)).To(Equal(100))
	})

	It("stays in force if a response has an invalid one", func() {
		state("a", LimitStatement{Known: true, Named: true, PerSecond: 1})
		state("a", LimitStatement{Invalid: "many"})
		Expect(registries["a"].members["e"].limit.inForce.PerSecond()).To(Equal(1.0))
	})

	It("tells when to come back if no other endpoint can serve", func() {
		state("a", LimitStatement{Known: true, Named: true, PerSecond: 1})
		_, reason := registries["a"].Start(Work{Service: "s"})
		Expect(reason).To(Equal(ReasonBackoff))
		Expect(registries["a"].RemainingBackoff(Work{Service: "s"})).To(BeNumerically("~", 3*time.Second, time.Second))
	})
})
