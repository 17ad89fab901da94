package mirror

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// journalLength is the number of changes kept for followers; one that is
// further behind gets all objects.
const journalLength = 512

// journal keeps a kind's objects and last changes for those that follow this
// mirror in place of the store. It is safe for concurrent use.
type journal struct {
	mu      sync.Mutex
	objects map[string]objectstore.Object
	// changes are the last ones in their order; from is the version after
	// which they are complete.
	changes []objectstore.Event
	from    objectstore.Version
	covered objectstore.Version
	// changed is closed at the next change.
	changed chan struct{}
}

func newJournal() *journal {
	return &journal{objects: make(map[string]objectstore.Object), changed: make(chan struct{})}
}

func (j *journal) replace(listing objectstore.Listing) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.objects = make(map[string]objectstore.Object, len(listing.Items))
	for _, item := range listing.Items {
		j.objects[item.Name] = item
	}
	j.changes, j.from = nil, listing.Version
	j.cover(listing.Version)
}

func (j *journal) apply(event objectstore.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if event.Type == objectstore.EventDelete {
		delete(j.objects, event.Object.Name)
	} else if event.Type == objectstore.EventPut {
		j.objects[event.Object.Name] = event.Object
	}
	if event.Type != objectstore.EventBookmark {
		j.changes = append(j.changes, event)
		if len(j.changes) > journalLength {
			j.from = j.changes[0].Version
			j.changes = slices.Clone(j.changes[1:])
		}
		close(j.changed)
		j.changed = make(chan struct{})
	}
	j.cover(event.Version)
}

func (j *journal) cover(version objectstore.Version) { j.covered = max(j.covered, version) }

// Update is what a follower gets.
type Update struct {
	// Covered is the version up to which the update holds all changes.
	Covered objectstore.Version
	// Whole updates hold all objects in place of changes.
	Whole  bool
	Events []objectstore.Event
}

// since returns what changed after a version, and what to wait for where that
// is nothing.
func (j *journal) since(after objectstore.Version) (Update, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	u := Update{Covered: j.covered, Whole: after < j.from || after == 0}
	if u.Whole {
		for _, object := range j.objects {
			u.Events = append(u.Events, objectstore.Event{Type: objectstore.EventPut, Version: object.Version, Object: object})
		}
		slices.SortFunc(u.Events, func(a, b objectstore.Event) int { return strings.Compare(a.Object.Name, b.Object.Name) })
		return u, j.changed
	}
	for _, event := range j.changes {
		if event.Version > after {
			u.Events = append(u.Events, event)
		}
	}
	return u, j.changed
}

// Follow returns what changed after a version, as soon as that is anything, or
// what holds after the wait.
func (m *Mirror) Follow(ctx context.Context, after objectstore.Version, wait time.Duration) Update {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		update, changed := m.journal.since(after)
		if update.Whole || len(update.Events) > 0 {
			return update
		}
		select {
		case <-changed:
		case <-ctx.Done():
			update, _ = m.journal.since(after)
			return update
		}
	}
}
