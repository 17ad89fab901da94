package owner_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/placement"
	"bilberryslip.example/bilberryslip/internal/placement/owner"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

func TestOwner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement owner")
}

// testbed is one zone's owner and its fleet.
type testbed struct {
	fleet  *fleet
	source *source
	store  objectstore.Store
	lease  *fixedLease
	owner  *owner.Owner
	demand map[string]owner.Demand
}

func (b *testbed) newOwner(name string, l *fixedLease) *owner.Owner {
	return owner.New(owner.Config{
		Host: name, Incarnation: "1", Zone: "z1", Store: b.store, Source: b.source,
		Endpoints: b.fleet, Lease: l, Recorder: recorder{}, Now: b.fleet.clock,
		Demand:            func() map[string]owner.Demand { return b.demand },
		WeightStoreLimits: owner.WeightStoreLimits{LoadsPerSecond: 1, ParallelLoads: 4},
	})
}

func newTestbed(f *fleet) *testbed {
	b := &testbed{fleet: f, source: &source{}, store: memstore.New(), lease: &fixedLease{}}
	b.source.set(f.objects())
	b.lease.set(true, 1)
	b.owner = b.newOwner("a", b.lease)
	return b
}

// run advances the time by d, with one cycle of the owner per second.
func (b *testbed) run(d time.Duration, each func()) {
	for range int(d / time.Second) {
		b.fleet.advance(time.Second)
		b.fleet.poll()
		Expect(b.owner.Cycle(context.Background())).To(Succeed())
		b.owner.Wait()
		if each != nil {
			each()
		}
	}
}

var _ = Describe("Owner", func() {
	It("loads every model and adapter within memory", func() {
		f := newFleet()
		for i := range 3 {
			f.add(fmt.Sprintf("e%d", i), "z1", 10*gib, 2*gib, false)
		}
		b := newTestbed(f)
		objects := f.objects()
		for i := range 5 {
			model := fmt.Sprintf("m%d", i)
			objects = append(objects, modelObjects(model, model+"-v1", 4*gib)...)
			objects = append(objects, adapterObject(model+"-a", model, gib/2))
		}
		b.source.set(objects)
		b.run(time.Minute, nil)
		for i := range 5 {
			model := fmt.Sprintf("m%d", i)
			Expect(f.ready(model)).To(BeNumerically(">=", 1))
			adapter := placement.Item{Model: model, Adapter: model + "-a"}
			Expect(f.holds("e0", adapter) || f.holds("e1", adapter) || f.holds("e2", adapter)).To(BeTrue(), model)
		}
		Expect(f.failures).To(BeEmpty())
	})

	It("loads a failed endpoint's models elsewhere before it adds replicas for demand", func() {
		f := newFleet()
		for i := range 4 {
			f.add(fmt.Sprintf("e%d", i), "z1", 12*gib, 0, i%2 == 0)
		}
		b := newTestbed(f)
		objects := f.objects()
		for i := range 8 {
			objects = append(objects, modelObjects(fmt.Sprintf("m%d", i), fmt.Sprintf("m%d-v1", i), 4*gib)...)
		}
		b.source.set(objects)
		b.demand = map[string]owner.Demand{"m0": {TokensPerSecond: 5000}}
		b.run(2*time.Minute, nil)
		sole := slices.IndexFunc(f.engines, func(e *engine) bool {
			return f.ready("m7") == 1 && f.holds(e.config.Name, placement.Item{Model: "m7", Version: "m7-v1"})
		})
		Expect(sole).To(BeNumerically(">=", 0))
		f.engines[sole].down = true

		lost := 0
		for i := range 8 {
			if f.ready(fmt.Sprintf("m%d", i)) == 0 {
				lost++
			}
		}
		Expect(lost).To(BeNumerically(">", 0))
		bound := owner.DefaultStaleReport + time.Duration(lost)*time.Second + loadTime + 2*time.Second
		b.run(bound, nil)
		for i := range 8 {
			Expect(f.ready(fmt.Sprintf("m%d", i))).To(BeNumerically(">=", 1))
		}
		Expect(f.failures).To(BeEmpty())
	})

	It("first loads the model with the highest demand, within the weight store's rate", func() {
		f := newFleet()
		f.add("e0", "z1", 40*gib, 0, false)
		b := newTestbed(f)
		objects := f.objects()
		for i := range 9 {
			objects = append(objects, modelObjects(fmt.Sprintf("m%d", i), fmt.Sprintf("m%d-v1", i), 4*gib)...)
		}
		b.source.set(objects)
		b.demand = map[string]owner.Demand{"m8": {TokensPerSecond: 100}}
		b.run(20*time.Second, nil)
		Expect(f.orders[0].Model).To(Equal("m8"))
		Expect(len(f.orders)).To(BeNumerically("<=", 9))
	})

	It("uses only this zone's share of the weight store", func() {
		f := newFleet()
		f.add("e0", "z1", 60*gib, 8*gib, false)
		f.add("e1", "z2", 60*gib, 8*gib, false)
		f.add("e2", "z3", 60*gib, 8*gib, false)
		b := newTestbed(f)
		objects := f.objects()
		for i := range 12 {
			model := fmt.Sprintf("m%d", i)
			objects = append(objects, modelObjects(model, model+"-v1", 4*gib)...)
			objects = append(objects, policyObject(model, model, 1))
			for j := range 5 {
				objects = append(objects, adapterObject(fmt.Sprintf("%s-a%d", model, j), model, gib/8))
			}
		}
		b.source.set(objects)
		b.run(30*time.Second, nil)
		models, adapters := 0, 0
		for _, order := range f.orders {
			if order.Action == engineapi.ActionLoadModel {
				models++
			} else {
				adapters++
			}
		}
		Expect(models).To(And(BeNumerically(">=", 9), BeNumerically("<=", 11)), "a third of one load a second for 30 s")
		Expect(adapters).To(BeNumerically(">", 10))
		Expect(f.adapterPeak).To(BeNumerically("<=", 32/3))
	})
})
