package owner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/placement"
	"bilberryslip.example/bilberryslip/internal/placement/owner"
	"bilberryslip.example/bilberryslip/internal/standin/control"
	"bilberryslip.example/bilberryslip/internal/standin/engineserver"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// engineOrderLifetime is longer than any delay of an order that the test injects.
const engineOrderLifetime = 600 * time.Millisecond

// httpFleet is a set of stand-in engines behind HTTP, with the configuration and
// the object store for the hosts that compete to own them.
type httpFleet struct {
	engines []*engineserver.Server
	configs []*apiv1.Endpoint
	source  *source
	store   *memstore.Store
	mu      sync.Mutex
	demand  map[string]owner.Demand
}

func startEngines(count int) *httpFleet {
	f := &httpFleet{source: &source{}, store: memstore.New()}
	for i := range count {
		fencing := i%2 == 1
		server := engineserver.New(engineserver.Options{
			MemoryBytes: 1000, LoadTime: 60 * time.Millisecond, AdapterLoadTime: 10 * time.Millisecond,
			UnloadTime: 20 * time.Millisecond, ReportLag: 50 * time.Millisecond, OrderDelay: 20 * time.Millisecond,
			ChecksFencing: fencing,
		})
		listener := httptest.NewServer(server)
		DeferCleanup(listener.Close)
		f.engines = append(f.engines, server)
		f.configs = append(f.configs, &apiv1.Endpoint{
			Name: fmt.Sprintf("e%d", i), Zone: "z1", Kind: apiv1.EndpointKind_ENDPOINT_KIND_ENGINE, Url: listener.URL,
			MemoryBytes: 1000, AdapterMemoryBytes: 200, ChecksFencing: fencing,
		})
	}
	return f
}

func (f *httpFleet) configure(versions []int) {
	var objects []*apiv1.Object
	for _, cfg := range f.configs {
		objects = append(objects, &apiv1.Object{Spec: &apiv1.Object_Endpoint{Endpoint: cfg}})
	}
	for i, version := range versions {
		name := fmt.Sprintf("m%d", i)
		objects = append(objects, modelObjects(name, fmt.Sprintf("%s-v%d", name, version), 300)...)
		objects = append(objects, adapterObject(name+"-a", name, 60))
	}
	f.source.set(objects)
}

func (f *httpFleet) setDemand(model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand = map[string]owner.Demand{model: {TokensPerSecond: 60_000}}
}

func (f *httpFleet) currentDemand() map[string]owner.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.demand
}

// startHost runs a registry, a lease and an owner until the test ends.
func (f *httpFleet) startHost(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	registry := endpoint.NewRegistry(endpoint.Config{
		Source: f.source, Zone: "z1", PollInterval: 30 * time.Millisecond, OrderTimeout: 200 * time.Millisecond,
	})
	held := lease.New(lease.Config{
		Store: f.store, Name: owner.LeaseName("z1"), Host: name, Incarnation: "1",
		Duration: 400 * time.Millisecond, RenewalInterval: 100 * time.Millisecond,
	})
	placer := owner.New(owner.Config{
		Host: name, Incarnation: "1", Zone: "z1", Store: f.store, Source: f.source, Endpoints: registry,
		Lease: held, Recorder: recorder{}, Demand: f.currentDemand, DemandWindow: 100 * time.Millisecond,
		Interval: 40 * time.Millisecond, OrderTimeout: 200 * time.Millisecond, OrderLifetime: engineOrderLifetime,
		SettleDelay: 100 * time.Millisecond, WeightStoreLimits: owner.WeightStoreLimits{LoadsPerSecond: 20, ParallelLoads: 8},
		Tuning: placement.Tuning{MinResidence: 100 * time.Millisecond},
	})
	for _, service := range []interface{ Serve(context.Context) error }{registry, held, placer} {
		running.Go(func() { _ = service.Serve(ctx) })
	}
	DeferCleanup(func() {
		cancel()
		running.Wait()
	})
}

// injectFault makes a random engine lose, delay or duplicate its next order, or
// lose the response to it.
func (f *httpFleet) injectFault(random *rand.Rand) {
	engine := f.engines[random.IntN(len(f.engines))]
	delay := 50 + random.Int64N(engineOrderLifetime.Milliseconds()-200)
	kind := random.IntN(4)
	engine.Switches().Update(func(faults *engineserver.Faults) {
		*faults = engineserver.Faults{DelayOrdersMillis: control.Millis(delay)}
		switch kind {
		case 0:
			faults.LoseOrders = 1
		case 1:
			faults.LoseOrderAnswers = 1
		case 2:
			faults.DelayOrders = 1
		default:
			faults.DuplicateOrders = 1
		}
	})
}

func (f *httpFleet) overcommits() int {
	total := 0
	for _, engine := range f.engines {
		total += engine.State().Memory.Overcommits
	}
	return total
}

// orders counts the received orders by action.
func (f *httpFleet) orders() map[engineapi.Action]int {
	counts := make(map[engineapi.Action]int)
	for _, engine := range f.engines {
		for _, entry := range engine.State().Orders {
			counts[entry.Order.Action]++
		}
	}
	return counts
}

var _ = Describe("Owner and the stand-in engines", func() {
	It("never overcommits their memory while orders are lost, delayed and duplicated", func() {
		f := startEngines(4)
		versions := make([]int, 6)
		f.configure(versions)
		f.startHost("a")
		f.startHost("b")
		random := rand.New(rand.NewPCG(1, 1))
		deadline := time.Now().Add(8 * time.Second)
		for step := 0; time.Now().Before(deadline); step++ {
			if step%2 == 0 {
				f.injectFault(random)
			}
			if step%8 == 0 {
				f.setDemand(fmt.Sprintf("m%d", random.IntN(len(versions))))
			}
			if step%15 == 14 {
				versions[random.IntN(len(versions))]++
				f.configure(versions)
			}
			Expect(f.overcommits()).To(BeZero())
			time.Sleep(100 * time.Millisecond)
		}
		counts := f.orders()
		GinkgoWriter.Println("orders:", counts)
		Expect(counts[engineapi.ActionUnloadModel]).To(BeNumerically(">", 0))
		Expect(f.overcommits()).To(BeZero())
	})
})
