package edge

import (
	"slices"
	"time"
)

const (
	// joinGrace is how long a starting host of a large fleet waits for the reports of
	// watchers before it becomes one. Within it each peer has reported, and a change made
	// after the host's first listing still arrives in less than two seconds.
	joinGrace = 1200 * time.Millisecond
	// promotionBase and two intervals between reports are how long the first host that
	// isn't expected to watch waits for a missing watcher. The time doubles with each
	// further rank up to maxPromotionDelay, so that few hosts probe a store that is down.
	promotionBase     = time.Second
	maxPromotionDelay = 30 * time.Second
	// maxFollowersPerWatcher is the size of a zone, in hosts, up to which all followers
	// read through its first watcher and the second one polls less often.
	maxFollowersPerWatcher = 40
	// standbyPause lengthens the pause between a standby watcher's watches of endpoints. The
	// whole pause stays below endpointTolerance, so that the standby watcher does not seem
	// to lag behind the first one.
	standbyPause = 500 * time.Millisecond
)

// watcherRole is how a host reads the store.
type watcherRole int

const (
	// nonWatcher keeps a long watch; in a large fleet it reads through a watcher.
	nonWatcher watcherRole = iota
	// standbyWatcher polls endpoints less often than fullWatcher. It detects a stalled
	// watch of the first watcher and replaces it when it fails.
	standbyWatcher
	fullWatcher
)

// roleInput is what a host's role depends on.
type roleInput struct {
	// large reports whether each zone has watchers of its own, and joining whether this
	// host of a large fleet has recently started.
	large, joining bool
	// rank is the number of hosts that come before this one as watchers: in a large fleet
	// the reachable ones of its zone with lower names, whose calls did not fail lately.
	rank int
	// watchers is the number of these hosts that are watchers and connected to the store.
	watchers int
	// otherZones reports whether a watcher of another zone is connected to the store. Its
	// reports show a stalled watch of the first watcher, so that a standby watcher needs to
	// read only the endpoints, whose changes are the most urgent, from the store.
	otherZones bool
	// zoneHosts is the number of reachable hosts of the zone, with this one.
	zoneHosts int
	// missing is how long there have been fewer than targetWatchers of them, and interval
	// the time between two reports of a peer.
	missing, interval time.Duration
	// followed reports whether a peer has lately read through this host.
	followed bool
}

// decideRole returns the role of a host. In a small fleet it depends on the known watchers
// alone. In a large one the first targetWatchers hosts of a zone are watchers at once, and
// the others after promotionDelay without enough watchers.
func decideRole(in roleInput) watcherRole {
	switch {
	case in.watchers >= targetWatchers || in.large && in.joining:
		return nonWatcher
	case !in.large:
		return fullWatcher
	case in.rank >= targetWatchers && in.missing < promotionDelay(in.rank, in.interval):
		return nonWatcher
	case in.watchers > 0 && in.zoneHosts <= maxFollowersPerWatcher && !in.followed:
		return standbyWatcher
	}
	return fullWatcher
}

// promotionDelay returns how long a host of a rank from targetWatchers on waits for missing
// watchers. The longest delays differ by a second for each rank.
func promotionDelay(rank int, interval time.Duration) time.Duration {
	delay, limit := promotionBase+2*interval, maxPromotionDelay+time.Duration(rank)*time.Second
	for range rank - targetWatchers {
		if delay = 2 * delay; delay >= limit {
			return limit
		}
	}
	return delay
}

// sourceCandidate is a peer through which a host may read the store.
type sourceCandidate struct {
	name string
	// sameZone reports whether it is in the host's zone, and connected whether the store
	// lately responded to it.
	sameZone, connected bool
}

// chooseSource returns the name of the watcher that a host follows, or "" if there is
// none: a connected one of its zone, else a connected one of another zone, else the first
// of its zone, which responds as soon as the store does. hash spreads the hosts over equal
// candidates; zoneHosts is the number of hosts of the zone.
func chooseSource(candidates []sourceCandidate, zoneHosts int, hash uint64) string {
	var near, far, probing []string
	for _, c := range candidates {
		switch {
		case c.sameZone && c.connected:
			near = append(near, c.name)
		case c.connected:
			far = append(far, c.name)
		case c.sameZone:
			probing = append(probing, c.name)
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	slices.Sort(probing)
	switch {
	case len(near) > 0 && zoneHosts <= maxFollowersPerWatcher:
		return near[0]
	case len(near) > 0:
		return near[hash%uint64(min(len(near), targetWatchers))]
	case len(far) > 0:
		return far[hash%uint64(len(far))]
	case len(probing) > 0:
		return probing[0]
	}
	return ""
}
