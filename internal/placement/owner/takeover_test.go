package owner_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/placement"
	"bilberryslip.example/bilberryslip/internal/placement/owner"
)

func policyObject(name, model string, minimum int32, pools ...string) *apiv1.Object {
	return &apiv1.Object{Spec: &apiv1.Object_PlacementPolicy{PlacementPolicy: &apiv1.PlacementPolicy{
		Name: name, Models: []string{model}, MinReplicasPerZone: minimum, Pools: pools,
	}}}
}

var _ = Describe("Takeover", func() {
	It("rejects the write of an earlier owner that was paused before it", func() {
		f := newFleet()
		f.add("e0", "z1", 10*gib, 0, false)
		f.add("e1", "z1", 10*gib, 0, false).config.Pool = "p1"
		b := newTestbed(f)
		gated := &faultyStore{Store: b.store}
		b.store = gated
		b.owner = b.newOwner("a", b.lease)
		base := append(f.objects(), modelObjects("m", "m-v1", 4*gib)...)
		b.source.set(append(base, policyObject("two", "m", 2)))
		b.run(5*time.Minute, nil)
		Expect(f.ready("m")).To(Equal(2))

		By("pausing the first owner before it writes the unload of m from e0")
		base = append(base, modelObjects("x", "x-v1", 8*gib)...)
		b.source.set(append(base, policyObject("x", "x", 1, "")))
		gated.gate = make(chan struct{})
		paused := make(chan error)
		go func() { paused <- b.owner.Cycle(context.Background()) }()
		Eventually(gated.waiting.Load).Should(BeEquivalentTo(1))

		By("letting a second owner unload m from e1")
		second := &testbed{fleet: f, source: &source{}, store: gated.Store, lease: &fixedLease{}}
		second.source.set(append(base, policyObject("x", "x", 1, "p1")))
		second.lease.set(true, 2)
		second.owner = second.newOwner("b", second.lease)
		second.run(20*time.Second, nil)
		Expect(f.ready("m")).To(Equal(1))

		close(gated.gate)
		Expect(<-paused).To(HaveOccurred())
		b.owner.Wait()
		Expect(f.ready("m")).To(Equal(1), "m has a ready replica")
	})

	It("does not use a report that is older than the last write", func() {
		f := newFleet()
		f.add("e0", "z1", 10*gib, 0, false)
		b := newTestbed(f)
		b.source.set(append(f.objects(), modelObjects("m", "m-v1", 6*gib)...))
		f.advance(time.Second)
		f.poll()
		empty := f.States()
		b.run(5*time.Minute, nil)
		Expect(f.holds("e0", placement.Item{Model: "m", Version: "m-v1"})).To(BeTrue())

		late := &reportView{fleet: f, frozen: empty}
		second := owner.New(owner.Config{
			Host: "b", Incarnation: "1", Zone: "z1", Store: b.store, Source: b.source, Endpoints: late,
			Lease: b.lease, Recorder: recorder{}, Now: f.clock, StaleReport: time.Hour,
		})
		b.lease.set(true, 2)
		b.source.set(append(f.objects(), modelObjects("x", "x-v1", 6*gib)...))
		sent := len(f.orders)
		for range 3 {
			Expect(second.Cycle(context.Background())).To(Succeed())
		}
		second.Wait()
		Expect(f.orders).To(HaveLen(sent))
		late.frozen = nil
		f.poll()
		Expect(second.Cycle(context.Background())).To(Succeed())
		second.Wait()
		Expect(f.orders).To(HaveLen(sent + 1))
		Expect(f.orders[sent].Action).To(Equal(engineapi.ActionUnloadModel))
	})

	It("counts a failed owner's order until an operator forgets its host", func() {
		f := newFleet()
		f.add("e0", "z1", 10*gib, 0, false)
		b := newTestbed(f)
		b.source.set(append(f.objects(), modelObjects("m", "m-v1", 6*gib)...))
		died := make(chan struct{})
		f.outcome = func(string, engineapi.Order) networkOutcome {
			close(died)
			return networkOutcome{block: make(chan struct{})}
		}
		for range 2 {
			f.advance(time.Second)
			f.poll()
			Expect(b.owner.Cycle(context.Background())).To(Succeed())
		}
		Eventually(died).Should(BeClosed())

		f.mu.Lock()
		f.outcome = nil
		f.mu.Unlock()
		b.source.set(append(f.objects(), modelObjects("x", "x-v1", 6*gib)...))
		b.lease.set(true, 2)
		b.owner = b.newOwner("b", b.lease)
		b.run(10*time.Minute, nil)
		Expect(f.orders).To(BeEmpty(), "the failed owner's load may still arrive")
		Expect(b.owner.ForgetHost(context.Background(), "a")).To(Succeed())
		b.run(time.Minute, nil)
		Expect(f.orders).To(BeEmpty())
		b.run(2*time.Minute, nil)
		Expect(f.ready("x")).To(Equal(1))
	})

	It("continues after the lease was deleted", func() {
		f := newFleet()
		f.add("e0", "z1", 10*gib, 0, false)
		b := newTestbed(f)
		b.source.set(append(f.objects(), modelObjects("m", "m-v1", 6*gib)...))
		b.lease.set(true, 7)
		b.run(10*time.Second, nil)
		Expect(f.ready("m")).To(Equal(1))

		fresh := lease.New(lease.Config{Store: b.store, Name: "deleted", Host: "b", Incarnation: "1", Now: f.clock})
		b.source.set(append(f.objects(), modelObjects("x", "x-v1", 4*gib)...))
		b.owner = owner.New(owner.Config{
			Host: "b", Incarnation: "1", Zone: "z1", Store: b.store, Source: b.source, Endpoints: f,
			Lease: fresh, Recorder: recorder{}, Now: f.clock,
		})
		b.run(10*time.Second, func() { Expect(fresh.Step(context.Background())).To(Succeed()) })
		Expect(f.ready("x")).To(Equal(1))
	})
})
