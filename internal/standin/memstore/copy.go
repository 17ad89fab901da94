package memstore

import (
	"maps"
)

// Copy returns a store with the objects and the version of this one, without its
// history and watches, as when it is restored from a copy.
func (s *Store) Copy() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := New()
	c.version, c.oldest, c.objects = s.version, s.version, maps.Clone(s.objects)
	return c
}
