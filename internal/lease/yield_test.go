package lease_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// Many candidates that read a free lease at once all try to write it.
var _ = Describe("Many candidates", func() {
	const duration = 3 * time.Second
	var (
		ctx   = context.Background()
		now   time.Time
		store *storetest.Store
		all   []*lease.Lease
	)
	calls := func() int { return store.Count(storetest.OpGet) + store.Writes() }
	stepAll := func(candidates []*lease.Lease, steps int) {
		for range steps {
			for _, l := range candidates {
				Expect(l.Step(ctx)).To(Succeed())
			}
			now = now.Add(duration / 4)
		}
	}
	BeforeEach(func() {
		now, store, all = time.Unix(1000, 0), storetest.New(memstore.New()), nil
		for i := range 86 {
			all = append(all, lease.New(lease.Config{
				Store: store, Name: "placement", Host: string(rune('A' + i)), Incarnation: "1", Duration: duration,
				Now:   func() time.Time { return now },
				Yield: func() time.Duration { return lease.YieldTime(i, 86, duration) },
			}))
		}
	})

	It("leave a free lease to the first ones", func() {
		stepAll(all, 1)
		Expect(all[0].Status().Held).To(BeTrue())
		Expect(calls()).To(BeNumerically("<=", 6))
	})
	It("take it one after another if the first ones do not", func() {
		stepAll(all[9:], 6)
		Expect(calls()).To(BeZero(), "within one and a half durations")
		stepAll(all[9:], 1)
		Expect(all[9].Status().Held).To(BeTrue())
		Expect(calls()).To(BeNumerically("<=", 6))
	})
	It("take it in turn although the last holder goes on reporting that it holds none", func() {
		held := lease.Value{Holder: "gone", Incarnation: "1", Term: 1}
		all[9].UpdateFromPeer(held, 1)
		for range 20 {
			all[9].ReadAgain()
			stepAll(all[9:10], 1)
		}
		Expect(calls()).NotTo(BeZero())
	})
	It("renew it in time, whatever their rank, once they hold it", func() {
		stepAll(all[60:61], 9)
		Expect(all[60].Status().Held).To(BeTrue())
		stepAll(all[60:61], 20)
		Expect(all[60].Status().Held).To(BeTrue())
	})
	It("are all at once in a small fleet", func() {
		Expect(lease.YieldTime(22, 23, duration)).To(BeZero())
		Expect(lease.YieldTime(22, 24, duration)).NotTo(BeZero())
	})
})
