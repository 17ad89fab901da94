package edge

import (
	"context"
	"encoding/json"
	"testing"
	"time"

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
	store := storetest.New(memstore.New())
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
	k := &holdKeeper{store: store, quarantine: quarantine.New(nil)}
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
