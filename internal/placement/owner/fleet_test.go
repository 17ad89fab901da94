package owner_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/placement"
)

const (
	gib      = int64(1) << 30
	loadTime = 3 * time.Second
)

// engine is a fake model engine. It allocates memory for every load without
// checking its limit, and counts the bytes in use.
type engine struct {
	config      *apiv1.Endpoint
	incarnation int
	sequence    int64
	fence       int64
	items       map[placement.Item]*heldItem
	settled     []engineapi.SettledOrder
	down        bool
	state       endpoint.State
}

type heldItem struct {
	bytes   int64
	readyAt time.Time
	orderID string
	ready   bool
}

func (e *engine) used() int64 {
	total := int64(0)
	for _, item := range e.items {
		total += item.bytes
	}
	return total
}

func (e *engine) settle(id string, done bool) {
	e.settled = append(e.settled, engineapi.SettledOrder{ID: id, Succeeded: done})
}

// networkOutcome is what the network does to one order.
type networkOutcome struct {
	// lost is set if the call itself delivers no copy.
	lost bool
	// responseLost is set if the response does not reach the sender.
	responseLost bool
	// late holds the delays of copies that arrive after the call.
	late []time.Duration
	// block, if set, holds the send until it is closed.
	block chan struct{}
}

// delivery is a copy of an order that arrives at a later time.
type delivery struct {
	at    time.Time
	name  string
	order engineapi.Order
}

// fleet is a set of fake engines in virtual time.
type fleet struct {
	mu       sync.Mutex
	now      time.Time
	engines  []*engine
	pending  []delivery
	outcome  func(name string, order engineapi.Order) networkOutcome
	failures []string
	orders   []engineapi.Order
	// adapterPeak is the highest number of adapters loading at the same time.
	adapterPeak int
	// queueCalls makes calls wait for serveCalls, which serves them in a sorted
	// order, so that a run does not depend on the goroutine scheduler.
	queueCalls bool
	calls      []*networkCall
}

// networkCall is a call that waits for serveCalls.
type networkCall struct {
	name    string
	order   engineapi.Order
	outcome networkOutcome
	result  engineapi.OrderResult
	err     error
	done    chan struct{}
}

func newFleet() *fleet {
	return &fleet{now: time.Unix(1_700_000_000, 0)}
}

func (f *fleet) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fleet) add(name, zone string, memory, adapters int64, fencing bool) *engine {
	e := &engine{
		config: &apiv1.Endpoint{
			Name: name, Zone: zone, Kind: apiv1.EndpointKind_ENDPOINT_KIND_ENGINE,
			MemoryBytes: memory, AdapterMemoryBytes: adapters, ChecksFencing: fencing,
		},
		items: make(map[placement.Item]*heldItem),
	}
	f.engines = append(f.engines, e)
	return e
}

func (f *fleet) engine(name string) *engine {
	for _, e := range f.engines {
		if e.config.Name == name {
			return e
		}
	}
	return nil
}

// Order implements owner.Endpoints.
func (f *fleet) Order(ctx context.Context, name string, order engineapi.Order) (engineapi.OrderResult, error) {
	call := &networkCall{name: name, order: order, done: make(chan struct{})}
	f.mu.Lock()
	if f.outcome != nil {
		call.outcome = f.outcome(name, order)
	}
	f.mu.Unlock()
	if call.outcome.block != nil {
		<-call.outcome.block
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return engineapi.OrderResult{}, ctx.Err()
	}
	if !f.queueCalls {
		f.serve(call)
		return call.result, call.err
	}
	f.calls = append(f.calls, call)
	f.mu.Unlock()
	<-call.done
	f.mu.Lock()
	return call.result, call.err
}

// serveCalls serves the waiting calls.
func (f *fleet) serveCalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := func(c *networkCall) string {
		return fmt.Sprint(c.name, c.order.FencingToken, c.order.Action, c.order.Model, c.order.Version, c.order.Adapter)
	}
	slices.SortFunc(f.calls, func(a, b *networkCall) int { return strings.Compare(key(a), key(b)) })
	for _, call := range f.calls {
		f.serve(call)
		close(call.done)
	}
	f.calls = nil
}

func (f *fleet) serve(call *networkCall) {
	f.orders = append(f.orders, call.order)
	for _, delay := range call.outcome.late {
		f.pending = append(f.pending, delivery{f.now.Add(delay), call.name, call.order})
	}
	e := f.engine(call.name)
	call.err = errors.New("no response")
	if call.outcome.lost || e.down {
		return
	}
	accepted := f.deliver(e, call.order)
	if !call.outcome.responseLost {
		call.result, call.err = engineapi.OrderResult{Accepted: accepted}, nil
	}
}

// deliver executes an order. The engine checks neither memory nor incarnation nor
// identifiers, and the fencing token only if it is configured to do so.
func (f *fleet) deliver(e *engine, order engineapi.Order) bool {
	if e.config.ChecksFencing {
		if order.FencingToken < e.fence {
			return false
		}
		e.fence = order.FencingToken
	}
	item := placement.Item{Model: order.Model, Version: order.Version, Adapter: order.Adapter}
	held := e.items[item]
	switch order.Action {
	case engineapi.ActionLoadModel, engineapi.ActionLoadAdapter:
		if held != nil {
			e.settle(order.ID, true)
			return true
		}
		e.items[item] = &heldItem{bytes: order.Bytes, readyAt: f.now.Add(loadTime), orderID: order.ID}
		f.adapterPeak = max(f.adapterPeak, f.adaptersLoading())
		if e.used() > e.config.MemoryBytes {
			f.failures = append(f.failures, fmt.Sprintf("%s overcommitted by %s: %d of %d bytes", e.config.Name, item, e.used(), e.config.MemoryBytes))
		}
	case engineapi.ActionUnloadModel:
		if e.orphansAdapters(item) {
			e.settle(order.ID, false)
			return false
		}
		fallthrough
	default:
		if held != nil && !held.ready {
			e.settle(held.orderID, false)
		}
		delete(e.items, item)
		e.settle(order.ID, true)
	}
	return true
}

func (f *fleet) adaptersLoading() int {
	count := 0
	for _, e := range f.engines {
		for item, held := range e.items {
			if item.IsAdapter() && !held.ready {
				count++
			}
		}
	}
	return count
}

// orphansAdapters reports whether an unload of the model would leave adapters
// without their model.
func (e *engine) orphansAdapters(model placement.Item) bool {
	orphans := false
	for item := range e.items {
		if item.Model != model.Model || item == model {
			continue
		}
		if !item.IsAdapter() {
			return false
		}
		orphans = true
	}
	return orphans
}

// advance moves the clock forward, delivers late orders and finishes loads.
func (f *fleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	var rest []delivery
	for _, late := range f.pending {
		e := f.engine(late.name)
		switch {
		case late.at.After(f.now):
			rest = append(rest, late)
		case !e.down:
			f.deliver(e, late.order)
		}
	}
	f.pending = rest
	for _, e := range f.engines {
		for _, held := range e.items {
			if !held.ready && !held.readyAt.After(f.now) {
				held.ready = true
				e.settle(held.orderID, true)
			}
		}
	}
}

// poll takes a new report of each engine that is up.
func (f *fleet) poll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.down {
			e.state.Reachable = false
			continue
		}
		e.sequence++
		e.state = endpoint.State{Config: e.config, Reachable: true, ReportedAt: f.now, Report: e.report()}
	}
}

func (e *engine) report() engineapi.Report {
	report := engineapi.Report{
		Incarnation: fmt.Sprintf("%s-%d", e.config.Name, e.incarnation),
		Sequence:    e.sequence,
		MemoryBytes: e.config.MemoryBytes,
		UsedBytes:   e.used(),
		Settled:     append([]engineapi.SettledOrder(nil), e.settled...),
	}
	for item, held := range e.items {
		state := engineapi.ItemLoading
		if held.ready {
			state = engineapi.ItemReady
		}
		if item.IsAdapter() {
			report.Adapters = append(report.Adapters, engineapi.HeldAdapter{Adapter: item.Adapter, Model: item.Model, State: state, Bytes: held.bytes})
			continue
		}
		report.Models = append(report.Models, engineapi.HeldModel{Model: item.Model, Version: item.Version, State: state, Bytes: held.bytes})
	}
	return report
}

// restart gives an engine a new incarnation without any items.
func (f *fleet) restart(e *engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.incarnation++
	e.sequence, e.fence, e.settled = 0, 0, nil
	e.items = make(map[placement.Item]*heldItem)
}

// States implements owner.Endpoints.
func (f *fleet) States() []endpoint.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := make([]endpoint.State, 0, len(f.engines))
	for _, e := range f.engines {
		state := e.state
		state.Config = e.config
		states = append(states, state)
	}
	return states
}

// ready counts the ready replicas of a model, of any version, on engines that
// are up.
func (f *fleet) ready(model string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, e := range f.engines {
		for item, held := range e.items {
			if item.Model == model && !item.IsAdapter() && held.ready && !e.down {
				count++
			}
		}
	}
	return count
}

func (f *fleet) holds(name string, item placement.Item) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.engine(name).items[item]
	return held != nil && held.ready
}

// fixedLease is a lease whose status is set by the test.
type fixedLease struct {
	mu     sync.Mutex
	status lease.Status
}

func (l *fixedLease) Status() lease.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

func (l *fixedLease) RaiseTerm(int64) {}

func (l *fixedLease) set(held bool, term int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = lease.Status{Held: held, Term: term}
}

// source is a config.Source whose snapshot is set by the test.
type source struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
}

func (s *source) Current() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *source) Changed() <-chan struct{} { return nil }

func (s *source) set(objects []*apiv1.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = config.NewSnapshot(1, objects)
}

func modelObjects(name, version string, bytes int64) []*apiv1.Object {
	return []*apiv1.Object{
		{Spec: &apiv1.Object_Model{Model: &apiv1.Model{Name: name, ServingVersion: version}}},
		{Spec: &apiv1.Object_ModelVersion{ModelVersion: &apiv1.Version{Name: version, Model: name, MemoryBytes: bytes, Weights: version}}},
	}
}

func adapterObject(name, model string, bytes int64) *apiv1.Object {
	return &apiv1.Object{Spec: &apiv1.Object_Adapter{Adapter: &apiv1.Adapter{Name: name, Model: model, MemoryBytes: bytes}}}
}

func (f *fleet) objects() []*apiv1.Object {
	var objects []*apiv1.Object
	for _, e := range f.engines {
		objects = append(objects, &apiv1.Object{Spec: &apiv1.Object_Endpoint{Endpoint: e.config}})
	}
	return objects
}

// recorder discards decisions.
type recorder struct{}

func (recorder) Record(*apiv1.Decision) string { return "" }
