package edge

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	// urgentPatience is how long a host waits for the usual way to show a
	// change of the configuration that a peer has seen, and usualPatience for
	// one of the endpoints: those are gathered on the way.
	urgentPatience = 250 * time.Millisecond
	usualPatience  = 900 * time.Millisecond
	// directAfter is how many times its patience a host lists by the usual way
	// before it asks the store itself.
	directAfter = 3
)

// step is what a host does about a change that a peer has seen.
type step int

const (
	// wait lets the usual way show the change.
	wait step = iota
	// listAgain lists by the usual way, from another peer.
	listAgain
	// listDirectly lists from the store.
	listDirectly
)

// lag is the changes of one kind that a peer has seen and this host has not.
type lag struct {
	patience time.Duration
	// missing is the version to see; zero where the host is not behind.
	missing objectstore.Version
	// since is when the host heard of it, listed when it last listed for it.
	since, listed time.Time
}

// heard takes word that a peer has seen a change, where this host has seen all
// up to another version.
func (l *lag) heard(now time.Time, covered, changed objectstore.Version) step {
	if covered >= l.missing {
		l.missing = 0
	}
	switch {
	case changed <= covered:
		return wait
	case l.missing == 0:
		l.missing, l.since, l.listed = changed, now, now
		return wait
	case now.Sub(l.listed) < l.patience:
		return wait
	}
	l.listed = now
	if now.Sub(l.since) >= directAfter*l.patience {
		return listDirectly
	}
	return listAgain
}
