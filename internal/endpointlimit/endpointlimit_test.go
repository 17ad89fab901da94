package endpointlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The tolerance of the platform's endpoints: in each window they get at most excess
// times what their limit allows, and reserve requests.
const (
	window  = 4 * time.Second
	excess  = 1.5
	reserve = 5
)

// simulation is a fleet of hosts that divide the limit of one endpoint. They report to
// each other every interval, each at another phase, and each report takes up to the
// interval to arrive.
type simulation struct {
	rng       *rand.Rand
	now       time.Time
	perSecond float64
	interval  time.Duration
	limits    []*Limit
	// demand returns the requests per second of a host at a time.
	demand func(host int, since time.Duration) float64
	sends  []time.Time
}

const tick = 10 * time.Millisecond

func newSimulation(seed uint64, hosts int, perSecond float64, demand func(int, time.Duration) float64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), perSecond: perSecond, demand: demand,
		interval: max(200*time.Millisecond, time.Duration(hosts)*8*time.Millisecond),
	}
	for i := range hosts {
		s.limits = append(s.limits, New(fmt.Sprint("h", i), "e", s.now, perSecond, min(2*s.interval, 2*time.Second)))
	}
	names := make([]string, hosts)
	for i := range names {
		names[i] = fmt.Sprint("h", i)
	}
	for i, l := range s.limits {
		peers := append(append([]string(nil), names[:i]...), names[i+1:]...)
		l.SetPeers(s.now, peers)
	}
	return s
}

// run lets a time pass and returns how many requests wanted to be sent.
func (s *simulation) run(length time.Duration) int {
	started, wanted := s.now, 0
	ticksPerRound := int(s.interval / tick)
	for n := 0; s.now.Sub(started) < length; n++ {
		s.now = s.now.Add(tick)
		for i, l := range s.limits {
			if s.rng.Float64() < s.demand(i, s.now.Sub(started))*tick.Seconds() {
				wanted++
				l.RecordDemand(s.now)
				if l.Ready(s.now) {
					l.Take(s.now)
					s.sends = append(s.sends, s.now)
				}
			}
			if n%ticksPerRound == i%ticksPerRound {
				for j, peer := range s.limits {
					if i != j {
						peer.SetPeerDemand(l.self, l.Demand(s.now))
					}
				}
			}
		}
	}
	return wanted
}

// mostInWindow returns the largest number of requests in a window.
func (s *simulation) mostInWindow() int {
	most, first := 0, 0
	for last, at := range s.sends {
		for s.sends[first].Before(at.Add(-window)) {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func (s *simulation) allowed() float64 { return excess*s.perSecond*window.Seconds() + reserve }

func TestDemandPatternsStayWithinTheLimit(t *testing.T) {
	const length = 30 * time.Second
	patterns := map[string]func(host int, since time.Duration) float64{
		"even":          func(int, time.Duration) float64 { return 3 },
		"one busy host": func(host int, _ time.Duration) float64 { return map[bool]float64{true: 30, false: 0.01}[host == 0] },
		"skewed":        func(host int, _ time.Duration) float64 { return 12 / float64(1+host) },
		"moving":        func(host int, since time.Duration) float64 { return 4 * (1 + math.Sin(float64(host)+since.Seconds())) },
		"bursts": func(_ int, since time.Duration) float64 {
			return map[bool]float64{true: 20, false: 0.05}[int(since.Seconds())%7 == 0]
		},
		"from host to host": func(host int, since time.Duration) float64 {
			return map[bool]float64{true: 15, false: 0}[int(since.Seconds())/5%4 == host%4]
		},
	}
	for name, demand := range patterns {
		for _, hosts := range []int{1, 2, 6, 8, 60, 295} {
			for _, perSecond := range []float64{0, 0.5, 1, 2.5, 10} {
				if hosts > 60 && perSecond != 1 {
					continue // takes long
				}
				s := newSimulation(uint64(hosts), hosts, perSecond, demand)
				s.run(length)
				if most := s.mostInWindow(); float64(most) > s.allowed() {
					t.Errorf("%s, %d hosts, %.1f a second: %d requests in %v, allowed %.0f", name, hosts, perSecond, most, window, s.allowed())
				}
			}
		}
	}
}

func TestSmallFleetsUseMostOfTheLimit(t *testing.T) {
	const length = 60 * time.Second
	for _, hosts := range []int{1, 3, 6, 8} {
		for _, perSecond := range []float64{1, 2.5, 10} {
			s := newSimulation(7, hosts, perSecond, func(host int, _ time.Duration) float64 { return 6 * perSecond / float64(hosts+host) })
			s.run(length)
			if used := float64(len(s.sends)) / length.Seconds(); used < 0.8*perSecond {
				t.Errorf("%d hosts: %.2f requests a second of %.1f", hosts, used, perSecond)
			}
		}
	}
}

func TestHostsThatJoinAndLeaveDoNotRaiseTheRate(t *testing.T) {
	s := newSimulation(3, 8, 2, func(int, time.Duration) float64 { return 4 })
	for n := range 6 {
		s.run(5 * time.Second)
		left := s.limits[n%len(s.limits)]
		joined := New(fmt.Sprint("j", n), "e", s.now, s.perSecond, 2*s.interval)
		s.limits[n%len(s.limits)] = joined
		for i, l := range s.limits {
			names := []string{}
			for j, other := range s.limits {
				if i != j {
					names = append(names, other.self)
				}
			}
			if l != joined { // the one that left is remembered for a while
				names = append(names, left.self)
			}
			l.SetPeers(s.now, names)
		}
	}
	if most := s.mostInWindow(); float64(most) > s.allowed() {
		t.Errorf("%d requests in %v, allowed %.0f", most, window, s.allowed())
	}
}

func TestChangedRateTakesEffectAtOnce(t *testing.T) {
	s := newSimulation(5, 6, 20, func(int, time.Duration) float64 { return 10 })
	s.run(10 * time.Second)
	for _, l := range s.limits {
		l.SetPerSecond(s.now, 1)
	}
	s.perSecond, s.sends = 1, nil
	s.run(20 * time.Second)
	if most := s.mostInWindow(); float64(most) > s.allowed() {
		t.Errorf("%d requests in %v, allowed %.0f", most, window, s.allowed())
	}
}

func TestWaitTellsWhenARequestMayBeSent(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New("h", "e", now, 2, time.Second)
	if l.Ready(now) {
		t.Error("ready before the hosts know of each other")
	}
	if wait := l.Wait(now); wait != 1500*time.Millisecond {
		t.Errorf("wait %v, want the settling time and half a second", wait)
	}
	now = now.Add(1500 * time.Millisecond)
	if !l.Ready(now) {
		t.Error("not ready after the wait")
	}
	l.Take(now)
	if l.Ready(now) {
		t.Error("ready again at once")
	}
	if wait := l.Wait(now); wait != 500*time.Millisecond {
		t.Errorf("wait %v after a request", wait)
	}
}
