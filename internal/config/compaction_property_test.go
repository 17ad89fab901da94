package config

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// compactingFleet is a set of hosts that compact often and share one clock.
type compactingFleet struct {
	store *storetest.Store
	logs  []*Log
	now   time.Time
	next  int
	// entries is the change identifier seen at each revision.
	entries map[int64]string
}

func (f *compactingFleet) start() *Log {
	return NewLog(LogConfig{
		Store: f.store, Clock: func() time.Time { return f.now },
		SnapshotInterval: 3, KeepChanges: 2, MinChangeAge: time.Hour,
	})
}

// Hosts apply changes while others compact the log, are paused for hours or
// restart, and writes are lost or take effect hours late. No two hosts may ever
// have different changes at one revision, and accepted changes must not be lost.
func TestFleetAgreesThroughCompaction(t *testing.T) {
	// With the default of 100 checks the test does not detect that a change was
	// compacted too early.
	_ = flag.Set("rapid.checks", "400")
	defer func() { _ = flag.Set("rapid.checks", "100") }()
	rapid.Check(t, func(t *rapid.T) {
		f := &compactingFleet{store: storetest.New(memstore.New()), now: time.Now(), entries: make(map[int64]string)}
		for range 3 {
			f.logs = append(f.logs, f.start())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.step(t)
			f.check(t)
		}
		f.store.SetFault(nil)
		f.store.Release()
		f.logs = append(f.logs, f.start())
		f.now = f.now.Add(time.Hour)
		for _, log := range f.logs {
			if err := log.Sync(context.Background()); err != nil {
				t.Fatal(err)
			}
			if got, want := fingerprint(log.Current()), fingerprint(f.logs[0].Current()); got != want {
				t.Fatalf("states differ after all faults:\n%s\n%s", got, want)
			}
		}
		f.check(t)
	})
}

func (f *compactingFleet) step(t *rapid.T) {
	// The cancelled context allows one attempt at each write, without retries.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.store.SetFault(func(op storetest.Op, _ objectstore.Kind, _ string) storetest.Fault {
		if !op.IsWrite() || rapid.IntRange(0, 4).Draw(t, "faulty") > 0 {
			return storetest.None
		}
		return storetest.Fault(rapid.IntRange(0, int(storetest.Delayed)).Draw(t, "fault"))
	})
	i := rapid.IntRange(0, len(f.logs)-1).Draw(t, "host")
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2, 3, 4:
		f.apply(ctx, t, f.logs[i])
	case 5, 6:
		_ = f.logs[i].Sync(ctx)
		_ = f.logs[i].WriteSnapshot(ctx)
	case 7:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "minutes")) * time.Minute)
	case 8:
		f.store.Release()
	case 9:
		f.logs[i] = f.start()
	}
}

// apply makes a new change, which is never retried.
func (f *compactingFleet) apply(ctx context.Context, t *rapid.T, log *Log) {
	f.next++
	id := fmt.Sprint(f.next)
	revision, err := log.Apply(ctx, []*apiv1.Mutation{putOrganisation("org-"+id, 0, 1)}, id, "operator")
	if err != nil {
		return
	}
	if other, taken := f.entries[revision]; taken && other != id {
		t.Fatalf("change %s was accepted at revision %d, which belongs to change %s", id, revision, other)
	}
	f.entries[revision] = id
}

// check compares every host's history with the entries seen before.
func (f *compactingFleet) check(t *rapid.T) {
	for i, log := range f.logs {
		for _, received := range log.replica.history {
			revision, id := received.change.Revision, received.change.ChangeId
			if other, seen := f.entries[revision]; seen && other != id {
				t.Fatalf("host %d has change %s at revision %d, which belongs to change %s", i, id, revision, other)
			}
			f.entries[revision] = id
		}
	}
}
