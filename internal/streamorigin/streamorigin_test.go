package streamorigin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

const testInterval = 20 * time.Millisecond

// testFleet is a fleet of hosts with one clock, which list the same versions.
type testFleet struct {
	mu    sync.Mutex
	now   time.Time
	list  map[string][]string
	hosts []*Origins
	// lagging are the lists of hosts that have not seen the last change.
	lagging map[*Origins]map[string][]string
	// startedAt is when each host started.
	startedAt map[*Origins]time.Time
}

func newTestFleet(hosts int, versions ...string) *testFleet {
	f := &testFleet{now: time.Unix(1_000_000, 0), list: map[string][]string{"s": versions}, lagging: make(map[*Origins]map[string][]string), startedAt: make(map[*Origins]time.Time)}
	for range hosts {
		f.hosts = append(f.hosts, f.newHost())
		f.hosts[len(f.hosts)-1].Restore(nil, 0, true, f.now)
	}
	f.exchange()
	return f
}

func (f *testFleet) newHost() *Origins {
	var host *Origins
	host = New(Config{
		Recorded: true,
		Listed: func() map[string][]string {
			f.mu.Lock()
			defer f.mu.Unlock()
			if list, ok := f.lagging[host]; ok {
				return list
			}
			return f.list
		},
		Clock: func() time.Time {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.now
		},
	})
	f.startedAt[host] = f.now
	return host
}

func (f *testFleet) set(versions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = map[string][]string{"s": versions}
}

func (f *testFleet) pass(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// exchange lets an interval pass and has each host report to each other.
func (f *testFleet) exchange() {
	f.pass(testInterval)
	for i, from := range f.hosts {
		from.SetReachability(exchange.Reachability{Interval: testInterval})
		report := &fleetv1.Report{Host: fmt.Sprint("h", i), AgeMillis: f.now.Sub(f.startedAt[from]).Milliseconds()}
		from.FillReport(report)
		for j, to := range f.hosts {
			if i != j {
				to.HandleReport(report, false)
				to.ObserveAge(report, f.now)
			}
		}
	}
}

// run lets time pass in which the hosts run and report.
func (f *testFleet) run(d time.Duration) {
	const step = time.Second
	for end := f.now.Add(d); f.now.Before(end); f.exchange() {
		f.pass(min(step, end.Sub(f.now)))
	}
}

// found returns the version that a host finds for a stream, or "unknown".
func (f *testFleet) found(host int, attempt string) string {
	software, known := f.hosts[host].Find(context.Background(), "s", attempt)
	if !known {
		return "unknown"
	}
	return software
}

var _ = Describe("Origins of streams", func() {
	It("are known on all hosts, also after their host is gone", func() {
		f := newTestFleet(3, "v1", "v2")
		f.hosts[0].Begin("s", "a", "v1")
		f.hosts[1].Begin("s", "b", "v2")
		f.exchange()
		f.hosts[0], f.hosts[1] = f.newHost(), f.newHost()
		Expect([]string{f.found(2, "a"), f.found(2, "b")}).To(Equal([]string{"v1", "v2"}))
	})

	It("are known if they began and ended between two reports", func() {
		f := newTestFleet(2, "v1", "v2")
		f.hosts[0].Begin("s", "a", "v2")()
		f.exchange()
		Expect(f.found(1, "a")).To(Equal("v2"))
	})

	It("are learned by a host that starts while the streams are relayed", func() {
		f := newTestFleet(2, "v1", "v2")
		f.hosts[0].Begin("s", "a", "v2")
		f.exchange()
		f.hosts[1] = f.newHost()
		f.exchange()
		Expect(f.found(1, "a")).To(Equal("v2"))
	})

	It("are learned by a host that starts after the streams broke off with another one", func() {
		f := newTestFleet(3, "v1", "v2")
		f.pass(time.Minute)
		f.exchange()
		f.hosts[0].Begin("s", "a", "v2")()
		f.exchange()
		f.hosts[0] = f.newHost()
		f.pass(time.Second)
		f.exchange()
		f.exchange()
		Expect(f.found(0, "a")).To(Equal("v2"))
	})

	It("need no report while one version alone was listed", func() {
		f := newTestFleet(2, "v1")
		f.hosts[0].Begin("s", "a", "v1")
		f.exchange()
		Expect(f.found(1, "a")).To(Equal("v1"))
		Expect(f.found(1, "")).To(Equal("v1"))
		report := &fleetv1.Report{}
		f.hosts[0].FillReport(report)
		Expect(report.GetSoftware()).To(BeEmpty())
	})

	It("are unknown, not guessed, for a minute after a version is gone", func() {
		f := newTestFleet(2, "v1", "v2")
		f.set("v2")
		f.hosts[1] = f.newHost() // it learns of v1 by reports alone
		f.exchange()
		Expect(f.found(1, "never-reported")).To(Equal("unknown"))
		Expect(f.found(1, "")).To(Equal("unknown"))
		f.run(memory * 3 / 2)
		Expect(f.found(1, "never-reported")).To(Equal("v2"))
	})

	It("are reported as soon as a second version is listed, for the streams in progress too", func() {
		f := newTestFleet(2, "v1")
		f.hosts[0].Begin("s", "a", "v1")
		f.set("v1", "v2")
		f.exchange()
		Expect(f.found(1, "a")).To(Equal("v1"))
	})

	It("are waited for while a report is due, and not for longer", func() {
		f := newTestFleet(2, "v1", "v2")
		f.hosts[0].Begin("s", "a", "v1")
		go func() {
			time.Sleep(testInterval / 2)
			f.exchange()
		}()
		Expect(f.found(1, "a")).To(Equal("v1"))
		started := time.Now()
		Expect(f.found(1, "lost")).To(Equal("unknown"))
		Expect(time.Since(started)).To(BeNumerically("<", maxWait))
	})

	It("keep their memory and reports within bounds", func() {
		f := newTestFleet(2, "v1", "v2")
		for n := range 2 * maxOrigins {
			end := f.hosts[0].Begin("s", fmt.Sprint(n), "v1")
			if n%2 == 0 {
				end()
			}
		}
		report := &fleetv1.Report{}
		f.hosts[0].FillReport(report)
		streams := 0
		for _, group := range report.GetSoftware() {
			streams += len(group.GetStreams())
		}
		Expect(streams).To(Equal(maxReported))
		Expect(f.hosts[0].known.Len()).To(Equal(maxOrigins))
		f.exchange()
		f.exchange()
		f.exchange()
		Expect(len(f.hosts[0].own)).To(BeNumerically("<=", maxOrigins))
	})

	It("are never another version's on random schedules with restarts and releases", func() {
		for seed := range uint64(5) {
			rng := rand.New(rand.NewPCG(seed, 1))
			f := newTestFleet(4, "v1", "v2")
			began := make(map[string]string)
			unknown, wrong := 0, 0
			for n := range 400 {
				versions := f.list["s"]
				if rng.IntN(50) == 0 {
					f.set([][]string{{"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v1", "v3"}}[rng.IntN(4)]...)
					f.exchange()
					versions = f.list["s"]
				}
				id := fmt.Sprint(n)
				began[id] = versions[rng.IntN(len(versions))]
				end := f.hosts[rng.IntN(4)].Begin("s", id, began[id])
				if rng.IntN(2) == 0 {
					end()
				}
				f.exchange()
				if rng.IntN(20) == 0 {
					f.hosts[rng.IntN(4)] = f.newHost()
					f.exchange()
					f.exchange()
				}
				taken := fmt.Sprint(max(0, n-rng.IntN(20)))
				switch software, result, _ := f.hosts[rng.IntN(4)].find("s", taken); {
				case !result.found():
					unknown++
				case software != began[taken]:
					wrong++
				}
			}
			Expect(wrong).To(BeZero(), "seed %d", seed)
			Expect(unknown).To(BeNumerically("<", 400/20), "seed %d", seed)
		}
	})
})
