package orders

import (
	"context"
	"errors"
	"fmt"
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

// fakeEngine is an engine that crashes where its slots or memory are
// exceeded, as the real ones do.
type fakeEngine struct {
	orders  int64
	models  map[string]fleet.Adapters
	slots   int
	models2 int
	crashed bool
	// lose makes that many orders take effect without an answer, drop makes
	// them vanish, and late holds orders that take effect when released.
	lose, drop, delay int
	late              []Order
}

type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	given   []Order
}

func (f *fakeEngines) Order(_ context.Context, e fleet.Endpoint, o Order) (Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.given = append(f.given, o)
	engine := f.engines[e.ID]
	switch {
	case engine.drop > 0:
		engine.drop--
		return Refused, errors.New("no answer")
	case engine.delay > 0:
		engine.delay--
		engine.late = append(engine.late, o)
		return Refused, errors.New("no answer")
	}
	result := engine.take(o)
	if engine.lose > 0 {
		engine.lose--
		return Refused, errors.New("no answer")
	}
	return result, nil
}

func (e *fakeEngine) take(o Order) Result {
	adapters, held := e.models[o.Model]
	if o.Adapter != "" {
		held = held && adapters[o.Adapter]
	}
	if held == (o.Action == Load) {
		return Holds
	}
	if o.After != e.orders {
		return Conflict
	}
	e.orders++
	switch {
	case o.Adapter != "" && o.Action == Load:
		e.models[o.Model][o.Adapter] = true
	case o.Adapter != "":
		delete(e.models[o.Model], o.Adapter)
	case o.Action == Load:
		e.models[o.Model] = fleet.Adapters{}
	default:
		delete(e.models, o.Model)
	}
	count := 0
	for _, list := range e.models {
		count += len(list)
	}
	e.crashed = e.crashed || count > e.slots || len(e.models) > e.models2
	return Accepted
}

func (f *fakeEngines) Report(_ context.Context, e fleet.Endpoint) (State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	engine := f.engines[e.ID]
	return State{Orders: engine.orders, Models: cloneModels(engine.models)}, nil
}

type fakeLease struct{ holding lease.Holding }

func (f *fakeLease) Holding() lease.Holding                { return f.holding }
func (f *fakeLease) Hear(lease.Value, objectstore.Version) {}
func (f *fakeEngines) with(id string, check func(*fakeEngine)) {
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
			"e1": {orders: 3, models: map[string]fleet.Adapters{"m": {}}, slots: 2, models2: 2},
		}}
		registry = fleet.NewRegistry(fleet.Config{Zone: "z"})
		registry.Replace([]fleet.Endpoint{{
			ID: "e1", Service: "llm", Address: "127.0.0.1:1", Zone: "z", Slots: 4, Models: map[string]fleet.Adapters{"m": {}},
		}})
		holder = &fakeLease{holding: lease.Holding{Held: true, Term: 1, Version: 9, Until: clock.Boot().Add(time.Hour)}}
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

	It("bring an adapter to an engine, once for many that ask", func() {
		Expect(place("a1")).To(Equal("e1"))
		Expect(place("a1")).To(Equal("e1"))
		Expect(engines.given).To(HaveLen(1))
		Expect(engines.given[0]).To(Equal(Order{Action: Load, Model: "m", Adapter: "a1", After: 3, Holder: "h1", Token: 9}))
	})

	It("never take an engine beyond its adapter slots, and take the place of the one that rests", func() {
		Expect(place("a1")).To(Equal("e1"))
		Expect(place("a2")).To(Equal("e1"))
		Expect(place("a3")).To(BeEmpty(), "both were asked for just now")
		service.mu.Lock()
		service.views["e1"].used[adapterKey{"m", "a1"}] = time.Now().Add(-time.Minute)
		service.mu.Unlock()
		Expect(place("a3")).To(Equal("e1"))
		engines.with("e1", func(e *fakeEngine) {
			Expect(e.crashed).To(BeFalse())
			Expect(e.models["m"]).To(Equal(fleet.Adapters{"a2": true, "a3": true}))
		})
	})

	It("settle an order whose answer was lost by what the engine reports", func() {
		engines.engines["e1"].lose = 1
		Expect(place("a1")).To(Equal("e1"))
		Expect(engines.given).To(HaveLen(1))
	})

	It("repeat an order that vanished", func() {
		engines.engines["e1"].drop = 1
		Expect(place("a1")).To(Equal("e1"))
		Expect(engines.given).To(HaveLen(2))
	})

	It("make an order that is carried out late void by the next", func() {
		engines.engines["e1"].delay = maxTries
		Expect(place("a1")).To(BeEmpty())
		Expect(place("a2")).To(Equal("e1"))
		Expect(place("a3")).To(Equal("e1"))
		engines.with("e1", func(e *fakeEngine) {
			for _, o := range e.late {
				Expect(e.take(o)).To(Equal(Conflict))
			}
			Expect(e.crashed).To(BeFalse())
		})
	})

	It("are not given without the lease, nor while another holder may still give them", func() {
		holder.holding.Held = false
		Expect(place("a1")).To(BeEmpty())
		holder.holding = lease.Holding{Held: true, Term: 2, Version: 12, Until: clock.Boot().Add(time.Hour), ForeignUntil: clock.Boot()}
		Expect(place("a1")).To(BeEmpty())
		service.config.LeaseTime = -settleMargin
		holder.holding.Held = false
		Expect(place("a1")).To(BeEmpty())
		holder.holding.Held = true
		Expect(place("a1")).To(Equal("e1"))
	})

	It("check the memory by the engine's report, not by its older description", func() {
		engines.engines["e1"].models["n"] = fleet.Adapters{} // loaded since, as by another holder
		c := change{engine: "e1", model: "n"}
		config := service.config.Source.Current()
		service.planInput(config.Service("llm"))
		Expect(service.start(context.Background(), config.Service("llm"), c)).To(BeTrue())
		Eventually(service.underWay).Should(BeZero())
		engines.with("e1", func(e *fakeEngine) {
			Expect(e.crashed).To(BeFalse())
			Expect(e.orders).To(Equal(int64(3)), "it is held already")
		})
	})

	It("keep another host's demand when a report leaves it out", func() {
		of := subject{service: "llm", model: "m"}
		service.HandleReport(&fleetv1.Report{Host: "h2", Demand: []*fleetv1.Demand{{Service: "llm", Model: "m", TokensPerSecond: 300}}}, false)
		service.HandleReport(&fleetv1.Report{Host: "h2", WithoutDemand: true}, false)
		Expect(service.demand.of(time.Now(), of)).To(BeNumerically("==", 300))
		service.HandleReport(&fleetv1.Report{Host: "h2"}, false)
		Expect(service.demand.of(time.Now(), of)).To(BeZero(), "a full report without it tells that there is none")
	})

	It("keep cold loads under the weight store's ceiling", func() {
		engine := service.engineOf("llm")
		count := 0
		for service.locked(func() bool { return service.mayLoadCold(engine) }) {
			service.loads = append(service.loads, clock.Boot())
			count++
		}
		Expect(count).To(Equal(8), fmt.Sprintf("%v of 2 a second over 5 s", ceilingShare))
	})
})

var _ = Describe("Demand over all hosts", func() {
	It("is the sum of what each host tells, and fades with silence", func() {
		d := newDemand()
		now := time.Unix(1_700_000_000, 0)
		of := subject{service: "llm", model: "m"}
		d.add(now, of, 2500)
		Expect(d.of(now, of)).To(BeNumerically("~", 1000, 1))
		d.report(now, "h2", map[subject]float64{of: 300})
		d.report(now, "h2", map[subject]float64{of: 500}) // takes the place of the earlier one
		Expect(d.of(now, of)).To(BeNumerically("~", 1500, 1))
		later := now.Add(demandFor + time.Second)
		Expect(d.of(later, of)).To(BeNumerically("<", 200))
		Expect(d.told(now.Add(time.Minute))).To(BeEmpty())
		Expect(d.own).To(BeEmpty())
	})
})
