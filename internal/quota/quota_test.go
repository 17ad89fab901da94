package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const testWindow = 8 * time.Second

var start = time.Unix(1_700_000_000, 0)

var policy = Policy{Rate: 1000, Burst: 1000}

// limit is the most tokens that the policy allows in a window.
const limit = 9000

// fleet simulates several hosts that report to each other.
type fleet struct {
	now   time.Time
	hosts []*Limiter
	// started is when each host's process started.
	started map[int]time.Time
	// granted holds the grants of all hosts in order of time.
	granted []grant
}

type grant struct {
	at     time.Time
	tokens float64
}

func newFleet(size int, firstStart bool) *fleet {
	f := &fleet{now: start, started: make(map[int]time.Time)}
	for i := range size {
		f.hosts = append(f.hosts, f.newHost(i, firstStart))
	}
	return f
}

func (f *fleet) newHost(i int, firstStart bool) *Limiter {
	l := NewLimiter(fmt.Sprint(i), testWindow, firstStart)
	f.started[i] = f.now
	l.SetPolicies(f.now, map[string]Policy{"org": policy})
	return l
}

func (f *fleet) take(host int, tokens float64) bool {
	granted := f.hosts[host].Take(f.now, "org", tokens).Granted
	if granted {
		f.granted = append(f.granted, grant{f.now, tokens})
	}
	return granted
}

// report sends reports between all hosts of each group.
func (f *fleet) report(groups ...[]int) {
	for _, group := range groups {
		for _, from := range group {
			usage := f.hosts[from].Usage(f.now)
			for _, to := range group {
				if to != from {
					f.hosts[to].RecordPeerUsage(f.now, f.peerUsage(from, usage), f.now.Sub(f.started[to]) < 2*time.Second)
				}
			}
		}
	}
}

// reportFrom sends a host's report to all others.
func (f *fleet) reportFrom(from int) {
	usage := f.hosts[from].Usage(f.now)
	for to := range f.hosts {
		if to != from {
			f.hosts[to].RecordPeerUsage(f.now, f.peerUsage(from, usage), false)
		}
	}
}

func (f *fleet) peerUsage(host int, usage map[string]Usage) PeerUsage {
	return PeerUsage{
		Host: fmt.Sprint(host), Incarnation: fmt.Sprint(host, "/", f.started[host].UnixNano()),
		Age: f.now.Sub(f.started[host]), Usage: usage,
	}
}

// partition makes the hosts of each group reachable for each other, and
// unreachable for those of the other group.
func (f *fleet) partition(left, right []int) {
	names := func(group []int, except int) []string {
		var list []string
		for _, i := range group {
			if i != except {
				list = append(list, fmt.Sprint(i))
			}
		}
		return list
	}
	for _, i := range left {
		f.hosts[i].SetReachability(f.now, names(left, i), names(right, -1))
	}
	for _, i := range right {
		f.hosts[i].SetReachability(f.now, names(right, i), names(left, -1))
	}
}

// connect makes all hosts reachable for each other, with the given report
// interval.
func (f *fleet) connect(interval time.Duration) {
	indexes := make([]int, len(f.hosts))
	for i, l := range f.hosts {
		indexes[i] = i
		l.SetReportInterval(interval)
	}
	f.partition(indexes, nil)
}

// isolate makes all other hosts unreachable for a host.
func (f *fleet) isolate(host int) {
	var unreachable []string
	for i := range f.hosts {
		if i != host {
			unreachable = append(unreachable, fmt.Sprint(i))
		}
	}
	f.hosts[host].SetReachability(f.now, nil, unreachable)
}

// maxInWindow returns the most tokens granted in any window.
func (f *fleet) maxInWindow() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, g := range f.granted {
		sum += g.tokens
		for g.at.Sub(f.granted[first].at) > testWindow {
			sum -= f.granted[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

const step = 200 * time.Millisecond

var allHosts = []int{0, 1, 2, 3, 4, 5}

var _ = Describe("The limit of an organisation", func() {
	It("admits all that an organisation may use in a window, at whichever hosts its requests arrive", func() {
		f := newFleet(6, true)
		refused := 0
		for i := range 40 { // 8 s at 1.05 times the rate, which is within rate plus burst
			f.now = f.now.Add(step)
			if !f.take(i%6, 210) {
				refused++
			}
			f.report(allHosts)
		}
		Expect(refused).To(BeZero())
	})

	It("limits an organisation over its rate at all hosts, apart from use not yet reported", func() {
		f := newFleet(6, true)
		for range 200 {
			f.now = f.now.Add(step)
			for host := range f.hosts {
				f.take(host, 100) // three times the rate
			}
			f.report(allHosts)
		}
		Expect(f.maxInWindow()).To(BeNumerically("<=", limit+6*100))
		Expect(f.maxInWindow()).To(BeNumerically(">=", 0.9*limit))
	})

	// A large fleet whose hosts report to each other every 1.3 s.
	It("limits an organisation over its rate when reports are infrequent", func() {
		const interval = 1300 * time.Millisecond
		f := newFleet(40, true)
		f.connect(interval)
		const tick = 65 * time.Millisecond
		for i := range 600 {
			f.now = f.now.Add(tick)
			for host := range f.hosts {
				f.take(host, 3.3*policy.Rate*tick.Seconds()/float64(len(f.hosts)))
			}
			// Two hosts report in each tick, so that each reports once per
			// interval.
			f.reportFrom(2 * i % 40)
			f.reportFrom((2*i + 1) % 40)
		}
		// The specified tolerance of a large deployment is 1.1 times the limit
		// plus a slack of a few hundredths of it.
		Expect(f.maxInWindow()).To(BeNumerically("<=", 1.13*limit))
		Expect(f.maxInWindow()).To(BeNumerically(">=", 0.9*limit))
	})

	// The load of a busy organisation rises to six times its rate on a large
	// fleet. The hosts receive reports of each other's use late, and refused
	// callers retry after RetryAfter, at any host.
	It("limits an organisation whose load rises suddenly while callers retry after RetryAfter", func() {
		const (
			hosts, tick   = 85, 8 * time.Millisecond
			tokens        = 0.0013 * limit
			overloadFrom  = 8 * time.Second
			overloadUntil = 15 * time.Second
		)
		f, draw := newFleet(hosts, true), rand.New(rand.NewPCG(1, 0))
		f.connect(hosts * tick)
		// retries is the number of callers that retry, by tick.
		retries := make(map[int]int)
		due := 0.0
		for i := range int(18 * time.Second / tick) {
			f.now = f.now.Add(tick)
			load := 0.9
			if at := f.now.Sub(start); at > overloadFrom && at < overloadUntil {
				load = 6
			}
			for due += load * policy.Rate * tick.Seconds() / tokens; due >= 1; due-- {
				host := draw.IntN(hosts)
				if d := f.hosts[host].Take(f.now, "org", tokens); d.Granted {
					f.granted = append(f.granted, grant{f.now, tokens})
				} else {
					retries[i+1+int(d.RetryAfter/tick)]++
				}
			}
			for range retries[i] {
				f.take(draw.IntN(hosts), tokens)
			}
			f.reportFrom(i % hosts)
		}
		Expect(f.maxInWindow()).To(BeNumerically("<=", 1.11*limit))
		Expect(f.maxInWindow()).To(BeNumerically(">=", 0.9*limit))
		granted := 0.0
		for _, g := range f.granted {
			if at := g.at.Sub(start); at > overloadFrom && at < overloadUntil {
				granted += g.tokens
			}
		}
		// Close to what the organisation may use in that time.
		Expect(granted).To(BeNumerically(">=", 0.85*limit*(overloadUntil-overloadFrom).Seconds()/testWindow.Seconds()))
	})

	// A few large requests at three quarters of the limit, spread over a large
	// fleet.
	It("admits nearly all requests of an organisation within its limit on many hosts", func() {
		const (
			hosts, tick = 85, 8 * time.Millisecond
			tokens      = 0.02 * limit
		)
		f, draw := newFleet(hosts, true), rand.New(rand.NewPCG(1, 0))
		f.connect(hosts * tick)
		requests, refused := 0, 0
		for i := range int(30 * time.Second / tick) {
			f.now = f.now.Add(tick)
			if draw.Float64() < 0.75*limit/testWindow.Seconds()*tick.Seconds()/tokens {
				requests++
				if !f.take(draw.IntN(hosts), tokens) {
					refused++
				}
			}
			f.reportFrom(i % hosts)
		}
		Expect(requests).To(BeNumerically(">", 100))
		Expect(refused).To(BeNumerically("<=", requests/20))
	})

	It("keeps the limit over both sides of a network partition together", func() {
		f := newFleet(6, true)
		left, right := []int{0, 1, 2, 3}, []int{4, 5}
		for range 200 {
			f.now = f.now.Add(step)
			f.partition(left, right)
			for host := range f.hosts {
				f.take(host, 100)
			}
			f.report(left, right)
		}
		Expect(f.maxInWindow()).To(BeNumerically("<=", limit+6*100))
	})

	// A zone with one host and a third of the load is partitioned off.
	It("divides the limit by the use of each side, so that a busy partitioned host keeps serving", func() {
		f := newFleet(6, true)
		left, right := []int{0, 1, 2, 3, 4}, []int{5}
		refused := 0
		load := func(steps int, report func()) {
			for range steps {
				f.now = f.now.Add(step)
				for host, tokens := range []float64{20, 20, 20, 15, 15, 45} { // 0.6 of the limit
					if !f.take(host, tokens) {
						refused++
					}
				}
				report()
			}
		}
		load(100, func() {
			f.partition(allHosts, nil) // as package exchange does in each round
			f.report(allHosts)
		})
		load(100, func() {
			f.partition(left, right)
			f.report(left, right)
		})
		Expect(refused).To(BeZero())
		Expect(f.maxInWindow()).To(BeNumerically("<=", limit))
	})

	// All hosts are partitioned from each other soon after the start and
	// detect it late. Until then, each host records only its own growing use,
	// so a division by the latest use would differ between the hosts.
	It("keeps the limit when partitioned hosts detect the partition late", func() {
		f := newFleet(6, true)
		// detectionTime is the time until a host lists another as unreachable,
		// as in package exchange.
		const detectionTime = 1200 * time.Millisecond
		partitionAt := start.Add(time.Second)
		for range 200 {
			f.now = f.now.Add(step)
			partitioned := f.now.After(partitionAt)
			for host := range f.hosts {
				if f.now.Sub(partitionAt) > detectionTime {
					f.isolate(host)
				} else {
					f.partition(allHosts, nil)
				}
				tokens := 20.0
				if partitioned {
					tokens = 150
				}
				f.take(host, tokens)
			}
			if !partitioned {
				f.report(allHosts)
			}
		}
		// The use before the hosts detect the partition is not limited by a
		// division; it is 1.2 s of use.
		const undivided = 6 * 6 * 150
		Expect(f.maxInWindow()).To(BeNumerically("<=", limit+undivided))
	})

	It("keeps the limit when the load moves to the other side of a partition", func() {
		f := newFleet(6, true)
		left, right := []int{0, 1, 2}, []int{3, 4, 5}
		for i := range 300 {
			f.now = f.now.Add(step)
			if i >= 100 {
				f.partition(left, right)
			}
			for host := range f.hosts {
				if (host < 3) == (i < 100) || i >= 100 && i%2 == 0 {
					f.take(host, 150)
				}
			}
			if i < 100 {
				f.report(allHosts)
			} else {
				f.report(left, right)
			}
		}
		Expect(f.maxInWindow()).To(BeNumerically("<=", limit+6*150))
	})

	// In a real fleet, reports are sent every 200 ms, and an overloading
	// organisation sends up to 8 times its usual load, which is 1 / 1.8 of its
	// rate.
	DescribeTable("isn't granted twice to an organisation over its rate when all hosts restart, at whatever time",
		func(load float64, reportInterval time.Duration) {
			const tick = step / 4
			for before := range 80 {
				f := newFleet(6, true)
				overload := func(steps int) {
					for i := range steps {
						f.now = f.now.Add(tick)
						for host := range f.hosts {
							f.take(host, load*policy.Rate*tick.Seconds()/6)
						}
						if time.Duration(i)*tick%reportInterval == 0 {
							f.report(allHosts)
						}
					}
				}
				overload(20 + 2*before)
				f.now = f.now.Add(time.Second)
				for i := range f.hosts {
					f.hosts[i] = f.newHost(i, false)
				}
				overload(200)
				// The specified tolerance of a deployment is 1.1 times the
				// limit plus a slack of 110,000 tokens at rates of about
				// 80,000 tokens/s.
				const slack = 1.3 * 1000
				Expect(f.maxInWindow()).To(BeNumerically("<=", 1.1*limit+slack), "restart after step %d", before)
			}
		},
		Entry("twice its rate", 2.0, 50*time.Millisecond),
		Entry("four times its rate", 4.0, 50*time.Millisecond),
		Entry("eight times its rate", 8.0, 50*time.Millisecond),
		Entry("twice its rate, reports as in a real fleet", 2.0, 200*time.Millisecond),
		Entry("4.5 times its rate, reports as in a real fleet", 4.5, 200*time.Millisecond),
	)

	It("keeps admitting an organisation within its rate when all hosts restart", func() {
		f := newFleet(6, false)
		refused := 0
		for i := range 100 {
			f.now = f.now.Add(step)
			if !f.take(i%6, 110) { // 0.55 of the rate
				refused++
			}
			f.report(allHosts)
		}
		Expect(refused).To(BeZero())
	})

	// Guards against hosts that know their peers by their entries alone refusing everything:
	// each one has a sixth of the limit then, but assumed the use of all hosts against it.
	It("admits what is left of the limit when all hosts restart and reach each other late", func() {
		const alone = 3 * time.Second
		for _, size := range []int{6, 60} {
			f := newFleet(size, false)
			for i := range f.hosts {
				f.isolate(i)
			}
			asked, granted := 0.0, 0.0
			for i := 0; f.now.Sub(start) < alone; i++ {
				f.now = f.now.Add(step / 20)
				asked += 6
				if f.take(i%size, 6) { // 0.6 of the rate
					granted += 6
				}
			}
			Expect(granted).To(BeNumerically(">", 0.5*asked), "%d hosts", size)
			Expect(granted).To(BeNumerically("<=", limit*alone.Seconds()/testWindow.Seconds()+limit/slots), "%d hosts", size)
		}
	})

	It("takes over the use in the window from its peers when one host starts", func() {
		f := newFleet(2, true)
		for range 40 {
			f.now = f.now.Add(step)
			f.take(0, 225)
			f.report([]int{0, 1})
		}
		joined := f.newHost(2, false)
		joined.RecordPeerUsage(f.now, f.peerUsage(0, f.hosts[0].Usage(f.now)), true)
		used := joined.Usage(f.now)["org"].Used
		Expect(used).To(BeNumerically("~", f.hosts[0].Usage(f.now)["org"].Used, 1))
	})

	It("returns the tokens of requests that did not run", func() {
		f := newFleet(1, true)
		Expect(f.take(0, 1000)).To(BeTrue())
		f.hosts[0].Refund(f.now, "org", 1000)
		Expect(f.hosts[0].Usage(f.now)["org"]).To(Equal(Usage{}))
	})

	It("allows an idle organisation a fifth of the window's limit at once", func() {
		f := newFleet(1, true)
		Expect(f.take(0, limit/5)).To(BeTrue())
		Expect(f.take(0, 1)).To(BeFalse())
	})

	// Requests that wait for a model and are refused in the end return their
	// tokens long after they took them.
	It("grants no more than the limit when many tokens are returned late", func() {
		f := newFleet(2, true)
		type taken struct {
			host int
			at   time.Time
		}
		var waiting []taken
		for i := range 600 {
			f.now = f.now.Add(step / 4)
			host := i % 2
			if i%3 == 0 && f.hosts[host].Take(f.now, "org", 200).Granted {
				waiting = append(waiting, taken{host, f.now})
			}
			for len(waiting) > 0 && f.now.Sub(waiting[0].at) >= 1600*time.Millisecond {
				f.hosts[waiting[0].host].Refund(f.now, "org", 200)
				waiting = waiting[1:]
			}
			f.take(host, 100)
			f.report([]int{0, 1})
		}
		Expect(f.maxInWindow()).To(BeNumerically("<=", limit))
	})

	It("grants the retry of a single caller after RetryAfter", func() {
		f := newFleet(1, true)
		for range 80 {
			f.now = f.now.Add(step / 2)
			f.take(0, 500)
		}
		wait := f.hosts[0].Take(f.now, "org", 500).RetryAfter
		Expect(wait).To(BeNumerically(">", 0))
		f.now = f.now.Add(wait)
		Expect(f.take(0, 500)).To(BeTrue())
	})

	// The hosts are partitioned into halves for three windows, and both sides
	// use their fraction of the limit.
	It("keeps serving and keeps the limit when a long partition ends", func() {
		f := newFleet(6, true)
		left, right := []int{0, 1, 2}, []int{3, 4, 5}
		run := func(length time.Duration, groups ...[]int) (granted float64) {
			for end := f.now.Add(length); f.now.Before(end); {
				f.now = f.now.Add(step)
				if len(groups) == 2 {
					f.partition(groups[0], groups[1])
				} else {
					f.partition(allHosts, nil)
				}
				for host := range f.hosts {
					if f.take(host, 50) { // one and a half times the rate
						granted += 50
					}
				}
				f.report(groups...)
			}
			return granted
		}
		run(10*time.Second, allHosts)
		run(24*time.Second, left, right)
		after := run(4*time.Second, allHosts)
		Expect(after).To(BeNumerically(">=", 0.7*limit/2), "in the half window after the partition")
		run(8*time.Second, allHosts)
		Expect(f.maxInWindow()).To(BeNumerically("<=", 1.1*limit))
	})

	It("charges little of the earlier use of an organisation that a later configuration adds", func() {
		l := NewLimiter("0", testWindow, true)
		used := PeerUsage{Host: "1", Incarnation: "1/a", Age: time.Hour, Usage: map[string]Usage{"org": {Taken: 100 * limit}}}
		l.RecordPeerUsage(start, used, false)
		l.SetPolicies(start, map[string]Policy{"org": policy})
		l.RecordPeerUsage(start.Add(step), used, false)
		Expect(l.Usage(start.Add(step))["org"].Used).To(BeNumerically("<", limit/2), "an hour's use")
	})

	It("spaces out the retries of callers that are refused together", func() {
		f := newFleet(1, true)
		for f.take(0, 200) {
		}
		retryAt := make([]time.Time, 6)
		for i := range retryAt {
			retryAt[i] = f.now.Add(f.hosts[0].Take(f.now, "org", 200).RetryAfter)
		}
		for i, at := range retryAt {
			f.now = at
			Expect(f.take(0, 200)).To(BeTrue(), "caller %d is refused again", i)
		}
	})

	It("applies a lower limit at once", func() {
		f := newFleet(1, true)
		Expect(f.take(0, 900)).To(BeTrue())
		f.hosts[0].SetPolicies(f.now, map[string]Policy{"org": {Rate: 10, Burst: 10}})
		Expect(f.take(0, 5)).To(BeFalse())
	})

	It("grants no more than the limit in any window for requests of any size at any time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(1, true)
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
				f.take(0, float64(rapid.IntRange(1, 3000).Draw(t, "tokens")))
			}
			if most := f.maxInWindow(); most > limit {
				t.Fatalf("%v tokens in a window", most)
			}
		})
	})
})
