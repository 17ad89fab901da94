package exchange

import (
	"context"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// Guards against a second call to the store for the entry of each host that restarts, and
// against an entry that stays that of the earlier process.
var _ = Describe("A starting host's entry", func() {
	ctx := context.Background()
	DescribeTable("is written with one call", func(existed, removed bool, creates, updates int) {
		inner := memstore.New()
		if existed {
			_, err := inner.Create(ctx, KindHost, "h1", "w", json.RawMessage(`{"incarnation":"old"}`))
			Expect(err).NotTo(HaveOccurred())
		}
		listing, err := inner.List(ctx, KindHost, "")
		Expect(err).NotTo(HaveOccurred())
		if removed {
			Expect(inner.Delete(ctx, KindHost, "h1", listing.Items[0].Version)).To(Succeed())
		}
		store := storetest.New(inner)
		s := New(Config{Host: "h1", Incarnation: "new", Store: store})
		go s.Replace(listing)
		<-s.listed
		s.register(ctx)
		object, err := inner.Get(ctx, KindHost, "h1")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.isOwnEntry(object)).To(BeTrue())
		Expect(store.Count(storetest.OpCreate)).To(Equal(creates))
		Expect(store.Count(storetest.OpUpdate)).To(Equal(updates))
	},
		Entry("if there is none", false, false, 1, 0),
		Entry("if there is one of an earlier process", true, false, 0, 1),
		Entry("and a second one if it was removed since it was listed", true, true, 1, 1),
	)
	It("is created if it was not listed yet", func() {
		store := storetest.New(memstore.New())
		s := New(Config{Host: "h1", Store: store})
		Expect(s.writeEntry(ctx, json.RawMessage("{}"))).To(Succeed())
		Expect(s.entryVersion).To(Equal(objectstore.Version(0)))
		Expect(store.Count(storetest.OpCreate)).To(Equal(1))
	})
})
