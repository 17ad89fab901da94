package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

// brittleFleet is a fleet of hosts that send requests to the endpoints of a brittle
// service, which let none wait.
type brittleFleet struct {
	now        time.Time
	rng        *rand.Rand
	registries []*Registry
	// brittle is what the endpoints state.
	brittle  BrittleStatement
	slots    int
	inUse    map[string]int
	rejected map[string][]time.Time
	ends     []func()
	endTimes []time.Time
	served   int
	// separate reports whether a network partition separates two hosts.
	separate func(a, b int) bool
}

const (
	brittleWork     = 100 * time.Millisecond
	brittleInterval = 200 * time.Millisecond
)

func newBrittleFleet(hosts, endpoints, slots, rejections int) *brittleFleet {
	f := &brittleFleet{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(uint64(hosts), 1)), slots: slots, inUse: map[string]int{}, rejected: map[string][]time.Time{},
		brittle: BrittleStatement{Known: true, Rejections: rejections}, separate: func(int, int) bool { return false },
	}
	for i := range hosts {
		r := NewRegistry(Config{Host: fmt.Sprint("h", i), Zone: "z1", Clock: func() time.Time { return f.now }})
		for e := range endpoints {
			r.Put(Endpoint{ID: fmt.Sprint("e", e), Service: "s", Zone: "z1", Slots: slots})
		}
		f.registries = append(f.registries, r)
	}
	return f
}

// report has a host report to its peers.
func (f *brittleFleet) report(host int, interval time.Duration) {
	from := f.registries[host]
	reachability := exchange.Reachability{Interval: interval}
	for i := range f.registries {
		switch {
		case i == host:
		case f.separate(i, host):
			reachability.Unreachable = append(reachability.Unreachable, fmt.Sprint("h", i))
		default:
			reachability.Reachable = append(reachability.Reachable, fmt.Sprint("h", i))
		}
	}
	from.SetReachability(reachability)
	report := &fleetv1.Report{Host: fmt.Sprint("h", host)}
	from.FillReport(report)
	for i, to := range f.registries {
		if i != host && !f.separate(i, host) {
			to.HandleReport(report, false)
		}
	}
}

// run sends requests for a time, of each host so many a second, and returns the number
// that was sent.
func (f *brittleFleet) run(length time.Duration, perSecond func(host int, since time.Duration) float64) (sent int) {
	const tick = 5 * time.Millisecond
	interval := max(brittleInterval, time.Duration(len(f.registries))*8*time.Millisecond)
	started := f.now
	for n := 0; f.now.Sub(started) < length; n++ {
		f.now = f.now.Add(tick)
		for len(f.endTimes) > 0 && !f.endTimes[0].After(f.now) {
			f.ends[0]()
			f.ends, f.endTimes = f.ends[1:], f.endTimes[1:]
		}
		rounds := int(interval / tick)
		for host, r := range f.registries {
			if n%rounds == host*7%rounds {
				f.report(host, interval)
			}
			for due := perSecond(host, f.now.Sub(started)) * tick.Seconds(); due > 0; due-- {
				if f.rng.Float64() < due {
					sent++
					f.send(r)
				}
			}
		}
	}
	return sent
}

func (f *brittleFleet) send(r *Registry) {
	attempt, _ := r.Start(Work{Service: "s"})
	if attempt == nil {
		return
	}
	id := attempt.Endpoint.ID
	if f.inUse[id] >= f.slots {
		f.rejected[id] = append(f.rejected[id], f.now)
		attempt.RecordBrittle(f.brittle)
		attempt.RecordRejection()
		attempt.Finish(endpoint.OutcomeCancelled)
		return
	}
	f.inUse[id]++
	f.endTimes = append(f.endTimes, f.now.Add(brittleWork))
	f.ends = append(f.ends, func() {
		f.inUse[id]--
		f.served++
		attempt.RecordBrittle(f.brittle)
		attempt.Finish(endpoint.OutcomeAnswered)
	})
}

func (f *brittleFleet) totalRejected() int {
	total := 0
	for _, rejected := range f.rejected {
		total += len(rejected)
	}
	return total
}

// crashes returns how often an endpoint rejected more requests in a second than it may,
// from a time on.
func (f *brittleFleet) crashes(from time.Time) int {
	crashes := 0
	for _, rejected := range f.rejected {
		first := 0
		for last, at := range rejected {
			for rejected[first].Before(at.Add(-time.Second)) {
				first++
			}
			if at.After(from) && last-first+1 > f.brittle.Rejections {
				crashes++
				first = last + 1
				if first == len(rejected) {
					break
				}
			}
		}
	}
	return crashes
}

var _ = Describe("A brittle service", func() {
	// The load exceeds the capacity of 240 requests a second each other second.
	inTurn := func(host int, since time.Duration) float64 {
		return map[bool]float64{true: 400, false: 120}[int(since.Seconds())%2 == 1] / 6
	}

	DescribeTable("is hardly ever overloaded, and its slots are used", func(rejections int) {
		f := newBrittleFleet(6, 6, 4, rejections)
		f.run(time.Second, func(int, time.Duration) float64 { return 5 })
		from := f.now
		f.served = 0
		sent := f.run(30*time.Second, inTurn)
		GinkgoWriter.Printf("%d crashes, %d of %d served, %d rejected\n", f.crashes(from), f.served, sent, f.totalRejected())
		Expect(f.crashes(from)).To(BeNumerically("<=", 1))
		Expect(float64(f.served)).To(BeNumerically(">=", 0.6*float64(sent)))
	},
		Entry("at more than 1 a second", 1),
		Entry("at more than 3 a second", 3),
		Entry("at more than 10 a second", 10),
	)

	// even, uneven, moving and bursts are demands with a mean of perHost requests a second.
	const perHost = 60.0
	even := func(int, time.Duration) float64 { return perHost }
	uneven := func(host int, _ time.Duration) float64 { return perHost * []float64{2.6, 0.2, 0.2}[host%3] }
	moving := func(host int, since time.Duration) float64 {
		return perHost * (1 + math.Sin(float64(host)+since.Seconds()/3))
	}
	// Guards against slots that are given to two hosts, and slots that no host uses, under
	// demand that differs and moves, with reports up to 3 s old.
	DescribeTable("uses its slots with", func(hosts int, demand func(int, time.Duration) float64, separated bool, minUsed float64) {
		f := newBrittleFleet(hosts, 6, hosts, 3)
		f.run(time.Second, func(int, time.Duration) float64 { return 2 })
		if separated {
			f.separate = func(a, b int) bool { return (a < hosts/2) != (b < hosts/2) }
		}
		f.run(10*time.Second, demand)
		f.served, f.rejected = 0, map[string][]time.Time{}
		const length = 20 * time.Second
		sent := f.run(length, demand)
		capacity := float64(6*hosts) * length.Seconds() / brittleWork.Seconds()
		used := float64(f.served) / min(capacity, float64(sent))
		GinkgoWriter.Printf("%d of %d rejected, %.2f used\n", f.totalRejected(), sent, used)
		Expect(float64(f.totalRejected())).To(BeNumerically("<", 0.001*float64(sent)))
		Expect(used).To(BeNumerically(">=", minUsed))
	},
		Entry("6 hosts", 6, even, false, 0.7),
		Entry("6 hosts of much demand", 6, func(int, time.Duration) float64 { return 3 * perHost }, false, 0.9),
		Entry("6 hosts of uneven demand", 6, uneven, false, 0.7),
		Entry("6 hosts of moving demand", 6, moving, false, 0.6),
		Entry("6 hosts in two parts", 6, even, true, 0.7),
		Entry("48 hosts", 48, even, false, 0.7),
		Entry("48 hosts of uneven demand", 48, uneven, false, 0.7),
		Entry("48 hosts of moving demand", 48, moving, false, 0.6),
		Entry("48 hosts in two parts", 48, moving, true, 0.55),
	)

	// Guards against hosts that refuse everything because they have no slot while the slots
	// of the others are idle.
	DescribeTable("serves fleets with more hosts than slots", func(hosts int, load float64) {
		const capacity = 5 * 6 * 10
		f := newBrittleFleet(hosts, 5, 6, 3)
		demand := func(int, time.Duration) float64 { return capacity * load / float64(hosts) }
		f.run(5*time.Second, demand)
		from := f.now
		f.served = 0
		sent := f.run(20*time.Second, demand)
		GinkgoWriter.Printf("%d hosts, load %.1f: %d crashes, %d of %d served used\n", hosts, load, f.crashes(from), f.served, sent)
		Expect(f.crashes(from)).To(BeNumerically("<=", 2))
		Expect(float64(f.served)).To(BeNumerically(">=", 0.5*float64(sent)))
	},
		Entry("60, at 0.3 of the capacity", 60, 0.3),
		Entry("60, at 0.6 of the capacity", 60, 0.6),
		Entry("200, at 0.3 of the capacity", 200, 0.3),
	)

	// Guards against a mode that goes on at hosts that don't send to the service.
	It("is not limited any more once a response to any host says so", func() {
		f := newBrittleFleet(6, 6, 4, 3)
		f.run(2*time.Second, inTurn)
		for i := range f.registries {
			Expect(f.registries[i].brittle["s"].rejections).To(Equal(3))
		}
		f.now = f.now.Add(time.Second)
		f.registries[2].applyBrittle("s", 0, f.now, f.now, "")
		f.registries[2].brittle["s"].own, f.registries[2].brittle["s"].ownAt = BrittleStatement{Known: true}, f.now
		f.report(2, brittleInterval)
		for i := range f.registries {
			Expect(f.registries[i].brittle["s"].rejections).To(BeZero())
		}
	})

	It("takes few bytes in reports", func() {
		f := newBrittleFleet(6, 6, 4, 3)
		f.run(2*time.Second, inTurn)
		report := &fleetv1.Report{}
		f.registries[0].FillReport(report)
		size := proto.Size(&fleetv1.Report{Brittle: report.GetBrittle()})
		GinkgoWriter.Printf("%d bytes for a service with a name of one byte\n", size)
		Expect(size).To(BeNumerically("<=", 24))
	})
})
