package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
)

// population is many hosts that choose among the same endpoints, each with a
// small part of the requests.
type population struct {
	now   time.Time
	draw  *rand.Rand
	hosts []*Registry
	zones []string
	// sent and failed count requests by endpoint.
	sent, failed map[string]int
}

func newPopulation(hosts, zones, endpoints int) *population {
	p := &population{
		now: time.Unix(1_700_000_000, 0), draw: rand.New(rand.NewPCG(7, 7)),
		sent: make(map[string]int), failed: make(map[string]int),
	}
	for i := range hosts {
		zone := fmt.Sprint("z", i%zones)
		r := NewRegistry(Config{Zone: zone, Clock: func() time.Time { return p.now }})
		for j := range endpoints {
			r.Put(Endpoint{ID: fmt.Sprint("e", j), Service: "llm", Address: "x:1", Zone: fmt.Sprint("z", j%zones), Slots: 32})
		}
		p.hosts, p.zones = append(p.hosts, r), append(p.zones, zone)
	}
	return p
}

// run plays a time of requests that take 400 ms each, of which those fail that
// fails says; hosts report to each other once in 600 ms.
func (p *population) run(length time.Duration, perSecond int, fails func(host int, zone, endpoint string) bool) {
	const life, report = 400 * time.Millisecond, 600 * time.Millisecond
	type ending struct {
		at      time.Time
		attempt *Attempt
	}
	var running []ending
	end := p.now.Add(length)
	step := time.Second / time.Duration(perSecond)
	for i := 0; p.now.Before(end); i++ {
		p.now = p.now.Add(step)
		for len(running) > 0 && !running[0].at.After(p.now) {
			running[0].attempt.Finish(endpoint.OutcomeAnswered)
			running = running[1:]
		}
		host := p.draw.IntN(len(p.hosts))
		attempt, reason := p.hosts[host].Start(Work{Service: "llm"})
		Expect(reason).To(Equal(ReasonNone))
		id := attempt.Endpoint.ID
		p.sent[id]++
		if fails(host, p.zones[host], id) {
			p.failed[id]++
			attempt.Finish(endpoint.OutcomeFailed)
		} else {
			running = append(running, ending{p.now.Add(life), attempt})
		}
		if every := max(1, int(report/step)/len(p.hosts)); i%every == 0 {
			p.report(i / every % len(p.hosts))
		}
	}
	for _, r := range running {
		r.attempt.Finish(endpoint.OutcomeAnswered)
	}
}

func (p *population) report(from int) {
	report := &fleetv1.Report{Host: fmt.Sprint("h", from), Zone: p.zones[from]}
	p.hosts[from].FillReport(report)
	for to, r := range p.hosts {
		if to != from {
			r.HandleReport(report, false)
		}
	}
}

func (p *population) total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// No health check is asked, so that one that lies misleads nobody; an endpoint
// is judged by its answers to all hosts.
var _ = Describe("Endpoints whose health says other than their answers", func() {
	const hosts, zones, endpoints, perSecond = 40, 2, 20, 200
	fair := perSecond / endpoints

	It("are avoided by all hosts after the failures of some", func() {
		p := newPopulation(hosts, zones, endpoints)
		p.run(20*time.Second, perSecond, func(_ int, _, id string) bool { return id == "e3" })
		Expect(p.failed["e3"]).To(BeNumerically("<=", 20*fair/3), "of %d that fall to one endpoint", 20*fair)
	})

	It("are avoided where they fail a third of their requests", func() {
		p := newPopulation(hosts, zones, endpoints)
		p.run(20*time.Second, perSecond, func(_ int, _, id string) bool { return id == "e3" && p.draw.IntN(3) == 0 })
		Expect(p.sent["e3"]).To(BeNumerically("<=", 20*fair/2))
	})

	It("serve the callers that they don't fail", func() {
		p := newPopulation(hosts, zones, endpoints)
		p.run(20*time.Second, perSecond, func(_ int, zone, id string) bool { return id == "e2" && zone == "z1" })
		good := p.sent["e2"] - p.failed["e2"]
		Expect(good).To(BeNumerically(">=", 20*fair/4), "half of the callers can use it")
	})

	It("are used again soon after they recover, and by turns as they go down and up", func() {
		p := newPopulation(hosts, zones, endpoints)
		down := func(_ int, _, id string) bool { return id == "e3" }
		well := func(int, string, string) bool { return false }
		for range 4 {
			p.run(3*time.Second, perSecond, down)
			p.run(3*time.Second, perSecond, well)
		}
		Expect(p.failed["e3"]).To(BeNumerically("<=", 12*fair/2), "of %d in the time that it was down", 12*fair)
		before := p.sent["e3"]
		p.run(12*time.Second, perSecond, well)
		Expect(p.sent["e3"] - before).To(BeNumerically(">=", 12*fair/2))
	})

	It("are used all the same where all of them fail", func() {
		p := newPopulation(4, zones, 2)
		p.run(5*time.Second, perSecond, func(int, string, string) bool { return true })
		Expect(p.total(p.sent)).To(BeNumerically(">=", 5*perSecond-1))
	})
})
