package mirror

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// maxCachedChanges is the number of recent changes that are kept. A follower that
// is further behind receives all objects instead.
const maxCachedChanges = 512

// watchCache holds the objects of a kind and their recent changes, to serve
// followers that read from this mirror instead of the store. It is safe for
// concurrent use.
type watchCache struct {
	mu      sync.Mutex
	objects map[string]objectstore.Object
	// changes holds the recent changes in order of version. It is complete for
	// versions above completeAfter.
	changes       []objectstore.Event
	completeAfter objectstore.Version
	// covered is the version up to which all changes were received.
	covered objectstore.Version
	// changed is closed and replaced at each change that is applied.
	changed chan struct{}
}

func newWatchCache() *watchCache {
	return &watchCache{objects: make(map[string]objectstore.Object), changed: make(chan struct{})}
}

func (c *watchCache) replace(listing objectstore.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objects = make(map[string]objectstore.Object, len(listing.Items))
	for _, item := range listing.Items {
		c.objects[item.Name] = item
	}
	c.changes, c.completeAfter = nil, listing.Version
	c.cover(listing.Version)
	c.notify()
}

// notify wakes the followers that wait for a change. It must be called with the
// mutex held.
func (c *watchCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *watchCache) apply(event objectstore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if event.Type == objectstore.EventDelete {
		delete(c.objects, event.Object.Name)
	} else if event.Type == objectstore.EventPut {
		c.objects[event.Object.Name] = event.Object
	}
	if event.Type != objectstore.EventBookmark {
		c.changes = append(c.changes, event)
		if len(c.changes) > maxCachedChanges {
			c.completeAfter = c.changes[0].Version
			c.changes = slices.Clone(c.changes[1:])
		}
		c.notify()
	}
	c.cover(event.Version)
}

func (c *watchCache) cover(version objectstore.Version) { c.covered = max(c.covered, version) }

// Update is the response to a follower: the changes after the version that the
// follower has reached, or all objects.
type Update struct {
	// Covered is the version up to which the update includes all changes. The
	// follower continues from it.
	Covered objectstore.Version
	// Whole reports whether Events holds all objects, as puts ordered by name,
	// instead of the changes.
	Whole bool
	// Events holds the changes in order of version.
	Events []objectstore.Event
}

// changesSince returns the changes after a version, and a channel that is closed
// at the next change. It returns all objects if the version is 0 or older than the
// changes kept.
func (c *watchCache) changesSince(after objectstore.Version) (Update, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Update{Covered: c.covered, Whole: after < c.completeAfter || after == 0}
	if u.Whole {
		for _, object := range c.objects {
			u.Events = append(u.Events, objectstore.Event{Type: objectstore.EventPut, Version: object.Version, Object: object})
		}
		slices.SortFunc(u.Events, func(a, b objectstore.Event) int { return strings.Compare(a.Object.Name, b.Object.Name) })
		return u, c.changed
	}
	for _, event := range c.changes {
		if event.Version > after {
			u.Events = append(u.Events, event)
		}
	}
	return u, c.changed
}

// Follow returns the changes after a version as soon as there are any. Once the
// wait has passed or ctx is done, it returns the current update, which may have
// no changes.
func (m *Mirror) Follow(ctx context.Context, after objectstore.Version, wait time.Duration) Update {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		update, changed := m.cache.changesSince(after)
		if update.Whole || len(update.Events) > 0 {
			return update
		}
		select {
		case <-changed:
		case <-ctx.Done():
			update, _ = m.cache.changesSince(after)
			return update
		}
	}
}
