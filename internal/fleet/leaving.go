package fleet

import "github.com/sirupsen/logrus"

// markLeaving excludes an endpoint that has announced its shutdown from later
// choices. Peer is the host that received the announcement, or empty for this host.
// It must be called with the mutex held.
func (r *Registry) markLeaving(m *member, peer string) {
	r.departures.markLeaving(m.ID, m.StartedMillis())
	if m.Leaving {
		return
	}
	m.Leaving = true
	logrus.WithFields(logrus.Fields{"endpoint": m.ID, "service": m.Service, "address": m.Address, "peer": peer}).Info("endpoint announced its shutdown")
}

// markLeavingByID is markLeaving for an incarnation that a peer names, which may have been
// delisted here. It must be called with the mutex held.
func (r *Registry) markLeavingByID(id string, startedMillis int64, peer string) {
	if m, ok := r.members[id]; ok && m.StartedMillis() == startedMillis {
		r.markLeaving(m, peer)
		return
	}
	r.departures.markLeaving(id, startedMillis)
}
