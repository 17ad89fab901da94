package fleet

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

var _ = Describe("The registry of endpoints", func() {
	var (
		now      time.Time
		registry *Registry
	)
	engine := func(id, zone string, models ...string) Endpoint {
		e := Endpoint{ID: id, Service: "llm", Address: id + ":1", Zone: zone, Slots: 64, Models: map[string]Adapters{}}
		for _, m := range models {
			e.Models[m] = Adapters{}
		}
		return e
	}
	BeforeEach(func() {
		now = time.Unix(1_700_000_000, 0)
		registry = NewRegistry(Config{Zone: "z1", Clock: func() time.Time { return now }})
	})
	work := Work{Service: "llm", Model: "m"}
	chosen := func(w Work) string {
		attempt, reason := registry.Start(w)
		if attempt == nil {
			return string(reason)
		}
		return attempt.Endpoint.ID
	}

	It("returns the most specific reason if no endpoint is suitable", func() {
		Expect(chosen(work)).To(Equal(string(ReasonNoEndpoint)))
		registry.Put(engine("e1", "z1", "other"))
		Expect(chosen(work)).To(Equal(string(ReasonModelNotHeld)))
		registry.Put(engine("e2", "z1", "m"))
		Expect(chosen(Work{Service: "llm", Model: "m", Adapter: "a"})).To(Equal(string(ReasonAdapterNotHeld)))
	})

	It("chooses no endpoint that drains, nor one that was delisted while the store was available", func() {
		registry.Replace([]Endpoint{engine("e1", "z1", "m"), engine("e2", "z1", "m")})
		draining := engine("e1", "z1", "m")
		draining.Leaving = true
		registry.Put(draining)
		Expect(chosen(work)).To(Equal("e2"))
		registry.Put(engine("e1", "z1", "m")) // an older description that arrives late
		registry.Remove("e2")
		Expect(chosen(work)).To(Equal(string(ReasonNoEndpoint)))
	})

	It("keeps using one that was delisted because of a store outage until two seconds after the outage", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.StoreUnavailable()
		now = now.Add(20 * time.Second)
		registry.StoreAvailable()
		registry.Replace(nil)
		Expect(chosen(work)).To(Equal("e1"))
		now = now.Add(1900 * time.Millisecond)
		Expect(chosen(work)).To(Equal("e1"))
		now = now.Add(200 * time.Millisecond)
		Expect(chosen(work)).To(Equal(string(ReasonNoEndpoint)))
	})

	It("keeps one that is listed again within that time", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.StoreUnavailable()
		registry.StoreAvailable()
		registry.Replace(nil)
		registry.Put(engine("e1", "z1", "m"))
		now = now.Add(time.Minute)
		Expect(chosen(work)).To(Equal("e1"))
	})

	It("resets the state of an endpoint that restarted under the same ID", func() {
		registry.Put(engine("e1", "z1", "m"))
		attempt, _ := registry.Start(work)
		restarted := engine("e1", "z1", "m")
		restarted.Started = now
		registry.Put(restarted)
		Expect(registry.members["e1"].running).To(BeZero())
		attempt.Finish(endpoint.OutcomeFailed)
		Expect(registry.members["e1"].running).To(BeZero())
	})

	It("prefers an endpoint's rejections and the lease holder's orders to an older description", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.RecordHeld("e1", "m", "a", true)
		Expect(chosen(Work{Service: "llm", Model: "m", Adapter: "a"})).To(Equal("e1"))
		registry.RecordHeld("e1", "m", "", false)
		Expect(chosen(work)).To(Equal(string(ReasonModelNotHeld)))
		now = now.Add(observationTTL)
		Expect(chosen(work)).To(Equal("e1"))
	})

	// A burst of equal requests arrives at one host.
	It("distributes a burst evenly over equal endpoints", func() {
		counts := map[string]int{}
		for i := range 4 {
			registry.Put(engine(fmt.Sprint("e", i), "z1", "m"))
		}
		for range 80 {
			counts[chosen(Work{Service: "llm", Model: "m", PromptTokens: 9000})]++
		}
		for id, count := range counts {
			Expect(count).To(BeNumerically("~", 20, 2), id)
		}
	})

	It("prefers endpoints of its own zone while they cost little more", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.Put(engine("e2", "z2", "m"))
		Expect(chosen(work)).To(Equal("e1"))
		Expect(chosen(work)).To(Equal("e1"))
		Expect(chosen(work)).To(Equal("e2"))
	})

	It("sends requests with a shared prompt to the same endpoint, and to others once it is loaded", func() {
		for i := range 4 {
			registry.Put(engine(fmt.Sprint("e", i), "z1", "m"))
		}
		shared := func(own int) Work {
			return Work{Service: "llm", Model: "m", PromptTokens: 9000, PromptSegments: []traffic.PromptSegment{
				{ID: "s", Tokens: 6000}, {ID: fmt.Sprint("own", own), Tokens: 3000},
			}}
		}
		first, _ := registry.Start(shared(0))
		first.ResponseStarted()
		second, _ := registry.Start(shared(1))
		Expect(second.Endpoint.ID).To(Equal(first.Endpoint.ID))
		elsewhere := 0
		for i := range 10 {
			if chosen(shared(2+i)) != first.Endpoint.ID {
				elsewhere++
			}
		}
		Expect(elsewhere).To(BeNumerically(">", 0))
	})

	It("chooses the same first endpoint for a shared prompt as other hosts", func() {
		other := NewRegistry(Config{Zone: "z1", Clock: func() time.Time { return now }})
		for i := range 6 {
			registry.Put(engine(fmt.Sprint("e", i), "z1", "m"))
			other.Put(engine(fmt.Sprint("e", i), "z1", "m"))
		}
		for i := range 20 {
			w := Work{Service: "llm", Model: "m", PromptTokens: 9000, PromptSegments: []traffic.PromptSegment{{ID: fmt.Sprint("s", i), Tokens: 6000}, {ID: "own", Tokens: 3000}}}
			here, _ := registry.Start(w)
			there, _ := other.Start(w)
			Expect(here.Endpoint.ID).To(Equal(there.Endpoint.ID))
			here.Finish(endpoint.OutcomeAnswered)
			there.Finish(endpoint.OutcomeAnswered)
		}
	})

	// Many hosts get requests with the same popular prompt at the same time.
	It("chooses it within its own zone, so that not all hosts send a shared prompt to one endpoint", func() {
		other := NewRegistry(Config{Zone: "z2", Clock: func() time.Time { return now }})
		for i := range 6 {
			for _, r := range []*Registry{registry, other} {
				r.Put(engine(fmt.Sprint("e", i), fmt.Sprint("z", 1+i%2), "m"))
			}
		}
		w := Work{Service: "llm", Model: "m", PromptTokens: 9000, PromptSegments: []traffic.PromptSegment{{ID: "s", Tokens: 6000}, {ID: "own", Tokens: 3000}}}
		here, _ := registry.Start(w)
		there, _ := other.Start(w)
		Expect(here.Endpoint.Zone).To(Equal("z1"))
		Expect(there.Endpoint.Zone).To(Equal("z2"))
	})

	// Some endpoints fail requests although their health check passes.
	It("avoids an endpoint that fails, but never all of them", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.Put(engine("e2", "z1", "m"))
		for range 30 {
			attempt, _ := registry.Start(work)
			outcome := endpoint.OutcomeAnswered
			if attempt.Endpoint.ID == "e1" {
				outcome = endpoint.OutcomeFailed
			}
			attempt.Finish(outcome)
		}
		counts := map[string]int{}
		for range 10 {
			attempt, _ := registry.Start(work)
			counts[attempt.Endpoint.ID]++
			attempt.Finish(endpoint.OutcomeAnswered)
		}
		Expect(counts["e2"]).To(BeNumerically(">=", 8))
		for range 30 {
			attempt, _ := registry.Start(work)
			attempt.Finish(endpoint.OutcomeFailed)
		}
		_, reason := registry.Start(work)
		Expect(reason).To(Equal(ReasonNone))
	})

	It("retries at another endpoint, or at the same one if there is no other", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.Put(engine("e2", "z1", "m"))
		Expect(chosen(Work{Service: "llm", Model: "m", Tried: []string{"e1"}})).To(Equal("e2"))
		Expect(chosen(Work{Service: "llm", Model: "m", Tried: []string{"e1", "e2"}})).To(HavePrefix("e"))
	})

	It("takes the load reported by an endpoint into account", func() {
		registry.Put(engine("e1", "z1", "m"))
		attempt, _ := registry.Start(work)
		attempt.RecordLoad(Load{Running: 40, Waiting: 3, Slots: 64})
		attempt.Finish(endpoint.OutcomeAnswered)
		registry.Put(engine("e2", "z1", "m"))
		for range 5 {
			Expect(chosen(work)).To(Equal("e2"))
		}
	})

	// A burst is spread over many hosts, so that each sees a small fraction of it.
	It("counts requests running for peers, until these end or the peer's report expires", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.Put(engine("e2", "z1", "m"))
		busy := &fleetv1.Report{Host: "h2", Loads: []*fleetv1.EndpointLoad{{Endpoint: "e1", Running: 9, UnreadTokens: 30_000}}}
		registry.HandleReport(busy, false)
		registry.HandleReport(busy, false) // replaces the first report
		for range 5 {
			Expect(chosen(work)).To(Equal("e2"))
		}
		registry.HandleReport(&fleetv1.Report{Host: "h2"}, false)
		Expect(chosen(work)).To(Equal("e1"))
		registry.HandleReport(busy, false)
		now = now.Add(peerLoadTTL + time.Millisecond)
		registry.SetReachability(exchange.Reachability{})
		Expect(registry.peerTotals).To(BeEmpty())
	})

	It("reports its own running requests to peers", func() {
		registry.Put(engine("e1", "z1", "m"))
		attempt, _ := registry.Start(Work{Service: "llm", Model: "m", PromptTokens: 700})
		report := &fleetv1.Report{}
		registry.FillReport(report)
		Expect(report.Loads).To(HaveLen(1))
		Expect(report.Loads[0].GetRunning()).To(Equal(int32(1)))
		Expect(report.Loads[0].GetUnreadTokens()).To(Equal(int64(700)))
		attempt.ResponseStarted()
		attempt.Finish(endpoint.OutcomeAnswered)
		report = &fleetv1.Report{}
		registry.FillReport(report)
		Expect(report.Loads).To(BeEmpty())
	})
})
