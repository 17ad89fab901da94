package edge

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
	"bilberryslip.example/bilberryslip/internal/streamorigin"
)

// eraStore is a store in an era.
type eraStore struct {
	*storetest.Store
	era int64
}

func (s *eraStore) Era() (era int64, known bool) { return s.era, true }
func (s *eraStore) ObserveEra(int64)             {}
func (s *eraStore) OnRestore(func(int64))        {}

// newSoftwareKeeper returns the keeper of a host that has just started and lists versions
// of the service "s".
func newSoftwareKeeper(store *eraStore, versions ...string) *softwareKeeper {
	listed := func() map[string][]string { return map[string][]string{"s": versions} }
	return &softwareKeeper{
		store: store, listed: listed, leads: func() bool { return true },
		origins: streamorigin.New(streamorigin.Config{Listed: listed, Recorded: true}), clock: clock.Boot,
	}
}

// found returns the version at which a stream of unknown origin goes on; empty for none.
func (k *softwareKeeper) found() string {
	software, _ := k.origins.Find(context.Background(), "s", "")
	return software
}

func mustDo(t *testing.T, call func(context.Context) error) {
	t.Helper()
	if err := call(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Guards against one host's versions replacing those that another one has recorded, and
// against calls that change nothing.
func TestSoftwareKeeperMergesWithTheRecord(t *testing.T) {
	store := &eraStore{Store: storetest.New(memstore.New())}
	first, second := newSoftwareKeeper(store, "v1"), newSoftwareKeeper(store, "v2")
	mustDo(t, first.read)
	mustDo(t, second.read)
	mustDo(t, first.write)
	mustDo(t, second.write) // finds the first one's record
	mustDo(t, second.write)
	calls := store.Writes()
	mustDo(t, second.write)
	if store.Writes() != calls || calls != 3 {
		t.Errorf("%d writes, then %d; want 3 and no further one", calls, store.Writes())
	}
	restarted := newSoftwareKeeper(store, "v2")
	mustDo(t, restarted.read)
	if got := restarted.found(); got != "" {
		t.Errorf("a stream of unknown origin goes on at %s beside v1", got)
	}
	if store.Count(storetest.OpGet) != 3 {
		t.Errorf("%d reads of three hosts", store.Count(storetest.OpGet))
	}
}

// Guards against taking a record that an older copy of the store holds, or that can't be
// decoded, for complete, and against leaving it so.
func TestSoftwareKeeperReplacesARecordThatMayLackVersions(t *testing.T) {
	for name, spoil := range map[string]func(*testing.T, *eraStore){
		"older copy": func(_ *testing.T, s *eraStore) { s.era++ },
		"not JSON": func(t *testing.T, s *eraStore) {
			object, err := s.Get(context.Background(), kindSoftware, softwareName)
			if err == nil {
				_, err = s.Update(context.Background(), kindSoftware, softwareName, object.Version, "w", json.RawMessage(`"no"`))
			}
			if err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			store := &eraStore{Store: storetest.New(memstore.New()), era: 1}
			before := newSoftwareKeeper(store, "v1")
			mustDo(t, before.read)
			mustDo(t, before.write)
			spoil(t, store)
			k := newSoftwareKeeper(store, "v1")
			mustDo(t, k.read)
			if got := k.found(); got != "" {
				t.Errorf("a stream of unknown origin goes on at %s", got)
			}
			mustDo(t, k.write)
			next := newSoftwareKeeper(store, "v1")
			mustDo(t, next.read)
			if got := next.found(); got != "v1" {
				t.Errorf("a stream goes on at %q after the record was replaced, want v1", got)
			}
		})
	}
}

// Guards against calls to a store that is down, and against guessing without it.
func TestSoftwareKeeperReadsOnceEndpointsAreListed(t *testing.T) {
	store := &eraStore{Store: storetest.New(memstore.New())}
	writer := newSoftwareKeeper(store, "v1")
	mustDo(t, writer.write)
	store.SetFault(func(storetest.Op, objectstore.Kind, string) storetest.Fault { return storetest.NotSent })
	k := newSoftwareKeeper(store, "v1")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = k.Serve(ctx) }()
	if got := k.found(); got != "" {
		t.Errorf("a stream goes on at %s before the record is read", got)
	}
	store.SetFault(nil)
	for deadline := time.Now().Add(5 * time.Second); k.found() != "v1"; {
		if time.Now().After(deadline) {
			t.Fatal("the record was not read")
		}
	}
	cancel()
	<-ended
	if store.Writes() != 1 {
		t.Errorf("%d writes of a record that did not change", store.Writes())
	}
}

// Guards against a host that was out of touch and takes the list of endpoints for all
// versions that there were meanwhile, and against reads of the record by a host that needs
// none.
func TestSoftwareKeeperReadsTheRecordAgainAfterAGap(t *testing.T) {
	store := &eraStore{Store: storetest.New(memstore.New())}
	now := time.Unix(1000, 0)
	k := newSoftwareKeeper(store, "v1")
	k.leads = func() bool { return false }
	k.origins = streamorigin.New(streamorigin.Config{
		Listed: k.listed, ListedAt: func() time.Time { return now }, Clock: func() time.Time { return now }, Recorded: true,
	})
	k.clock = func() time.Time { return now }
	mustDo(t, newSoftwareKeeper(store, "v1", "v2").write)
	mustDo(t, k.read)
	for range 3 {
		now = now.Add(time.Second)
		mustDo(t, k.update)
	}
	if reads := store.Count(storetest.OpGet); reads != 1 {
		t.Errorf("%d reads by a host in touch, want 1", reads)
	}
	now = now.Add(2 * time.Minute)
	if got := k.found(); got != "" {
		t.Errorf("a stream of unknown origin goes on at %s after a gap", got)
	}
	mustDo(t, k.update)
	if reads := store.Count(storetest.OpGet); reads != 2 {
		t.Errorf("%d reads after a gap, want 2", reads)
	}
	if got := k.found(); got != "" {
		t.Errorf("a stream of unknown origin goes on at %s beside v2 in the record", got)
	}
}
