// Package objectstore is an in-memory object store with the semantics of the
// platform's object API. The platform stand-in serves it over HTTP, and tests
// use it directly as a platform.Store.
package objectstore

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"bilberryslip.example/bilberryslip/internal/platform"
)

// maxHistory is the number of events kept for watches.
const maxHistory = 100_000

// watchBuffer is the number of events that a watch may lag.
const watchBuffer = 4096

type key struct {
	kind platform.Kind
	name string
}

// Store is an in-memory platform.Store. The zero value is not usable; call
// New.
type Store struct {
	mu      sync.Mutex
	version platform.Version
	objects map[key]platform.Object
	history []platform.Event
	oldest  platform.Version
	watches map[*watch]struct{}
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[key]platform.Object),
		watches: make(map[*watch]struct{}),
	}
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, kind platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key{kind, name}]
	if !ok {
		return platform.Object{}, &platform.NotFoundError{Kind: kind, Name: name}
	}
	return obj, nil
}

// List implements platform.Store.
func (s *Store) List(_ context.Context, kind platform.Kind, prefix string) (platform.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := platform.Listing{Version: s.version}
	for k, obj := range s.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			listing.Items = append(listing.Items, obj)
		}
	}
	sort.Slice(listing.Items, func(i, j int) bool { return listing.Items[i].Name < listing.Items[j].Name })
	return listing, nil
}

// Create implements platform.Store.
func (s *Store) Create(_ context.Context, kind platform.Kind, name, writeID string, value json.RawMessage) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if obj, ok := s.objects[key{kind, name}]; ok {
		return platform.Object{}, &platform.ConflictError{Current: obj}
	}
	return s.put(kind, name, writeID, value), nil
}

// Update implements platform.Store.
func (s *Store) Update(_ context.Context, kind platform.Kind, name string, version platform.Version, writeID string, value json.RawMessage) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(kind, name, version); err != nil {
		return platform.Object{}, err
	}
	return s.put(kind, name, writeID, value), nil
}

// Delete implements platform.Store.
func (s *Store) Delete(_ context.Context, kind platform.Kind, name string, version platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(kind, name, version); err != nil {
		return err
	}
	obj := s.objects[key{kind, name}]
	delete(s.objects, key{kind, name})
	s.version++
	obj.Version = s.version
	s.publish(platform.Event{Type: platform.EventDelete, Version: s.version, Object: obj})
	return nil
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Watch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		return nil, &platform.GoneError{Oldest: s.oldest}
	}
	w := &watch{store: s, kind: kind, events: make(chan platform.Event, watchBuffer)}
	for _, ev := range s.history {
		if ev.Object.Kind == kind && ev.Version > after {
			s.deliver(w, ev)
		}
	}
	s.watches[w] = struct{}{}
	w.cancel = context.AfterFunc(ctx, func() { w.end(ctx.Err()) })
	return w, nil
}

// Bookmark sends every watch a bookmark of the current version.
func (s *Store) Bookmark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		s.deliver(w, platform.Event{Type: platform.EventBookmark, Version: s.version})
	}
}

// Compact forgets all events, so that watches from before now are refused.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.version
}

// Version returns the version of the last write.
func (s *Store) Version() platform.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *Store) check(kind platform.Kind, name string, version platform.Version) error {
	obj, ok := s.objects[key{kind, name}]
	if !ok {
		return &platform.NotFoundError{Kind: kind, Name: name}
	}
	if obj.Version != version {
		return &platform.ConflictError{Current: obj}
	}
	return nil
}

func (s *Store) put(kind platform.Kind, name, writeID string, value json.RawMessage) platform.Object {
	s.version++
	obj := platform.Object{Kind: kind, Name: name, Version: s.version, WriteID: writeID, Value: value}
	s.objects[key{kind, name}] = obj
	s.publish(platform.Event{Type: platform.EventPut, Version: s.version, Object: obj})
	return obj
}

func (s *Store) publish(ev platform.Event) {
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

// deliver sends without blocking; a watch that lags too far is ended.
func (s *Store) deliver(w *watch, ev platform.Event) {
	select {
	case w.events <- ev:
	default:
		s.remove(w, &platform.GoneError{Oldest: s.oldest})
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
	kind   platform.Kind
	events chan platform.Event
	cancel func() bool
	// ended and err are guarded by the store's mutex.
	ended bool
	err   error
}

// Events implements platform.Watch.
func (w *watch) Events() <-chan platform.Event { return w.events }

// Err implements platform.Watch.
func (w *watch) Err() error {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return w.err
}

// Stop implements platform.Watch.
func (w *watch) Stop() {
	w.cancel()
	w.end(nil)
}

func (w *watch) end(err error) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.remove(w, err)
}
