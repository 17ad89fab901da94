package config

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// fingerprint returns a text that is equal for equal snapshots.
func fingerprint(s *Snapshot) string {
	var text strings.Builder
	fmt.Fprintf(&text, "revision %d\n", s.Revision())
	for _, obj := range s.Objects(apiv1.Kind_KIND_UNSPECIFIED) {
		raw, _ := proto.MarshalOptions{Deterministic: true}.Marshal(obj)
		fmt.Fprintf(&text, "%x\n", raw)
	}
	return text.String()
}

// With changes and snapshots reordered, repeated or lost, a replica's revision
// must never decrease, and its state at each revision must be that of the log.
func TestReplicaFollowsLogInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 25).Draw(t, "changes")
		changes, states := randomLog(t, count)
		r := newReplica(defaultKeepChanges)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := r.revision()
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				r.installSnapshot(states[rapid.IntRange(0, count).Draw(t, "snapshot")])
			} else {
				r.addChanges(time.Time{}, changes[rapid.IntRange(0, count-1).Draw(t, "change")])
			}
			if r.revision() < before {
				t.Fatalf("revision went from %d to %d", before, r.revision())
			}
			checkReplica(t, r, states, changes)
		}
		r.addChanges(time.Time{}, changes...)
		if r.revision() != int64(count) {
			t.Fatalf("revision %d after the whole log, want %d", r.revision(), count)
		}
		checkReplica(t, r, states, changes)
	})
}

func checkReplica(t *rapid.T, r *replica, states []*Snapshot, changes []*apiv1.Change) {
	if got, want := fingerprint(r.snapshot), fingerprint(states[r.revision()]); got != want {
		t.Fatalf("state at revision %d differs from the log:\n%s\nwant\n%s", r.revision(), got, want)
	}
	for revision := r.oldest(); revision <= r.revision(); revision++ {
		if r.changeAt(revision) != changes[revision-1] {
			t.Fatalf("history at revision %d holds a different change", revision)
		}
	}
	if r.forked {
		t.Fatal("a fork was reported for one log")
	}
}

// randomLog returns changes at contiguous revisions from 1, and the state at
// each revision from 0.
func randomLog(t *rapid.T, count int) ([]*apiv1.Change, []*Snapshot) {
	states := []*Snapshot{NewSnapshot(0, nil)}
	var changes []*apiv1.Change
	for i := range count {
		before := states[i]
		name := fmt.Sprintf("org-%d", rapid.IntRange(0, 3).Draw(t, "name"))
		mutation := putOrganisation(name, before.Object(apiv1.Kind_KIND_ORGANISATION, name).GetVersion(), float64(i))
		if mutation.ExpectedVersion > 0 && rapid.Bool().Draw(t, "delete") {
			mutation.Object, mutation.Delete = nil, true
		}
		after, err := Validate(before, []*apiv1.Mutation{mutation})
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, &apiv1.Change{Revision: int64(i + 1), ChangeId: fmt.Sprint(i), Mutations: []*apiv1.Mutation{mutation}})
		states = append(states, after)
	}
	return changes, states
}

// fleet is several hosts that share a faulty store.
type fleet struct {
	store *storetest.Store
	inner *memstore.Store
	logs  []*Log
	last  []int64
	// accepted holds the revision of each change that was accepted, and rejected
	// whether the last attempt of a change ended in a conflict. Keys are change
	// identifiers.
	accepted map[string]int64
	rejected map[string]bool
}

// Hosts apply changes at random, with lost, delayed and repeated writes, fetch
// changes from each other and are replaced. Every change must take effect at most
// once and as reported, revisions must never decrease, and hosts at the same
// revision must have the same state.
func TestFleetAgreesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			f.step(t, step)
			f.check(t)
		}
		f.store.SetFault(nil)
		f.store.Release()
		for _, log := range f.logs {
			if err := log.Sync(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		f.check(t)
		f.checkOutcomes(t)
	})
}

func newFleet() *fleet {
	inner := memstore.New()
	f := &fleet{
		inner: inner, store: storetest.New(inner), last: make([]int64, 3),
		accepted: make(map[string]int64), rejected: make(map[string]bool),
	}
	for range 3 {
		f.logs = append(f.logs, NewLog(LogConfig{Store: f.store}))
	}
	return f
}

func (f *fleet) step(t *rapid.T, step int) {
	// The cancelled context allows one attempt at each write, without retries.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	host := rapid.IntRange(0, len(f.logs)-1).Draw(t, "host")
	log := f.logs[host]
	f.store.SetFault(func(storetest.Op, objectstore.Kind, string) storetest.Fault {
		if rapid.IntRange(0, 2).Draw(t, "faulty") > 0 {
			return storetest.None
		}
		return storetest.Fault(rapid.IntRange(0, int(storetest.Delayed)).Draw(t, "fault"))
	})
	switch rapid.IntRange(0, 5).Draw(t, "action") {
	case 0, 1, 2:
		f.apply(ctx, t, log)
	case 3:
		_ = log.Sync(ctx)
	case 4:
		other := f.logs[rapid.IntRange(0, len(f.logs)-1).Draw(t, "peer")]
		log.HandleChanges(other.ChangesAfter(log.Current().Revision(), rapid.IntRange(1, 5).Draw(t, "limit")), time.Now())
	case 5:
		f.logs[host], f.last[host] = NewLog(LogConfig{Store: f.store}), 0
		f.store.Release()
	}
}

// apply makes one attempt at one of ten changes. There are so few that attempts
// of the same change are common.
func (f *fleet) apply(ctx context.Context, t *rapid.T, log *Log) {
	n := rapid.IntRange(0, 9).Draw(t, "id")
	id := fmt.Sprint(n)
	name := fmt.Sprintf("org-%d", n%3)
	// The version depends on the identifier only, so that a repeated change has
	// the same mutations.
	revision, err := log.Apply(ctx, []*apiv1.Mutation{putOrganisation(name, int64(n/3), float64(n))}, id, "operator")
	if err == nil {
		f.accepted[id] = revision
		f.rejected[id] = false
		return
	}
	var conflict *ConflictError
	f.rejected[id] = errors.As(err, &conflict)
}

func (f *fleet) check(t *rapid.T) {
	states := make(map[int64]string)
	for i, log := range f.logs {
		snapshot := log.Current()
		if snapshot.Revision() < f.last[i] {
			t.Fatalf("host %d went from revision %d to %d", i, f.last[i], snapshot.Revision())
		}
		f.last[i] = snapshot.Revision()
		state := fingerprint(snapshot)
		if other, ok := states[snapshot.Revision()]; ok && other != state {
			t.Fatalf("two states at revision %d:\n%s\n%s", snapshot.Revision(), other, state)
		}
		states[snapshot.Revision()] = state
	}
}

func (f *fleet) checkOutcomes(t *rapid.T) {
	listing, _ := f.inner.List(context.Background(), objectstore.KindConfigChange, "")
	revisions := make(map[string]int64)
	for _, item := range listing.Items {
		change, err := decodeChange(item)
		if err != nil {
			t.Fatal(err)
		}
		if earlier, duplicate := revisions[change.ChangeId]; duplicate {
			t.Fatalf("change %s was accepted at revisions %d and %d", change.ChangeId, earlier, change.Revision)
		}
		revisions[change.ChangeId] = change.Revision
	}
	for id, revision := range revisions {
		if f.rejected[id] {
			t.Fatalf("change %s was rejected by a conflict but is at revision %d", id, revision)
		}
	}
	for id, revision := range f.accepted {
		if revisions[id] != revision {
			t.Fatalf("change %s was reported at revision %d but is at %d", id, revision, revisions[id])
		}
	}
}
