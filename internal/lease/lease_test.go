package lease_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// lossyStore executes writes, but replaces the responses to the next toLose of
// them by an error with unknown outcome.
type lossyStore struct {
	objectstore.Store
	toLose int
}

func (s *lossyStore) Create(ctx context.Context, kind objectstore.Kind, name, id string, value json.RawMessage) (objectstore.Object, error) {
	return s.respond(s.Store.Create(ctx, kind, name, id, value))
}

func (s *lossyStore) Update(ctx context.Context, kind objectstore.Kind, name string, version objectstore.Version, id string, value json.RawMessage) (objectstore.Object, error) {
	return s.respond(s.Store.Update(ctx, kind, name, version, id, value))
}

func (s *lossyStore) respond(obj objectstore.Object, err error) (objectstore.Object, error) {
	if s.toLose == 0 {
		return obj, err
	}
	s.toLose--
	return objectstore.Object{}, &objectstore.UnavailableError{Outcome: objectstore.OutcomeUnknown, Cause: errors.New("response lost")}
}

var _ = Describe("Lease", func() {
	var (
		ctx   context.Context
		now   time.Time
		store *lossyStore
		a, b  *lease.Lease
	)
	candidate := func(host string) *lease.Lease {
		return lease.New(lease.Config{
			Store: store, Name: "placement-z1", Host: host, Incarnation: "1",
			Duration: 10 * time.Second, Now: func() time.Time { return now },
		})
	}
	step := func(l *lease.Lease) { Expect(l.Step(ctx)).To(Succeed()) }

	BeforeEach(func() {
		ctx = context.Background()
		now = time.Unix(1_700_000_000, 0)
		store = &lossyStore{Store: memstore.New()}
		a, b = candidate("a"), candidate("b")
	})

	// Guards against a holder that can't do its duties and keeps the lease.
	It("is released by a holder that is not eligible, which acts no more at once", func() {
		eligible := true
		c := lease.New(lease.Config{
			Store: store, Name: "placement-z1", Host: "c", Incarnation: "1",
			Duration: 10 * time.Second, Now: func() time.Time { return now }, Eligible: func() bool { return eligible },
		})
		step(c)
		Expect(c.Status().Held).To(BeTrue())
		eligible = false
		store.toLose = 1 // the release takes effect without a response
		step(c)
		Expect(c.Status().Held).To(BeFalse())
		now = now.Add(time.Second)
		step(c)
		step(b)
		Expect(b.Status().Held).To(BeTrue())
		Expect(b.Status().PreviousUntil).To(Equal(now))
		now = now.Add(time.Minute)
		step(c)
		Expect(c.Status().Held).To(BeFalse())
		eligible = true
		step(c)
		Expect(c.Status().Held).To(BeFalse(), "while another host holds it")
	})

	It("has one holder, and passes to another only after it expired without a change", func() {
		step(a)
		step(b)
		Expect(a.Status()).To(Equal(lease.Status{Held: true, Term: 1, Holder: "a", Incarnation: "1", Version: 1, Until: now.Add(10 * time.Second)}))
		Expect(b.Status().Held).To(BeFalse())
		for range 5 {
			now = now.Add(6 * time.Second)
			step(a)
			step(b)
			Expect(b.Status().Held).To(BeFalse())
		}
		now = now.Add(9 * time.Second)
		step(b)
		Expect(b.Status().Held).To(BeFalse())
		now = now.Add(2 * time.Second)
		Expect(a.Status().Held).To(BeFalse(), "a measures the duration from before its last renewal")
		step(b)
		// a wrote six times: the creation and five renewals.
		Expect(b.Status()).To(Equal(lease.Status{
			Held: true, Term: 2, Holder: "b", Incarnation: "1", Version: 7,
			Until: now.Add(10 * time.Second), PreviousUntil: now.Add(-time.Second),
		}))
		step(a)
		Expect(a.Status()).To(Equal(lease.Status{Term: 2, Holder: "b", Incarnation: "1", Version: 7}))
	})

	// Guards against a host that is killed while it waits for the previous holder's last
	// orders, and gives orders as soon as it has restarted.
	It("is resumed by a restarted process, which waits unless the previous holder is long gone", func() {
		step(a)
		step(b)
		now = now.Add(11 * time.Second)
		step(b)
		Expect(b.Status().PreviousUntil).To(Equal(now.Add(-time.Second)))
		now = now.Add(time.Second)
		b = candidate("b")
		step(b)
		Expect(b.Status().Held).To(BeTrue())
		Expect(b.Status().PreviousUntil).To(Equal(now), "the time that the killed process knew is lost")
		now = now.Add(20 * time.Second)
		step(b)
		b = candidate("b")
		step(b)
		Expect(b.Status().Held).To(BeTrue())
		Expect(b.Status().PreviousUntil).To(BeZero())
	})

	It("resolves a write whose response was lost", func() {
		store.toLose = 1
		step(a)
		Expect(a.Status().Held).To(BeTrue())
		step(b)
		Expect(b.Status().Held).To(BeFalse())
	})

	It("is released at shutdown", func() {
		served, cancel := context.WithCancel(ctx)
		done := make(chan error)
		changed := a.Changed()
		go func() { done <- a.Serve(served) }()
		Eventually(changed).Should(BeClosed())
		cancel()
		Eventually(done).Should(Receive(MatchError(context.Canceled)))
		step(b)
		// a created and released it.
		Expect(b.Status()).To(Equal(lease.Status{
			Held: true, Term: 2, Holder: "b", Incarnation: "1", Version: 3,
			Until: now.Add(10 * time.Second), PreviousUntil: now,
		}))
	})

	It("is taken over on a peer's report without a read, but not before it expired", func() {
		step(a)
		reported := a.Status()
		b.UpdateFromPeer(lease.Value{Holder: reported.Holder, Incarnation: reported.Incarnation, Term: reported.Term}, reported.Version)
		now = now.Add(9 * time.Second)
		step(b)
		Expect(b.Status().Held).To(BeFalse())
		now = now.Add(2 * time.Second)
		step(b)
		Expect(b.Status().Held).To(BeTrue())
		Expect(b.Status().PreviousUntil).To(Equal(now.Add(-time.Second)), "a may have acted for the whole duration")
	})

	It("is not taken over on a peer's report of an earlier version", func() {
		step(a)
		reported := a.Status()
		b.UpdateFromPeer(lease.Value{Holder: reported.Holder, Incarnation: reported.Incarnation, Term: reported.Term}, reported.Version)
		now = now.Add(6 * time.Second)
		step(a)
		now = now.Add(5 * time.Second)
		step(b)
		Expect(b.Status().Held).To(BeFalse())
		Expect(a.Status().Held).To(BeTrue())
	})
})
