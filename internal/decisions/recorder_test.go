package decisions_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/decisions"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

func TestDecisions(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decisions")
}

var _ = Describe("Recorder", func() {
	var (
		ctx   context.Context
		now   time.Time
		store objectstore.Store
	)
	recorder := func(host string, capacity int) *decisions.Recorder {
		return decisions.New(decisions.Config{
			Host: host, Zone: "z1", Store: store, Capacity: capacity,
			Retention: time.Hour, Now: func() time.Time { return now },
		})
	}
	place := func(model string) *apiv1.Decision {
		return &apiv1.Decision{Kind: apiv1.DecisionKind_DECISION_KIND_PLACE, Model: model}
	}
	segments := func() []objectstore.Object {
		listing, err := store.List(ctx, objectstore.KindDecisionSegment, "")
		Expect(err).NotTo(HaveOccurred())
		return listing.Items
	}

	BeforeEach(func() {
		ctx = context.Background()
		now = time.Unix(1_700_000_000, 0)
		store = memstore.New()
	})

	It("returns the newest first, filters by each field and keeps at most its capacity", func() {
		r := recorder("h1", 3)
		var last string
		for _, model := range []string{"m1", "m2", "m1", "m3"} {
			last = r.Record(place(model))
		}
		found := r.Query(&apiv1.DecisionsRequest{})
		Expect(found).To(HaveLen(3))
		Expect(found[0]).To(And(HaveField("Id", last), HaveField("Host", "h1"), HaveField("Zone", "z1"), HaveField("Model", "m3")))
		Expect(r.Query(&apiv1.DecisionsRequest{Model: "m1"})).To(HaveLen(1))
		Expect(r.Query(&apiv1.DecisionsRequest{Id: last})).To(HaveLen(1))
		Expect(r.Query(&apiv1.DecisionsRequest{Kind: apiv1.DecisionKind_DECISION_KIND_MOVE})).To(BeEmpty())
		Expect(r.Query(&apiv1.DecisionsRequest{SinceUnixMillis: now.UnixMilli() + 1})).To(BeEmpty())
		Expect(r.Query(&apiv1.DecisionsRequest{Limit: 2})).To(HaveLen(2))
	})

	It("writes all but routing decisions in one segment, which another host can query", func() {
		r := recorder("h1", 10)
		for range 5 {
			r.Record(place("m1"))
			r.Record(&apiv1.Decision{Kind: apiv1.DecisionKind_DECISION_KIND_ROUTE, Model: "m1"})
		}
		Expect(r.Flush(ctx)).To(Succeed())
		Expect(r.Flush(ctx)).To(Succeed())
		Expect(segments()).To(HaveLen(1))
		now = now.Add(25 * time.Minute)
		found, err := recorder("h2", 10).QueryStored(ctx, &apiv1.DecisionsRequest{Model: "m1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(HaveLen(5))
		Expect(decisions.Merge(&apiv1.DecisionsRequest{}, found, r.Query(&apiv1.DecisionsRequest{}))).To(HaveLen(10))
	})

	It("keeps each segment under the platform's limit of 1 MiB", func() {
		r := recorder("h1", 100)
		for range 30 {
			r.Record(place(strings.Repeat("m", 100<<10)))
		}
		for range 4 {
			Expect(r.Flush(ctx)).To(Succeed())
		}
		total := 0
		for _, obj := range segments() {
			Expect(len(obj.Value)).To(BeNumerically("<=", 1<<20))
			total += strings.Count(string(obj.Value), `"id"`)
		}
		Expect(total).To(Equal(30))
	})

	It("deletes segments past the retention, including those of replaced hosts", func() {
		old := recorder("h1", 10)
		old.Record(place("m1"))
		Expect(old.Flush(ctx)).To(Succeed())
		now = now.Add(3 * time.Hour)
		other := recorder("h2", 10)
		other.Record(place("m2"))
		Expect(other.Flush(ctx)).To(Succeed())
		for range 200 {
			Expect(other.Sweep(ctx)).To(Succeed())
		}
		Expect(segments()).To(HaveLen(1))
	})
})
