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

// newCompactedLog returns a host that has applied 50 changes and compacted the
// older ones, and its settings. prepare runs after the first change.
func newCompactedLog(t *testing.T, prepare func(store *storetest.Store, settings LogConfig)) (*Log, LogConfig) {
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

// A write that takes effect only after its revision was compacted must not become
// part of the log: hosts that start and hosts that run both ignore it, and
// applying the change again takes effect once.
func TestWriteAfterCompactionIsNoEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delayed *storetest.Store
		a, settings := newCompactedLog(t, func(store *storetest.Store, settings LogConfig) {
			delayed = store
			sender := NewLog(settings)
			if err := sender.Sync(t.Context()); err != nil {
				t.Fatal(err)
			}
			store.SetFault(faultOnKind(objectstore.KindConfigChange, storetest.Delayed, storetest.OpCreate))
			_, err := sender.Apply(t.Context(), []*apiv1.Mutation{putOrganisation("late", 0, 1)}, "late", "operator")
			if _, unknown := err.(*UnknownOutcomeError); !unknown {
				t.Fatalf("error %v, want an unknown outcome", err)
			}
			store.SetFault(nil)
		})
		delayed.Release()
		if _, err := delayed.Get(t.Context(), objectstore.KindConfigChange, changeName(2)); err != nil {
			t.Fatalf("the delayed write had no effect: %v", err)
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

// A host that was paused while its next revision was taken and compacted must not
// write a change under that revision, whose name is free again, and report it as
// accepted.
func TestApplyAfterLongPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var paused *Log
		a, _ := newCompactedLog(t, func(_ *storetest.Store, settings LogConfig) {
			paused = NewLog(settings)
			if err := paused.Sync(t.Context()); err != nil {
				t.Fatal(err)
			}
		})
		revision, err := paused.Apply(t.Context(), []*apiv1.Mutation{putOrganisation("late", 0, 1)}, "late", "operator")
		if err != nil || revision != 51 {
			t.Fatalf("revision %d, error %v; want 51", revision, err)
		}
		if err := a.Sync(t.Context()); err != nil || a.Current().Organisation("late") == nil {
			t.Errorf("the change is not in force elsewhere: error %v", err)
		}
	})
}

// As TestApplyAfterLongPause, with the pause between the check of the proof's age
// and the write.
func TestPauseWithinApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pausing := &pausingStore{resume: make(chan struct{}), done: make(chan struct{})}
		a, settings := newCompactedLog(t, func(_ *storetest.Store, settings LogConfig) {
			pausing.Store = settings.Store
			settings.Store = pausing
			paused := NewLog(settings)
			go func() {
				pausing.revision, pausing.err = paused.Apply(context.Background(), []*apiv1.Mutation{putOrganisation("late", 0, 1)}, "late", "operator")
				close(pausing.done)
			}()
			synctest.Wait()
		})
		close(pausing.resume)
		<-pausing.done
		if pausing.err != nil || pausing.revision != 51 {
			t.Fatalf("revision %d, error %v; want 51", pausing.revision, pausing.err)
		}
		b := NewLog(settings)
		for _, log := range []*Log{a, b} {
			if err := log.Sync(t.Context()); err != nil || log.Current().Organisation("late") == nil {
				t.Errorf("the change is not in force elsewhere: error %v", err)
			}
		}
	})
}

// pausingStore blocks Create until resume is closed, like a process that is
// stopped before it sends the write.
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
