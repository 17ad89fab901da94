package fleet

import "bilberryslip.example/bilberryslip/internal/reach"

// Targets returns the endpoints of a service that may get requests of this host now, to
// check the path to them.
func (r *Registry) Targets(service string) []reach.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	var targets []reach.Target
	for _, m := range r.members {
		if m.Service == service && r.usable(m, now) && !r.config.Evacuated(m.Zone) && !now.Before(m.backoffUntil) {
			targets = append(targets, reach.Target{ID: m.ID, Address: m.Address, Zone: m.Zone})
		}
	}
	return targets
}

// Find returns an incarnation of an endpoint that may get requests. It returns false if
// there is none, and whether this host is to send it none for a time.
func (r *Registry) Find(id string, startedMillis int64) (e Endpoint, inBackoff, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	m, ok := r.members[id]
	if !ok || m.StartedMillis() != startedMillis || !r.usable(m, now) {
		return Endpoint{}, false, false
	}
	return m.Endpoint, now.Before(m.backoffUntil), true
}

// RecordLeaving records that a response to a peer announced an endpoint's shutdown.
func (r *Registry) RecordLeaving(id string, startedMillis int64, peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markLeavingByID(id, startedMillis, peer)
}

// ForgetFailures forgets the failures of a service's endpoints. It is called when the
// cause turns out to be this host's own path to them.
func (r *Registry) ForgetFailures(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, m := range r.members {
		if m.Service == service {
			r.ejector.Remove(id)
			r.ejector.Add(id, service)
		}
	}
}
