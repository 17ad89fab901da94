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

// Guards against one stored hold that can't be read costing all others, and against one that
// lasts for years.
func TestHoldKeeperTakesWhatIsSoundOfAnObject(t *testing.T) {
	store := memstore.New()
	endless := storedHold("2")
	endless.Until = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)
	value, err := json.Marshal(storedHolds{Holds: []quarantine.StoredHold{{Kind: "odd", Hash: "1"}, {Kind: "request", Hash: "no"}, endless, storedHold("3")}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Create(context.Background(), kindHolds, holdsName, "w", value); err != nil {
		t.Fatal(err)
	}
	k := &holdKeeper{store: &eraStore{Store: storetest.New(store)}, quarantine: quarantine.New(nil)}
	mustDo(t, k.read)
	holds := k.quarantine.Holds()
	if len(holds) != 2 {
		t.Fatalf("holds %+v", holds)
	}
	for _, h := range holds {
		if time.Until(h.Until) > 10*time.Minute {
			t.Errorf("%s is held until %v", h.Hash, h.Until)
		}
	}
}

// Guards against a record that passes for one of the store's era now and after restores.
func TestSoftwareKeeperIgnoresARecordOfAnEraToCome(t *testing.T) {
	for _, era := range []string{"9223372036854775807", "4", "-1"} {
		store := &eraStore{Store: storetest.New(memstore.New()), era: 3}
		value := json.RawMessage(`{"services":{"s":["v1"]},"era":` + era + "}")
		if _, err := store.Create(context.Background(), kindSoftware, softwareName, "w", value); err != nil {
			t.Fatal(err)
		}
		k := newSoftwareKeeper(store, "v1")
		mustDo(t, k.read)
		if found := k.found(); found != "" {
			t.Errorf("era %s: a stream of unknown origin goes on at %q", era, found)
		}
	}
}
