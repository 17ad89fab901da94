package fleet

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"
)

// Read is what a read of the store shows of the endpoints' entries.
type Read struct {
	// Era is the era of the store that was read.
	Era int64
	// Whole is set if Endpoints are all entries, and not only changed ones.
	Whole     bool
	Endpoints []Endpoint
	// Unusable are the identifiers of entries that can't be used; see Suspend.
	Unusable []string
	Removed  []Removal
}

// Removal is the removal of an endpoint's entry.
type Removal struct {
	ID string
	// Last is the entry that was removed; nil if it isn't known.
	Last *Endpoint
}

// Apply applies a read of the store. A read of an earlier era than the highest known one
// is ignored, since all entries are listed again after a restore.
func (r *Registry) Apply(read Read) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.store.eraKnown:
		r.store.era, r.store.eraKnown = read.Era, true
	case read.Era < r.store.era:
		return
	case read.Era > r.store.era:
		r.restored(read.Era)
	}
	if read.Whole {
		r.replace(read.Endpoints, read.Unusable)
		return
	}
	for _, e := range read.Endpoints {
		r.put(e, false)
	}
	for _, id := range read.Unusable {
		r.suspend(id)
	}
	for _, removal := range read.Removed {
		r.removeEntry(removal)
	}
}

// Replace replaces the list of endpoints. Those in neither list are delisted, as by
// Remove. Unusable are the identifiers of those whose entries can't be used; see Suspend.
func (r *Registry) Replace(endpoints []Endpoint, unusable ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replace(endpoints, unusable)
}

func (r *Registry) replace(endpoints []Endpoint, unusable []string) {
	now := r.config.Clock()
	listed := make(map[string]bool, len(endpoints)+len(unusable))
	for _, id := range unusable {
		listed[id] = true
		r.suspend(id)
	}
	for i := range endpoints {
		e := &endpoints[i]
		if r.holdsBack(e, now) {
			r.logChange("entry of a restored store held back", e)
			continue
		}
		listed[e.ID] = true
		r.put(*e, true)
	}
	for id := range r.members {
		if !listed[id] {
			r.remove(id, nil)
		}
	}
	r.departures.missingExcept(endpoints, r.store.era)
	r.relistAt = now.Add(relistInterval)
	r.cold.listed = true
}

// holdsBack decides whether a listed entry is left out because its incarnation has ended.
func (r *Registry) holdsBack(e *Endpoint, now time.Time) bool {
	if known, ok := r.members[e.ID]; ok && known.removedAt.IsZero() && known.sameIncarnation(e) {
		return false
	}
	d, outdated := r.departures.find(e), r.isOutdated(e)
	if d == nil && outdated {
		d = r.departures.record(e, evidence{at: now, era: r.store.era - 1, certain: true, sequence: unknownSequence})
	}
	if d != nil && outdated && (d.leaving || e.Leaving) {
		d.at = now // remembered for as long as it is listed
		return true
	}
	return !r.departures.admit(e, now, r.store.outageEndedAt, r.store.era)
}

// isOutdated reports whether this host saw a later incarnation under the same ID before the
// store was restored.
func (r *Registry) isOutdated(e *Endpoint) bool {
	known, ok := r.members[e.ID]
	newerKnown := ok && known.seenInEra < r.store.era && startedBefore(e, known.Started)
	return newerKnown || r.departures.isOutdated(e, r.store.era)
}

// Put adds an endpoint or updates its description. A new incarnation starts
// without the load, outcomes and cached segments of the earlier one.
func (r *Registry) Put(e Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(e, false)
}

// put adds or updates an endpoint. Listed is set if the entry is from a listing, which
// may show an older state.
func (r *Registry) put(e Endpoint, listed bool) {
	now := r.config.Clock()
	if r.departures.forget(&e) {
		e.Leaving = true // an incarnation that leaves never stops leaving
	}
	known, ok := r.members[e.ID]
	if ok && known.sameIncarnation(&e) {
		if !known.Leaving && e.Leaving {
			r.logChange("endpoint leaves", &e)
		}
		// Descriptions may arrive out of order, and an incarnation that drains
		// never stops draining.
		e.Leaving = e.Leaving || known.Leaving
		returned := !known.removedAt.IsZero() && !r.usable(known, now)
		known.Endpoint, known.seenInEra = e, r.store.era
		known.removedAt, known.suspended = time.Time{}, false
		r.handleColdEntry(known, now, returned, listed)
		return
	}
	if ok {
		r.supersede(known, &e, now, listed)
	}
	r.departures.seen(&e)
	segments, err := lru.New[string, struct{}](maxCachedSegments)
	if err != nil {
		panic(err) // returned only for a size below one
	}
	r.members[e.ID] = &member{Endpoint: e, segments: segments, observations: make(map[item]observation), seenInEra: r.store.era}
	r.ejector.Remove(e.ID)
	r.ejector.Add(e.ID, e.Service)
	r.logChange("endpoint listed", &e)
	r.handleColdEntry(r.members[e.ID], now, true, listed)
}

// supersede records the end of an incarnation whose ID another one has. The order of the
// two is certain unless the other is from a listing of a later era and doesn't say when it
// started.
func (r *Registry) supersede(known *member, by *Endpoint, now time.Time, listed bool) {
	if !known.removedAt.IsZero() {
		return // recorded when it was removed
	}
	certain := !listed || known.seenInEra == r.store.era || startedBefore(&known.Endpoint, by.Started)
	r.departures.record(&known.Endpoint, evidence{at: now, era: r.store.era, certain: certain, sequence: unknownSequence})
	if !known.Leaving {
		r.config.OnVanished(known.Endpoint)
	}
}

func (r *Registry) logChange(event string, e *Endpoint) {
	logrus.WithFields(logrus.Fields{
		"endpoint": e.ID, "service": e.Service, "address": e.Address, "zone": e.Zone, "software": e.Software, "models": len(e.Models),
	}).Info(event)
}

// Remove delists an endpoint. Its running attempts stay counted until they
// finish.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeEntry(Removal{ID: id})
}

func (r *Registry) removeEntry(removal Removal) {
	r.departures.missing(removal.ID, r.store.era)
	r.remove(removal.ID, removal.Last)
}

// remove delists an endpoint. Last is the entry that was removed; nil if it isn't known.
func (r *Registry) remove(id string, last *Endpoint) {
	known, ok := r.members[id]
	if !ok || !known.removedAt.IsZero() {
		return
	}
	sequence := int64(unknownSequence)
	if last != nil && known.sameIncarnation(last) {
		sequence = max(known.Sequence, last.Sequence)
		known.Leaving = known.Leaving || last.Leaving
	}
	known.removedAt = r.config.Clock()
	r.departures.record(&known.Endpoint, evidence{
		at: known.removedAt, era: r.store.era, certain: !r.store.mayHaveDelisted(known.removedAt), sequence: sequence,
	})
	r.logChange("endpoint vanished", &known.Endpoint)
	if !known.Leaving {
		r.config.OnVanished(known.Endpoint)
	}
}

// StoreUnavailable must be called when the store becomes unavailable, with the time of
// its last response. Endpoints delisted during the outage or within relistGrace after it
// stay usable until relistGrace after StoreAvailable, since the outage may have kept
// them from renewing their entries. An outage shorter than minOutage can't have.
func (r *Registry) StoreUnavailable(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departures.settle(r.store.outageEndedAt, since)
	r.store.lost(r.config.Clock(), since)
}

// StoreAvailable must be called when the store is available again.
func (r *Registry) StoreAvailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.answers(r.config.Clock())
}

// StoreRestored must be called when the store has been restored from an older copy, which
// began the given era. Endpoints that the copy lacks stay usable for relistGrace, in which
// live ones write their entries again. What the copy lists of endpoints that had certainly
// left is held back until it shows that they live; see departures.
func (r *Registry) StoreRestored(era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.store.eraKnown || era > r.store.era {
		r.restored(era)
	}
}

func (r *Registry) restored(era int64) {
	now := r.config.Clock()
	r.departures.settle(r.store.outageEndedAt, r.store.lastAnswer(now))
	r.departures.storeRestored()
	r.sweep(now)
	r.store.restored(now, era)
}

// NeedsListing reports whether the entries are to be listed again now, because some are
// held back. It returns true once in relistInterval.
func (r *Registry) NeedsListing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	if now.Before(r.relistAt) || !r.departures.isHolding() {
		return false
	}
	r.relistAt = now.Add(relistInterval)
	return true
}

// usable reports whether an endpoint may get new requests. A delisted one may get
// them during a store outage and for relistGrace after it, if the outage may be
// the reason for the delisting.
func (r *Registry) usable(m *member, now time.Time) bool {
	if m.Leaving || m.suspended {
		return false
	}
	return m.removedAt.IsZero() || r.store.mayHaveDelisted(m.removedAt) && r.store.inGrace(now)
}

// sweep deletes delisted endpoints that are no longer usable and have no running
// requests.
func (r *Registry) sweep(now time.Time) {
	for id, m := range r.members {
		if !m.removedAt.IsZero() && m.running == 0 && !r.usable(m, now) {
			delete(r.members, id)
			r.ejector.Remove(id)
		}
	}
	r.departures.expire(now)
}
