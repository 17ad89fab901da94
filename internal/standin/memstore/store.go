// Package memstore implements an in-memory object store with the semantics of
// the platform's object API. The platform stand-in serves it over HTTP, and tests
// use it directly as an objectstore.Store.
package memstore

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// maxHistory is the number of events that are retained for new watches.
const maxHistory = 100_000

// watchBuffer is the maximum number of undelivered events of a watch; one more
// ends the watch.
const watchBuffer = 4096

type key struct {
	kind objectstore.Kind
	name string
}

// Store is an in-memory objectstore.Store. It is safe for concurrent use. The
// zero value is not usable; call New.
type Store struct {
	mu      sync.Mutex
	version objectstore.Version
	objects map[key]objectstore.Object
	history []objectstore.Event
	oldest  objectstore.Version
	watches map[*watch]struct{}
}

var _ objectstore.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[key]objectstore.Object),
		watches: make(map[*watch]struct{}),
	}
}

// Get implements objectstore.Store.
func (s *Store) Get(_ context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key{kind, name}]
	if !ok {
		return objectstore.Object{}, &objectstore.NotFoundError{Kind: kind, Name: name}
	}
	return obj, nil
}

// List implements objectstore.Store.
func (s *Store) List(_ context.Context, kind objectstore.Kind, prefix string) (objectstore.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := objectstore.Listing{Version: s.version}
	for k, obj := range s.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			listing.Items = append(listing.Items, obj)
		}
	}
	sort.Slice(listing.Items, func(i, j int) bool { return listing.Items[i].Name < listing.Items[j].Name })
	return listing, nil
}

// Create implements objectstore.Store.
func (s *Store) Create(_ context.Context, kind objectstore.Kind, name, writeID string, value json.RawMessage) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if obj, ok := s.objects[key{kind, name}]; ok {
		return objectstore.Object{}, &objectstore.ConflictError{Current: obj}
	}
	return s.put(kind, name, writeID, value), nil
}

// Update implements objectstore.Store.
func (s *Store) Update(_ context.Context, kind objectstore.Kind, name string, version objectstore.Version, writeID string, value json.RawMessage) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(kind, name, version); err != nil {
		return objectstore.Object{}, err
	}
	return s.put(kind, name, writeID, value), nil
}

// Delete implements objectstore.Store.
func (s *Store) Delete(_ context.Context, kind objectstore.Kind, name string, version objectstore.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(kind, name, version); err != nil {
		return err
	}
	obj := s.objects[key{kind, name}]
	delete(s.objects, key{kind, name})
	s.version++
	obj.Version = s.version
	s.publish(objectstore.Event{Type: objectstore.EventDelete, Version: s.version, Object: obj})
	return nil
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (objectstore.Watch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		return nil, &objectstore.CompactedError{Oldest: s.oldest}
	}
	w := &watch{store: s, kind: kind, events: make(chan objectstore.Event, watchBuffer)}
	for _, ev := range s.history {
		if ev.Object.Kind == kind && ev.Version > after {
			s.deliver(w, ev)
		}
	}
	s.watches[w] = struct{}{}
	w.cancel = context.AfterFunc(ctx, func() { w.end(ctx.Err()) })
	return w, nil
}

// Bookmark sends a bookmark event with the current version to every watch.
func (s *Store) Bookmark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		s.deliver(w, objectstore.Event{Type: objectstore.EventBookmark, Version: s.version})
	}
}

// Compact discards all retained events. Watch then returns a CompactedError for any
// version before the current one.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.version
}

// Version returns the version of the most recent write.
func (s *Store) Version() objectstore.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *Store) check(kind objectstore.Kind, name string, version objectstore.Version) error {
	obj, ok := s.objects[key{kind, name}]
	if !ok {
		return &objectstore.NotFoundError{Kind: kind, Name: name}
	}
	if obj.Version != version {
		return &objectstore.ConflictError{Current: obj}
	}
	return nil
}

func (s *Store) put(kind objectstore.Kind, name, writeID string, value json.RawMessage) objectstore.Object {
	s.version++
	obj := objectstore.Object{Kind: kind, Name: name, Version: s.version, WriteID: writeID, Value: value}
	s.objects[key{kind, name}] = obj
	s.publish(objectstore.Event{Type: objectstore.EventPut, Version: s.version, Object: obj})
	return obj
}

func (s *Store) publish(ev objectstore.Event) {
	s.history = append(s.history, ev)
	if len(s.history) > maxHistory {
		s.oldest = s.history[0].Version
		s.history = s.history[1:]
	}
	for w := range s.watches {
		if w.kind == ev.Object.Kind {
			s.deliver(w, ev)
		}
	}
}

// deliver sends the event to the watch without blocking. If the watch's buffer is
// full, it ends the watch with a CompactedError; s.mu must be held.
func (s *Store) deliver(w *watch, ev objectstore.Event) {
	select {
	case w.events <- ev:
	default:
		s.remove(w, &objectstore.CompactedError{Oldest: s.oldest})
	}
}

func (s *Store) remove(w *watch, err error) {
	if w.ended {
		return
	}
	w.ended = true
	w.err = err
	delete(s.watches, w)
	close(w.events)
}

type watch struct {
	store  *Store
	kind   objectstore.Kind
	events chan objectstore.Event
	cancel func() bool
	// ended and err are guarded by the store's mutex.
	ended bool
	err   error
}

// Events implements objectstore.Watch.
func (w *watch) Events() <-chan objectstore.Event { return w.events }

// Err implements objectstore.Watch.
func (w *watch) Err() error {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return w.err
}

// Stop implements objectstore.Watch.
func (w *watch) Stop() {
	w.cancel()
	w.end(nil)
}

func (w *watch) end(err error) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.remove(w, err)
}
