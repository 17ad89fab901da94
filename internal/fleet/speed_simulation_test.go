package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

// The simulated endpoints. A quarter of them has slowBaseline of the speed, and each is
// 2.5 times slower in 15 of 100 moments, for 60 ms on average.
const (
	slowBaseline = 0.55
	transient    = 2.5
	slowMillis   = 60.0
	normalMillis = 340.0
	stepMillis   = 5.0
	perRunning   = 0.06 // growth of a step, in ms
	chunkTokens  = 512  // prompt tokens processed in one step
	tokensPerMS  = 39.0
	serviceWork  = 60.0 // ms
)

// simulation runs hosts' registries against simulated endpoints in steps of 1 ms.
type simulation struct {
	engines          bool
	hosts, endpoints int
	lag              time.Duration
	rate             float64 // requests a second at all endpoints
	policy           string  // oracle, former, two random or chosen
	alike            bool    // endpoints of equal speed that report no processing time

	random     *rand.Rand
	now        time.Time
	registries []*Registry
	targets    []*target
	deliveries []delivery
	// firsts and totals are the times to the first event and to the end, in ms.
	firsts, totals []float64
	requests       []int
	rejected       int
}

type delivery struct {
	at     time.Time
	report *fleetv1.Report
}

// target is a simulated endpoint.
type target struct {
	id       string
	baseline float64 // processing time relative to normal
	factor   float64 // current processing time relative to the baseline
	until    time.Time
	slots    int
	progress float64 // work done, in ms at normal speed
	stepCost float64
	running  []*job
	waiting  []*job
	cached   map[string]bool
}

type job struct {
	attempt            *Attempt
	startedAt, firstAt time.Time
	prefill            int
	tokens, event      int // tokens left in all and in the event
	events             int // complete events
	work               float64
}

func (s *simulation) run(warm, measured time.Duration) {
	s.random = rand.New(rand.NewPCG(1, uint64(s.hosts)))
	s.now = time.Unix(1_700_000_000, 0)
	var list []Endpoint
	for i := range s.endpoints {
		t := &target{id: fmt.Sprintf("e%03d", i), baseline: 1, factor: 1, slots: 6, cached: map[string]bool{}}
		if s.engines {
			t.slots = 64
		}
		if i%4 == 0 && !s.alike {
			t.baseline = 1 / slowBaseline
		}
		s.targets = append(s.targets, t)
		list = append(list, Endpoint{ID: t.id, Service: "s", Zone: "z", Slots: t.slots, Models: map[string]Adapters{"m": {}}})
	}
	for i := range s.hosts {
		r := NewRegistry(Config{Host: fmt.Sprint("h", i), Zone: "z", Clock: func() time.Time { return s.now }})
		r.Replace(list)
		if s.policy != "chosen" {
			r.speeds.refreshedAt = s.now.Add(time.Hour) // all endpoints remain equal
		}
		s.registries = append(s.registries, r)
	}
	s.requests = make([]int, s.endpoints)
	end := s.now.Add(warm + measured)
	begin := s.now.Add(warm)
	next, nextReport := s.now, s.now
	for ; s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		for !next.After(s.now) {
			s.arrive()
			next = next.Add(time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second)))
		}
		for i, t := range s.targets {
			s.advance(t, !s.now.Before(begin), i)
		}
		if s.policy != "oracle" && !nextReport.After(s.now) {
			nextReport = nextReport.Add(s.lag)
			s.report()
		}
		s.deliver()
	}
}

// report has every host report; the reports arrive half the lag later.
func (s *simulation) report() {
	for i, r := range s.registries {
		report := &fleetv1.Report{Host: fmt.Sprint("h", i), Zone: "z"}
		r.FillReport(report)
		s.deliveries = append(s.deliveries, delivery{s.now.Add(s.lag / 2), report})
	}
}

func (s *simulation) deliver() {
	for len(s.deliveries) > 0 && !s.deliveries[0].at.After(s.now) {
		report := s.deliveries[0].report
		s.deliveries = s.deliveries[1:]
		for i, r := range s.registries {
			if fmt.Sprint("h", i) != report.GetHost() {
				r.HandleReport(report, false)
			}
		}
	}
}

// arrive starts one request at a random host.
func (s *simulation) arrive() {
	r := s.registries[s.random.IntN(s.hosts)]
	work, j := Work{Service: "s"}, &job{startedAt: s.now}
	j.work = serviceWork * math.Exp(0.5*s.random.NormFloat64())
	shared := fmt.Sprint("p", s.random.IntN(8))
	if s.engines {
		own := 200 + s.random.IntN(1300)
		work.Model, work.PromptTokens = "m", 6300+own
		work.PromptSegments = []traffic.PromptSegment{{ID: shared, Tokens: 6300}, {ID: "own", Tokens: own}}
		j.prefill = own
		for range 10 + s.random.IntN(51) {
			j.tokens += 4 + s.random.IntN(6)
		}
	}
	t := s.choose(r, work, j)
	if s.engines && !t.cached[shared] {
		j.prefill += 6300
		t.cached[shared] = true
	}
	if len(t.running) < t.slots {
		t.running = append(t.running, j)
	} else if s.engines || len(t.waiting) < 24 {
		t.waiting = append(t.waiting, j)
	} else {
		s.rejected++
		j.attempt.RecordLoad(s.load(t))
		j.attempt.Finish(endpoint.OutcomeCancelled)
	}
}

// choose starts the attempt at an endpoint that the policy chooses.
func (s *simulation) choose(r *Registry, work Work, j *job) *target {
	index := func(id string) *target {
		return s.targets[slices.IndexFunc(s.targets, func(t *target) bool { return t.id == id })]
	}
	cost := func(t *target) float64 {
		if s.policy == "oracle" {
			return t.expected(j, work, s.engines)
		}
		m := r.members[t.id]
		c := candidate{member: m, now: s.now, peers: r.peerTotals[t.id]}
		return c.cost(&work, "z", uncachedTokens(work, m, false), 1)
	}
	list := s.targets
	switch s.policy {
	case "two random":
		list = []*target{s.targets[s.random.IntN(s.endpoints)], s.targets[s.random.IntN(s.endpoints)]}
	case "oracle":
	default:
		attempt, _ := r.Start(work)
		j.attempt = attempt
		return index(attempt.Endpoint.ID)
	}
	best := slices.MinFunc(list, func(a, b *target) int {
		if cost(a) < cost(b) {
			return -1
		}
		return 1
	})
	j.attempt = r.start(r.members[best.id], work)
	return best
}

// expected is the time that the job would take, given the true queue and speed. The
// current slowdown lasts for slowMillis on average.
func (t *target) expected(j *job, work Work, engines bool) float64 {
	normal := 0.0
	if !engines {
		pending := 0.0
		for _, other := range append(slices.Clone(t.running), t.waiting...) {
			pending += other.work
		}
		if len(t.running) >= t.slots {
			normal = pending / float64(t.slots) * float64(len(t.waiting)+1) / float64(len(t.waiting)+t.slots)
		}
		normal += j.work
	} else {
		prefill, left := float64(j.prefill), 0
		if !t.cached[work.PromptSegments[0].ID] {
			prefill += float64(work.PromptSegments[0].Tokens)
		}
		for _, other := range append(slices.Clone(t.running), t.waiting...) {
			prefill += float64(other.prefill)
			left += other.tokens
		}
		running := min(len(t.running)+1, t.slots)
		step := stepMillis + perRunning*float64(running)
		normal = prefill/tokensPerMS + step*float64(j.tokens)
		if len(t.running) >= t.slots {
			normal += step * float64(left) / float64(t.slots) * float64(len(t.waiting)+1) / float64(len(t.waiting)+t.slots)
		}
	}
	expected := normal * t.baseline * (1 + 0.15*(transient-1))
	if t.factor > 1 {
		return expected + slowMillis*(1-1/transient)
	}
	return expected
}

func (s *simulation) load(t *target) Load {
	load := Load{Running: len(t.running), Waiting: len(t.waiting), Slots: t.slots}
	if !s.alike && s.policy == "chosen" {
		load.ProcessingTimePercent = 100 * t.factor
	}
	return load
}

// advance lets an endpoint work for one millisecond.
func (s *simulation) advance(t *target, measure bool, index int) {
	if !s.now.Before(t.until) && !s.alike {
		t.factor = transient + 1 - max(t.factor, 1)
		mean := slowMillis
		if t.factor == 1 {
			mean = normalMillis
		}
		t.until = s.now.Add(time.Duration(s.random.ExpFloat64() * mean * float64(time.Millisecond)))
	}
	done := 1 / (t.baseline * t.factor)
	if s.engines {
		for t.progress += done; len(t.running) > 0 && t.progress >= t.stepCost; {
			t.progress -= t.stepCost
			s.step(t, measure, index)
		}
	} else {
		for _, j := range slices.Clone(t.running) {
			if j.work -= done; j.work <= 0 {
				s.end(t, j, measure, index)
			}
		}
	}
	if len(t.running) == 0 {
		t.progress = 0
	}
}

// step ends one step of an engine's batch and begins the next.
func (s *simulation) step(t *target, measure bool, index int) {
	chunk := chunkTokens
	for _, j := range slices.Clone(t.running) {
		if j.prefill > 0 {
			part := min(chunk, j.prefill)
			chunk, j.prefill = chunk-part, j.prefill-part
			continue
		}
		if j.event == 0 {
			j.event = 4 + s.random.IntN(6)
		}
		j.tokens--
		if j.event--; j.event == 0 || j.tokens <= 0 {
			if j.firstAt.IsZero() {
				j.firstAt = s.now
				j.attempt.RecordLoad(s.load(t))
				j.attempt.ResponseStarted()
			} else {
				j.events++
			}
		}
		if j.tokens <= 0 {
			s.end(t, j, measure, index)
		}
	}
	pending := 0
	for _, j := range t.running {
		pending += j.prefill
	}
	t.stepCost = stepMillis + perRunning*float64(len(t.running)) + float64(min(pending, chunkTokens))/tokensPerMS
}

func (s *simulation) end(t *target, j *job, measure bool, index int) {
	t.running = slices.DeleteFunc(t.running, func(other *job) bool { return other == j })
	if len(t.waiting) > 0 {
		t.running, t.waiting = append(t.running, t.waiting[0]), t.waiting[1:]
	}
	if s.engines {
		j.attempt.RecordStream(StreamPace{Events: j.events, Duration: s.now.Sub(j.firstAt)})
	} else {
		j.firstAt = s.now
		j.attempt.RecordLoad(s.load(t))
		j.attempt.ResponseStarted()
	}
	j.attempt.Finish(endpoint.OutcomeAnswered)
	if measure {
		s.requests[index]++
		s.firsts = append(s.firsts, j.firstAt.Sub(j.startedAt).Seconds()*1000)
		s.totals = append(s.totals, s.now.Sub(j.startedAt).Seconds()*1000)
	}
}

// quantile returns a quantile of the values, which it sorts.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
