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

// The parameters of the simulation, in which 8 hosts choose among 9 engines of one
// availability zone.
const (
	simHosts   = 8
	simEngines = 9
	// simSlots is the number of requests that an engine runs concurrently.
	simSlots = 16
	// missPrefill and hitPrefill are the times to first token without and with
	// the prefix in the cache; generation is the time from then to the end.
	missPrefill = 250 * time.Millisecond
	hitPrefill  = 50 * time.Millisecond
	generation  = 1500 * time.Millisecond
	// reportPeriod is the time between two polls of an engine by a host.
	reportPeriod = 500 * time.Millisecond
	// responseTimeout is when a host gives up an attempt without a response.
	responseTimeout = 2 * time.Second
	// simLoad is the arrival rate as a fraction of the engines' capacity.
	simLoad     = 0.85
	simPrefixes = 300
	// cacheSize is the number of prefixes in an engine's cache.
	cacheSize = 64
	// eventLoss is the fraction of cache events that hosts miss.
	eventLoss   = 0.1
	simWarmUp   = 10 * time.Second
	simMeasured = 60 * time.Second
	// queueTimeout bounds the wait for an eligible engine.
	queueTimeout  = 5 * time.Second
	firstTokenSLO = 700 * time.Millisecond
)

// fault is the fault of the first engine; the others are healthy.
type fault string

const (
	healthy fault = "none"
	slow    fault = "slow (4 times)"
	// silent accepts requests and never responds.
	silent fault = "silent"
	// blackHole fails all requests within 5 ms and reports no load.
	blackHole fault = "black hole"
	// noLoad serves requests normally and reports no load.
	noLoad fault = "reports no load"
	dead   fault = "dead (dials fail)"
)

// variant is a policy under test, with or without the checks around it.
type variant struct {
	name   string
	policy Policy
	// noCapacityCheck omits the capacity check of Eligible.
	noCapacityCheck bool
	// unprotected omits outlier ejection and the penalties for failures and
	// slowness.
	unprotected bool
}

var variants = []variant{
	{name: "random", policy: Random{}, noCapacityCheck: true},
	{name: "least reported", policy: LeastReported{}, noCapacityCheck: true},
	{name: "two choices", policy: PowerOfTwo{}, noCapacityCheck: true},
	{name: "chosen", policy: Affinity{}},
}

// engineSim is a simulated engine with a queue and a prefix cache.
type engineSim struct {
	fault   fault
	running int
	queue   []*callSim
	cache   *simplelru.LRU[uint64, struct{}]
	events  []cacheEvent
	// loads is the history of the load, from which delayed reports are read.
	loads []loadSample
	// maxQueue is the greatest length of the queue.
	maxQueue int
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

// callSim is a simulated request.
type callSim struct {
	host, engine int
	prefix       uint64
	arrived      time.Time
	sent         time.Time
	tried        []string
	attempts     int
	// measured is set for requests that arrive after the warm-up.
	measured bool
}

// hostSim is a simulated host.
type hostSim struct {
	states []endpoint.State
	// eventsRead is the number of cache events read from each engine.
	eventsRead []int
	// sentLog is the history of the host's running requests at each engine.
	sentLog [][]loadSample
	latency []endpoint.Latency
	ejector *endpoint.Ejector
	budget  *repeat.Budget
}

// event is a scheduled function call in the simulation.
type event struct {
	at time.Time
	do func(now time.Time)
}

// eventQueue implements heap.Interface, ordered by time.
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
	variant variant
	// lag is the age of load reports and cache events when hosts read them.
	lag     time.Duration
	rng     *rand.Rand
	zipf    *rand.Zipf
	queue   eventQueue
	engines []*engineSim
	hosts   []*hostSim

	// The counts are of measured requests. attained counts those whose first token
	// met firstTokenSLO, starts those that an engine began to run.
	requests, attained, failed, attempts, hits, starts int
	firstTokens                                        []time.Duration
}

var simStart = time.Unix(1000, 0)

// simulate runs the simulation for the warm-up and the measured time.
func simulate(c variant, lag time.Duration, f fault, seed uint64) *simulation {
	s := &simulation{variant: c, lag: lag, rng: rand.New(rand.NewPCG(seed, 0))}
	s.zipf = rand.NewZipf(s.rng, 1.1, 8, simPrefixes-1)
	for i := range simEngines {
		e := &engineSim{fault: healthy}
		if i == 0 {
			e.fault = f
		}
		cache, err := simplelru.NewLRU[uint64, struct{}](cacheSize, func(p uint64, _ struct{}) { s.publish(e, p, true) })
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
		eventsRead: make([]int, simEngines), sentLog: make([][]loadSample, simEngines), latency: make([]endpoint.Latency, simEngines),
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

// poll reads each engine's load report and cache events as of the lag ago.
func (s *simulation) poll(now time.Time, host int) {
	s.at(now, reportPeriod, func(now time.Time) { s.poll(now, host) })
	h := s.hosts[host]
	asOf := now.Add(-s.lag)
	for i, e := range s.engines {
		sample := sampleAt(e.loads, asOf)
		state := &h.states[i]
		state.Report.Running, state.Report.Queued = sample.running, sample.queued
		if e.fault == noLoad || e.fault == blackHole {
			state.Report.Running, state.Report.Queued = 0, 0
		}
		state.ReportedAt = now
		for h.eventsRead[i] < len(e.events) && !e.events[h.eventsRead[i]].at.After(asOf) {
			s.applyCacheEvent(h, i, e.events[h.eventsRead[i]])
			h.eventsRead[i]++
		}
	}
}

// applyCacheEvent updates the host's record of an engine's cache, except that some
// events are lost.
func (s *simulation) applyCacheEvent(h *hostSim, engine int, ev cacheEvent) {
	switch {
	case s.rng.Float64() < eventLoss:
	case ev.removed:
		h.states[engine].Prefixes.Remove("m", ev.prefix)
	default:
		h.states[engine].Prefixes.Add("m", ev.prefix)
	}
}

// sampleAt returns the last sample that is not after when.
func sampleAt(samples []loadSample, when time.Time) loadSample {
	i := sort.Search(len(samples), func(i int) bool { return samples[i].at.After(when) })
	if i == 0 {
		return loadSample{}
	}
	return samples[i-1]
}

// publish adds a cache event at the time of the engine's last load sample.
func (s *simulation) publish(e *engineSim, prefix uint64, removed bool) {
	now := simStart
	if n := len(e.loads); n > 0 {
		now = e.loads[n-1].at
	}
	e.events = append(e.events, cacheEvent{now, prefix, removed})
}

// currentStates returns the host's endpoint states for a choice, with the fields
// that depend on the time.
func (s *simulation) currentStates(now time.Time, h *hostSim) []endpoint.State {
	states := append([]endpoint.State(nil), h.states...)
	ejected := h.ejector.Ejected(now)
	for i := range states {
		atReport := sampleAt(h.sentLog[i], states[i].ReportedAt.Add(-s.lag)).running
		states[i].InFlightDelta = states[i].InFlight - atReport
		states[i].ReportAge = now.Sub(states[i].ReportedAt) + s.lag
		if !s.variant.unprotected {
			states[i].FirstTokenLatency = map[string]time.Duration{"m": h.latency[i].Mean(now)}
			states[i].Ejected = ejected[states[i].Config.GetName()]
			states[i].Penalty = h.ejector.Penalty(now, states[i].Config.GetName())
		}
	}
	return states
}

// send chooses an engine and starts an attempt there. If none is eligible, it tries
// again in 10 ms until queueTimeout.
func (s *simulation) send(now time.Time, call *callSim) {
	h := s.hosts[call.host]
	req := Request{Zone: "qce-1", Model: "m", Version: "v", Prefix: call.prefix, Tried: call.tried}
	states := s.currentStates(now, h)
	eligible, reason := Eligible(states, req)
	if s.variant.noCapacityCheck {
		eligible, reason = filter(states, (*endpoint.State).Available), ReasonNone
	}
	if reason != ReasonNone {
		if now.Sub(call.arrived) > queueTimeout {
			s.fail(call)
			return
		}
		s.at(now, 10*time.Millisecond, func(now time.Time) { s.send(now, call) })
		return
	}
	chosen := eligible[s.variant.policy.Choose(s.rng, eligible, req)].Config.GetName()
	for i := range h.states {
		if h.states[i].Config.GetName() == chosen {
			call.engine = i
		}
	}
	s.addInFlight(now, call, 1)
	h.states[call.engine].Prefixes.Add("m", call.prefix)
	s.deliver(now, call)
}

// addInFlight changes the host's number of running requests at the call's engine.
func (s *simulation) addInFlight(now time.Time, call *callSim, change int) {
	h := s.hosts[call.host]
	h.states[call.engine].InFlight += change
	h.sentLog[call.engine] = append(h.sentLog[call.engine], loadSample{at: now, running: h.states[call.engine].InFlight})
}

// deliver handles the arrival of a request at its engine.
func (s *simulation) deliver(now time.Time, call *callSim) {
	e := s.engines[call.engine]
	call.sent = now
	call.attempts++
	if call.measured {
		s.attempts++
	}
	switch e.fault {
	case silent:
		s.at(now, responseTimeout, func(now time.Time) { s.attemptFailed(now, call) })
	case blackHole:
		s.at(now, 5*time.Millisecond, func(now time.Time) { s.attemptFailed(now, call) })
	case dead:
		s.attemptFailed(now, call)
	default:
		e.queue = append(e.queue, call)
		s.serve(now, e)
	}
}

// serve starts queued requests while the engine has free slots.
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
		s.recordFirstToken(now.Add(factor*prefill), call, hit)
		s.at(now, factor*prefill, func(now time.Time) {
			s.hosts[call.host].latency[call.engine].Observe(now, now.Sub(call.sent))
		})
		s.at(now, factor*(prefill+generation), func(now time.Time) { s.done(now, e, call) })
	}
	e.loads = append(e.loads, loadSample{now, e.running, len(e.queue)})
	e.maxQueue = max(e.maxQueue, len(e.queue))
}

// recordFirstToken records the time to first token of a measured request.
func (s *simulation) recordFirstToken(when time.Time, call *callSim, hit bool) {
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
	s.addInFlight(now, call, -1)
	h := s.hosts[call.host]
	h.ejector.Observe(now, h.states[call.engine].Config.GetName(), endpoint.OutcomeAnswered)
}

// attemptFailed handles a failed attempt: it retries the request within the retry
// budget, at most three attempts in total.
func (s *simulation) attemptFailed(now time.Time, call *callSim) {
	h := s.hosts[call.host]
	name := h.states[call.engine].Config.GetName()
	s.addInFlight(now, call, -1)
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

// row returns the result cells of one row of the tables of BenchmarkPolicies.
func (s *simulation) row() string {
	sort.Slice(s.firstTokens, func(i, j int) bool { return s.firstTokens[i] < s.firstTokens[j] })
	p99 := s.firstTokens[len(s.firstTokens)*99/100]
	longest := 0
	for _, e := range s.engines {
		longest = max(longest, e.maxQueue)
	}
	return fmt.Sprintf("%.3f | %.3f | %.2f | %.4f | %.3f | %d", s.attainment(), float64(s.hits)/float64(s.starts),
		p99.Seconds(), float64(s.failed)/float64(s.requests), s.attemptsPerRequest(), longest)
}

// attainment returns the fraction of requests whose first token met the SLO.
func (s *simulation) attainment() float64 { return float64(s.attained) / float64(s.requests) }

// attemptsPerRequest returns the number of attempts per request.
func (s *simulation) attemptsPerRequest() float64 { return float64(s.attempts) / float64(s.requests) }

var lags = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}

// TestChosenPolicy checks the bounds on the policy in use: a faulty endpoint
// multiplies the load by at most 1.1 through retries, fast errors attract no
// requests, and the SLO attainment is no lower than that of the baseline policies.
func TestChosenPolicy(t *testing.T) {
	chosen := variants[len(variants)-1]
	for _, f := range []fault{healthy, slow, silent, blackHole, noLoad, dead} {
		got := simulate(chosen, time.Second, f, 1)
		if got.attemptsPerRequest() > 1.1 {
			t.Errorf("%s: the load was multiplied by %.3f", f, got.attemptsPerRequest())
		}
		for _, other := range variants[:len(variants)-1] {
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
		write := func(f fault, lag time.Duration, c variant) {
			fmt.Fprintf(&table, "| %s | %.1f | %s | %s |\n", f, lag.Seconds(), c.name, simulate(c, lag, f, 1).row())
		}
		for _, lag := range lags {
			for _, c := range variants {
				write(healthy, lag, c)
			}
		}
		unprotected := variant{name: "chosen, no ejection", policy: Affinity{}, unprotected: true}
		for _, f := range []fault{slow, silent, blackHole, noLoad, dead} {
			for _, c := range append(variants[:len(variants):len(variants)], unprotected) {
				write(f, time.Second, c)
			}
		}
		fmt.Print("\n" + table.String())
	}
}
