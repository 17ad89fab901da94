package fleet

import "time"

const (
	// departureTTL is how long the end of an incarnation is remembered. The store may
	// be restored from a copy some seconds old, in which it is listed again.
	departureTTL = 10 * time.Minute
	// settleTime is the time of an available store after which an entry that is there
	// belongs to a live endpoint, and one that is missing to none: the store removes
	// entries after three heartbeats of 1.2 s without a write, and 2.4 s remain for the
	// removal to arrive here.
	settleTime = 6 * time.Second
	// relistInterval is the time between two listings while entries are held back. Live
	// endpoints write every 1.2 s.
	relistInterval = 1300 * time.Millisecond
	// unknownSequence stands for the last sequence of an incarnation whose removal did
	// not show its last entry.
	unknownSequence = -1
)

// departure is the end of an incarnation of an endpoint, and what it rests on.
type departure struct {
	started time.Time
	address string
	// leaving is set if the endpoint drained or announced its shutdown. No later entry
	// takes that back.
	leaving bool
	// certain is set unless an outage of the store may have kept the endpoint from
	// writing its entry.
	certain bool
	// at is when the entry was first found missing, era the era of the store's last
	// read that lacked it.
	at  time.Time
	era int64
	// sequence is that of the last entry before the removal.
	sequence int64
	// heldSince is since when the entry is listed again and held back; zero if it isn't.
	// heldVersion and heldSequence are those of the entry then.
	heldSince                 time.Time
	heldVersion, heldSequence int64
}

// departures remembers which incarnations have ended, and decides whether an entry that a
// restored store lists shows that one lives. The zero value has none. It is not safe for
// concurrent use.
type departures struct{ byID map[string][]*departure }

// evidence is what the end of an incarnation rests on.
type evidence struct {
	at      time.Time
	era     int64
	certain bool
	// sequence is that of the last entry, or unknownSequence.
	sequence int64
}

func (d *departure) is(e *Endpoint) bool { return d.started.Equal(e.Started) && d.address == e.Address }

func (l *departures) find(e *Endpoint) *departure {
	for _, d := range l.byID[e.ID] {
		if d.is(e) {
			return d
		}
	}
	return nil
}

// record remembers that an incarnation has ended.
func (l *departures) record(e *Endpoint, found evidence) *departure {
	l.forget(e)
	d := &departure{
		started: e.Started, address: e.Address, leaving: e.Leaving, certain: found.certain,
		at: found.at, era: found.era, sequence: found.sequence,
	}
	if l.byID == nil {
		l.byID = make(map[string][]*departure)
	}
	l.byID[e.ID] = append(l.byID[e.ID], d)
	return d
}

// forget drops the end of an incarnation that lives. It reports whether that was leaving.
func (l *departures) forget(e *Endpoint) (leaving bool) {
	d := l.find(e)
	if d == nil {
		return false
	}
	l.keep(e.ID, func(other *departure) bool { return other != d })
	return d.leaving
}

// keep drops the departures under an ID for which wanted returns false.
func (l *departures) keep(id string, wanted func(*departure) bool) {
	var kept []*departure
	for _, d := range l.byID[id] {
		if wanted(d) {
			kept = append(kept, d)
		}
	}
	if l.byID[id] = kept; len(kept) == 0 {
		delete(l.byID, id)
	}
}

// markLeaving records that an incarnation announced its shutdown.
func (l *departures) markLeaving(id string, startedMillis int64) {
	for _, d := range l.byID[id] {
		if e := (Endpoint{Started: d.started}); e.StartedMillis() == startedMillis {
			d.leaving = true
		}
	}
}

// missing records that a read in an era lacks the entry under an ID.
func (l *departures) missing(id string, era int64) {
	for _, d := range l.byID[id] {
		d.heldSince, d.era = time.Time{}, era
	}
}

// missingExcept records that a listing in an era has no entries but the given ones and
// those that admit held back.
func (l *departures) missingExcept(listed []Endpoint, era int64) {
	entries := make(map[string]*Endpoint, len(listed))
	for i := range listed {
		entries[listed[i].ID] = &listed[i]
	}
	for id, list := range l.byID {
		for _, d := range list {
			if e := entries[id]; e == nil || !d.is(e) {
				d.heldSince, d.era = time.Time{}, era
			}
		}
	}
}

// seen makes the departures of incarnations certain that started before another one under
// the same ID, which has been seen.
func (l *departures) seen(e *Endpoint) {
	for _, d := range l.byID[e.ID] {
		d.certain = d.certain || !d.started.IsZero() && d.started.Before(e.Started)
	}
}

// isOutdated reports whether a later incarnation under the same ID ended in an earlier era.
func (l *departures) isOutdated(e *Endpoint, era int64) bool {
	for _, d := range l.byID[e.ID] {
		if d.era < era && startedBefore(e, d.started) {
			return true
		}
	}
	return false
}

// startedBefore reports whether an endpoint is known to have started before a time.
func startedBefore(e *Endpoint, t time.Time) bool { return !e.Started.IsZero() && e.Started.Before(t) }

// storeRestored restarts the wait for all entries that are held back, since the store
// may show an older state.
func (l *departures) storeRestored() {
	for _, list := range l.byID {
		for _, d := range list {
			d.heldSince = time.Time{}
		}
	}
}

// settle makes departures certain whose entries were missing for settleTime of an available
// store, which was available from soundSince until the given time.
func (l *departures) settle(soundSince, until time.Time) {
	for _, list := range l.byID {
		for _, d := range list {
			d.certain = d.certain || until.Sub(later(d.at, soundSince)) >= settleTime
		}
	}
}

// admit decides whether an entry in a listing is used. An entry of an incarnation that
// certainly ended in an earlier era may be a part of the copy that the store was restored
// from. It is held back until it has been written since, which its sequence or version
// shows, or has been there for settleTime of an available store. The store is available
// since soundSince.
func (l *departures) admit(e *Endpoint, now, soundSince time.Time, era int64) bool {
	d := l.find(e)
	if d == nil || d.leaving || e.Leaving || !d.certain || d.era >= era {
		return true // without effect if it is leaving
	}
	if d.sequence != unknownSequence && e.Sequence > d.sequence {
		return true
	}
	if d.heldSince.IsZero() {
		d.heldSince, d.heldVersion, d.heldSequence = now, e.EntryVersion, e.Sequence
		return false
	}
	written := e.EntryVersion > d.heldVersion || e.Sequence > d.heldSequence
	return written || now.Sub(later(d.heldSince, soundSince)) >= settleTime
}

// isHolding reports whether entries are held back.
func (l *departures) isHolding() bool {
	for _, list := range l.byID {
		for _, d := range list {
			if !d.heldSince.IsZero() {
				return true
			}
		}
	}
	return false
}

// expire drops what is older than departureTTL, except of entries that are held back.
func (l *departures) expire(now time.Time) {
	for id := range l.byID {
		l.keep(id, func(d *departure) bool { return !d.heldSince.IsZero() || now.Sub(d.at) <= departureTTL })
	}
}
