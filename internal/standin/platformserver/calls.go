package platformserver

import (
	"context"
	"maps"
	"time"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Calls holds the number of API calls by operation.
type Calls struct {
	Get      int64 `json:"get"`
	List     int64 `json:"list"`
	Create   int64 `json:"create"`
	Update   int64 `json:"update"`
	Delete   int64 `json:"delete"`
	Watch    int64 `json:"watch"`
	HostList int64 `json:"hostList"`
	Weights  int64 `json:"weights"`
}

// Writes returns the number of calls that may change an object.
func (c Calls) Writes() int64 { return c.Create + c.Update + c.Delete }

// Reads returns the number of calls that change no object, except those to the
// weight store.
func (c Calls) Reads() int64 { return c.Get + c.List + c.Watch + c.HostList }

func (c *Calls) add(other Calls) {
	c.Get += other.Get
	c.List += other.List
	c.Create += other.Create
	c.Update += other.Update
	c.Delete += other.Delete
	c.Watch += other.Watch
	c.HostList += other.HostList
	c.Weights += other.Weights
}

func (s *Server) count(kind objectstore.Kind, add func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, ok := s.counts[kind]
	if !ok {
		calls = &Calls{}
		s.counts[kind] = calls
	}
	add(calls)
}

func (s *Server) addActiveWatches(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeWatches += delta
}

// State returns the fault switches, the call counts and the store's version.
func (s *Server) State() State {
	listing, _ := s.store.List(context.Background(), "", "")
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{
		Faults:         s.switches.Get(),
		CallsByKind:    make(map[objectstore.Kind]Calls, len(s.counts)),
		WaitingWatches: s.activeWatches,
		Version:        listing.Version,
		UptimeMillis:   time.Since(s.started).Milliseconds(),
	}
	for kind, calls := range maps.All(s.counts) {
		state.CallsByKind[kind] = *calls
		state.Calls.add(*calls)
	}
	return state
}
