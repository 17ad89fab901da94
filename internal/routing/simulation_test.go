package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/repeat"
)

// The simulation: 8 hosts choose among 9 engines of one availability zone.
const (
	simHosts      = 8
	simEngines    = 9
	simSlots      = 16
	missPrefill   = 250 * time.Millisecond
	hitPrefill    = 50 * time.Millisecond
	generation    = 1500 * time.Millisecond
	reportPeriod  = 500 * time.Millisecond
	silenceLimit  = 2 * time.Second
	simLoad       = 0.85
	simPrefixes   = 300
	cachedOnes    = 64
	eventGap      = 0.1
	simWarmUp     = 10 * time.Second
	simMeasured   = 60 * time.Second
	simWait       = 5 * time.Second
	firstTokenSLO = 700 * time.Millisecond
)

// fault is what is wrong with the first engine.
type fault string

const (
	healthy   fault = "none"
	slow      fault = "slow (4 times)"
	silent    fault = "silent"
	blackHole fault = "black hole"
	liar      fault = "reports no load"
	dead      fault = "dead (dials fail)"
)

// contender is a policy and what stands around it.
type contender struct {
	name   string
	policy Policy
	// naive leaves out the check for room that the queue makes.
	naive bool
	// unprotected leaves out outlier ejection and the weight of failures.
	unprotected bool
}

var contenders = []contender{
	{name: "random", policy: Random{}, naive: true},
	{name: "least reported", policy: LeastReported{}, naive: true},
	{name: "two choices", policy: PowerOfTwo{}, naive: true},
	{name: "chosen", policy: Affinity{}},
}

type engineSim struct {
	fault   fault
	running int
	queue   []*callSim
	cache   *simplelru.LRU[uint64, struct{}]
	events  []cacheEvent
	// loads is the history that late reports are taken from.
	loads []loadSample
	most  int
}

type loadSample struct {
	at              time.Time
	running, queued int
}

type cacheEvent struct {
	at      time.Time
	prefix  uint64
	removed bool
}

type callSim struct {
	host, engine int
	prefix       uint64
	arrived      time.Time
	sent         time.Time
	tried        []string
	attempts     int
	measured     bool
}

type hostSim struct {
	states  []endpoint.State
	seen    []int // cache events taken from each engine
	sentLog [][]loadSample
	latency []endpoint.Latency
	ejector *endpoint.Ejector
	budget  *repeat.Budget
}

type event struct {
	at time.Time
	do func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simulation struct {
	contender contender
	lag       time.Duration
	rng       *rand.Rand
	zipf      *rand.Zipf
	queue     eventQueue
	engines   []*engineSim
	hosts     []*hostSim

	requests, attained, failed, attempts, hits, starts int
	firstTokens                                        []time.Duration
}

var simStart = time.Unix(1000, 0)

func simulate(c contender, lag time.Duration, f fault, seed uint64) *simulation {
	s := &simulation{contender: c, lag: lag, rng: rand.New(rand.NewPCG(seed, 0))}
	s.zipf = rand.NewZipf(s.rng, 1.1, 8, simPrefixes-1)
	for i := range simEngines {
		e := &engineSim{fault: healthy}
		if i == 0 {
			e.fault = f
		}
		cache, err := simplelru.NewLRU[uint64, struct{}](cachedOnes, func(p uint64, _ struct{}) { s.publish(e, p, true) })
		if err != nil {
			panic(err)
		}
		e.cache = cache
		s.engines = append(s.engines, e)
	}
	for range simHosts {
		s.hosts = append(s.hosts, newHostSim())
	}
	s.run()
	return s
}

func newHostSim() *hostSim {
	h := &hostSim{
		seen: make([]int, simEngines), sentLog: make([][]loadSample, simEngines), latency: make([]endpoint.Latency, simEngines),
		ejector: endpoint.NewEjector(endpoint.DefaultEjectorConfig()), budget: repeat.NewBudget(repeat.BudgetConfig{}),
	}
	for i := range simEngines {
		name := fmt.Sprintf("worker-%d", i)
		h.ejector.Add(name, "pool")
		h.states = append(h.states, endpoint.State{
			Config: &apiv1.Endpoint{
				Name: name, Zone: "qce-1", Kind: apiv1.EndpointKind_ENDPOINT_KIND_ENGINE, MaxConcurrent: simSlots,
			},
			Reachable: true,
			Prefixes:  endpoint.NewPrefixSet(),
		})
		h.states[i].Report.Models = []engineapi.HeldModel{{Model: "m", Version: "v", State: engineapi.ItemReady}}
	}
	return h
}

func (s *simulation) at(now time.Time, after time.Duration, do func(time.Time)) {
	heap.Push(&s.queue, event{now.Add(after), do})
}

func (s *simulation) run() {
	s.at(simStart, 0, s.arrive)
	for host := range s.hosts {
		s.at(simStart, time.Duration(host)*reportPeriod/simHosts, func(now time.Time) { s.poll(now, host) })
	}
	for end := simStart.Add(simWarmUp + simMeasured); ; {
		ev := heap.Pop(&s.queue).(event)
		if ev.at.After(end) {
			return
		}
		ev.do(ev.at)
	}
}

func (s *simulation) arrive(now time.Time) {
	perSecond := simLoad * simEngines * simSlots / (generation + missPrefill).Seconds()
	s.at(now, time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), s.arrive)
	call := &callSim{host: s.rng.IntN(simHosts), prefix: s.zipf.Uint64() + 1, arrived: now, measured: now.Sub(simStart) >= simWarmUp}
	if call.measured {
		s.requests++
	}
	s.hosts[call.host].budget.RecordRequest(now)
	s.send(now, call)
}

// poll takes the reports and cache events that are old enough.
func (s *simulation) poll(now time.Time, host int) {
	s.at(now, reportPeriod, func(now time.Time) { s.poll(now, host) })
	h := s.hosts[host]
	taken := now.Add(-s.lag)
	for i, e := range s.engines {
		sample := sampleAt(e.loads, taken)
		state := &h.states[i]
		state.Report.Running, state.Report.Queued = sample.running, sample.queued
		if e.fault == liar || e.fault == blackHole {
			state.Report.Running, state.Report.Queued = 0, 0
		}
		state.ReportedAt = now
		for h.seen[i] < len(e.events) && !e.events[h.seen[i]].at.After(taken) {
			s.learn(h, i, e.events[h.seen[i]])
			h.seen[i]++
		}
	}
}

func (s *simulation) learn(h *hostSim, engine int, ev cacheEvent) {
	switch {
	case s.rng.Float64() < eventGap:
	case ev.removed:
		h.states[engine].Prefixes.Remove("m", ev.prefix)
	default:
		h.states[engine].Prefixes.Add("m", ev.prefix)
	}
}

func sampleAt(samples []loadSample, when time.Time) loadSample {
	i := sort.Search(len(samples), func(i int) bool { return samples[i].at.After(when) })
	if i == 0 {
		return loadSample{}
	}
	return samples[i-1]
}

func (s *simulation) publish(e *engineSim, prefix uint64, removed bool) {
	now := simStart
	if n := len(e.loads); n > 0 {
		now = e.loads[n-1].at
	}
	e.events = append(e.events, cacheEvent{now, prefix, removed})
}

// view completes the host's states for a choice.
func (s *simulation) view(now time.Time, h *hostSim) []endpoint.State {
	states := append([]endpoint.State(nil), h.states...)
	ejected := h.ejector.Ejected(now)
	for i := range states {
		atReport := sampleAt(h.sentLog[i], states[i].ReportedAt.Add(-s.lag)).running
		states[i].InFlightDelta = states[i].InFlight - atReport
		states[i].ReportAge = now.Sub(states[i].ReportedAt) + s.lag
		if !s.contender.unprotected {
			states[i].FirstTokenLatency = map[string]time.Duration{"m": h.latency[i].Mean(now)}
			states[i].Ejected = ejected[states[i].Config.GetName()]
			states[i].Penalty = h.ejector.Penalty(now, states[i].Config.GetName())
		}
	}
	return states
}

func (s *simulation) send(now time.Time, call *callSim) {
	h := s.hosts[call.host]
	req := Request{Zone: "qce-1", Model: "m", Version: "v", Prefix: call.prefix, Tried: call.tried}
	states := s.view(now, h)
	eligible, reason := Eligible(states, req)
	if s.contender.naive {
		eligible, reason = filter(states, (*endpoint.State).Available), ReasonNone
	}
	if reason != ReasonNone {
		if now.Sub(call.arrived) > simWait {
			s.fail(call)
			return
		}
		s.at(now, 10*time.Millisecond, func(now time.Time) { s.send(now, call) })
		return
	}
	chosen := eligible[s.contender.policy.Choose(s.rng, eligible, req)].Config.GetName()
	for i := range h.states {
		if h.states[i].Config.GetName() == chosen {
			call.engine = i
		}
	}
	s.account(now, call, 1)
	h.states[call.engine].Prefixes.Add("m", call.prefix)
	s.reach(now, call)
}

func (s *simulation) account(now time.Time, call *callSim, change int) {
	h := s.hosts[call.host]
	h.states[call.engine].InFlight += change
	h.sentLog[call.engine] = append(h.sentLog[call.engine], loadSample{at: now, running: h.states[call.engine].InFlight})
}

// reach is the call's arrival at its engine.
func (s *simulation) reach(now time.Time, call *callSim) {
	e := s.engines[call.engine]
	call.sent = now
	call.attempts++
	if call.measured {
		s.attempts++
	}
	switch e.fault {
	case silent:
		s.at(now, silenceLimit, func(now time.Time) { s.failed1(now, call) })
	case blackHole:
		s.at(now, 5*time.Millisecond, func(now time.Time) { s.failed1(now, call) })
	case dead:
		s.failed1(now, call)
	default:
		e.queue = append(e.queue, call)
		s.serve(now, e)
	}
}

func (s *simulation) serve(now time.Time, e *engineSim) {
	for e.running < simSlots && len(e.queue) > 0 {
		call := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		factor := time.Duration(1)
		if e.fault == slow {
			factor = 4
		}
		prefill := missPrefill
		_, hit := e.cache.Get(call.prefix)
		if hit {
			prefill = hitPrefill
		}
		e.loads = append(e.loads, loadSample{now, e.running, len(e.queue)})
		if !hit {
			e.cache.Add(call.prefix, struct{}{})
			s.publish(e, call.prefix, false)
		}
		s.first(now.Add(factor*prefill), call, hit)
		s.at(now, factor*prefill, func(now time.Time) {
			s.hosts[call.host].latency[call.engine].Observe(now, now.Sub(call.sent))
		})
		s.at(now, factor*(prefill+generation), func(now time.Time) { s.done(now, e, call) })
	}
	e.loads = append(e.loads, loadSample{now, e.running, len(e.queue)})
	e.most = max(e.most, len(e.queue))
}

func (s *simulation) first(when time.Time, call *callSim, hit bool) {
	if !call.measured {
		return
	}
	s.starts++
	if hit {
		s.hits++
	}
	wait := when.Sub(call.arrived)
	s.firstTokens = append(s.firstTokens, wait)
	if wait <= firstTokenSLO {
		s.attained++
	}
}

func (s *simulation) done(now time.Time, e *engineSim, call *callSim) {
	e.running--
	s.serve(now, e)
	s.account(now, call, -1)
	h := s.hosts[call.host]
	h.ejector.Observe(now, h.states[call.engine].Config.GetName(), endpoint.OutcomeAnswered)
}

// failed1 is the failure of one attempt.
func (s *simulation) failed1(now time.Time, call *callSim) {
	h := s.hosts[call.host]
	name := h.states[call.engine].Config.GetName()
	s.account(now, call, -1)
	h.ejector.Observe(now, name, endpoint.OutcomeFailed)
	if call.attempts >= 3 || !h.budget.TryRetry(now) {
		s.fail(call)
		return
	}
	call.tried = append(call.tried, name)
	s.send(now, call)
}

func (s *simulation) fail(call *callSim) {
	if call.measured {
		s.failed++
	}
}

func (s *simulation) row() string {
	sort.Slice(s.firstTokens, func(i, j int) bool { return s.firstTokens[i] < s.firstTokens[j] })
	p99 := s.firstTokens[len(s.firstTokens)*99/100]
	most := 0
	for _, e := range s.engines {
		most = max(most, e.most)
	}
	return fmt.Sprintf("%.3f | %.3f | %.2f | %.4f | %.3f | %d", s.attainment(), float64(s.hits)/float64(s.starts),
		p99.Seconds(), float64(s.failed)/float64(s.requests), s.extraLoad(), most)
}

func (s *simulation) attainment() float64 { return float64(s.attained) / float64(s.requests) }

func (s *simulation) extraLoad() float64 { return float64(s.attempts) / float64(s.requests) }

var lags = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}

// TestChosenPolicy holds the chosen policy to the bounds: a failing
// endpoint multiplies the load by no more than 1.1, fast errors attract no
// work, and the chosen policy attains no less than the baselines.
func TestChosenPolicy(t *testing.T) {
	chosen := contenders[len(contenders)-1]
	for _, f := range []fault{healthy, slow, silent, blackHole, liar, dead} {
		got := simulate(chosen, time.Second, f, 1)
		if got.extraLoad() > 1.1 {
			t.Errorf("%s: the load was multiplied by %.3f", f, got.extraLoad())
		}
		for _, other := range contenders[:len(contenders)-1] {
			if base := simulate(other, time.Second, f, 1); got.attainment() < base.attainment() {
				t.Errorf("%s: attainment %.3f, that of %s %.3f", f, got.attainment(), other.name, base.attainment())
			}
		}
	}
}

// BenchmarkPolicies prints the tables of docs/design/routing.md.
func BenchmarkPolicies(b *testing.B) {
	for range b.N {
		var table strings.Builder
		table.WriteString("| fault of one engine | reports late by s | policy | attainment | prefix hits | p99 first token s | failed | attempts a request | longest engine queue |\n|---|---|---|---|---|---|---|---|---|\n")
		write := func(f fault, lag time.Duration, c contender) {
			fmt.Fprintf(&table, "| %s | %.1f | %s | %s |\n", f, lag.Seconds(), c.name, simulate(c, lag, f, 1).row())
		}
		for _, lag := range lags {
			for _, c := range contenders {
				write(healthy, lag, c)
			}
		}
		unprotected := contender{name: "chosen, no ejection", policy: Affinity{}, unprotected: true}
		for _, f := range []fault{slow, silent, blackHole, liar, dead} {
			for _, c := range append(contenders[:len(contenders):len(contenders)], unprotected) {
				write(f, time.Second, c)
			}
		}
		fmt.Print("\n" + table.String())
	}
}
