package quarantine

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

// schedule is a random schedule of requests, crashes and reports.
type schedule struct {
	hosts, endpoints int
	// soundPerSecond and badPerSecond are the requests per second of the whole fleet.
	soundPerSecond, badPerSecond float64
	// badSegments is the number of segments that crash endpoints, badRequests that of
	// whole requests, each of which is sent again and again.
	badSegments, badRequests int
	// lostReports is the fraction of reports that are lost.
	lostReports float64
	// plainCrashes, rackLosses and restarts are per second: crashes of endpoints for
	// other reasons, losses of a quarter of them, and restarts of hosts.
	plainCrashes, rackLosses, restarts float64
	// herdRestarts are restarts of all hosts at once, per second.
	herdRestarts float64
	// repeated is the fraction of broken requests that their host sends once more.
	repeated float64
}

const (
	simulatedTick = 20 * time.Millisecond
	// startTime is the time from the arrival of a request to the start of its response,
	// runTime that to its end. downTime is how long a crashed endpoint is away.
	startTime = 300 * time.Millisecond
	runTime   = 1500 * time.Millisecond
	downTime  = 4 * time.Second
	// contactTime is the time within which all hosts must know of what is bad after
	// crashesAllowed.
	contactTime = 5 * time.Second
	// popularRequests are sound requests that organisations send again and again, one in
	// popularEvery.
	popularRequests, popularEvery = 10, 4
)

// crashesAllowed is the number of crashes, by kind of suspect, after which requests must
// stop.
var crashesAllowed = [kinds]int{KindSegment: 5, KindRequest: 3}

// simulatedRequest is a request in flight at an endpoint.
type simulatedRequest struct {
	host     int
	suspects []Suspect
	bad      *Suspect
	sentAt   time.Time
	survived bool
}

type simulatedEndpoint struct {
	incarnation int
	downUntil   time.Time
	inFlight    []*simulatedRequest
}

type simulation struct {
	schedule
	rng       *rand.Rand
	now       time.Time
	hosts     []*Quarantine
	startedAt []time.Time
	endpoints []*simulatedEndpoint
	interval  time.Duration

	// crashes are the times of the crashes by what is bad. late counts the bad requests
	// that were sent later than contactTime after crashesAllowed, by hosts that had been
	// up for that long.
	crashes      map[Suspect][]time.Time
	late         map[Suspect]int
	sound, wrong int
	requests     int
}

func newSimulation(seed uint64, s schedule) *simulation {
	sim := &simulation{
		schedule: s, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
		interval: max(testInterval, time.Duration(s.hosts)*8*time.Millisecond),
		crashes:  make(map[Suspect][]time.Time), late: make(map[Suspect]int),
	}
	sim.hosts, sim.startedAt = make([]*Quarantine, s.hosts), make([]time.Time, s.hosts)
	for i := range s.hosts {
		sim.startHost(i)
	}
	for range s.endpoints {
		sim.endpoints = append(sim.endpoints, &simulatedEndpoint{})
	}
	return sim
}

func (s *simulation) startHost(i int) {
	s.hosts[i] = New(func() time.Time { return s.now })
	s.startedAt[i] = s.now
}

// happens reports whether an event of the given rate happens in this tick.
func (s *simulation) happens(perSecond float64) bool {
	return s.rng.Float64() < perSecond*simulatedTick.Seconds()
}

func (s *simulation) run(length time.Duration) {
	for until := s.now.Add(length); s.now.Before(until); s.now = s.now.Add(simulatedTick) {
		for rate := s.soundPerSecond; rate > 0; rate -= 1 / simulatedTick.Seconds() {
			if s.happens(min(rate, 1/simulatedTick.Seconds())) {
				s.send(nil)
			}
		}
		if s.happens(s.badPerSecond) {
			bad := s.bad()[s.rng.IntN(len(s.bad()))]
			s.send(&bad)
		}
		if s.happens(s.plainCrashes) {
			s.crash(s.rng.IntN(len(s.endpoints)))
		}
		if s.happens(s.rackLosses) {
			for range len(s.endpoints) / 4 {
				s.crash(s.rng.IntN(len(s.endpoints)))
			}
		}
		if s.happens(s.restarts) {
			s.startHost(s.rng.IntN(len(s.hosts)))
		}
		if s.happens(s.herdRestarts) {
			for i := range s.hosts {
				s.startHost(i)
			}
		}
		s.progress()
		s.report()
	}
}

// bad returns what crashes endpoints.
func (s *simulation) bad() []Suspect {
	var list []Suspect
	for n := range s.badSegments {
		list = append(list, segment(1+n))
	}
	for n := range s.badRequests {
		list = append(list, request(1+n))
	}
	return list
}

// send sends a request with a segment that all of its organisation share, one of many
// that some do, and the bad one, if any. A bad request is the same each time.
func (s *simulation) send(bad *Suspect) {
	s.requests++
	same := request(1000 + s.requests)
	if s.rng.IntN(popularEvery) == 0 {
		same = request(100 + s.rng.IntN(popularRequests))
	}
	suspects := []Suspect{same, segment(100 + s.rng.IntN(5)), segment(1000 + int(300*s.rng.ExpFloat64()))}
	switch {
	case bad == nil:
		s.sound++
	case bad.Kind == KindSegment:
		suspects = append(suspects, *bad)
	default:
		suspects = []Suspect{*bad, segment(100), segment(1000 + int(bad.Hash))}
	}
	s.sendTo(s.rng.IntN(len(s.hosts)), suspects, bad)
}

func (s *simulation) sendTo(host int, suspects []Suspect, bad *Suspect) {
	for _, suspect := range suspects {
		if _, held := s.hosts[host].Held(suspect); held {
			if bad == nil {
				s.wrong++
			}
			return
		}
	}
	target := s.endpoints[s.rng.IntN(len(s.endpoints))]
	if s.now.Before(target.downUntil) {
		return // refused, and sent elsewhere
	}
	if bad != nil {
		crashes, allowed := s.crashes[*bad], crashesAllowed[bad.Kind]
		if len(crashes) >= allowed && s.now.Sub(crashes[allowed-1]) > contactTime && s.now.Sub(s.startedAt[host]) > contactTime {
			s.late[*bad]++
		}
	}
	target.inFlight = append(target.inFlight, &simulatedRequest{host: host, suspects: suspects, bad: bad, sentAt: s.now})
}

// progress lets endpoints start and end responses, and crash under bad requests.
func (s *simulation) progress() {
	for i, e := range s.endpoints {
		var rest []*simulatedRequest
		for _, r := range e.inFlight {
			age := s.now.Sub(r.sentAt)
			if age >= startTime && r.bad != nil {
				s.crashes[*r.bad] = append(s.crashes[*r.bad], s.now)
				s.crash(i)
				rest = nil
				break
			}
			if age >= startTime && !r.survived {
				r.survived = true
				s.hosts[r.host].RecordSurvival(r.suspects)
			}
			if age < runTime {
				rest = append(rest, r)
			}
		}
		e.inFlight = rest
	}
}

// crash ends an endpoint's incarnation.
func (s *simulation) crash(i int) {
	e := s.endpoints[i]
	if s.now.Before(e.downUntil) {
		return
	}
	endpoint := Incarnation{fmt.Sprint("e", i), int64(e.incarnation)}
	for _, r := range e.inFlight {
		if !r.survived && s.hosts[r.host].RecordBreak(endpoint, r.suspects) {
			s.hosts[r.host].RecordGone(endpoint)
		}
	}
	broken := e.inFlight
	e.inFlight, e.downUntil = nil, s.now.Add(downTime)
	e.incarnation++
	for _, r := range broken {
		if s.rng.Float64() < s.repeated {
			s.sendTo(r.host, r.suspects, r.bad)
		}
	}
}

// report has each host report to each other once per interval, at a phase of its own.
func (s *simulation) report() {
	ticks := int64(s.interval / simulatedTick)
	tick := s.now.UnixNano() / int64(simulatedTick)
	for i, from := range s.hosts {
		if tick%ticks != int64(i)%ticks {
			continue
		}
		from.SetReachability(exchange.Reachability{Interval: s.interval})
		report := &fleetv1.Report{Host: fmt.Sprint("h", i), AgeMillis: s.now.Sub(s.startedAt[i]).Milliseconds()}
		from.FillReport(report)
		for j, to := range s.hosts {
			if i != j && s.rng.Float64() >= s.lostReports {
				to.HandleReport(report, false)
			}
		}
	}
}

// simulatedSeeds returns the number of seeds per schedule; QUARANTINE_SEEDS sets it.
func simulatedSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("QUARANTINE_SEEDS")); err == nil {
		return n
	}
	return 1
}

var _ = Describe("Quarantine on random schedules", func() {
	const (
		// maxLate is the number of bad requests that may be sent later than contactTime
		// after crashesAllowed.
		maxLate = 3
		// maxWrong is the fraction of sound requests that may be held back.
		maxWrong = 0.01
	)
	schedules := map[string]schedule{
		"six hosts": {
			hosts: 6, endpoints: 9, soundPerSecond: 34, badPerSecond: 1, badSegments: 1,
		},
		"six hosts, several bad segments, lost reports and restarts": {
			hosts: 6, endpoints: 9, soundPerSecond: 34, badPerSecond: 2, badSegments: 3, lostReports: 0.2, restarts: 0.05, plainCrashes: 0.1,
		},
		"sixty hosts, racks lost": {
			hosts: 60, endpoints: 60, soundPerSecond: 250, badPerSecond: 3, badSegments: 2, lostReports: 0.1, plainCrashes: 0.2, rackLosses: 0.1, restarts: 0.1,
		},
		"six hosts, all restarted at once": {
			hosts: 6, endpoints: 9, soundPerSecond: 34, badPerSecond: 0.5, badSegments: 1, herdRestarts: 0.03,
		},
		"six hosts, two bad requests in turn": {
			hosts: 6, endpoints: 9, soundPerSecond: 34, badPerSecond: 2.5, badRequests: 2, repeated: 0.5,
		},
		"six hosts, three endpoints, bad requests, lost reports and restarts": {
			hosts: 6, endpoints: 3, soundPerSecond: 16, badPerSecond: 1, badRequests: 2, repeated: 1, lostReports: 0.2, restarts: 0.05, plainCrashes: 0.1,
		},
		"sixty hosts, bad requests and segments": {
			hosts: 60, endpoints: 60, soundPerSecond: 250, badPerSecond: 4, badRequests: 3, badSegments: 1, repeated: 0.5, lostReports: 0.1, plainCrashes: 0.2, rackLosses: 0.1, restarts: 0.1,
		},
		"no bad segment, but crashes": {
			hosts: 12, endpoints: 20, soundPerSecond: 100, lostReports: 0.1, plainCrashes: 1, rackLosses: 0.2, restarts: 0.2, repeated: 1,
		},
	}
	for name, s := range schedules {
		It("stops bad segments and holds back few sound ones: "+name, func() {
			for seed := range uint64(simulatedSeeds()) {
				sim := newSimulation(seed, s)
				sim.run(time.Minute)
				for _, bad := range sim.bad() {
					crashes := len(sim.crashes[bad])
					GinkgoWriter.Printf("seed %d: %v: %d crashes, %d late\n", seed, bad, crashes, sim.late[bad])
					Expect(sim.late[bad]).To(BeNumerically("<=", maxLate), "seed %d: %v: %d crashes", seed, bad, crashes)
				}
				GinkgoWriter.Printf("seed %d: %d of %d sound requests held back\n", seed, sim.wrong, sim.sound)
				Expect(float64(sim.wrong)).To(BeNumerically("<=", maxWrong*float64(sim.sound)), "seed %d: of %d", seed, sim.sound)
			}
		})
	}
})
