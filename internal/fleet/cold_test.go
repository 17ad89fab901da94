package fleet

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

var _ = Describe("A cold endpoint", func() {
	const (
		hosts     = 6
		perSecond = 7.2
		allowed   = 1.5*perSecond + 5
		interval  = 200 * time.Millisecond
	)
	var (
		now        time.Time
		registries []*Registry
		version    int64
	)
	name := func(i int) string { return fmt.Sprint("h", i) }
	entry := func(id string, remaining time.Duration) Endpoint {
		version++
		return Endpoint{ID: id, Service: "s", Zone: "z1", Slots: 64, ColdRemaining: remaining, EntryVersion: version}
	}
	put := func(e Endpoint) {
		for _, r := range registries {
			r.Put(e)
		}
	}
	report := func() {
		for i, from := range registries {
			var peers []string
			for j := range registries {
				if i != j {
					peers = append(peers, name(j))
				}
			}
			from.SetReachability(exchange.Reachability{Reachable: peers, Interval: interval})
			sent := &fleetv1.Report{Host: name(i)}
			from.FillReport(sent)
			for j, to := range registries {
				if i != j {
					to.HandleReport(sent, false)
				}
			}
		}
	}
	// sent are the times of the requests to each endpoint, rejected counts those that none
	// got. Requests run for 100 ms.
	var (
		sent     map[string][]time.Time
		rejected int
	)
	run := func(length time.Duration, requestsPerSecond int) {
		sent, rejected = map[string][]time.Time{}, 0
		const tick = 5 * time.Millisecond
		var running []*Attempt
		var ends []time.Time
		due := 0.0
		for n := range int(length / tick) {
			now = now.Add(tick)
			for len(ends) > 0 && ends[0].Before(now) {
				running[0].Finish(endpoint.OutcomeAnswered)
				running, ends = running[1:], ends[1:]
			}
			if n%int(interval/tick) == 0 {
				report()
			}
			for due += float64(requestsPerSecond) * tick.Seconds(); due >= 1; due-- {
				attempt, _ := registries[version%hosts].Start(Work{Service: "s"})
				version++
				if attempt == nil {
					rejected++
					continue
				}
				sent[attempt.Endpoint.ID] = append(sent[attempt.Endpoint.ID], now)
				running, ends = append(running, attempt), append(ends, now.Add(100*time.Millisecond))
			}
		}
		for _, attempt := range running {
			attempt.Finish(endpoint.OutcomeAnswered)
		}
	}
	mostInASecond := func(id string) int {
		most, first := 0, 0
		for last, at := range sent[id] {
			for sent[id][first].Before(at.Add(-time.Second)) {
				first++
			}
			most = max(most, last-first+1)
		}
		return most
	}
	// start starts all hosts, which first list a warm endpoint and those given.
	start := func(listed ...Endpoint) {
		registries = nil
		for i := range hosts {
			registries = append(registries, NewRegistry(Config{
				Host: name(i), Zone: "z1", Clock: func() time.Time { return now },
				ColdStart: func(string) ColdStart { return ColdStart{Duration: 3 * time.Second, PerSecond: perSecond} },
			}))
			registries[i].Replace(append([]Endpoint{entry("warm", 0)}, listed...))
		}
		report()
	}
	BeforeEach(func() { now, version = time.Unix(1_700_000_000, 0), 0 })
	cold := func(id string) bool {
		m := registries[0].members[id]
		return m.cold.limit != nil && m.cold.warmAt.IsZero()
	}

	It("gets its rate from all hosts together, and no request is rejected for it", func() {
		start()
		run(3*time.Second, 0)
		put(entry("e", 30*time.Second))
		run(20*time.Second, 300)
		Expect(mostInASecond("e")).To(BeNumerically("<=", allowed))
		Expect(len(sent["e"])).To(BeNumerically(">=", 0.9*perSecond*20))
		Expect(rejected).To(BeZero())
	})

	// Guards against a zone whose endpoints crash, or idle, when they come back together.
	It("is used within its rate when a whole zone returns", func() {
		const returned = 6
		start(entry("warm-2", 0), entry("warm-3", 0))
		run(3*time.Second, 0)
		for i := range returned {
			put(entry(fmt.Sprint("e", i), 20*time.Second))
		}
		run(18*time.Second, 600)
		for i := range returned {
			times := sent[fmt.Sprint("e", i)]
			GinkgoWriter.Printf("at most %d in a second, %.1f on average\n", mostInASecond(fmt.Sprint("e", i)), float64(len(times))/18)
			Expect(mostInASecond(fmt.Sprint("e", i))).To(BeNumerically("<=", allowed))
			Expect(len(times)).To(BeNumerically(">=", 0.9*perSecond*18))
		}
		Expect(rejected).To(BeZero())
	})

	// Guards against a restart of all hosts while endpoints are cold.
	It("gets nothing until the hosts that have just started know of each other", func() {
		start(entry("e", 10*time.Second))
		run(1900*time.Millisecond, 300)
		Expect(sent["e"]).To(BeEmpty())
		Expect(rejected).To(BeZero())
		run(7*time.Second, 300)
		Expect(mostInASecond("e")).To(BeNumerically("<=", allowed))
		Expect(len(sent["e"])).To(BeNumerically(">", 20))
	})

	It("is warm at the first listing if its entry says so", func() {
		start(entry("e", 0))
		run(time.Second, 300)
		Expect(len(sent["e"])).To(BeNumerically("~", 150, 30))
	})

	It("counts as cold when it appears later, until its entry says otherwise", func() {
		start()
		put(entry("e", 0))
		Expect(cold("e")).To(BeTrue())
		put(entry("e", 0))
		run(100*time.Millisecond, 10)
		Expect(cold("e")).To(BeFalse())
		for _, r := range registries {
			r.Remove("e")
		}
		run(3*time.Second, 10)
		put(entry("e", 0))
		Expect(cold("e")).To(BeTrue(), "after its entry was removed")
		run(2900*time.Millisecond, 10)
		Expect(cold("e")).To(BeTrue())
		run(400*time.Millisecond, 10) // two rounds of reports, which look at all endpoints
		Expect(cold("e")).To(BeFalse())
	})

	// Guards against a listing of an older copy of the store, and one that repeats the
	// entry that is known.
	It("is not warm because an entry is listed again", func() {
		start()
		put(entry("e", 3*time.Second))
		for _, r := range registries {
			r.Replace([]Endpoint{entry("e", 0)})
		}
		Expect(cold("e")).To(BeTrue())
	})

	It("is known to be cold to a host whose peer has read its entry", func() {
		start(entry("e", 0))
		registries[1].Put(entry("e", 3*time.Second))
		report()
		Expect(cold("e")).To(BeTrue())
	})

	It("is known to be cold or warm from a response", func() {
		start(entry("e", 0))
		attempt := &Attempt{registry: registries[0], member: registries[0].members["e"]}
		attempt.RecordCold(ColdStatement{Known: true, Remaining: time.Second})
		Expect(cold("e")).To(BeTrue())
		attempt.RecordCold(ColdStatement{Known: true})
		Expect(cold("e")).To(BeFalse())
	})

	// Guards against all hosts choosing an idle endpoint at once when it turns warm.
	It("gets its load back in steps when it turns warm", func() {
		start()
		run(3*time.Second, 0)
		put(entry("e", 4*time.Second))
		run(4*time.Second, 300)
		run(500*time.Millisecond, 300)
		Expect(len(sent["e"])).To(BeNumerically("<", 25))
		run(500*time.Millisecond, 300)
		Expect(len(sent["e"])).To(BeNumerically("<", 40))
		run(4*time.Second, 300)
		Expect(len(sent["e"])).To(BeNumerically(">", 400))
	})

	It("rejects with a retry delay if no other endpoint is left", func() {
		start()
		for _, r := range registries {
			r.Remove("warm")
		}
		run(3*time.Second, 0)
		put(entry("e", 30*time.Second))
		_, reason := registries[0].Start(Work{Service: "s"})
		Expect(reason).To(Equal(ReasonBackoff))
		Expect(registries[0].RemainingBackoff(Work{Service: "s"})).To(BeNumerically(">", 0))
	})

	It("does not exist in services without a cold start", func() {
		start()
		registries[0].config.ColdStart = func(string) ColdStart { return ColdStart{} }
		registries[0].Put(entry("e", 30*time.Second))
		Expect(registries[0].members["e"].cold.limit).To(BeNil())
	})

	It("takes few bytes in reports", func() {
		start()
		before := &fleetv1.Report{}
		registries[0].FillReport(before)
		e := entry("llm-012345", 3*time.Second)
		e.Started, e.EntryVersion = now, 1<<40+123_456
		put(e)
		run(time.Second, 300)
		after := &fleetv1.Report{}
		registries[0].FillReport(after)
		size := proto.Size(&fleetv1.Report{Limits: after.GetLimits()})
		GinkgoWriter.Printf("%d bytes for each cold endpoint\n", size)
		Expect(before.GetLimits()).To(BeEmpty())
		Expect(size).To(BeNumerically("<=", 48))
	})
})
