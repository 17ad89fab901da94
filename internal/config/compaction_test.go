package config

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// compacted returns a store whose log of 50 changes begins late, and a host
// that made it. Before the second change, prepare runs.
func compacted(t *testing.T, prepare func(store *storetest.Store, settings LogConfig)) (*Log, LogConfig) {
	store := storetest.New(memstore.New())
	settings := LogConfig{Store: store, SnapshotInterval: 10, KeepChanges: 5, MinChangeAge: time.Minute}
	a := NewLog(settings)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = a.Serve(ctx) }()
	mustApply(t, a, 1, 1)
	prepare(store, settings)
	mustApply(t, a, 2, 10)
	for i := 1; i < 5; i++ {
		mustApply(t, a, 10*i+1, 10*i+10)
		time.Sleep(2 * time.Minute) // Virtual time.
	}
	if _, err := store.Get(t.Context(), objectstore.KindConfigChange, changeName(2)); err == nil {
		t.Fatal("the log was not compacted")
	}
	cancel()
	synctest.Wait()
	return a, settings
}

// A change whose write takes effect only after its revision was compacted is
// no part of the log: hosts that start don't read it, those that run pass over
// it, and a repeat of the change takes effect once.
func TestWriteAfterCompactionIsNoEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var late *storetest.Store
		a, settings := compacted(t, func(store *storetest.Store, settings LogConfig) {
			late = store
			sender := NewLog(settings)
			if err := sender.Prove(t.Context()); err != nil {
				t.Fatal(err)
			}
			store.SetFault(onKind(objectstore.KindConfigChange, storetest.Delayed, storetest.OpCreate))
			_, err := sender.Apply(t.Context(), []*apiv1.Mutation{putOrganisation("late", 0, 1)}, "late", "operator")
			if _, unknown := err.(*UnknownOutcomeError); !unknown {
				t.Fatalf("error %v, want an unknown outcome", err)
			}
			store.SetFault(nil)
		})
		late.Release()
		if _, err := late.Get(t.Context(), objectstore.KindConfigChange, changeName(2)); err != nil {
			t.Fatalf("the late write had no effect: %v", err)
		}
		b := NewLog(settings)
		defer serve(a, b)()
		awaitRevision(t, b, 50, inForceBound)
		if got, want := fingerprint(b.Current()), fingerprint(a.Current()); got != want {
			t.Errorf("state differs:\n%s\n%s", got, want)
		}
		revision, err := b.Apply(t.Context(), []*apiv1.Mutation{putOrganisation("late", 0, 1)}, "late", "operator")
		if err != nil || revision != 51 {
			t.Errorf("repeat: revision %d, error %v; want 51", revision, err)
		}
		awaitRevision(t, a, 51, inForceBound)
	})
}

// A host that was paused while its next revision was taken and compacted does
// not take the free name for an accepted change.
func TestApplyAfterLongPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var paused *Log
		a, _ := compacted(t, func(_ *storetest.Store, settings LogConfig) {
			paused = NewLog(settings)
			if err := paused.Prove(t.Context()); err != nil {
				t.Fatal(err)
			}
		})
		revision, err := paused.Apply(t.Context(), []*apiv1.Mutation{putOrganisation("late", 0, 1)}, "late", "operator")
		if err != nil || revision != 51 {
			t.Fatalf("revision %d, error %v; want 51", revision, err)
		}
		if err := a.Prove(t.Context()); err != nil || a.Current().Organisation("late") == nil {
			t.Errorf("the change is not in force elsewhere: error %v", err)
		}
	})
}

// The same where the pause falls between the check of the state's age and the
// write.
func TestPauseWithinApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sleeper := &pausingStore{resume: make(chan struct{}), done: make(chan struct{})}
		a, settings := compacted(t, func(_ *storetest.Store, settings LogConfig) {
			sleeper.Store = settings.Store
			settings.Store = sleeper
			paused := NewLog(settings)
			go func() {
				sleeper.revision, sleeper.err = paused.Apply(context.Background(), []*apiv1.Mutation{putOrganisation("late", 0, 1)}, "late", "operator")
				close(sleeper.done)
			}()
			synctest.Wait()
		})
		close(sleeper.resume)
		<-sleeper.done
		if sleeper.err != nil || sleeper.revision != 51 {
			t.Fatalf("revision %d, error %v; want 51", sleeper.revision, sleeper.err)
		}
		b := NewLog(settings)
		for _, log := range []*Log{a, b} {
			if err := log.Prove(t.Context()); err != nil || log.Current().Organisation("late") == nil {
				t.Errorf("the change is not in force elsewhere: error %v", err)
			}
		}
	})
}

// pausingStore holds up the creation of a change, as a stopped process would.
type pausingStore struct {
	objectstore.Store
	resume, done chan struct{}
	revision     int64
	err          error
}

func (s *pausingStore) Create(_ context.Context, kind objectstore.Kind, name, writeID string, value json.RawMessage) (objectstore.Object, error) {
	<-s.resume
	return s.Store.Create(context.Background(), kind, name, writeID, value)
}
