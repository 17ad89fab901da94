package edge

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	// configurationTolerance is how long a host waits for its regular source to
	// show a configuration change that a peer has seen. endpointTolerance is the
	// same for endpoints, whose changes are batched on the way.
	configurationTolerance = 250 * time.Millisecond
	endpointTolerance      = 900 * time.Millisecond
	// evacuationTolerance is the same for evacuations of zones. Reports carry those
	// themselves, so that a host obeys one before its source shows it.
	evacuationTolerance = 250 * time.Millisecond
	// directAfter is the number of tolerance periods for which a host lists from
	// its regular source before it lists directly from the store.
	directAfter = 3
)

// step is the action that a host takes on a change that a peer has seen.
type step int

const (
	// keepWaiting waits for the regular source to show the change.
	keepWaiting step = iota
	// relist lists from the regular source, through another peer.
	relist
	// relistFromStore lists directly from the store.
	relistFromStore
)

// lag tracks how far this host is behind its peers in one kind.
type lag struct {
	// tolerance is how long the host waits for a change before it lists again.
	tolerance time.Duration
	// awaited is the version to reach; zero if the host is not behind.
	awaited objectstore.Version
	// since is when the lag was noticed. listed is when the host last listed
	// because of it, initially since.
	since, listed time.Time
}

// observe records that a peer has seen a change at version changed while this
// host has seen all changes up to version covered, and returns the action to
// take.
func (l *lag) observe(now time.Time, covered, changed objectstore.Version) step {
	if covered >= l.awaited {
		l.awaited = 0
	}
	switch {
	case changed <= covered:
		return keepWaiting
	case l.awaited == 0:
		l.awaited, l.since, l.listed = changed, now, now
		return keepWaiting
	case now.Sub(l.listed) < l.tolerance:
		return keepWaiting
	}
	l.listed = now
	if now.Sub(l.since) >= directAfter*l.tolerance {
		return relistFromStore
	}
	return relist
}
