package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bilberryslip.example/bilberryslip/internal/placement"
	"bilberryslip.example/bilberryslip/internal/placement/owner"
	"bilberryslip.example/bilberryslip/internal/platform"
	"bilberryslip.example/bilberryslip/internal/standin/objectstore"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOwner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement owner")
}

// bench is one zone's owner and its fleet.
type bench struct {
	fleet  *fleet
	source *source
	store  platform.Store
	lease  *fixedLease
	owner  *owner.Owner
}

func (b *bench) newOwner(name string, l *fixedLease) *owner.Owner {
	return owner.New(owner.Config{
		Host: name, Incarnation: "1", Zone: "z1", Store: b.store, Source: b.source,
		Endpoints: b.fleet, Lease: l, Recorder: recorder{}, Now: b.fleet.clock,
		WeightStore: owner.WeightStore{LoadsPerSecond: 1, LoadsAtOnce: 4},
	})
}

func newBench(f *fleet) *bench {
	b := &bench{fleet: f, source: &source{}, store: objectstore.New(), lease: &fixedLease{}}
	b.source.set(f.objects())
	b.lease.set(true, 1)
	b.owner = b.newOwner("a", b.lease)
	return b
}

// run lets the owner work for a time, one cycle a second.
func (b *bench) run(d time.Duration, each func()) {
	for range int(d / time.Second) {
		b.fleet.advance(time.Second)
		b.fleet.poll()
		Expect(b.owner.Cycle(context.Background())).To(Succeed())
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
		b := newBench(f)
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
})
