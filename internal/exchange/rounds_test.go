package exchange

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

// simulatedFleet exchanges reports between rosters on a simulated clock, without a
// network. Calls take up to maxDelay; rounds are exact, so that hosts that start
// together stay in step.
type simulatedFleet struct {
	rng     *rand.Rand
	now     time.Time
	rosters []*roster
	next    []time.Time
	rounds  []int
	// inFlight holds the calls that have not arrived, by arrival.
	inFlight []simulatedCall
	// calls counts the calls by caller. exchanges holds the time of the last exchange
	// of each pair, maxGap the longest time between two exchanges of a pair.
	calls     []int
	exchanges map[[2]int]time.Time
	maxGap    time.Duration
	// fails reports whether a call is lost.
	fails func(from, to int) bool
	// previousBuild reports whether a host calls every peer in every interval, as the
	// builds did that had no rounds by pairs.
	previousBuild func(host int) bool
	// leader is the index of the holder of the placement lease.
	leader int
	// reportsToLeader counts the calls to the leader, by caller.
	reportsToLeader []int
}

type simulatedCall struct {
	sentAt, arrivesAt time.Time
	caller, callee    int
}

const maxDelay = 20 * time.Millisecond

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

// newSimulatedFleet returns a fleet whose hosts know each other. The rounds of the
// hosts begin within the time spread.
func newSimulatedFleet(size int, spread time.Duration, seed uint64) *simulatedFleet {
	f := &simulatedFleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), exchanges: make(map[[2]int]time.Time),
		calls: make([]int, size), rounds: make([]int, size), reportsToLeader: make([]int, size),
		fails: func(int, int) bool { return false }, previousBuild: func(int) bool { return false },
	}
	for i := range size {
		r := newRoster(hostName(i))
		for j := range size {
			if j != i {
				r.recordReport(f.now, f.report(j))
			}
		}
		f.rosters = append(f.rosters, r)
		f.next = append(f.next, f.now.Add(time.Duration(f.rng.Int64N(int64(spread)))))
	}
	return f
}

func (f *simulatedFleet) report(i int) *fleetv1.Report {
	report := &fleetv1.Report{Host: hostName(i), Incarnation: "1", Address: hostName(i)}
	if i == f.leader {
		report.Lease = &fleetv1.Lease{LeftMillis: 3000}
	}
	return report
}

func (f *simulatedFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		caller := 0
		for i, at := range f.next {
			if at.Before(f.next[caller]) {
				caller = i
			}
		}
		for len(f.inFlight) > 0 && f.inFlight[0].arrivesAt.Before(f.next[caller]) {
			f.now = f.inFlight[0].arrivesAt
			f.deliver(f.inFlight[0])
			f.inFlight = f.inFlight[1:]
		}
		f.now = f.next[caller]
		f.round(caller)
		f.next[caller] = f.now.Add(f.roundInterval(caller))
	}
}

func (f *simulatedFleet) delay() time.Duration { return time.Duration(f.rng.Int64N(int64(maxDelay))) }

func (f *simulatedFleet) roundInterval(host int) time.Duration {
	if f.previousBuild(host) {
		return f.rosters[host].interval()
	}
	return f.rosters[host].roundInterval()
}

func (f *simulatedFleet) roundTargets(host int) []peer {
	if f.previousBuild(host) {
		return f.rosters[host].reportTargets(f.now, f.rounds[host]%unreachableEvery == 0)
	}
	return f.rosters[host].roundTargets(f.now, f.rounds[host])
}

func (f *simulatedFleet) round(caller int) {
	targets := f.roundTargets(caller)
	f.rounds[caller]++
	for _, p := range targets {
		var callee int
		_, err := fmt.Sscanf(p.name, "host-%d", &callee)
		Expect(err).NotTo(HaveOccurred())
		f.calls[caller]++
		if callee == f.leader {
			f.reportsToLeader[caller]++
		}
		if !f.fails(caller, callee) {
			f.inFlight = append(f.inFlight, simulatedCall{f.now, f.now.Add(f.delay()), caller, callee})
		}
	}
	slices.SortFunc(f.inFlight, func(a, b simulatedCall) int { return a.arrivesAt.Compare(b.arrivesAt) })
}

// deliver delivers the report of a call and its response.
func (f *simulatedFleet) deliver(c simulatedCall) {
	f.rosters[c.callee].recordReport(f.now, f.report(c.caller))
	f.rosters[c.caller].recordReport(c.sentAt, f.report(c.callee))
	pair := [2]int{min(c.caller, c.callee), max(c.caller, c.callee)}
	if last, ok := f.exchanges[pair]; ok {
		f.maxGap = max(f.maxGap, f.now.Sub(last))
	}
	f.exchanges[pair] = f.now
}

func (f *simulatedFleet) totalCalls() int {
	total := 0
	for _, n := range f.calls {
		total += n
	}
	return total
}

var _ = Describe("The rounds of reports in a large fleet", func() {
	const length = 12 * time.Second

	// Guards against each pair of hosts exchanging reports twice per interval, once
	// from each side, which doubles the traffic between zones.
	It("exchange the reports of each pair about once per interval, and no later", func() {
		for _, size := range []int{24, 64, 128} {
			for seed, spread := range []time.Duration{maxDelay, 100 * time.Millisecond, time.Second} {
				f := newSimulatedFleet(size, spread, uint64(seed))
				f.leader = 0
				f.run(2 * time.Second)
				clear(f.calls)
				f.maxGap = 0
				f.run(length)
				interval := f.rosters[0].interval()
				pairs, intervals := float64(size*(size-1)/2), length.Seconds()/interval.Seconds()
				Expect(float64(f.totalCalls())).To(BeNumerically("<", 1.3*pairs*intervals), "%d hosts, within %s", size, spread)
				Expect(f.maxGap).To(BeNumerically("<", interval+interval/2), "%d hosts, within %s", size, spread)
			}
		}
	})

	It("report to the lease holder from every host, since only these reports carry demand", func() {
		f := newSimulatedFleet(64, time.Second, 1)
		f.leader = 5
		f.run(2 * time.Second)
		clear(f.reportsToLeader)
		f.run(length)
		intervals := length.Seconds() / f.rosters[0].interval().Seconds()
		for i, reports := range f.reportsToLeader {
			if i != f.leader {
				Expect(float64(reports)).To(BeNumerically(">", 0.7*intervals), hostName(i))
			}
		}
	})

	// Guards against a host waiting for the reports of a peer whose own calls fail.
	It("go on from the other side while one side's calls fail", func() {
		f := newSimulatedFleet(64, time.Second, 2)
		f.leader = 0
		f.run(2 * time.Second)
		f.fails = func(from, _ int) bool { return from == 7 }
		f.maxGap = 0
		f.run(length)
		for i, r := range f.rosters {
			if i != 7 {
				Expect(r.reachability(f.now).Unreachable).To(BeEmpty())
			}
		}
		Expect(f.maxGap).To(BeNumerically("<", reachableFor))
	})

	It("come in time beside hosts of a build in which both sides call", func() {
		f := newSimulatedFleet(64, maxDelay, 4)
		f.previousBuild = func(host int) bool { return host%2 == 0 }
		f.leader = 3
		f.run(2 * time.Second)
		f.maxGap = 0
		f.run(length)
		interval := f.rosters[0].interval()
		Expect(f.maxGap).To(BeNumerically("<", interval+interval/2))
	})

	It("call a host that was cut off again soon after the cut", func() {
		f := newSimulatedFleet(64, time.Second, 3)
		f.leader = 0
		f.run(2 * time.Second)
		f.fails = func(from, to int) bool { return (from < 20) != (to < 20) }
		f.run(5 * time.Second)
		Expect(f.rosters[0].reachability(f.now).Unreachable).To(HaveLen(44))
		f.fails = func(int, int) bool { return false }
		f.run(time.Duration(unreachableEvery+1) * f.rosters[0].interval())
		for _, r := range f.rosters {
			Expect(r.reachability(f.now).Unreachable).To(BeEmpty())
		}
	})

	// Guards against hosts that wait several intervals for their first exchange after a
	// restart of all hosts, and meanwhile use only their own part of each rate.
	It("reach all peers within two intervals when all hosts start and read each other's entries after their first round", func() {
		for _, size := range []int{6, 64, 128} {
			f := newSimulatedFleet(size, 300*time.Millisecond, uint64(size))
			f.leader = -1
			for i := range f.rosters {
				f.rosters[i] = newRoster(hostName(i))
			}
			f.run(400 * time.Millisecond)
			for i, r := range f.rosters {
				for j := range f.rosters {
					r.addEntry(f.now, hostName(j), hostName(j), "1")
				}
				f.next[i] = f.now.Add(time.Duration(f.rng.Int64N(int64(r.roundInterval()))))
			}
			f.run(2 * f.rosters[0].interval())
			for i, r := range f.rosters {
				Expect(r.reachability(f.now).Unreachable).To(BeEmpty(), "%d hosts, %s", size, hostName(i))
			}
		}
	})

	It("are as before in a small fleet: each side calls once per interval", func() {
		f := newSimulatedFleet(8, time.Second, 1)
		f.leader = 0
		f.run(length)
		rounds := length.Seconds() / minInterval.Seconds()
		Expect(float64(f.totalCalls())).To(BeNumerically("~", 8*7*rounds, 0.05*8*7*rounds))
	})
})
