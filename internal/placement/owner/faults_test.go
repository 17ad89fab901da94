package owner_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/placement"
	"bilberryslip.example/bilberryslip/internal/placement/owner"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// faultyStore is one process's connection to the object store, with injected
// faults.
type faultyStore struct {
	objectstore.Store
	mu           sync.Mutex
	down         bool
	loseResponse bool
	// gate, if set, holds writes until it is closed.
	gate chan struct{}
	// waiting is the number of writes that were held by the gate.
	waiting atomic.Int32
}

func (s *faultyStore) before() (bool, error) {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil {
		s.waiting.Add(1)
		<-gate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false, &objectstore.UnavailableError{Outcome: objectstore.OutcomeUnknown, Cause: errors.New("down")}
	}
	return s.loseResponse, nil
}

func (s *faultyStore) after(obj objectstore.Object, err error, lose bool) (objectstore.Object, error) {
	if err == nil && lose {
		return objectstore.Object{}, &objectstore.UnavailableError{Outcome: objectstore.OutcomeUnknown, Cause: errors.New("response lost")}
	}
	return obj, err
}

func (s *faultyStore) Create(ctx context.Context, kind objectstore.Kind, name, id string, value json.RawMessage) (objectstore.Object, error) {
	lose, err := s.before()
	if err != nil {
		return objectstore.Object{}, err
	}
	obj, err := s.Store.Create(ctx, kind, name, id, value)
	return s.after(obj, err, lose)
}

func (s *faultyStore) Update(ctx context.Context, kind objectstore.Kind, name string, version objectstore.Version, id string, value json.RawMessage) (objectstore.Object, error) {
	lose, err := s.before()
	if err != nil {
		return objectstore.Object{}, err
	}
	obj, err := s.Store.Update(ctx, kind, name, version, id, value)
	return s.after(obj, err, lose)
}

// process is one candidate owner.
type process struct {
	owner   *owner.Owner
	lease   *fixedLease
	store   *faultyStore
	reports reportView
	cancel  context.CancelFunc
	ctx     context.Context
	// busy is closed when the last started cycle returns.
	busy chan struct{}
}

// reportView is a process's own view of the engines' reports. While frozen is set,
// it stays at an old state.
type reportView struct {
	*fleet
	frozen []endpoint.State
}

// States implements owner.Endpoints.
func (r *reportView) States() []endpoint.State {
	if r.frozen != nil {
		return r.frozen
	}
	return r.fleet.States()
}

// op is one event drawn by rapid. At is a tick and Length a number of ticks.
type op struct {
	At     int
	Kind   int
	Target int
	Length int
}

// Kinds of op.
const (
	opTakeover = iota
	opStaleHolder
	opKill
	opPauseWrite
	opPauseSend
	opKillSend
	opStoreDown
	opLoseResponse
	opStaleReports
	opVersion
	opDemand
	opDrain
	opRestart
	opDown
	opKinds
)

// scenario is the input of a run, drawn by rapid.
type scenario struct {
	seed      uint64
	zoneCount int
	fencing   []bool
	ops       []op
	// lossOfEndpoints allows engines to restart and to fail.
	lossOfEndpoints bool
	// ticks is the length of the faulty phase in seconds.
	ticks int
}

func drawScenario(t *rapid.T, zones int, lossOfEndpoints bool) scenario {
	kinds := opKinds
	if !lossOfEndpoints {
		kinds = opRestart
	}
	ops := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		return op{
			At:     rapid.IntRange(20, 380).Draw(t, "at"),
			Kind:   rapid.IntRange(0, kinds-1).Draw(t, "kind"),
			Target: rapid.IntRange(0, 5).Draw(t, "target"),
			Length: rapid.IntRange(1, 90).Draw(t, "length"),
		}
	}), 10, 60).Draw(t, "ops")
	return scenario{
		seed:            rapid.Uint64().Draw(t, "seed"),
		zoneCount:       zones,
		fencing:         rapid.SliceOfN(rapid.Bool(), 4, 4).Draw(t, "fencing"),
		ops:             ops,
		lossOfEndpoints: lossOfEndpoints,
		ticks:           400,
	}
}

const (
	testModels   = 6
	testLifetime = 40 * time.Second
)

// zoneRun is an availability zone with two candidate owners.
type zoneRun struct {
	name      string
	processes []*process
	term      int64
}

// run is the execution of a scenario.
type run struct {
	scenario
	fleet    *fleet
	store    *memstore.Store
	source   *source
	zones    []*zoneRun
	started  int
	versions []int
	demand   map[string]owner.Demand
	// scheduled holds the functions to call at each tick, such as those that
	// end a fault.
	scheduled  map[int][]func()
	pauses     []chan struct{}
	pause      chan struct{}
	wasReady   map[string]bool
	faulty     bool
	violations []string
}

func newRun(s scenario) *run {
	r := &run{
		scenario: s, fleet: newFleet(), store: memstore.New(), source: &source{},
		versions: make([]int, testModels), demand: make(map[string]owner.Demand),
		scheduled: make(map[int][]func()), wasReady: make(map[string]bool), faulty: true,
	}
	for i, fencing := range s.fencing {
		r.fleet.add(fmt.Sprintf("e%d", i), fmt.Sprintf("z%d", i%s.zoneCount), 10*gib, 2*gib, fencing)
	}
	r.fleet.outcome = r.drawOutcome
	r.fleet.queueCalls = true
	r.configure()
	for i := range s.zoneCount {
		z := &zoneRun{name: fmt.Sprintf("z%d", i)}
		z.processes = []*process{r.start(z.name), r.start(z.name)}
		z.takeover(0)
		r.zones = append(r.zones, z)
	}
	return r
}

func (r *run) start(zone string) *process {
	r.started++
	p := &process{lease: &fixedLease{}, store: &faultyStore{Store: r.store}, reports: reportView{fleet: r.fleet}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.owner = owner.New(owner.Config{
		Host: fmt.Sprintf("h%d", r.started), Incarnation: "1", Zone: zone, Store: p.store, Source: r.source,
		Endpoints: &p.reports, Lease: p.lease, Recorder: recorder{}, Now: r.fleet.clock,
		OrderLifetime: testLifetime, SettleDelay: 3 * time.Second,
		WeightStoreLimits: owner.WeightStoreLimits{LoadsPerSecond: 1, ParallelLoads: 4},
		Tuning:            placement.Tuning{MinResidence: 10 * time.Second},
		Demand:            func() map[string]owner.Demand { return r.demand },
	})
	return p
}

func (r *run) configure() {
	objects := r.fleet.objects()
	for i, version := range r.versions {
		model := fmt.Sprintf("m%d", i)
		objects = append(objects, modelObjects(model, fmt.Sprintf("%s-v%d", model, version), int64(3+i%2)*gib)...)
		objects = append(objects, adapterObject(model+"-a", model, gib/2), adapterObject(model+"-b", model, gib/2))
	}
	r.source.set(objects)
}

// drawOutcome depends on the seed and the order only, not on the sequence of calls.
func (r *run) drawOutcome(name string, order engineapi.Order) networkOutcome {
	if r.pause != nil {
		return networkOutcome{block: r.pause}
	}
	if !r.faulty {
		return networkOutcome{}
	}
	key := fmt.Sprint(r.seed, name, order.Action, order.Model, order.Version, order.Adapter, order.FencingToken)
	random := rand.New(rand.NewPCG(xxhash.Sum64String(key), r.seed))
	late := func() []time.Duration {
		return []time.Duration{time.Duration(random.Int64N(int64(testLifetime - 2*time.Second)))}
	}
	switch random.IntN(8) {
	case 0:
		return networkOutcome{lost: true}
	case 1:
		return networkOutcome{lost: true, late: late()}
	case 2:
		return networkOutcome{responseLost: true}
	case 3:
		return networkOutcome{late: late()}
	default:
		return networkOutcome{}
	}
}

func (z *zoneRun) takeover(target int) {
	z.term++
	for i, p := range z.processes {
		p.lease.set(i == target, z.term)
	}
}

func (z *zoneRun) holder() int {
	for i, p := range z.processes {
		if p.lease.Status().Held && p.lease.Status().Term == z.term {
			return i
		}
	}
	return 0
}

func (r *run) schedule(tick int, f func()) { r.scheduled[tick] = append(r.scheduled[tick], f) }

func (r *run) apply(tick int, o op) {
	end := tick + o.Length
	e := r.fleet.engines[o.Target%len(r.fleet.engines)]
	z := r.zones[o.Target%len(r.zones)]
	holder := z.holder()
	p := z.processes[holder]
	switch o.Kind {
	case opTakeover:
		z.takeover(1 - holder)
	case opStaleHolder:
		old := p.lease
		term := z.term
		z.takeover(1 - holder)
		old.set(true, term)
		r.schedule(end, func() {
			if old.Status().Term == term {
				old.set(false, z.term)
			}
		})
	case opKill:
		r.kill(z, holder)
	case opPauseWrite:
		gate := r.newPause(end)
		p.store.mu.Lock()
		p.store.gate = gate
		p.store.mu.Unlock()
		r.schedule(tick+1, func() {
			p.store.mu.Lock()
			p.store.gate = nil
			p.store.mu.Unlock()
			z.takeover(1 - holder)
		})
	case opPauseSend:
		r.pauseSends(tick, end)
		r.schedule(tick+2, func() { z.takeover(1 - holder) })
	case opKillSend:
		r.pauseSends(tick, end)
		r.schedule(tick+1, func() { r.kill(z, holder) })
	case opStoreDown:
		p.store.mu.Lock()
		p.store.down = true
		p.store.mu.Unlock()
		r.schedule(end, func() {
			p.store.mu.Lock()
			defer p.store.mu.Unlock()
			p.store.down = false
		})
	case opLoseResponse:
		p.store.mu.Lock()
		p.store.loseResponse = true
		p.store.mu.Unlock()
		r.schedule(tick+1, func() {
			p.store.mu.Lock()
			defer p.store.mu.Unlock()
			p.store.loseResponse = false
		})
	case opStaleReports:
		victim := z.processes[o.Length%2]
		victim.reports.frozen = r.fleet.States()
		r.schedule(end, func() { victim.reports.frozen = nil })
	case opVersion:
		r.versions[o.Target%testModels]++
		r.configure()
	case opDemand:
		r.demand = map[string]owner.Demand{fmt.Sprintf("m%d", o.Target%testModels): {TokensPerSecond: 3000}}
	case opDrain:
		r.setDraining(e, true)
		r.schedule(end, func() { r.setDraining(e, false) })
	case opRestart:
		r.fleet.restart(e)
	case opDown:
		e.down = true
		r.schedule(end, func() { e.down = false })
	}
}

func (r *run) kill(z *zoneRun, target int) {
	z.processes[target].cancel()
	z.processes[target] = r.start(z.name)
	z.takeover(1 - target)
}

// pauseSends holds the orders of this tick until the tick end.
func (r *run) pauseSends(tick, end int) {
	r.pause = r.newPause(end)
	r.schedule(tick+1, func() { r.pause = nil })
}

func (r *run) setDraining(e *engine, draining bool) {
	e.config.Draining = draining
	r.configure()
}

func (r *run) newPause(end int) chan struct{} {
	gate := make(chan struct{})
	r.pauses = append(r.pauses, gate)
	r.schedule(end, func() { r.release(gate) })
	return gate
}

func (r *run) release(gate chan struct{}) {
	select {
	case <-gate:
	default:
		close(gate)
	}
}

// cycle runs the process's next cycle unless an earlier one is still paused.
func (r *run) cycle(p *process) {
	if p.busy != nil {
		select {
		case <-p.busy:
		default:
			return
		}
	}
	done := make(chan struct{})
	p.busy = done
	go func() {
		defer close(done)
		_ = p.owner.Cycle(p.ctx)
	}()
	synctest.Wait()
}

func (r *run) tick(tick int) {
	for _, f := range r.scheduled[tick] {
		f()
	}
	for _, o := range r.ops {
		if o.At == tick && r.faulty {
			r.apply(tick, o)
		}
	}
	if r.faulty {
		r.churn(tick)
	}
	r.fleet.advance(time.Second)
	r.fleet.poll()
	for _, z := range r.zones {
		for _, p := range z.processes {
			r.cycle(p)
		}
	}
	r.fleet.serveCalls()
	synctest.Wait()
	r.checkReachable(tick)
}

// churn changes demand and versions, so that replicas move throughout the run.
func (r *run) churn(tick int) {
	random := rand.New(rand.NewPCG(r.seed, uint64(tick)))
	if tick%15 == 0 {
		r.demand = map[string]owner.Demand{fmt.Sprintf("m%d", random.IntN(testModels)): {TokensPerSecond: 60_000}}
	}
	if tick > 60 && tick%60 == 0 {
		r.versions[random.IntN(testModels)]++
		r.configure()
	}
}

// checkReachable records a violation if a model that was ready no longer is. It
// does not check runs that lose engines.
func (r *run) checkReachable(tick int) {
	for i := range testModels {
		model := fmt.Sprintf("m%d", i)
		switch {
		case r.fleet.ready(model) > 0:
			r.wasReady[model] = true
		case r.wasReady[model] && !r.lossOfEndpoints:
			r.violations = append(r.violations, fmt.Sprintf("second %d: %s has no ready replica", tick, model))
		}
	}
}

// execute runs the scenario, then four minutes without faults, and returns the
// violations.
func (r *run) execute() []string {
	for tick := range r.ticks {
		r.tick(tick)
		if len(r.fleet.failures)+len(r.violations) > 0 {
			break
		}
	}
	r.faulty = false
	for _, z := range r.zones {
		z.takeover(0)
	}
	for _, gate := range r.pauses {
		r.release(gate)
	}
	for tick := r.ticks; tick < r.ticks+240; tick++ {
		r.tick(tick)
	}
	for i := range testModels {
		model := fmt.Sprintf("m%d", i)
		if r.fleet.ready(model) == 0 {
			r.violations = append(r.violations, model+" is not ready four minutes after the last fault")
		}
	}
	for _, z := range r.zones {
		for _, p := range z.processes {
			p.cancel()
		}
	}
	synctest.Wait()
	r.fleet.serveCalls()
	synctest.Wait()
	return append(r.fleet.failures, r.violations...)
}

func checkScenarios(t *testing.T, zones int, lossOfEndpoints bool) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt, zones, lossOfEndpoints)
		var failures []string
		synctest.Test(t, func(*testing.T) { failures = newRun(s).execute() })
		if len(failures) > 0 {
			rt.Fatalf("%d failures, first: %s", len(failures), failures[0])
		}
	})
}

// TestOrderFaults checks that no engine is overcommitted and that every model
// keeps a ready replica. It guards against orders that are lost, late or
// duplicated, two candidate owners, owners that are paused before a write or a
// send or killed between the two, store outages, and engines that ignore fencing
// tokens.
func TestOrderFaults(t *testing.T) { checkScenarios(t, 1, false) }

// TestOrderFaultsAndLostEndpoints adds engines that restart or fail. It checks that
// every model is ready again after the faults.
func TestOrderFaultsAndLostEndpoints(t *testing.T) { checkScenarios(t, 1, true) }

// TestOrderFaultsInTwoZones has one owner in each of two availability zones. They
// rely on each other's replicas.
func TestOrderFaultsInTwoZones(t *testing.T) { checkScenarios(t, 2, false) }
