// Package stage has the stand-ins that the cases of this review share: the
// platform's store, model engines and callers, and the start of the project's own
// daemon as a process. Everything listens on loopback addresses.
package stage

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type Store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object
	events   []storeEvent
	changed  chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{listener: Listen(), revision: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(s.listener, s) }()
	return s
}

// Address returns the store's address, IP:PORT.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Put writes an object, as operators and workers do.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw, nil)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Value returns the spec of an object, or nil.
func (s *Store) Value(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return o.Spec
	}
	return nil
}

func (s *Store) put(kind, name string, spec, status json.RawMessage) *object {
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) && string(o.Status) == string(status) {
		return o // a PUT that changes nothing produces no event
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	created := time.Now().UnixMilli()
	if o != nil {
		created = o.Metadata.Created
	}
	s.revision++
	o = &object{Metadata: metadata{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: spec, Status: status}
	s.objects[kind][name] = o
	s.notify(storeEvent{kind: kind, revision: s.revision, Object: *o})
	return o
}

func (s *Store) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *o
	gone.Metadata.Revision = s.revision
	s.notify(storeEvent{kind: kind, revision: s.revision, Object: gone, Removed: true})
}

func (s *Store) notify(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, Names.Objects), "/")
	isStatus := strings.HasSuffix(name, "/status")
	name = strings.TrimSuffix(name, "/status")
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	condition := body.Metadata.Revision
	if r.Method == http.MethodDelete {
		condition, _ = strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodPost:
		if o = s.objects[kind][body.Metadata.Name]; o != nil {
			reply(w, http.StatusConflict, o)
			return
		}
		reply(w, http.StatusCreated, s.put(kind, body.Metadata.Name, body.Spec, nil))
	case o == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, o)
	case condition != 0 && condition != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPut && isStatus:
		reply(w, http.StatusOK, s.put(kind, name, o.Spec, body.Status))
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.put(kind, name, body.Spec, o.Status))
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, o)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	items := []*object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "morePages": false, "asOf": s.revision})
}

// watch answers as soon as there is an event of the kind after a revision.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, asOf, changed := []storeEvent{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
