package config

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
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

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// putOrganisation returns a mutation that creates or updates an organisation.
func putOrganisation(name string, version int64, weight float64) *apiv1.Mutation {
	spec := &apiv1.Object_Organisation{Organisation: &apiv1.Organisation{Name: name, Weight: weight}}
	return &apiv1.Mutation{
		Kind: apiv1.Kind_KIND_ORGANISATION, Name: name, ExpectedVersion: version,
		Object: &apiv1.Object{Spec: spec},
	}
}

// faultOnKind returns a fault function that fails the given operations on one
// kind.
func faultOnKind(kind objectstore.Kind, fault storetest.Fault, ops ...storetest.Op) func(storetest.Op, objectstore.Kind, string) storetest.Fault {
	return func(op storetest.Op, k objectstore.Kind, _ string) storetest.Fault {
		for _, candidate := range ops {
			if candidate == op && k == kind {
				return fault
			}
		}
		return storetest.None
	}
}

func platformDown(storetest.Op, objectstore.Kind, string) storetest.Fault { return storetest.NotSent }

var _ = Describe("Apply", func() {
	ctx := context.Background()
	var store *storetest.Store
	var a, b *Log

	BeforeEach(func() {
		store = storetest.New(memstore.New())
		a = NewLog(LogConfig{Store: store})
		b = NewLog(LogConfig{Store: store})
	})

	apply := func(log *Log, id string, mutations ...*apiv1.Mutation) (int64, error) {
		return log.Apply(ctx, mutations, id, "operator")
	}

	It("accepts one of two racing changes and returns the current version to the other", func() {
		Expect(b.Sync(ctx)).To(Succeed())
		Expect(apply(a, "1", putOrganisation("x", 0, 1))).To(Equal(int64(1)))
		_, err := apply(b, "2", putOrganisation("x", 0, 2))
		Expect(err).To(Equal(&ConflictError{Key: ObjectKey{apiv1.Kind_KIND_ORGANISATION, "x"}, Expected: 0, Current: 1}))
		Expect(apply(b, "3", putOrganisation("y", 0, 2))).To(Equal(int64(2)))
		Expect(apply(a, "4", putOrganisation("y", 2, 3), putOrganisation("x", 1, 3))).To(Equal(int64(3)))
		Expect(a.Current().Objects(0)).To(HaveEach(HaveField("Version", int64(3))))
	})

	It("does not reject a change because of an outdated snapshot", func() {
		Expect(b.Sync(ctx)).To(Succeed())
		Expect(apply(a, "1", putOrganisation("x", 0, 1))).To(Equal(int64(1)))
		Expect(apply(b, "2", putOrganisation("x", 1, 2))).To(Equal(int64(2)))
	})

	It("settles a lost response by the change identifier", func() {
		lost := 0
		store.SetFault(func(op storetest.Op, _ objectstore.Kind, _ string) storetest.Fault {
			if lost++; op == storetest.OpCreate && lost < 4 {
				return storetest.ResponseLost
			}
			return storetest.None
		})
		Expect(apply(a, "1", putOrganisation("x", 0, 1))).To(Equal(int64(1)))
		Expect(apply(b, "1", putOrganisation("x", 0, 1))).To(Equal(int64(1)))
		Expect(a.Current().Revision()).To(Equal(int64(1)))
		_, err := apply(b, "1", putOrganisation("x", 0, 9))
		Expect(err).To(BeAssignableToTypeOf(&ValidationError{}))
	})

	It("accepts a change once although its first write arrives after the retry", func() {
		Expect(a.Sync(ctx)).To(Succeed())
		store.SetFault(faultOnKind(objectstore.KindConfigChange, storetest.Delayed, storetest.OpCreate))
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := a.Apply(short, []*apiv1.Mutation{putOrganisation("x", 0, 1)}, "1", "operator")
		Expect(err).To(HaveField("ChangeID", "1"))
		store.SetFault(nil)
		Expect(apply(b, "2", putOrganisation("y", 0, 1))).To(Equal(int64(1)))
		Expect(apply(b, "1", putOrganisation("x", 0, 1))).To(Equal(int64(2)))
		store.Release()
		Expect(a.Sync(ctx)).To(Succeed())
		Expect(a.Current().Revision()).To(Equal(int64(2)))
	})

	It("reports that nothing was applied while the platform is down", func() {
		store.SetFault(platformDown)
		_, err := apply(a, "1", putOrganisation("x", 0, 1))
		Expect(err).To(BeAssignableToTypeOf(&UnavailableError{}))
		Expect(a.Loaded()).To(BeFalse())
	})
})

// serve runs the logs until the returned function is called.
func serve(logs ...*Log) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, log := range logs {
		go func() { _ = log.Serve(ctx) }()
	}
	return cancel
}

// awaitRevision fails the test unless the log reaches the revision in time.
func awaitRevision(t *testing.T, log *Log, revision int64, within time.Duration) {
	t.Helper()
	deadline := time.After(within)
	for log.Current().Revision() < revision {
		select {
		case <-log.Changed():
		case <-deadline:
			t.Fatalf("revision %d after %v, want %d", log.Current().Revision(), within, revision)
		}
	}
}

// withdrawalBound is the required time for the withdrawal of a key to take
// effect. Tests of other changes use it too because it is shorter than
// inForceBound.
const withdrawalBound = 5 * time.Second

// mustApply creates the organisations numbered first to last, one per change.
func mustApply(t *testing.T, log *Log, first, last int) {
	t.Helper()
	for i := first; i <= last; i++ {
		name := fmt.Sprintf("org-%d", i)
		if _, err := log.Apply(t.Context(), []*apiv1.Mutation{putOrganisation(name, 0, 1)}, name, "operator"); err != nil {
			t.Fatal(err)
		}
	}
}

// A watch that never delivers an event must not keep a host from receiving
// changes: it reads them when it renews its proof.
func TestStalledWatchDoesNotHoldBackChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memstore.New()
		a, b := NewLog(LogConfig{Store: inner}), NewLog(LogConfig{Store: stalledWatches{inner}})
		defer serve(a, b)()
		awaitProof(t, b)
		mustApply(t, a, 1, 3)
		awaitRevision(t, b, 3, withdrawalBound)
	})
}

// stalledWatches is a store whose watches never deliver an event.
type stalledWatches struct{ objectstore.Store }

func (s stalledWatches) Watch(ctx context.Context, _ objectstore.Kind, _ objectstore.Version) (objectstore.Watch, error) {
	return s.Store.Watch(ctx, "nothing", 0)
}

func awaitProof(t *testing.T, log *Log) {
	t.Helper()
	for log.ProvenAt().IsZero() {
		time.Sleep(10 * time.Millisecond) // Virtual time.
	}
}

// A host that starts while the platform is down takes the configuration from a
// peer together with the peer's proof, and must not report a later proof.
func TestStartInOutageFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storetest.New(memstore.New())
		a := NewLog(LogConfig{Store: store})
		mustApply(t, a, 1, 3)
		if err := a.Sync(t.Context()); err != nil {
			t.Fatal(err)
		}
		store.SetFault(platformDown)
		outage := time.Now()
		b := NewLog(LogConfig{Store: store, Peers: a})
		if b.Loaded() {
			t.Fatal("loaded before anything was read")
		}
		defer serve(a, b)()
		awaitRevision(t, b, 3, withdrawalBound)
		time.Sleep(time.Minute) // Virtual time.
		if b.ProvenAt().After(outage) || b.ProvenAt().IsZero() {
			t.Errorf("proof of %v, want a time up to the outage's start %v", b.ProvenAt(), outage)
		}
		store.SetFault(nil)
		mustApply(t, a, 4, 4)
		awaitRevision(t, b, 4, withdrawalBound)
	})
}

// A host that starts after compaction reads the snapshot and then the log, and
// still recognises a change that is applied again.
func TestStartAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storetest.New(memstore.New())
		settings := LogConfig{Store: store, SnapshotInterval: 10, KeepChanges: 5, MinChangeAge: time.Minute}
		a := NewLog(settings)
		defer serve(a)()
		for i := range 5 {
			mustApply(t, a, 10*i+1, 10*i+10)
			time.Sleep(2 * time.Minute) // Virtual time.
		}
		changes, err := store.List(t.Context(), objectstore.KindConfigChange, "")
		if err != nil || len(changes.Items) > 20 {
			t.Fatalf("%d changes left, error %v; want at most 20", len(changes.Items), err)
		}
		snapshots, err := store.List(t.Context(), objectstore.KindConfigSnapshot, "")
		if err != nil || len(snapshots.Items) != 2*keepSnapshots {
			t.Fatalf("%d snapshot objects, error %v; want %d", len(snapshots.Items), err, 2*keepSnapshots)
		}
		b := NewLog(settings)
		if err := b.Sync(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got, want := fingerprint(b.Current()), fingerprint(a.Current()); got != want {
			t.Errorf("state differs:\n%s\n%s", got, want)
		}
		revision, err := b.Apply(t.Context(), []*apiv1.Mutation{putOrganisation("org-50", 0, 1)}, "org-50", "operator")
		if err != nil || revision != 50 {
			t.Errorf("repeat: revision %d, error %v; want 50", revision, err)
		}
	})
}

// After a pause of the process, EnsureFresh must bring the snapshot up to date
// before the next request. In an outage only one call may try to, so that
// requests are not delayed.
func TestEnsureFreshAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storetest.New(memstore.New())
		a, b := NewLog(LogConfig{Store: store}), NewLog(LogConfig{Store: store})
		mustApply(t, a, 1, 1)
		if !b.EnsureFresh(t.Context(), withdrawalBound) || b.Current().Revision() != 1 {
			t.Fatal("not fresh at the start")
		}
		mustApply(t, a, 2, 2)
		time.Sleep(time.Minute) // Virtual time in which b makes no call.
		if !b.EnsureFresh(t.Context(), withdrawalBound) || b.Current().Revision() != 2 {
			t.Errorf("revision %d after the pause, want 2", b.Current().Revision())
		}
		store.SetFault(platformDown)
		time.Sleep(time.Minute)
		calls := store.Count(storetest.OpGet)
		for range 100 {
			if b.EnsureFresh(t.Context(), withdrawalBound) {
				t.Fatal("fresh while the platform is down")
			}
		}
		if made := store.Count(storetest.OpGet) - calls; made != 1 {
			t.Errorf("%d attempts for 100 requests, want 1", made)
		}
	})
}
