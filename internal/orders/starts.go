package orders

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/fleet"
)

// startLag is how long after an engine has started again a lease holder may still send it
// an order that is meant for the earlier start: engines write their entries about once a
// second, and the order has orderTimeout.
const startLag = 5 * time.Second

// engineStart is the present start of an engine, as observed by a host.
type engineStart struct {
	started time.Time
	// since is when the start was first seen.
	since time.Time
	// again is set if there was an earlier start under the identifier; uncertain, if this
	// process doesn't know whether there was one lately.
	again, uncertain bool
	lastSeen         time.Time
}

// starts tracks which engines have started again under their identifiers. An order that
// an earlier lease holder sent to an earlier start may still reach the present one, where
// nothing is known of it. It is not safe for concurrent use.
type starts struct {
	engines map[string]*engineStart
	// began is when tracking began. known is set if it covers all engines that have started
	// again lately: since the system starts for the first time, since it has
	// run for long enough, or from a peer.
	began time.Time
	known bool
}

func newStarts(now time.Time, firstStart bool) *starts {
	return &starts{engines: make(map[string]*engineStart), began: now, known: firstStart}
}

// observe records the present entries of engines, wall being the time of day.
func (t *starts) observe(now, wall time.Time, endpoints []fleet.Endpoint) {
	for i := range endpoints {
		t.observeOne(now, wall, endpoints[i].ID, endpoints[i].Started)
	}
	for id, s := range t.engines {
		if now.Sub(s.lastSeen) > lateLimit+startLag {
			delete(t.engines, id)
		}
	}
}

// observeOne records the present start of an engine.
func (t *starts) observeOne(now, wall time.Time, id string, started time.Time) {
	s, known := t.engines[id]
	switch {
	case known && s.started.Equal(started):
		s.lastSeen = now
	case known:
		t.engines[id] = &engineStart{started: started, since: now, again: true, lastSeen: now}
	case t.complete(now):
		t.engines[id] = &engineStart{started: started, since: now, lastSeen: now}
	default:
		// The engine may have started just before this process did. Its start time tells
		// that, unless the clocks differ so much that it lies in the future.
		age := max(0, wall.Sub(started))
		t.engines[id] = &engineStart{started: started, since: now.Add(-age), uncertain: true, lastSeen: now}
	}
}

// complete reports whether tracking covers all engines that have started again lately.
func (t *starts) complete(now time.Time) bool {
	t.known = t.known || now.Sub(t.began) > lateLimit+startLag
	return t.known
}

// recent returns the engines that have started again lately, with the time since.
func (t *starts) recent(now time.Time) map[string]*engineStart {
	recent := make(map[string]*engineStart)
	for id, s := range t.engines {
		if s.again && now.Sub(s.since) <= lateLimit+startLag {
			recent[id] = s
		}
	}
	return recent
}

// learn records what a peer knows: an engine that has started again, age ago.
func (t *starts) learn(now time.Time, id string, started time.Time, age time.Duration) {
	s, known := t.engines[id]
	switch {
	case !known:
		t.engines[id] = &engineStart{started: started, since: now.Add(-age), again: true, lastSeen: now}
	case s.started.Equal(started) && !s.again:
		s.again, s.uncertain, s.since = true, false, now.Add(-age)
	}
}

// learnAll records that the engines which a peer has reported, and learn has recorded, are
// all that have started again lately.
func (t *starts) learnAll() {
	t.known = true
	for _, s := range t.engines {
		s.uncertain = false
	}
}

// restarted reports whether orders that were sent to an earlier start of the engine may
// still reach the present one.
func (t *starts) restarted(now time.Time, id string) bool {
	s, known := t.engines[id]
	return !known || (s.again || s.uncertain) && now.Sub(s.since) <= lateLimit+startLag
}

// mayMeetUnknown reports whether an engine may carry out orders of which a lease holder
// doesn't know: those of an earlier holder, which may be carried out until unknownUntil,
// to an earlier start of the engine. Orders to its present start don't matter, since
// their conditions and those of the holder name counts that belong to the same contents.
func mayMeetUnknown(now, unknownUntil time.Time, starts *starts, id string) bool {
	return now.Before(unknownUntil) && starts.restarted(now, id)
}
