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

	It("tells what is missing where no endpoint takes the work", func() {
		Expect(chosen(work)).To(Equal(string(ReasonNoEndpoint)))
		registry.Put(engine("e1", "z1", "other"))
		Expect(chosen(work)).To(Equal(string(ReasonModelNotHeld)))
		registry.Put(engine("e2", "z1", "m"))
		Expect(chosen(Work{Service: "llm", Model: "m", Adapter: "a"})).To(Equal(string(ReasonAdapterNotHeld)))
	})

	It("gives no work to one that leaves, nor to one that vanished while the store was well", func() {
		registry.Replace([]Endpoint{engine("e1", "z1", "m"), engine("e2", "z1", "m")})
		leaving := engine("e1", "z1", "m")
		leaving.Leaving = true
		registry.Put(leaving)
		Expect(chosen(work)).To(Equal("e2"))
		registry.Put(engine("e1", "z1", "m")) // an older description comes late
		registry.Remove("e2")
		Expect(chosen(work)).To(Equal(string(ReasonNoEndpoint)))
	})

	It("keeps one that lapsed while the store was away until two seconds after its return", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.StoreLost()
		now = now.Add(20 * time.Second)
		registry.StoreRegained()
		registry.Replace(nil)
		Expect(chosen(work)).To(Equal("e1"))
		now = now.Add(1900 * time.Millisecond)
		Expect(chosen(work)).To(Equal("e1"))
		now = now.Add(200 * time.Millisecond)
		Expect(chosen(work)).To(Equal(string(ReasonNoEndpoint)))
	})

	It("takes one that comes back to the list within that time", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.StoreLost()
		registry.StoreRegained()
		registry.Replace(nil)
		registry.Put(engine("e1", "z1", "m"))
		now = now.Add(time.Minute)
		Expect(chosen(work)).To(Equal("e1"))
	})

	It("forgets all of an endpoint that started again under its name", func() {
		registry.Put(engine("e1", "z1", "m"))
		attempt, _ := registry.Start(work)
		again := engine("e1", "z1", "m")
		again.Started = now
		registry.Put(again)
		Expect(registry.members["e1"].running).To(BeZero())
		attempt.Finish(endpoint.OutcomeFailed)
		Expect(registry.members["e1"].running).To(BeZero())
	})

	It("believes an endpoint's refusal and the holder's orders over an older description", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.Learn("e1", "m", "a", true)
		Expect(chosen(Work{Service: "llm", Model: "m", Adapter: "a"})).To(Equal("e1"))
		registry.Learn("e1", "m", "", false)
		Expect(chosen(work)).To(Equal(string(ReasonModelNotHeld)))
		now = now.Add(claimLife)
		Expect(chosen(work)).To(Equal("e1"))
	})

	// One kind of request in a burst from one host.
	It("spreads a burst evenly over equal endpoints", func() {
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

	It("prefers its own zone while that costs little", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.Put(engine("e2", "z2", "m"))
		Expect(chosen(work)).To(Equal("e1"))
		Expect(chosen(work)).To(Equal("e1"))
		Expect(chosen(work)).To(Equal("e2"))
	})

	It("sends requests that share a prompt to the same endpoint, and elsewhere once that is loaded", func() {
		for i := range 4 {
			registry.Put(engine(fmt.Sprint("e", i), "z1", "m"))
		}
		shared := func(own int) Work {
			return Work{Service: "llm", Model: "m", PromptTokens: 9000, Parts: []traffic.PromptSegment{
				{ID: "s", Tokens: 6000}, {ID: fmt.Sprint("own", own), Tokens: 3000},
			}}
		}
		first, _ := registry.Start(shared(0))
		first.Begun()
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

	It("agrees with other hosts where a shared prompt goes first", func() {
		other := NewRegistry(Config{Zone: "z1", Clock: func() time.Time { return now }})
		for i := range 6 {
			registry.Put(engine(fmt.Sprint("e", i), "z1", "m"))
			other.Put(engine(fmt.Sprint("e", i), "z1", "m"))
		}
		for i := range 20 {
			w := Work{Service: "llm", Model: "m", PromptTokens: 9000, Parts: []traffic.PromptSegment{{ID: fmt.Sprint("s", i), Tokens: 6000}, {ID: "own", Tokens: 3000}}}
			here, _ := registry.Start(w)
			there, _ := other.Start(w)
			Expect(here.Endpoint.ID).To(Equal(there.Endpoint.ID))
			here.Finish(endpoint.OutcomeAnswered)
			there.Finish(endpoint.OutcomeAnswered)
		}
	})

	// All hosts see the same popular prompt at once.
	It("agrees within its zone, so that not all hosts send a shared prompt to one endpoint", func() {
		other := NewRegistry(Config{Zone: "z2", Clock: func() time.Time { return now }})
		for i := range 6 {
			for _, r := range []*Registry{registry, other} {
				r.Put(engine(fmt.Sprint("e", i), fmt.Sprint("z", 1+i%2), "m"))
			}
		}
		w := Work{Service: "llm", Model: "m", PromptTokens: 9000, Parts: []traffic.PromptSegment{{ID: "s", Tokens: 6000}, {ID: "own", Tokens: 3000}}}
		here, _ := registry.Start(w)
		there, _ := other.Start(w)
		Expect(here.Endpoint.Zone).To(Equal("z1"))
		Expect(there.Endpoint.Zone).To(Equal("z2"))
	})

	// Some endpoints fail part of their requests while they say they are well.
	It("keeps away from an endpoint that fails, but never from all", func() {
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

	It("tries another endpoint first, and the same again where there is no other", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.Put(engine("e2", "z1", "m"))
		Expect(chosen(Work{Service: "llm", Model: "m", Tried: []string{"e1"}})).To(Equal("e2"))
		Expect(chosen(Work{Service: "llm", Model: "m", Tried: []string{"e1", "e2"}})).To(HavePrefix("e"))
	})

	It("takes the load that an endpoint tells into account", func() {
		registry.Put(engine("e1", "z1", "m"))
		attempt, _ := registry.Start(work)
		attempt.Reported(Load{Running: 40, Waiting: 3, Slots: 64})
		attempt.Finish(endpoint.OutcomeAnswered)
		registry.Put(engine("e2", "z1", "m"))
		for range 5 {
			Expect(chosen(work)).To(Equal("e2"))
		}
	})

	// A burst that many hosts see at once, each a small part of it.
	It("sees what other hosts have running, until they end it or fall silent", func() {
		registry.Put(engine("e1", "z1", "m"))
		registry.Put(engine("e2", "z1", "m"))
		busy := &fleetv1.Report{Host: "h2", Loads: []*fleetv1.EndpointLoad{{Endpoint: "e1", Running: 9, UnreadTokens: 30_000}}}
		registry.Hear(busy, false)
		registry.Hear(busy, false) // counts once
		for range 5 {
			Expect(chosen(work)).To(Equal("e2"))
		}
		registry.Hear(&fleetv1.Report{Host: "h2"}, false)
		Expect(chosen(work)).To(Equal("e1"))
		registry.Hear(busy, false)
		now = now.Add(hostLoadFor + time.Millisecond)
		registry.Reach(exchange.Reach{})
		Expect(registry.others).To(BeEmpty())
	})

	It("tells other hosts what it has running itself", func() {
		registry.Put(engine("e1", "z1", "m"))
		attempt, _ := registry.Start(Work{Service: "llm", Model: "m", PromptTokens: 700})
		report := &fleetv1.Report{}
		registry.Contribute(report)
		Expect(report.Loads).To(HaveLen(1))
		Expect(report.Loads[0].GetRunning()).To(Equal(int32(1)))
		Expect(report.Loads[0].GetUnreadTokens()).To(Equal(int64(700)))
		attempt.Begun()
		attempt.Finish(endpoint.OutcomeAnswered)
		report = &fleetv1.Report{}
		registry.Contribute(report)
		Expect(report.Loads).To(BeEmpty())
	})
})
