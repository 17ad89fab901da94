package kit

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is the platform's part of an object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	Object  Object `json:"object"`
	Removed bool   `json:"removed"`
}

// heartbeat is the time between two writes of a worker; its entry is removed after
// heartbeatsMissed of them.
const heartbeat, heartbeatsMissed = 1200 * time.Millisecond, 3

// Store is the platform's metadata store. It is linearizable and keeps its whole history.
type Store struct {
	Address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	history  []change
	changed  chan struct{}
	server   *http.Server
	closed   chan struct{}
	// beats are the times of the workers' last writes.
	beats map[string]time.Time
	// floor is the oldest revision from which the history is complete.
	floor int64
	// era counts the returns from an older copy; it is sent unless it is zero.
	era int64
	// back is closed when the store answers again; nil while it does.
	back chan struct{}
}

// NewStore starts a store on a loopback address. Era is what it sends as its era; zero for
// none.
func NewStore(era int64) (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: listener.Addr().String(), revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}),
		closed: make(chan struct{}), beats: make(map[string]time.Time), era: era,
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	go s.expire()
	return s, nil
}

// expire removes the entries of silent workers, also while the store is down.
func (s *Store) expire() {
	for {
		select {
		case <-s.closed:
			return
		case <-time.After(heartbeat / 12):
		}
		s.mu.Lock()
		for id, at := range s.beats {
			if object, ok := s.objects["servers"][id]; ok && time.Since(at) > heartbeatsMissed*heartbeat {
				s.remove("servers", object)
			}
		}
		s.mu.Unlock()
	}
}

// Beat is a worker's write of its entry. The entry changes if more than the sequence does.
// It returns false if the store is down.
func (s *Store) Beat(id string, entry map[string]any, sequence int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.back != nil {
		return false
	}
	s.beats[id] = time.Now()
	if object, ok := s.objects["servers"][id]; ok {
		var stored map[string]any
		raw, _ := json.Marshal(entry)
		var fresh map[string]any
		if json.Unmarshal(object.Spec, &stored) == nil && json.Unmarshal(raw, &fresh) == nil {
			delete(stored, "sequence")
			if reflect.DeepEqual(stored, fresh) {
				return true
			}
		}
	}
	entry["sequence"] = sequence
	raw, _ := json.Marshal(entry)
	s.set("servers", id, raw)
	return true
}

// Down makes the store silent: calls get no answer until Up or Restore.
func (s *Store) Down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.back == nil {
		s.back = make(chan struct{})
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// IsDown reports whether the store is down.
func (s *Store) IsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.back != nil
}

// Up ends Down.
func (s *Store) Up() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up()
}

func (s *Store) up() {
	if s.back != nil {
		close(s.back)
		s.back = nil
	}
}

// Copy is a copy of the store's objects.
type Copy struct {
	revision int64
	objects  map[string]map[string]Object
}

// Copy returns a copy of the store's objects.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, cloneObjects(s.objects)}
}

func cloneObjects(from map[string]map[string]Object) map[string]map[string]Object {
	to := make(map[string]map[string]Object)
	for kind, objects := range from {
		to[kind] = maps.Clone(objects)
	}
	return to
}

// Restore makes the store come back from an older copy, and answer again. Later writes are
// lost and their revisions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.floor, s.objects, s.history = c.revision, c.revision, cloneObjects(c.objects), nil
	for id := range s.objects["servers"] {
		s.beats[id] = time.Now()
	}
	s.up()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Names returns the names of the objects of a kind, sorted.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// Close ends the store.
func (s *Store) Close() {
	close(s.closed)
	_ = s.server.Close()
}

// Put writes an object as the operator or a worker does.
func (s *Store) Put(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, raw).Metadata.Revision
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object, ok := s.objects[kind][name]; ok {
		s.remove(kind, object)
	}
}

// set must be called with the mutex held.
func (s *Store) set(kind, name string, spec json.RawMessage) Object {
	object, ok := s.objects[kind][name]
	if ok && string(object.Spec) == string(spec) {
		return object
	}
	s.revision++
	if !ok {
		object.Metadata = Metadata{Name: name, Created: time.Now().UnixMilli(), Finalizers: []string{}}
	}
	object.Metadata.Revision, object.Spec = s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = object
	s.record(change{kind: kind, Object: object})
	return object
}

func (s *Store) remove(kind string, object Object) {
	s.revision++
	delete(s.objects[kind], object.Metadata.Name)
	object.Metadata.Revision = s.revision
	s.record(change{kind: kind, Object: object, Removed: true})
}

func (s *Store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	back, era := s.back, s.era
	s.mu.Unlock()
	if back != nil {
		select {
		case <-back:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler) // a call during the outage gets no answer
	}
	if era > 0 {
		w.Header().Set(Wire.Era, strconv.FormatInt(era, 10))
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, Wire.ObjectsPath), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		object, ok := s.objects[kind][name]
		s.mu.Unlock()
		answer(w, map[bool]int{true: http.StatusOK, false: http.StatusNotFound}[ok], object)
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Object{}
	for _, object := range s.objects[kind] {
		if object.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, object)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "morePages": false, "asOf": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		events := []change{}
		s.mu.Lock()
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		asOf, floor, changed := s.revision, s.floor, s.changed
		cut := s.back != nil || s.era != era
		s.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		if after > asOf || after < floor {
			answer(w, http.StatusGone, nil)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body Object
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if object, ok := s.objects[kind][body.Metadata.Name]; ok {
			answer(w, http.StatusConflict, object)
			return
		}
		answer(w, http.StatusCreated, s.set(kind, body.Metadata.Name, body.Spec))
		return
	}
	object, ok := s.objects[kind][name]
	switch {
	case !ok:
		answer(w, http.StatusNotFound, nil)
	case body.Metadata.Revision != 0 && body.Metadata.Revision != object.Metadata.Revision:
		answer(w, http.StatusConflict, object)
	default:
		answer(w, http.StatusOK, s.set(kind, name, body.Spec))
	}
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[kind][name]
	revision := r.URL.Query().Get("revision")
	switch {
	case !ok:
		answer(w, http.StatusNotFound, nil)
	case revision != "" && revision != fmt.Sprint(object.Metadata.Revision):
		answer(w, http.StatusConflict, object)
	default:
		s.remove(kind, object)
		answer(w, http.StatusOK, object)
	}
}
