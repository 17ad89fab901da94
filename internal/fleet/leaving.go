package fleet

import (
	"time"

	"github.com/sirupsen/logrus"
)

// departureTTL is how long a deleted incarnation is remembered. A store that is
// restored from a copy some seconds old may list it again.
const departureTTL = time.Minute

// departure is an incarnation of an endpoint that was deleted from the registry.
type departure struct {
	endpoint  Endpoint
	removedAt time.Time
}

func (r *Registry) forgetDepartures(now time.Time) {
	for id, d := range r.departed {
		if now.Sub(d.removedAt) > departureTTL {
			delete(r.departed, id)
		}
	}
}

// hasLeft reports whether the incarnation was leaving when it was deleted. It never
// stops leaving.
func (r *Registry) hasLeft(e *Endpoint) bool {
	d, ok := r.departed[e.ID]
	return ok && d.endpoint.Leaving && d.endpoint.sameIncarnation(e)
}

// StoreRestored must be called when the store has been restored from an older copy,
// before the endpoints in the copy are passed to Replace. Endpoints that the copy
// lacks stay usable for relistGrace, in which live ones write their entries again.
// Endpoints that were delisted before stay delisted until they write their entries,
// which is passed to Put.
func (r *Registry) StoreRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	r.sweep(now)
	r.restoredAt = now
	if r.storeUnavailable {
		r.lastResponse = time.Time{} // however short the outage is
		return
	}
	r.outageBeganAt, r.outageEndedAt = now, now
}

// undone reports whether the incarnation was delisted before the store was
// restored, so that a listing may show it only because the removal of its entry is
// undone.
func (r *Registry) undone(e *Endpoint) bool {
	removedAt := time.Time{}
	if m, ok := r.members[e.ID]; ok && m.sameIncarnation(e) {
		removedAt = m.removedAt
	} else if d, ok := r.departed[e.ID]; ok && d.endpoint.sameIncarnation(e) {
		removedAt = d.removedAt
	}
	return !removedAt.IsZero() && removedAt.Before(r.restoredAt)
}

// markLeaving excludes an endpoint that has announced its shutdown from later
// choices. Peer is the host that received the announcement, or empty for this host.
// It must be called with the mutex held.
func (r *Registry) markLeaving(m *member, peer string) {
	if m.Leaving {
		return
	}
	m.Leaving = true
	logrus.WithFields(logrus.Fields{"endpoint": m.ID, "service": m.Service, "address": m.Address, "peer": peer}).Info("endpoint announced its shutdown")
}
