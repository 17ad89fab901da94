package lease_test

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// Guards against a lease that nobody can acquire any more since another program wrote it, and
// against a holder that goes on by one that it no longer has.
var _ = Describe("A lease that another program has overwritten", func() {
	const duration = 10 * time.Second
	DescribeTable("ends its holder's acts, and is taken over after its duration", func(value string) {
		ctx, now, store := context.Background(), time.Unix(1_700_000_000, 0), memstore.New()
		candidate := func(host string) *lease.Lease {
			return lease.New(lease.Config{Store: store, Name: "p", Host: host, Incarnation: "1", Duration: duration, Now: func() time.Time { return now }})
		}
		a, b := candidate("a"), candidate("b")
		Expect(a.Step(ctx)).To(Succeed())
		Expect(b.Step(ctx)).To(Succeed())
		held := a.Status()
		Expect(held.Held).To(BeTrue())
		_, err := store.Update(ctx, objectstore.KindLease, "p", held.Version, "other", json.RawMessage(value))
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(time.Second)
		Expect(a.Step(ctx)).To(Succeed())
		Expect(b.Step(ctx)).To(Succeed())
		Expect(a.Status().Held).To(BeFalse())
		now = now.Add(duration - time.Second)
		Expect(b.Step(ctx)).To(Succeed())
		Expect(b.Status().Held).To(BeFalse(), "not before the duration has passed since the change")
		now = now.Add(2 * time.Second)
		Expect(b.Step(ctx)).To(Succeed())
		Expect(b.Status().Held).To(BeTrue())
		Expect(b.Status().Term).To(BeNumerically(">", held.Term))
		Expect(b.Status().Version).To(BeNumerically(">", held.Version))
	},
		Entry("by a value nested too deep", strings.Repeat("[", 11_000)+strings.Repeat("]", 11_000)),
		Entry("by a text", `"mine"`),
		Entry("by fields of other types", `{"holder":7,"term":"x"}`),
		Entry("by the highest term", `{"holder":"x","incarnation":"1","term":9223372036854775807}`),
		Entry("by a negative term", `{"holder":"x","incarnation":"1","term":-9223372036854775808}`),
		Entry("by nothing", ""),
	)
})
