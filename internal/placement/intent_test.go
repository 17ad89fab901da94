package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/placement"
)

var _ = Describe("Intents", func() {
	noState := func(*placement.Order) placement.LocalOrderState { return placement.LocalOrderState{} }
	expired := func(*placement.Order) placement.LocalOrderState {
		return placement.LocalOrderState{CallReturned: true, LifetimeExpired: true}
	}
	item := placement.Item{Model: "m", Version: "v"}
	limits := placement.Limits{ModelBytes: 10}
	load := func(id string, fence int64) placement.Order {
		return placement.Order{ID: id, Action: engineapi.ActionLoadModel, Item: item, Bytes: 7, Fence: fence, Incarnation: "A"}
	}
	report := func(incarnation string, settled ...string) *engineapi.Report {
		r := &engineapi.Report{Incarnation: incarnation, Sequence: 1}
		for _, id := range settled {
			r.Settled = append(r.Settled, engineapi.SettledOrder{ID: id, Succeeded: true})
		}
		return r
	}

	It("counts an order again in an incarnation that has not received a higher fencing token", func() {
		intents := placement.Intents{Orders: []placement.Order{load("lost", 1), {ID: "later", Fence: 2, Item: placement.Item{Model: "n"}}}}
		fenced, _ := intents.Settle(report("A", "later"), true, noState)
		Expect(placement.NewAccount(limits, report("A"), &fenced, "").CountedModelBytes).To(BeZero())
		restarted, _ := fenced.Settle(report("B"), true, noState)
		Expect(placement.NewAccount(limits, report("B"), &restarted, "").CountedModelBytes).To(BeEquivalentTo(7))
	})

	It("keeps the order of another sender until it is known to have ended", func() {
		intents := placement.Intents{Orders: []placement.Order{load("lost", 1)}}
		kept, changed := intents.Settle(report("B"), false, noState)
		Expect(changed).To(BeFalse())
		Expect(kept.Orders).To(HaveLen(1))
		remaining, changed := intents.Settle(report("B"), false, expired)
		Expect(changed).To(BeTrue())
		Expect(remaining.Orders).To(BeEmpty())
	})

	It("refuses reports from before the last write", func() {
		intents := placement.Intents{LastReport: placement.ReportPosition{Incarnation: "B", Sequence: 5}, RetiredIncarnations: []string{"A"}}
		Expect(intents.Usable(&engineapi.Report{Incarnation: "B", Sequence: 4}, true)).To(BeFalse())
		Expect(intents.Usable(&engineapi.Report{Incarnation: "A", Sequence: 9}, true)).To(BeFalse())
		Expect(intents.Usable(&engineapi.Report{Incarnation: "C", Sequence: 1}, false)).To(BeFalse())
		Expect(intents.Usable(&engineapi.Report{Incarnation: "C", Sequence: 1}, true)).To(BeTrue())
	})

	It("counts reported memory that belongs to no item", func() {
		r := &engineapi.Report{UsedBytes: 9, Models: []engineapi.HeldModel{{Model: "m", Version: "v", Bytes: 4}}}
		account := placement.NewAccount(limits, r, &placement.Intents{}, "")
		Expect(account.Fits(placement.Item{Model: "n", Version: "v"}, 2)).To(BeFalse())
		Expect(account.Fits(item, 4)).To(BeTrue())
	})
})
