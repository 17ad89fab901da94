package fleet

import "time"

const (
	// relistGrace is how long endpoints that were delisted because of a store
	// outage may still be used after it: live ones are listed again within it.
	relistGrace = 2 * time.Second
	// minOutage is the shortest time without a response of the store in which endpoints
	// may miss so many heartbeats that their entries expire.
	minOutage = 2 * time.Second
)

// storeState is when the store was available, as this host has seen it.
type storeState struct {
	// unavailable is set while the store is unavailable, so that the list of
	// endpoints is not updated. lastResponse is when it last answered then.
	unavailable  bool
	lastResponse time.Time
	// outageBeganAt and outageEndedAt are when the last outage was noticed, or the first
	// of several with less than relistGrace between them, and when the last one ended.
	// A restore from an older copy counts as an outage.
	outageBeganAt, outageEndedAt time.Time
	// era is the highest era of the store that was read or reported by peers, if known.
	era      int64
	eraKnown bool
}

func (s *storeState) lost(now, lastResponse time.Time) {
	s.unavailable, s.lastResponse = true, lastResponse
	if now.Sub(s.outageEndedAt) >= relistGrace {
		s.outageBeganAt = now
	}
}

func (s *storeState) answers(now time.Time) {
	if s.unavailable && now.Sub(s.lastResponse) >= minOutage {
		s.outageEndedAt = now
	}
	s.unavailable = false
}

// restored begins an era of a store that was restored from an older copy.
func (s *storeState) restored(now time.Time, era int64) {
	s.era, s.eraKnown = era, true
	if s.unavailable {
		s.lastResponse = time.Time{} // however short the outage is
		return
	}
	s.outageBeganAt, s.outageEndedAt = now, now
}

// mayHaveDelisted reports whether an outage may be the reason for a removal at a time.
func (s *storeState) mayHaveDelisted(removedAt time.Time) bool {
	return !removedAt.Before(s.outageBeganAt) && (s.unavailable || removedAt.Sub(s.outageEndedAt) < relistGrace)
}

// inGrace reports whether endpoints delisted by an outage may still be used.
func (s *storeState) inGrace(now time.Time) bool {
	return s.unavailable || now.Sub(s.outageEndedAt) < relistGrace
}

// lastAnswer returns the latest time at which the store is known to have been available.
func (s *storeState) lastAnswer(now time.Time) time.Time {
	if s.unavailable {
		return s.lastResponse
	}
	return now
}
