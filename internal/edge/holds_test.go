package edge

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/quarantine"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

func storedHold(hash string) quarantine.StoredHold {
	return quarantine.StoredHold{Kind: "request", Hash: hash, Crashes: 3, Until: time.Now().Add(time.Minute).UTC().Truncate(time.Second)}
}

// Guards against one host's holds replacing those that another one has stored, and
// against writes that change nothing.
func TestHoldKeeperMergesWithTheStoredHolds(t *testing.T) {
	ctx := context.Background()
	store := &eraStore{Store: storetest.New(memstore.New())}
	keeper := func(holds ...quarantine.StoredHold) *holdKeeper {
		k := &holdKeeper{store: store, quarantine: quarantine.New(nil)}
		if err := k.quarantine.Restore(holds); err != nil {
			t.Fatal(err)
		}
		return k
	}
	write := func(k *holdKeeper) {
		t.Helper()
		if err := k.write(ctx); err != nil {
			t.Fatal(err)
		}
	}
	write(keeper())
	if store.Writes() != 0 {
		t.Error("a write without holds")
	}
	first, second := keeper(storedHold("1")), keeper(storedHold("2"))
	write(first)
	write(second) // finds the first one's holds
	write(second)
	writes := store.Writes()
	write(second)
	if store.Writes() != writes {
		t.Error("a write that changes nothing")
	}
	restarted := keeper()
	if err := restarted.read(ctx); err != nil {
		t.Fatal(err)
	}
	if got := len(restarted.quarantine.Holds()); got != 2 {
		t.Errorf("%d holds after a restart, want 2", got)
	}
}

func TestHoldKeeperReplacesAnObjectThatCannotBeRead(t *testing.T) {
	ctx := context.Background()
	store := memstore.New()
	if _, err := store.Create(ctx, kindHolds, holdsName, "w", json.RawMessage(`{"holds":[{"kind":"request","hash":"no"}]}`)); err != nil {
		t.Fatal(err)
	}
	k := &holdKeeper{store: &eraStore{Store: storetest.New(store)}, quarantine: quarantine.New(nil)}
	if err := k.quarantine.Restore([]quarantine.StoredHold{storedHold("1")}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := k.write(ctx); err != nil {
			t.Fatal(err)
		}
	}
	object, err := store.Get(ctx, kindHolds, holdsName)
	var value storedHolds
	if err != nil || json.Unmarshal(object.Value, &value) != nil || len(value.Holds) != 1 || value.Holds[0].Hash != "0000000000000001" {
		t.Errorf("stored %s, error %v", object.Value, err)
	}
}

// versionedStore is a store whose versions name its era.
type versionedStore struct{ eraStore }

func (s *versionedStore) versioned(object objectstore.Object) objectstore.Object {
	object.Version = objectstore.NewVersion(s.era, object.Version.Revision())
	return object
}

func (s *versionedStore) Get(ctx context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	object, err := s.Store.Get(ctx, kind, name)
	return s.versioned(object), err
}

func (s *versionedStore) Create(ctx context.Context, kind objectstore.Kind, name, writeID string, value json.RawMessage) (objectstore.Object, error) {
	object, err := s.Store.Create(ctx, kind, name, writeID, value)
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		conflict.Current = s.versioned(conflict.Current)
	}
	return s.versioned(object), err
}

func (s *versionedStore) Update(ctx context.Context, kind objectstore.Kind, name string, version objectstore.Version, writeID string, value json.RawMessage) (objectstore.Object, error) {
	if version.Era() < s.era {
		current, err := s.Get(ctx, kind, name)
		if err != nil {
			return objectstore.Object{}, err
		}
		return objectstore.Object{}, &objectstore.ConflictError{Current: current}
	}
	object, err := s.Store.Update(ctx, kind, name, objectstore.Version(version.Revision()), writeID, value)
	return s.versioned(object), err
}

// Guards against holds that the store lost in a restore from an older copy and that nobody
// writes again, so that a restart of all hosts costs further crashes.
func TestHoldKeeperWritesAgainAfterARestore(t *testing.T) {
	for name, inCopy := range map[string][]quarantine.StoredHold{"without the object": nil, "with an older object": {storedHold("1")}} {
		t.Run(name, func(t *testing.T) {
			memory := memstore.New()
			store := &versionedStore{eraStore{Store: storetest.New(memory), era: 1}}
			k := &holdKeeper{store: store, quarantine: quarantine.New(nil)}
			if err := k.quarantine.Restore(inCopy); err != nil {
				t.Fatal(err)
			}
			mustDo(t, k.write)
			older := memory.Copy()
			if err := k.quarantine.Restore([]quarantine.StoredHold{storedHold("2")}); err != nil {
				t.Fatal(err)
			}
			mustDo(t, k.write)
			store.Store, store.era = storetest.New(older), 2
			for range 3 { // finds the older object, or none, and writes
				mustDo(t, k.write)
			}
			restarted := &holdKeeper{store: store, quarantine: quarantine.New(nil)}
			mustDo(t, restarted.read)
			if got, want := len(restarted.quarantine.Holds()), len(inCopy)+1; got != want {
				t.Errorf("%d holds after a restart, want %d", got, want)
			}
			writes := store.Writes()
			mustDo(t, k.write)
			if store.Writes() != writes {
				t.Error("a write that changes nothing")
			}
		})
	}
}
