package fleet

import "time"

// Suspend excludes an endpoint from new requests until Put or Replace gets a description of
// it, since its entry in the store can't be used. It stays listed: that another writer has
// replaced its entry does not mean that it has gone, and it may write the entry again.
func (r *Registry) Suspend(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspend(id)
}

func (r *Registry) suspend(id string) {
	known, ok := r.members[id]
	if !ok || known.suspended {
		return
	}
	known.suspended = true
	r.logChange("endpoint suspended since its entry can't be used", &known.Endpoint)
}

// StoreUnavailable must be called when the store becomes unavailable, with the time of
// its last response. Endpoints delisted during the outage or within relistGrace after it
// stay usable until relistGrace after StoreAvailable, since the outage may have kept
// them from renewing their entries. An outage shorter than minOutage can't have.
func (r *Registry) StoreUnavailable(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeUnavailable, r.lastResponse = true, since
	if now := r.config.Clock(); now.Sub(r.outageEndedAt) >= relistGrace {
		r.outageBeganAt = now
	}
}

// StoreAvailable must be called when the store is available again.
func (r *Registry) StoreAvailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	if r.storeUnavailable && now.Sub(r.lastResponse) >= minOutage {
		r.outageEndedAt = now
	}
	r.storeUnavailable = false
}

// usable reports whether an endpoint may get new requests. A delisted one may get
// them during a store outage and for relistGrace after it, if the outage may be
// the reason for the delisting.
func (r *Registry) usable(m *member, now time.Time) bool {
	if m.Leaving || m.suspended {
		return false
	}
	if m.removedAt.IsZero() {
		return true
	}
	byOutage := !m.removedAt.Before(r.outageBeganAt) && (r.storeUnavailable || m.removedAt.Sub(r.outageEndedAt) < relistGrace)
	return byOutage && (r.storeUnavailable || now.Sub(r.outageEndedAt) < relistGrace)
}

// sweep deletes delisted endpoints that are no longer usable and have no running
// requests.
func (r *Registry) sweep(now time.Time) {
	for id, m := range r.members {
		if !m.removedAt.IsZero() && m.running == 0 && !r.usable(m, now) {
			r.departed[id] = departure{endpoint: m.Endpoint, removedAt: m.removedAt}
			delete(r.members, id)
			r.ejector.Remove(id)
		}
	}
	r.forgetDepartures(now)
}
