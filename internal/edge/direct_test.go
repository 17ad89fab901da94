package edge

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/mirror"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// silentStore is a store that answers no list.
type silentStore struct{ objectstore.RestorableStore }

func (silentStore) List(context.Context, objectstore.Kind, string) (objectstore.Listing, error) {
	return objectstore.Listing{}, errors.New("no response")
}

// silentAdapter is an adapter that has a silentStore only.
type silentAdapter struct{ Adapter }

func (silentAdapter) Store() objectstore.RestorableStore { return silentStore{} }

// Guards against a host of a large fleet that goes on reading from the store, which
// doesn't answer it, while the watchers that it could follow have the changes: an
// endpoint that has left then keeps getting requests.
func TestALaggingHostReturnsToItsWatcherIfTheStoreDoesNotAnswer(t *testing.T) {
	const kind objectstore.Kind = "servers"
	const tolerance = 10 * time.Millisecond
	now := time.Now()
	followed := &watcherSource{address: "watcher"}
	c := &watchCoordinator{
		host: &host{adapter: silentAdapter{}}, sized: true, followed: followed, watchers: map[string]*watcherPeer{"watcher": {source: followed}},
		lags:        map[objectstore.Kind]*lag{kind: {tolerance: tolerance}},
		directUntil: make(map[objectstore.Kind]time.Time), notDirectUntil: make(map[objectstore.Kind]time.Time),
	}
	m := mirror.New(storetest.New(memstore.New()), kind, nil)
	behind := func(after time.Duration) step { return c.checkLag(now.Add(after), m, objectstore.NewVersion(1, 9)) }
	for after := time.Duration(0); behind(after) != relistFromStore; after += tolerance {
		if after > 10*tolerance {
			t.Fatal("never reads from the store")
		}
	}
	direct := c.source(kind)
	if direct == mirror.Source(followed) {
		t.Fatal("follows the watcher although it lags behind")
	}
	avoided := c.watchers["watcher"].avoidUntil
	if _, err := direct.List(context.Background(), kind, ""); err == nil {
		t.Fatal("the silent store answered")
	}
	if c.source(kind) != mirror.Source(followed) {
		t.Error("does not return to the watcher after the store failed")
	}
	if got := behind(10 * tolerance); got == relistFromStore {
		t.Error("turns to the store again at once")
	}
	if got := c.watchers["watcher"].avoidUntil; got.Before(avoided) {
		t.Errorf("avoided until %v, before %v", got, avoided)
	}
}
