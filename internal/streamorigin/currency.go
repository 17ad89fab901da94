package streamorigin

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// currentFor and two intervals of reports are the age up to which knowledge of software
	// versions is recent. While the store responds, it is younger on all hosts: a watcher's
	// last complete poll began at most 2.8 s ago, and its reports tell of it within an
	// interval.
	currentFor = 4 * time.Second
	// holdMargin is by how much longer a version is held that a peer has not confirmed,
	// since hosts that know different numbers of peers have different intervals.
	holdMargin = time.Second
	// peerRetention is how long a peer that no longer reports counts as possibly serving,
	// by the time of this host's knowledge, which stands still while it can't be renewed.
	peerRetention = 40 * time.Second
	// confirmRetention is how long a peer that no longer reports has to confirm new
	// versions. It may be in touch with the store and with callers all the while.
	confirmRetention = 10 * time.Minute
)

// peerKnowledge is what is known of a peer's knowledge of software versions.
type peerKnowledge struct {
	// heardAt is when its last report arrived, or when this host first knew of the peer.
	heardAt time.Time
	// includedAt is when its last report was made of which all versions are known here;
	// zero for none.
	includedAt time.Time
}

// currency tracks how recent the knowledge of software versions is. It has no lock and
// reads no clock.
type currency struct {
	// knownAt is the latest time such that each version that any host knew then is known
	// here; zero for none.
	knownAt time.Time
	// recordAt is when the last complete read of the record began.
	recordAt time.Time
	interval time.Duration
	peers    map[string]*peerKnowledge
	// outdated is set while the knowledge is not recent, once it has been.
	outdated bool
}

func newCurrency() currency {
	return currency{interval: maxWait, peers: make(map[string]*peerKnowledge)}
}

// maxAge returns the age up to which knowledge is recent.
func (c *currency) maxAge() time.Duration { return currentFor + 2*c.interval }

// current reports whether the knowledge is recent.
func (c *currency) current(now time.Time) bool {
	return !c.knownAt.IsZero() && now.Sub(c.knownAt) <= c.maxAge()
}

func (c *currency) advance(at time.Time) {
	if at.After(c.knownAt) {
		c.knownAt = at
	}
}

// begin records the first time as of which all versions are known.
func (c *currency) begin(at time.Time) {
	if c.knownAt.IsZero() {
		c.knownAt = at
	}
}

// advanceByList takes account of a list of endpoints that shows those that the store held at
// listedAt. After a gap in the knowledge, it may lack versions that came and went, so that
// the record must have been read as well.
func (c *currency) advanceByList(listedAt time.Time) {
	switch {
	case !c.knownAt.IsZero() && listedAt.Sub(c.knownAt) <= c.maxAge():
		c.advance(listedAt)
	case c.recordAt.Before(listedAt):
		c.advance(c.recordAt)
	default:
		c.advance(listedAt)
	}
}

// needsRecord reports whether the record must be read to make the knowledge recent.
func (c *currency) needsRecord(listedAt, now time.Time) bool {
	return !c.current(now) && c.recordAt.Before(listedAt) && now.Sub(listedAt) <= c.maxAge()
}

// addPeers adds listed peers that have not reported.
func (c *currency) addPeers(names []string, now time.Time) {
	for _, name := range names {
		if _, ok := c.peers[name]; !ok {
			c.peers[name] = &peerKnowledge{heardAt: now}
		}
	}
}

// observePeer takes account of a peer's report that was made at createdAt, zero if that is
// unknown, when the peer knew all versions as of peerKnownAt, zero for none. included means
// that this host knows all versions of the report.
func (c *currency) observePeer(name string, createdAt, peerKnownAt time.Time, included bool, now time.Time) {
	p, ok := c.peers[name]
	if !ok {
		p = &peerKnowledge{}
		c.peers[name] = p
	}
	p.heardAt = now
	if !included || createdAt.IsZero() {
		return
	}
	if createdAt.After(p.includedAt) {
		p.includedAt = createdAt
	}
	if !peerKnownAt.IsZero() {
		c.advance(peerKnownAt)
	}
}

// advanceByPeers takes account of what all peers that may be serving knew by their last
// reports, and forgets peers that have not reported for long.
func (c *currency) advanceByPeers(now time.Time) {
	if c.knownAt.IsZero() { // not all peers may be known yet
		return
	}
	all := now
	for name, p := range c.peers {
		if p.heardAt.Before(c.knownAt.Add(-peerRetention)) {
			if now.Sub(p.heardAt) > confirmRetention {
				delete(c.peers, name)
			}
			continue
		}
		if p.includedAt.Before(all) {
			all = p.includedAt
		}
	}
	if all.Before(now) || c.current(now) { // a host without peers can't tell who joined in a gap
		c.advance(all)
	}
}

// unconfirmed reports whether a peer that may be serving is missing from those that have
// confirmed a version.
func (c *currency) unconfirmed(by map[string]struct{}, now time.Time) bool {
	for name, p := range c.peers {
		if _, ok := by[name]; !ok && now.Sub(p.heardAt) <= confirmRetention {
			return true
		}
	}
	return false
}

// logChange logs when the knowledge becomes outdated, and when it is recent again.
func (c *currency) logChange(now time.Time) {
	if c.knownAt.IsZero() || c.outdated != c.current(now) {
		return
	}
	c.outdated = !c.outdated
	if c.outdated {
		logrus.WithField("age", now.Sub(c.knownAt)).Warn("software versions not confirmed by the store or all peers lately; streams of unknown origin are refused until they are")
		return
	}
	logrus.Info("software versions confirmed again")
}
