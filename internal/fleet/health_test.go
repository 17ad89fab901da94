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

// cluster simulates many hosts that choose among the same endpoints. Each host
// gets a small fraction of the requests.
type cluster struct {
	now   time.Time
	rng   *rand.Rand
	hosts []*Registry
	zones []string
	// sent and failed count requests by endpoint.
	sent, failed map[string]int
}

func newCluster(hosts, zones, endpoints int) *cluster {
	c := &cluster{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(7, 7)),
		sent: make(map[string]int), failed: make(map[string]int),
	}
	for i := range hosts {
		zone := fmt.Sprint("z", i%zones)
		r := NewRegistry(Config{Zone: zone, Clock: func() time.Time { return c.now }})
		for j := range endpoints {
			r.Put(Endpoint{ID: fmt.Sprint("e", j), Service: "llm", Address: "x:1", Zone: fmt.Sprint("z", j%zones), Slots: 32})
		}
		c.hosts, c.zones = append(c.hosts, r), append(c.zones, zone)
	}
	return c
}

// run simulates requests that take 400 ms each for the given time. A request
// fails at once if the function fails returns true. Hosts exchange reports every
// 600 ms.
func (c *cluster) run(length time.Duration, perSecond int, fails func(host int, zone, endpoint string) bool) {
	const requestTime, reportInterval = 400 * time.Millisecond, 600 * time.Millisecond
	type completion struct {
		at      time.Time
		attempt *Attempt
	}
	var running []completion
	end := c.now.Add(length)
	step := time.Second / time.Duration(perSecond)
	for i := 0; c.now.Before(end); i++ {
		c.now = c.now.Add(step)
		for len(running) > 0 && !running[0].at.After(c.now) {
			running[0].attempt.Finish(endpoint.OutcomeAnswered)
			running = running[1:]
		}
		host := c.rng.IntN(len(c.hosts))
		attempt, reason := c.hosts[host].Start(Work{Service: "llm"})
		Expect(reason).To(Equal(ReasonNone))
		id := attempt.Endpoint.ID
		c.sent[id]++
		if fails(host, c.zones[host], id) {
			c.failed[id]++
			attempt.Finish(endpoint.OutcomeFailed)
		} else {
			running = append(running, completion{c.now.Add(requestTime), attempt})
		}
		if every := max(1, int(reportInterval/step)/len(c.hosts)); i%every == 0 {
			c.report(i / every % len(c.hosts))
		}
	}
	for _, r := range running {
		r.attempt.Finish(endpoint.OutcomeAnswered)
	}
}

func (c *cluster) report(from int) {
	report := &fleetv1.Report{Host: fmt.Sprint("h", from), Zone: c.zones[from]}
	c.hosts[from].FillReport(report)
	for to, r := range c.hosts {
		if to != from {
			r.HandleReport(report, false)
		}
	}
}

func (c *cluster) total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// An endpoint's health check may pass while its requests fail. Hosts therefore
// use no health check; they rate an endpoint by the outcomes of all hosts'
// requests.
var _ = Describe("Endpoints that fail requests although their health check passes", func() {
	const hosts, zones, endpoints, perSecond = 40, 2, 20, 200
	fairShare := perSecond / endpoints

	It("get fewer requests from all hosts after failures seen by some", func() {
		c := newCluster(hosts, zones, endpoints)
		c.run(20*time.Second, perSecond, func(_ int, _, id string) bool { return id == "e3" })
		Expect(c.failed["e3"]).To(BeNumerically("<=", 20*fairShare/3), "of the %d requests that are an endpoint's equal share", 20*fairShare)
	})

	It("get fewer requests if a third of their requests fail", func() {
		c := newCluster(hosts, zones, endpoints)
		c.run(20*time.Second, perSecond, func(_ int, _, id string) bool { return id == "e3" && c.rng.IntN(3) == 0 })
		Expect(c.sent["e3"]).To(BeNumerically("<=", 20*fairShare/2))
	})

	It("still serve the hosts whose requests succeed", func() {
		c := newCluster(hosts, zones, endpoints)
		c.run(20*time.Second, perSecond, func(_ int, zone, id string) bool { return id == "e2" && zone == "z1" })
		good := c.sent["e2"] - c.failed["e2"]
		Expect(good).To(BeNumerically(">=", 20*fairShare/4), "half of the hosts can use it")
	})

	It("are used again soon after they recover, also after repeated failures and recoveries", func() {
		c := newCluster(hosts, zones, endpoints)
		down := func(_ int, _, id string) bool { return id == "e3" }
		healthy := func(int, string, string) bool { return false }
		for range 4 {
			c.run(3*time.Second, perSecond, down)
			c.run(3*time.Second, perSecond, healthy)
		}
		Expect(c.failed["e3"]).To(BeNumerically("<=", 12*fairShare/2), "of the %d that are its equal share while it is down", 12*fairShare)
		before := c.sent["e3"]
		c.run(12*time.Second, perSecond, healthy)
		Expect(c.sent["e3"] - before).To(BeNumerically(">=", 12*fairShare/2))
	})

	It("are used even if all of them fail", func() {
		c := newCluster(4, zones, 2)
		c.run(5*time.Second, perSecond, func(int, string, string) bool { return true })
		Expect(c.total(c.sent)).To(BeNumerically(">=", 5*perSecond-1))
	})
})
