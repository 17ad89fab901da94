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
	// strict is set for strict limits. Reports then take the interval to arrive.
	strict bool
	// separate reports whether a network partition separates two hosts; nil for none.
	separate func(a, b int) bool
	reported []float64
	// window is the length of the windows in which requests are counted.
	window time.Duration
	// demand returns the requests per second of a host at a time.
	demand func(host int, since time.Duration) float64
	sends  []time.Time
}

const tick = 10 * time.Millisecond

func newSimulation(seed uint64, hosts int, perSecond float64, demand func(int, time.Duration) float64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), perSecond: perSecond, demand: demand, window: window,
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
				s.report(i)
			}
		}
	}
	return wanted
}

// report has a host report its demand to its peers; in strict limits, that of its last
// round.
func (s *simulation) report(host int) {
	demand := s.limits[host].ReportDemand(s.now, s.interval)
	if s.strict {
		demand, s.reported[host] = s.reported[host], demand
	}
	for j, peer := range s.limits {
		switch name := s.limits[host].self; {
		case host == j:
		case s.separate != nil && s.separate(host, j):
			peer.SetPeerUnknown(name)
		case demand != unreported:
			peer.SetPeerDemand(name, demand)
		}
	}
}

// unreported is the demand of a host before its first report.
const unreported = -1

// newStrictSimulation returns a fleet whose hosts learn at the same time that an
// endpoint is cold.
func newStrictSimulation(seed uint64, hosts int, perSecond float64, demand func(int, time.Duration) float64) *simulation {
	s := newSimulation(seed, hosts, perSecond, demand)
	s.strict, s.window, s.reported = true, time.Second, make([]float64, hosts)
	for i, l := range s.limits {
		strict := NewStrict(l.self, "e", s.now, perSecond, 0)
		for name := range l.peers {
			strict.peers[name] = peer{hash: hashOf("e", name)}
		}
		s.limits[i], s.reported[i] = strict, unreported
	}
	return s
}

// exceeded returns the fraction of moments at which the last window had more requests
// than allowed.
func (s *simulation) exceeded(from, until time.Time) float64 {
	over, moments, first, next := 0, 0, 0, 0
	for at := from; at.Before(until); at = at.Add(tick) {
		for next < len(s.sends) && !s.sends[next].After(at) {
			next++
		}
		for first < next && !s.sends[first].After(at.Add(-s.window)) {
			first++
		}
		moments++
		if float64(next-first) > s.allowed() {
			over++
		}
	}
	return float64(over) / float64(moments)
}

// mostInWindow returns the largest number of requests in a window.
func (s *simulation) mostInWindow() int {
	most, first := 0, 0
	for last, at := range s.sends {
		for s.sends[first].Before(at.Add(-s.window)) {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func (s *simulation) allowed() float64 { return excess*s.perSecond*s.window.Seconds() + reserve }

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

// Guards against cold endpoints that the hosts crash together, in one second of excess.
func TestStrictLimitHoldsInEachSecondAndIsUsed(t *testing.T) {
	const length, perSecond = 25 * time.Second, 7.2
	for _, hosts := range []int{6, 61, 86, 300, 370} {
		plenty := func(int, time.Duration) float64 { return 3 + 40/float64(hosts) }
		for name, p := range map[string]struct {
			demand    func(host int, since time.Duration) float64
			separated bool
			minUsed   float64
		}{
			"plenty": {demand: plenty, minUsed: 0.9},
			"halves": {demand: plenty, separated: true, minUsed: 0.9},
			"thin":   {demand: func(int, time.Duration) float64 { return 20 / float64(hosts) }},
			"skewed": {demand: func(host int, _ time.Duration) float64 { return 40 / float64(1+host) }, minUsed: 0.8},
			"moving": {demand: func(host int, since time.Duration) float64 { return 6 * (1 + math.Sin(float64(host)+since.Seconds())) }, minUsed: 0.7},
			"bursts": {demand: func(_ int, since time.Duration) float64 {
				return map[bool]float64{true: 20}[int(since.Seconds())%7 == 0]
			}},
			"uneven halves": {demand: func(host int, _ time.Duration) float64 { return map[bool]float64{true: 10, false: 0.5}[host%5 == 0] }, separated: true},
		} {
			s := newStrictSimulation(uint64(hosts), hosts, perSecond, p.demand)
			if p.separated {
				s.separate = func(a, b int) bool { return (a < hosts/2) != (b < hosts/2) }
			}
			started := s.now
			s.run(length)
			over, used := s.exceeded(started, s.now), float64(len(s.sends))/length.Seconds()/perSecond
			t.Logf("%d hosts, %s: at most %d in a second, %.2f of the rate used", hosts, name, s.mostInWindow(), used)
			if over >= 0.001 || used < p.minUsed {
				t.Errorf("%d hosts, %s: above %.1f in %.4f of moments, %.2f of the rate used, want %.2f", hosts, name, s.allowed(), over, used, p.minUsed)
			}
		}
	}
}

// Guards against a partition during a cold start, after which both sides count with what
// the other demanded before.
func TestStrictLimitHoldsWhenAPartitionBegins(t *testing.T) {
	for _, hosts := range []int{6, 61, 300} {
		s := newStrictSimulation(9, hosts, 7.2, func(host int, since time.Duration) float64 {
			return map[bool]float64{true: 8, false: 0.2}[(host < hosts/2) == (since < 8*time.Second)]
		})
		started := s.now
		s.run(5 * time.Second)
		s.separate = func(a, b int) bool { return (a < hosts/2) != (b < hosts/2) }
		s.run(20 * time.Second)
		if over := s.exceeded(started, s.now); over >= 0.001 {
			t.Errorf("%d hosts: above %.1f in %.4f of moments, at most %d", hosts, s.allowed(), over, s.mostInWindow())
		}
	}
}
