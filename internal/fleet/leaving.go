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
	if !r.storeUnavailable {
		r.outageEndedAt = now
	}
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

// markLeaving stops new requests to an endpoint that has announced that it leaves.
// Peer is the host that learned it, or empty for this host. It must be called with
// the mutex held.
func (r *Registry) markLeaving(m *member, peer string) {
	if m.Leaving {
		return
	}
	m.Leaving = true
	logrus.WithFields(logrus.Fields{"endpoint": m.ID, "service": m.Service, "address": m.Address, "peer": peer}).Info("endpoint announced that it leaves")
}

func startedMillis(m *member) int64 {
	if m.Started.IsZero() {
		return 0
	}
	return m.Started.UnixMilli()
}

// TurnAway records that an endpoint wants no request from this host for a time. It
// does not apply to another incarnation of the endpoint.
func (r *Registry) TurnAway(e Endpoint, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[e.ID]
	if !ok || !m.sameIncarnation(&e) {
		return
	}
	until := r.config.Clock().Add(wait)
	if until.Before(m.turnedAwayUntil) {
		return
	}
	m.turnedAwayUntil = until
	logrus.WithFields(logrus.Fields{"endpoint": e.ID, "service": e.Service, "wait_ms": wait.Milliseconds()}).Info("endpoint turns requests away")
}

// IsTurnedAway reports whether an endpoint wants no request from this host now.
func (r *Registry) IsTurnedAway(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	return ok && r.config.Clock().Before(m.turnedAwayUntil)
}

// TurnedAwayFor returns the shortest time until an endpoint that could serve the
// work accepts requests from this host again; zero if one does now or there is none.
func (r *Registry) TurnedAwayFor(work Work) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	shortest := time.Duration(0)
	for _, m := range r.members {
		if m.Service != work.Service || !r.usable(m, now) || !m.holds(now, work.Model, work.Adapter) {
			continue
		}
		wait := m.turnedAwayUntil.Sub(now)
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
