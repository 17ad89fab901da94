package orders

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

// fakeEngine is an engine that crashes if its adapter slots or memory are
// exceeded, as real engines do.
type fakeEngine struct {
	orders       int64
	models       map[string]fleet.Adapters
	adapterSlots int
	modelSlots   int
	crashed      bool
	// busy is set while the engine carries out an order of another holder.
	busy bool
	// loseResponses is the number of orders that take effect without a response,
	// drop the number that are lost, and delay the number that are put into
	// delayed, from where the test applies them later.
	loseResponses, drop, delay int
	delayed                    []Order
	// silent engines get no orders and send no reports; hanging ones are silent until the
	// call's time limit. slowUnloads keeps adapters after
	// an accepted order to unload them, as if requests used them.
	silent, hangs, slowUnloads bool
}

// fakeEngines implements Engines and records the orders received.
type fakeEngines struct {
	mu       sync.Mutex
	engines  map[string]*fakeEngine
	received []Order
	// slow makes orders arrive at the end of their time limit; lastArrival is when
	// the last order arrived.
	slow        bool
	lastArrival time.Time
}

func (f *fakeEngines) Order(ctx context.Context, e fleet.Endpoint, o Order) (Result, error) {
	if f.slow || f.hanging(e.ID) {
		<-ctx.Done()
	}
	f.mu.Lock()
	f.lastArrival = clock.Boot()
	defer f.mu.Unlock()
	f.received = append(f.received, o)
	engine := f.engines[e.ID]
	switch {
	case engine.silent || engine.hangs:
		return Refused, errors.New("no response")
	case engine.drop > 0:
		engine.drop--
		return Refused, errors.New("no response")
	case engine.delay > 0:
		engine.delay--
		engine.delayed = append(engine.delayed, o)
		return Refused, errors.New("no response")
	}
	result := engine.apply(o)
	if engine.loseResponses > 0 {
		engine.loseResponses--
		return Refused, errors.New("no response")
	}
	return result, nil
}

func (e *fakeEngine) apply(o Order) Result {
	adapters, held := e.models[o.Model]
	if o.Adapter != "" {
		held = held && adapters[o.Adapter]
	}
	if held == (o.Action == Load) {
		return AlreadyApplied
	}
	if o.ExpectedOrders != e.orders {
		return Conflict
	}
	e.orders++
	switch {
	case o.Adapter != "" && o.Action == Load:
		e.models[o.Model][o.Adapter] = true
	case o.Adapter != "":
		if !e.slowUnloads {
			delete(e.models[o.Model], o.Adapter)
		}
	case o.Action == Load:
		e.models[o.Model] = fleet.Adapters{}
	default:
		delete(e.models, o.Model)
	}
	count := 0
	for _, list := range e.models {
		count += len(list)
	}
	e.crashed = e.crashed || count > e.adapterSlots || len(e.models) > e.modelSlots
	return Accepted
}

func (f *fakeEngines) hanging(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[id].hangs
}

func (f *fakeEngines) Report(ctx context.Context, e fleet.Endpoint) (State, error) {
	if f.hanging(e.ID) {
		<-ctx.Done()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	engine := f.engines[e.ID]
	if engine.silent || engine.hangs {
		return State{}, errors.New("no response")
	}
	return State{AcceptedOrders: engine.orders, Models: cloneModels(engine.models), Busy: engine.busy}, nil
}

type fakeLease struct {
	status lease.Status
	// afterCalls, if set, replaces status after so many calls of Status.
	afterCalls int
	next       lease.Status
}

func (f *fakeLease) Status() lease.Status {
	if f.afterCalls > 0 {
		if f.afterCalls--; f.afterCalls == 0 {
			defer func() { f.status = f.next }()
		}
	}
	return f.status
}

func (f *fakeLease) UpdateFromPeer(lease.Value, objectstore.Version) {}

func (f *fakeLease) ReadAgain() {}
func (f *fakeEngines) inspect(id string, check func(*fakeEngine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	check(f.engines[id])
}

type fakeSource struct{ config *traffic.Config }

func (f *fakeSource) Current() *traffic.Config { return f.config }

var _ = Describe("Orders to engines", func() {
	var (
		engines  *fakeEngines
		registry *fleet.Registry
		holder   *fakeLease
		service  *Service
	)
	BeforeEach(func() {
		engines = &fakeEngines{engines: map[string]*fakeEngine{
			"e1": {orders: 3, models: map[string]fleet.Adapters{"m": {}}, adapterSlots: 2, modelSlots: 2},
		}}
		registry = fleet.NewRegistry(fleet.Config{Zone: "z"})
		registry.Replace([]fleet.Endpoint{{
			ID: "e1", Service: "llm", Address: "127.0.0.1:1", Zone: "z", Slots: 4, Models: map[string]fleet.Adapters{"m": {}},
		}})
		holder = &fakeLease{status: lease.Status{Held: true, Term: 1, Version: 9, Until: clock.Boot().Add(time.Hour)}}
		service = New(Config{
			Host: "h1", Registry: registry, Engines: engines, Lease: holder, LeaseTime: 50 * time.Millisecond,
			LoadWindow: 5 * time.Second, LoadOverage: 1,
			Source: &fakeSource{traffic.NewConfig(traffic.Spec{Services: []traffic.Service{{Name: "llm", Engine: &traffic.Engine{
				MemoryMB: 25, AdapterSlots: 2, LoadsPerSecond: 2,
				Models: []traffic.Model{{Name: "m", MemoryMB: 10, AdapterMB: 1}, {Name: "n", MemoryMB: 10, AdapterMB: 1}},
			}}}})},
		})
	})
	place := func(adapter string) string {
		return service.Place(context.Background(), &fleetv1.PlaceRequest{Service: "llm", Model: "m", Adapter: adapter}).GetEndpoint()
	}

	It("load an adapter once for several requests", func() {
		Expect(place("a1")).To(Equal("e1"))
		Expect(place("a1")).To(Equal("e1"))
		Expect(engines.received).To(HaveLen(1))
		Expect(engines.received[0]).To(Equal(Order{Action: Load, Model: "m", Adapter: "a1", ExpectedOrders: 3, Holder: "h1", FencingToken: 9}))
	})

	It("never exceed an engine's adapter slots, and evict the idle adapter", func() {
		Expect(place("a1")).To(Equal("e1"))
		Expect(place("a2")).To(Equal("e1"))
		Expect(place("a3")).To(BeEmpty(), "both adapters were requested just now")
		service.mu.Lock()
		service.views["e1"].lastUsed[adapterKey{"m", "a1"}] = time.Now().Add(-time.Minute)
		service.mu.Unlock()
		Expect(place("a3")).To(Equal("e1"))
		engines.inspect("e1", func(e *fakeEngine) {
			Expect(e.crashed).To(BeFalse())
			Expect(e.models["m"]).To(Equal(fleet.Adapters{"a2": true, "a3": true}))
		})
	})

	It("are not sent again if the engine's report shows that they were accepted before the response was lost", func() {
		engines.engines["e1"].loseResponses = 1
		Expect(place("a1")).To(Equal("e1"))
		Expect(engines.received).To(HaveLen(1))
	})

	It("are sent again after they were lost", func() {
		engines.engines["e1"].drop = 1
		Expect(place("a1")).To(Equal("e1"))
		Expect(engines.received).To(HaveLen(2))
	})

	It("are rejected by the engine if they arrive after a later one", func() {
		engines.engines["e1"].delay = maxAttempts
		Expect(place("a1")).To(BeEmpty())
		Expect(place("a2")).To(Equal("e1"))
		Expect(place("a3")).To(Equal("e1"))
		engines.inspect("e1", func(e *fakeEngine) {
			for _, o := range e.delayed {
				Expect(e.apply(o)).To(Equal(Conflict))
			}
			Expect(e.crashed).To(BeFalse())
		})
	})

	It("are not sent without the lease, nor while another holder may still send them", func() {
		holder.status.Held = false
		Expect(place("a1")).To(BeEmpty())
		holder.status = lease.Status{Held: true, Term: 2, Version: 12, Until: clock.Boot().Add(time.Hour), PreviousUntil: clock.Boot()}
		Expect(place("a1")).To(BeEmpty())
		service.config.LeaseTime = -takeoverMargin
		holder.status.Held = false
		Expect(place("a1")).To(BeEmpty())
		holder.status.Held = true
		Expect(place("a1")).To(Equal("e1"))
	})

	// Guards against orders of two holders less than the lease's duration apart, if the
	// earlier holder loses the lease while its last order is on the way.
	It("wait for the lease's duration after the last order of another holder has arrived", func() {
		engines.slow = true
		holder.afterCalls, holder.next = 3, lease.Status{} // lost as soon as the order may be sent
		lost := clock.Boot()
		Expect(place("a1")).To(Equal("e1"))
		Expect(engines.received).To(HaveLen(1))
		Expect(service.mayOrder()).To(BeFalse())
		holder.status = lease.Status{Held: true, Term: 2, Version: 12, Until: clock.Boot().Add(time.Hour), PreviousUntil: lost}
		service.mayOrder() // as the next holder would
		Expect(service.actsFrom.Sub(engines.lastArrival)).To(BeNumerically(">=", service.config.LeaseTime))
	})

	// A restore of the store voids the lease at any moment, and its version with it.
	It("never carry the token of a lease that was lost since the last check", func() {
		for calls := range 8 {
			holder.status = lease.Status{Held: true, Term: 1, Version: 9, Until: clock.Boot().Add(time.Hour)}
			holder.afterCalls, holder.next = calls, lease.Status{}
			place(fmt.Sprint("a", calls))
			for _, o := range engines.received {
				Expect(o.FencingToken).To(BeEquivalentTo(9))
			}
		}
	})

	It("check free memory against the engine's report, not against its older entry", func() {
		engines.engines["e1"].models["n"] = fleet.Adapters{} // loaded after the entry was written, as by another holder
		c := change{engine: "e1", model: "n"}
		config := service.config.Source.Current()
		service.planInput(config.Service("llm"))
		Expect(service.start(context.Background(), config.Service("llm"), c)).To(BeTrue())
		Eventually(service.changesInProgress).Should(BeZero())
		engines.inspect("e1", func(e *fakeEngine) {
			Expect(e.crashed).To(BeFalse())
			Expect(e.orders).To(Equal(int64(3)), "the engine holds it already")
		})
	})

	// Guards against the unload of a model's last copy, since the plan counts one that is
	// about to be unloaded elsewhere.
	It("don't count a copy of a model that waits for its unload", func() {
		service.changing["e1"] = change{engine: "e1", model: "n", victims: []string{"m"}}
		in := service.planInput(service.config.Source.Current().Service("llm"))
		Expect(in.engines).To(HaveLen(1))
		Expect(in.engines[0].models).To(Equal([]string{"n"}))
	})

	// Guards against an engine that is left with neither the model that it had nor the one
	// that it was to have, since its holder ended between the unload and the load.
	It("start no change of models while the host shuts down", func() {
		service.config.MayStart = func() bool { return false }
		service.RecordDemand("llm", "n", "", 12_500)
		service.plan(context.Background())
		Expect(service.Idle()).To(BeTrue())
		Expect(place("a1")).To(Equal("e1"), "adapters are loaded until the lease is released")
	})

	// After a restart of the holder, an engine goes on with the order that it got
	// before. The planner used to choose that engine in each cycle, in vain, and to
	// place the model nowhere else.
	It("go to an engine that is free, not to one that is busy with an earlier holder's order", func() {
		engines.engines["e1"].busy = true
		engines.engines["e2"] = &fakeEngine{models: map[string]fleet.Adapters{"m": {}}, adapterSlots: 2, modelSlots: 2}
		copies := map[string]bool{"n": true}
		registry.Replace([]fleet.Endpoint{
			{ID: "e1", Service: "llm", Address: "127.0.0.1:1", Models: map[string]fleet.Adapters{"m": {}}, Copies: copies},
			{ID: "e2", Service: "llm", Address: "127.0.0.1:2", Models: map[string]fleet.Adapters{"m": {}}, Copies: map[string]bool{}},
		})
		service.RecordDemand("llm", "n", "", 12_500) // not enough for two replicas
		service.plan(context.Background())
		Eventually(service.changesInProgress).Should(BeZero())
		engines.inspect("e2", func(e *fakeEngine) { Expect(e.models).To(HaveKey("n")) })
		Expect(engines.received).To(HaveEach(HaveField("Model", "n")))
		Expect(engines.received).To(HaveLen(1))
	})

	// Guards against loads on engines of a zone that the operators have evacuated, and
	// against counting these as replicas, so that no other engine takes over their models.
	It("leave out engines of an evacuated zone, whose models others take over, until it ends", func() {
		engines.engines["e2"] = &fakeEngine{models: map[string]fleet.Adapters{}, adapterSlots: 2, modelSlots: 2}
		zone := "z"
		registry = fleet.NewRegistry(fleet.Config{Zone: "z", Evacuated: func(name string) bool { return name == zone }})
		registry.Replace([]fleet.Endpoint{
			{ID: "e1", Service: "llm", Address: "127.0.0.1:1", Zone: "z", Models: map[string]fleet.Adapters{"m": {}}},
			{ID: "e2", Service: "llm", Address: "127.0.0.1:2", Zone: "y", Models: map[string]fleet.Adapters{}},
		})
		service.config.Registry = registry
		Expect(place("a1")).To(BeEmpty(), "only the engine of the evacuated zone holds the model")
		service.RecordDemand("llm", "m", "", 1000)
		service.plan(context.Background())
		Eventually(service.changesInProgress, "3s").Should(BeZero())
		engines.inspect("e2", func(e *fakeEngine) { Expect(e.models).To(HaveKey("m")) })
		engines.inspect("e1", func(e *fakeEngine) { Expect(e.orders).To(BeEquivalentTo(3)) })
		v := newView(registry.Endpoints()[0], &sentLoads{})
		Expect(service.order(context.Background(), v, Order{Action: Load, Model: "n"}, nil)).To(MatchError(errEvacuated))
		zone = ""
		Expect(service.planInput(service.config.Source.Current().Service("llm")).engines).To(HaveLen(2))
		Expect(service.views["e1"].stale).To(BeTrue(), "its report is to be read again")
	})

	It("keep a peer's demand when a report omits demand", func() {
		item := itemKey{service: "llm", model: "m"}
		service.HandleReport(&fleetv1.Report{Host: "h2", Demand: []*fleetv1.Demand{{Service: "llm", Model: "m", TokensPerSecond: 300}}}, false)
		service.HandleReport(&fleetv1.Report{Host: "h2", WithoutDemand: true}, false)
		Expect(service.demand.total(time.Now(), item)).To(BeNumerically("==", 300))
		service.HandleReport(&fleetv1.Report{Host: "h2"}, false)
		Expect(service.demand.total(time.Now(), item)).To(BeZero(), "a report with demand but no entry means no demand")
	})

	// Fails under 'make race' if a view is used without the service's mutex.
	It("do not race with planning, reports and the state dump", func() {
		engines.engines["e1"].drop, engines.engines["e1"].loseResponses = 2, 2
		llm := service.config.Source.Current().Service("llm")
		var orders, readers sync.WaitGroup
		done := make(chan struct{})
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					service.planInput(llm)
					service.DumpState()
					runtime.Gosched()
				}
			}
		})
		for i := range 4 {
			orders.Go(func() { place(fmt.Sprint("a", i)) })
		}
		orders.Wait()
		close(done)
		readers.Wait()
		engines.inspect("e1", func(e *fakeEngine) { Expect(e.crashed).To(BeFalse()) })
	})

	It("keep cold loads within the weight store's rate limit", func() {
		engine := service.engineConfig("llm")
		count := 0
		for service.underLock(func() bool { return service.mayLoadCold(engine) }) {
			service.loads = append(service.loads, clock.Boot())
			count++
		}
		Expect(count).To(Equal(8), fmt.Sprintf("%v of 2 a second over 5 s", loadLimitFraction))
	})
})

var _ = Describe("Demand over all hosts", func() {
	It("is the sum of all hosts' reports, and decays without new ones", func() {
		d := newDemand()
		now := time.Unix(1_700_000_000, 0)
		item := itemKey{service: "llm", model: "m"}
		d.add(now, item, 2500)
		Expect(d.total(now, item)).To(BeNumerically("~", 1000, 1))
		d.setPeer(now, "h2", map[itemKey]float64{item: 300})
		d.setPeer(now, "h2", map[itemKey]float64{item: 500}) // replaces the earlier report
		Expect(d.total(now, item)).To(BeNumerically("~", 1500, 1))
		later := now.Add(demandTTL + time.Second)
		Expect(d.total(later, item)).To(BeNumerically("<", 200))
		Expect(d.localRates(now.Add(time.Minute))).To(BeEmpty())
		Expect(d.local).To(BeEmpty())
	})
})
