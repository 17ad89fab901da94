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

func onKind(kind objectstore.Kind, fault storetest.Fault, ops ...storetest.Op) func(storetest.Op, objectstore.Kind, string) storetest.Fault {
	return func(op storetest.Op, k objectstore.Kind, _ string) storetest.Fault {
		for _, candidate := range ops {
			if candidate == op && k == kind {
				return fault
			}
		}
		return storetest.None
	}
}

func down(storetest.Op, objectstore.Kind, string) storetest.Fault { return storetest.NotSent }

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

	It("lets one of two racing operators win and names the current version to the other", func() {
		Expect(b.Prove(ctx)).To(Succeed())
		Expect(apply(a, "1", putOrganisation("x", 0, 1))).To(Equal(int64(1)))
		_, err := apply(b, "2", putOrganisation("x", 0, 2))
		Expect(err).To(Equal(&ConflictError{Key: ObjectKey{apiv1.Kind_KIND_ORGANISATION, "x"}, Expected: 0, Current: 1}))
		Expect(apply(b, "3", putOrganisation("y", 0, 2))).To(Equal(int64(2)))
		Expect(apply(a, "4", putOrganisation("y", 2, 3), putOrganisation("x", 1, 3))).To(Equal(int64(3)))
		Expect(a.Current().Objects(0)).To(HaveEach(HaveField("Version", int64(3))))
	})

	It("does not refuse a change over an outdated snapshot", func() {
		Expect(b.Prove(ctx)).To(Succeed())
		Expect(apply(a, "1", putOrganisation("x", 0, 1))).To(Equal(int64(1)))
		Expect(apply(b, "2", putOrganisation("x", 1, 2))).To(Equal(int64(2)))
	})

	It("settles a lost answer by the change's identifier", func() {
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

	It("accepts a change once though its first write arrives after the repeat", func() {
		Expect(a.Prove(ctx)).To(Succeed())
		store.SetFault(onKind(objectstore.KindConfigChange, storetest.Delayed, storetest.OpCreate))
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := a.Apply(short, []*apiv1.Mutation{putOrganisation("x", 0, 1)}, "1", "operator")
		Expect(err).To(HaveField("ChangeID", "1"))
		store.SetFault(nil)
		Expect(apply(b, "2", putOrganisation("y", 0, 1))).To(Equal(int64(1)))
		Expect(apply(b, "1", putOrganisation("x", 0, 1))).To(Equal(int64(2)))
		store.Release()
		Expect(a.Prove(ctx)).To(Succeed())
		Expect(a.Current().Revision()).To(Equal(int64(2)))
	})

	It("says that nothing was applied while the platform is down", func() {
		store.SetFault(down)
		_, err := apply(a, "1", putOrganisation("x", 0, 1))
		Expect(err).To(BeAssignableToTypeOf(&UnavailableError{}))
		Expect(a.Loaded()).To(BeFalse())
	})
})

// serve runs logs in a synctest bubble until the returned function is called.
func serve(logs ...*Log) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, log := range logs {
		go func() { _ = log.Serve(ctx) }()
	}
	return cancel
}

// awaitRevision fails unless the log reaches the revision within the time.
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

// withdrawalBound is the users' bound for a withdrawn key and, being the
// shorter, for a change to be in force.
const withdrawalBound = 5 * time.Second

func mustApply(t *testing.T, log *Log, first, last int) {
	t.Helper()
	for i := first; i <= last; i++ {
		name := fmt.Sprintf("org-%d", i)
		if _, err := log.Apply(t.Context(), []*apiv1.Mutation{putOrganisation(name, 0, 1)}, name, "operator"); err != nil {
			t.Fatal(err)
		}
	}
}

// A watch that delivers nothing for good must not keep a change from a host.
func TestSilentWatchDoesNotHoldBackChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memstore.New()
		a, b := NewLog(LogConfig{Store: inner}), NewLog(LogConfig{Store: silentWatches{inner}})
		defer serve(a, b)()
		awaitProof(t, b)
		mustApply(t, a, 1, 3)
		awaitRevision(t, b, 3, withdrawalBound)
	})
}

// silentWatches is a store whose watches never report anything.
type silentWatches struct{ objectstore.Store }

func (s silentWatches) Watch(ctx context.Context, _ objectstore.Kind, _ objectstore.Version) (objectstore.Watch, error) {
	return s.Store.Watch(ctx, "nothing", 0)
}

func awaitProof(t *testing.T, log *Log) {
	t.Helper()
	for log.Freshness().IsZero() {
		time.Sleep(10 * time.Millisecond) // Virtual time.
	}
}

// A host that starts while the platform is down serves what its peer has,
// with the peer's proof, and does not claim a later one.
func TestStartInOutageFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storetest.New(memstore.New())
		a := NewLog(LogConfig{Store: store})
		mustApply(t, a, 1, 3)
		if err := a.Prove(t.Context()); err != nil {
			t.Fatal(err)
		}
		store.SetFault(down)
		outage := time.Now()
		b := NewLog(LogConfig{Store: store, Peers: a})
		if b.Loaded() {
			t.Fatal("loaded before anything was learned")
		}
		defer serve(a, b)()
		awaitRevision(t, b, 3, withdrawalBound)
		time.Sleep(time.Minute) // Virtual time.
		if b.Freshness().After(outage) || b.Freshness().IsZero() {
			t.Errorf("freshness %v, want a time up to the outage's start %v", b.Freshness(), outage)
		}
		store.SetFault(nil)
		mustApply(t, a, 4, 4)
		awaitRevision(t, b, 4, withdrawalBound)
	})
}

// A host that starts after compaction reads the snapshot and then the log; a
// repeated change is still recognised.
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
		if err := b.Prove(t.Context()); err != nil {
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

// A host that was paused must not go on with what it knew: EnsureFresh reads
// on before the next request, and an outage holds up few of them.
func TestEnsureFreshAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storetest.New(memstore.New())
		a, b := NewLog(LogConfig{Store: store}), NewLog(LogConfig{Store: store})
		mustApply(t, a, 1, 1)
		if !b.EnsureFresh(t.Context(), withdrawalBound) || b.Current().Revision() != 1 {
			t.Fatal("not fresh at the start")
		}
		mustApply(t, a, 2, 2)
		time.Sleep(time.Minute) // Virtual time, in which b does nothing.
		if !b.EnsureFresh(t.Context(), withdrawalBound) || b.Current().Revision() != 2 {
			t.Errorf("revision %d after the pause, want 2", b.Current().Revision())
		}
		store.SetFault(down)
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
