package claims

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberryslip.example/bilberryslip/internal/invariant"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	invariant.SetFatal(true)
	m.Run()
}

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

var _ = DescribeTable("Decide",
	func(state State, fingerprint string, alive bool, result Result) {
		existing := Record{State: state, Fingerprint: "f", Owner: Owner{Host: "a"}}
		Expect(Decide(existing, Request{Fingerprint: fingerprint}, alive)).To(Equal(result))
	},
	Entry("running", StateStarted, "f", true, StillRunning),
	Entry("owner not alive", StateStarted, "f", false, Unknown),
	Entry("ran", StateRan, "f", false, Recorded),
	Entry("not run", StateNotRun, "f", true, takeOver),
	Entry("recorded as unknown", StateUnknown, "f", true, Unknown),
	Entry("state of a newer version", State("other"), "f", true, Unknown),
	Entry("different request, ran", StateRan, "g", true, Mismatch),
	Entry("different request, not run", StateNotRun, "g", true, Mismatch),
)

// maxWritesPerSecond is the specified bound on platform writes of the whole
// system at its current size. An idle sweep may use one hundredth of it.
const maxWritesPerSecond = 50

// hosts creates Stores that share one fault-injecting store. alive holds the
// processes that have not been killed.
type hosts struct {
	store *storetest.Store
	alive map[Owner]bool
}

func newHosts() *hosts {
	return &hosts{store: storetest.New(memstore.New()), alive: make(map[Owner]bool)}
}

func (h *hosts) start(name string, incarnation int) *Store {
	self := Owner{Host: name, Incarnation: fmt.Sprint(incarnation)}
	h.alive[self] = true
	return NewStore(StoreConfig{
		ObjectStore: h.store, Self: self, Alive: func(o Owner) bool { return h.alive[o] },
	})
}

func (h *hosts) kill(b *Store) { h.alive[b.config.Self] = false }

func always(fault storetest.Fault) func(storetest.Op, objectstore.Kind, string) storetest.Fault {
	return func(storetest.Op, objectstore.Kind, string) storetest.Fault { return fault }
}

var registration = Request{Organisation: "org", Route: "register", IdempotencyKey: "k", Fingerprint: "f"}

var _ = Describe("Book", func() {
	ctx := context.Background()
	var h *hosts
	var a, b *Store

	BeforeEach(func() {
		h = newHosts()
		a, b = h.start("a", 1), h.start("b", 1)
	})

	begin := func(claimStore *Store) Result {
		GinkgoHelper()
		outcome, err := claimStore.Begin(ctx, registration)
		Expect(err).NotTo(HaveOccurred())
		return outcome.State
	}

	claim := func(claimStore *Store) *Claim {
		GinkgoHelper()
		outcome, err := claimStore.Begin(ctx, registration)
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.State).To(Equal(Claimed))
		return outcome.Claim
	}

	It("returns the recorded response to a retry on any host", func() {
		c := claim(a)
		Expect(begin(a)).To(Equal(StillRunning))
		Expect(begin(b)).To(Equal(StillRunning))
		response := Response{Status: 201, Header: http.Header{"X-Certificate": {"7"}}, Body: []byte("done")}
		Expect(c.Finish(ctx, response)).To(Succeed())
		Expect(c.NotRun(ctx)).To(MatchError(errEnded))
		for _, claimStore := range []*Store{a, b} {
			Expect(claimStore.Begin(ctx, registration)).To(Equal(Outcome{State: Recorded, Answer: &response}))
		}
		other := registration
		other.Fingerprint = "g"
		Expect(b.Begin(ctx, other)).To(HaveField("State", Mismatch))
		other.Organisation = "another"
		Expect(b.Begin(ctx, other)).To(HaveField("State", Claimed))
	})

	It("reports an unknown outcome once the owner is not alive, and allows a new claim after NotRun", func() {
		claim(a)
		h.kill(a)
		Expect(begin(b)).To(Equal(Unknown))
		registration := registration
		registration.IdempotencyKey = "other"
		outcome, _ := b.Begin(ctx, registration)
		Expect(outcome.Claim.NotRun(ctx)).To(Succeed())
		outcome, _ = b.Begin(ctx, registration)
		Expect(outcome.State).To(Equal(Claimed))
		Expect(outcome.Claim.Unknown(ctx)).To(Succeed())
		Expect(b.Begin(ctx, registration)).To(HaveField("State", Unknown))
	})

	It("returns an UnavailableError with RetryAfter while the platform is unavailable", func() {
		h.store.SetFault(always(storetest.NotSent))
		_, err := a.Begin(ctx, registration)
		Expect(err).To(BeAssignableToTypeOf(&UnavailableError{}))
		Expect(err).To(HaveField("RetryAfter", defaultRetryAfter))
		h.store.SetFault(nil)
		Expect(begin(b)).To(Equal(Claimed))
	})

	It("returns the response on its own host while the platform is down, and records it later", func() {
		c := claim(a)
		h.store.SetFault(always(storetest.ResponseLost))
		Expect(c.Finish(ctx, Response{Status: 200})).NotTo(Succeed())
		Expect(begin(a)).To(Equal(Recorded))
		h.store.SetFault(nil)
		Expect(a.Flush(ctx)).To(BeZero())
		Expect(begin(b)).To(Equal(Recorded))
	})

	It("records that the request ran even if its response is too large", func() {
		Expect(claim(a).Finish(ctx, Response{Status: 200, Body: make([]byte, defaultMaxResponseBytes+1)})).To(Succeed())
		Expect(b.Begin(ctx, registration)).To(HaveField("Answer", &Response{Status: 200, TooLarge: true}))
	})

	It("makes claims that are invalid after MaxSendDelay", func() {
		now := time.Now()
		a.config.Clock = func() time.Time { return now }
		c := claim(a)
		Expect(c.Valid()).To(BeTrue())
		now = now.Add(defaultMaxSendDelay)
		Expect(c.Valid()).To(BeFalse())
	})
})

// A claim whose write got no response, so that its request was never sent, must
// end as not run even if the write takes effect later. A retry on another host
// would otherwise find it started.
func TestUnansweredClaimEndsAsNotRun(t *testing.T) {
	for _, fault := range []storetest.Fault{storetest.RequestLost, storetest.ResponseLost, storetest.Delayed} {
		synctest.Test(t, func(t *testing.T) {
			h := newHosts()
			a, b := h.start("a", 1), h.start("b", 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = a.Serve(ctx) }()
			h.store.SetFault(always(fault))
			if _, err := a.Begin(ctx, registration); err == nil {
				t.Fatal("claimed without a response of the platform")
			}
			time.Sleep(time.Minute) // Virtual time.
			h.store.SetFault(nil)
			time.Sleep(2 * retryMaxInterval)
			h.store.Release()
			outcome, err := b.Begin(ctx, registration)
			if err != nil || outcome.State != Claimed {
				t.Errorf("fault %d: retry got %q, error %v; want claimed", fault, outcome.State, err)
			}
		})
	}
}

// Random attempts of one request on three hosts must run it at most once, and a
// recorded response must be that of its run, with lost, delayed and repeated
// writes and with hosts killed at any step.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{hosts: newHosts(), attempts: make(map[*Store][]*Claim)}
		for i := range 3 {
			m.claimStores = append(m.claimStores, m.start(fmt.Sprint(i), 0))
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			m.step(t)
		}
		m.checkRecovers(t)
	})
}

// machine drives the Stores of three hosts with random actions and acts as the
// endpoint.
type machine struct {
	*hosts
	claimStores []*Store
	// attempts holds the claims of each Store that have not ended.
	attempts map[*Store][]*Claim
	runs     int
	starts   int
}

func (m *machine) step(t *rapid.T) {
	// A cancelled context allows one attempt at each write and no waiting.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.store.SetFault(func(storetest.Op, objectstore.Kind, string) storetest.Fault {
		if rapid.IntRange(0, 2).Draw(t, "faulty") > 0 {
			return storetest.None
		}
		return storetest.Fault(rapid.IntRange(0, int(storetest.Delayed)).Draw(t, "fault"))
	})
	i := rapid.IntRange(0, len(m.claimStores)-1).Draw(t, "host")
	claimStore := m.claimStores[i]
	switch rapid.IntRange(0, 6).Draw(t, "action") {
	case 0, 1, 2:
		m.begin(ctx, t, claimStore)
	case 3, 4:
		m.end(ctx, t, claimStore)
	case 5:
		claimStore.writePending(ctx)
	case 6:
		m.store.Release()
		m.kill(claimStore)
		m.starts++
		m.claimStores[i] = m.start(fmt.Sprint(i), m.starts)
	}
}

func (m *machine) begin(ctx context.Context, t *rapid.T, claimStore *Store) {
	outcome, err := claimStore.Begin(ctx, registration)
	var down *UnavailableError
	switch {
	case err != nil && !errors.As(err, &down):
		t.Fatalf("error %v is not UnavailableError", err)
	case outcome.State == Recorded && (m.runs != 1 || string(outcome.Answer.Body) != "certificate 1"):
		t.Fatalf("recorded response %q after %d runs", outcome.Answer.Body, m.runs)
	case outcome.State == Claimed:
		m.attempts[claimStore] = append(m.attempts[claimStore], outcome.Claim)
	}
}

// end ends the oldest claim of a Store: its request is not sent, or runs and
// gets a response or an unknown outcome.
func (m *machine) end(ctx context.Context, t *rapid.T, claimStore *Store) {
	claims := m.attempts[claimStore]
	if len(claims) == 0 {
		return
	}
	claim := claims[0]
	m.attempts[claimStore] = claims[1:]
	if rapid.IntRange(0, 3).Draw(t, "send") == 0 {
		_ = claim.NotRun(ctx)
		return
	}
	m.runs++
	if m.runs > 1 {
		t.Fatalf("the request ran %d times", m.runs)
	}
	if rapid.Bool().Draw(t, "answered") {
		_ = claim.Finish(ctx, Response{Status: 201, Body: fmt.Appendf(nil, "certificate %d", m.runs)})
	} else {
		_ = claim.Unknown(ctx)
	}
}

// checkRecovers removes the faults and checks that no claim or write is left
// pending.
func (m *machine) checkRecovers(t *rapid.T) {
	ctx := context.Background()
	m.store.SetFault(nil)
	m.store.Release()
	for _, claimStore := range m.claimStores {
		for len(m.attempts[claimStore]) > 0 {
			m.end(ctx, t, claimStore)
		}
		if left := claimStore.Flush(ctx); left > 0 || len(claimStore.local) > 0 {
			t.Fatalf("%d writes and %d claims left", left, len(claimStore.local))
		}
	}
	outcome, err := m.claimStores[0].Begin(ctx, registration)
	if err != nil || outcome.State == StillRunning || m.runs > 0 && outcome.State == Claimed {
		t.Fatalf("after %d runs and without faults: result %q, error %v", m.runs, outcome.State, err)
	}
}

// A claim must be kept for its retention, whichever hosts run the sweep, and
// must be deleted after it. Sweeps of an idle system must stay within one
// hundredth of maxWritesPerSecond.
func TestSweepKeepsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		outcome, err := h.start("a", 1).Begin(ctx, registration)
		if err != nil || outcome.Claim.Finish(ctx, Response{Status: 200}) != nil {
			t.Fatal("not claimed")
		}
		for i := range 2 {
			claimStore := h.start("b", i)
			go func() { _ = claimStore.Serve(ctx) }()
		}
		present := func() bool {
			_, err := h.store.Get(ctx, objectstore.KindClaim, registration.name())
			return err == nil
		}
		time.Sleep(defaultRetention - time.Minute) // Virtual time.
		if !present() {
			t.Fatal("deleted within the retention")
		}
		time.Sleep(2*defaultRetention + time.Hour)
		if present() {
			t.Error("kept long after the retention")
		}
		const days = 3
		if writes := h.store.Writes(); writes > days*86_400*maxWritesPerSecond/100 {
			t.Errorf("%d writes in %d days without traffic", writes, days)
		}
	})
}
