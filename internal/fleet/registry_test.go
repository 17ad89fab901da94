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

	It("chooses no endpoint of another software version than the required one", func() {
		for i, software := range []string{"v1", "v2", "v2"} {
			e := engine(fmt.Sprint("e", i), "z1", "m")
			e.Software = software
			registry.Put(e)
		}
		bound := work
		bound.Software = "v1"
		for range 5 {
			Expect(chosen(bound)).To(Equal("e0"))
		}
		bound.Tried = []string{"e0"}
		Expect(chosen(bound)).To(Equal("e0"))
		registry.Remove("e0")
		Expect(chosen(bound)).To(Equal(string(ReasonOtherSoftware)))
		Expect(chosen(work)).NotTo(BeEmpty())
	})

	// Guards against new streams at a software version that hosts don't know of yet.
	It("chooses no endpoint whose software version may not begin the work, unless the work is bound to it", func() {
		for i, software := range []string{"v1", "v2"} {
			e := engine(fmt.Sprint("e", i), "z1", "m")
			e.Software = software
			registry.Put(e)
		}
		fresh, bound := work, work
		fresh.BeginAt, bound.BeginAt, bound.Software = []string{"v1"}, []string{"v1"}, "v2"
		for range 5 {
			Expect(chosen(fresh)).To(Equal("e0"))
		}
		Expect(chosen(bound)).To(Equal("e1"))
		registry.Remove("e0")
		Expect(chosen(fresh)).To(Equal(string(ReasonSoftwareUnsettled)))
	})

	// Guards against forgetting the software version of endpoints that serve on while the
	// store is down.
	It("counts the software versions of endpoints that an outage of the store delisted", func() {
		e := engine("e1", "z1", "m")
		e.Software = "v1"
		registry.Put(e)
		registry.StoreUnavailable(now)
		registry.Remove("e1")
		now = now.Add(time.Hour)
		Expect(registry.SoftwareVersions()).To(Equal(map[string][]string{"llm": {"v1"}}))
		registry.StoreAvailable()
		now = now.Add(relistGrace)
		Expect(registry.SoftwareVersions()).To(BeEmpty())
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

	// Guards against keeping an endpoint whose shutdown this host missed, for the time that
	// endpoints get which a store outage has delisted, after a source failed for a moment.
	It("chooses no endpoint that vanishes after the source did not answer for a moment", func() {
		registry.Replace([]Endpoint{engine("e1", "z1", "m"), engine("e2", "z1", "m")})
		registry.StoreUnavailable(now.Add(-time.Second))
		registry.StoreAvailable()
		registry.Replace([]Endpoint{engine("e2", "z1", "m")})
		for range 5 {
			Expect(chosen(work)).To(Equal("e2"))
		}
		registry.StoreUnavailable(now.Add(-minOutage))
		registry.StoreAvailable()
		registry.Replace(nil)
		Expect(chosen(work)).To(Equal("e2"))
	})

	// Guards against using an endpoint that vanished long ago, and still has requests,
	// after a later outage of the store.
	It("chooses no endpoint that vanished before the store's outage", func() {
		registry.Replace([]Endpoint{engine("e1", "z1", "m")})
		attempt, _ := registry.Start(work)
		registry.Remove("e1")
		now = now.Add(10 * time.Second)
		registry.StoreUnavailable(now)
		Expect(chosen(work)).To(Equal(string(ReasonNoEndpoint)))
		now = now.Add(minOutage)
		registry.StoreAvailable()
		Expect(chosen(work)).To(Equal(string(ReasonNoEndpoint)))
		attempt.Finish(endpoint.OutcomeAnswered)
	})

	It("chooses no endpoint that has announced its shutdown, nor do the peers", func() {
		registry.Replace([]Endpoint{engine("e1", "z1", "m")})
		attempt, _ := registry.Start(work)
		attempt.RecordLeaving()
		attempt.Finish(endpoint.OutcomeAnswered)
		Expect(chosen(work)).To(Equal(string(ReasonNoEndpoint)))
		registry.Put(engine("e1", "z1", "m")) // its entry is still ready
		Expect(chosen(work)).To(Equal(string(ReasonNoEndpoint)))

		var report fleetv1.Report
		registry.FillReport(&report)
		peer := NewRegistry(Config{Zone: "z2", Clock: func() time.Time { return now }})
		restarted := engine("e1", "z1", "m")
		restarted.Started = now
		peer.Replace([]Endpoint{restarted})
		peer.HandleReport(&report, false)
		attempt, _ = peer.Start(work)
		Expect(attempt).NotTo(BeNil(), "another incarnation with the same ID")
		peer.Replace([]Endpoint{engine("e1", "z1", "m")})
		peer.HandleReport(&report, false)
		_, reason := peer.Start(work)
		Expect(reason).To(Equal(ReasonNoEndpoint))
	})

	// Answers with 503 and a time come from an endpoint that sheds load. A steady
	// stream of requests to the only engine of a model must not reach it meanwhile.
	It("leaves out an endpoint that asked for a backoff, and returns when that ends", func() {
		registry.Replace([]Endpoint{engine("e1", "z1", "m", "rare"), engine("e2", "z1", "m")})
		registry.BackOff(engine("e1", "z1"), 2*time.Second)
		rare := Work{Service: "llm", Model: "rare"}
		for range 20 {
			Expect(chosen(work)).To(Equal("e2"))
			Expect(chosen(rare)).To(Equal(string(ReasonBackoff)))
			Expect(registry.RemainingBackoff(work)).To(BeZero())
			now = now.Add(90 * time.Millisecond)
		}
		Expect(registry.RemainingBackoff(rare)).To(Equal(200 * time.Millisecond))
		registry.BackOff(engine("e1", "z1"), 50*time.Millisecond)
		Expect(registry.RemainingBackoff(rare)).To(Equal(200*time.Millisecond), "a shorter time does not replace a longer one")
		now = now.Add(200 * time.Millisecond)
		Expect(chosen(rare)).To(Equal("e1"))
		registry.BackOff(engine("e1", "z1"), time.Minute)
		restarted := engine("e1", "z1", "rare")
		restarted.Started = now
		registry.Put(restarted)
		Expect(chosen(rare)).To(Equal("e1"), "another incarnation")
	})

	It("does not trust the entries in a store that was restored from an older copy", func() {
		ready := []Endpoint{engine("gone", "z1", "m"), engine("drained", "z1", "m"), engine("new", "z1", "m"), engine("old", "z1", "m")}
		registry.Replace(ready)
		draining := engine("drained", "z1", "m")
		draining.Leaving = true
		registry.Put(draining)
		registry.Remove("drained")
		registry.Remove("gone")
		now = now.Add(5 * time.Second)
		registry.StoreRestored(2)
		registry.Replace([]Endpoint{engine("gone", "z1", "m"), engine("drained", "z1", "m"), engine("old", "z1", "m")})
		usable := func() map[string]bool {
			found := make(map[string]bool)
			for _, id := range []string{"gone", "drained", "new", "old"} {
				var others []string
				for _, e := range ready {
					if e.ID != id {
						others = append(others, e.ID)
					}
				}
				attempt, _ := registry.Start(Work{Service: "llm", Model: "m", Tried: others})
				found[attempt.Endpoint.ID] = true
				attempt.Finish(endpoint.OutcomeAnswered)
			}
			return found
		}
		Expect(usable()).To(Equal(map[string]bool{"new": true, "old": true}), "new registered in what is undone")
		now = now.Add(relistGrace)
		Expect(usable()).To(Equal(map[string]bool{"old": true}), "it did not write its entry again")
		registry.Put(engine("gone", "z1", "m"))
		registry.Put(engine("drained", "z1", "m"))
		Expect(usable()).To(Equal(map[string]bool{"old": true, "gone": true}), "it is alive; one that drained never comes back")
	})

	It("keeps using one that was delisted because of a store outage until two seconds after the outage", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.StoreUnavailable(now.Add(-time.Minute))
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
		registry.StoreUnavailable(now.Add(-time.Minute))
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
