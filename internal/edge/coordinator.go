package edge

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/mirror"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	// watcherWait and nonWatcherWait are how long the store holds a watch of a
	// watcher host and of another host. A watch may stop delivering events
	// unnoticed. The next watch then shows the change, and hosts that have seen
	// it notify the others. The shorter time leaves room for that within the
	// two seconds in which a change must take effect.
	watcherWait    = 1200 * time.Millisecond
	nonWatcherWait = 12 * time.Second
	// targetWatchers is how many watchers there are among hosts that can reach
	// each other; in a large fleet, in each zone.
	targetWatchers = 2
	// maxProofAge is the maximum age of the store's last response to a watcher.
	// By then the watcher's next watch has ended.
	maxProofAge = watcherWait + 600*time.Millisecond
	// maxFollowAge is the maximum age of the store's last response to a watcher
	// that still responds to its followers.
	maxFollowAge = watcherWait + 300*time.Millisecond
	// followFleetSize is the minimum fleet size in which non-watchers read the
	// store through a watcher of their zone. In a smaller fleet each host keeps
	// its own watch, which a partition between hosts does not affect.
	followFleetSize = 24
	// avoidDuration is how long a watcher that failed or lagged is not followed,
	// and how long a kind is read directly from the store.
	avoidDuration = 3 * time.Second
)

// watchCoordinator keeps the mirrors up to date in cooperation with the other
// hosts: a few hosts, the watchers, poll the store often, and the others rely on
// their reports while these arrive. It implements exchange.Participant and is
// safe for concurrent use.
type watchCoordinator struct {
	host  *host
	peers peerCalls
	// mirrors holds the mirrors that must be fresh; served holds those that
	// followers can read.
	mirrors, served map[objectstore.Kind]*mirror.Mirror

	mu sync.Mutex
	// watchers holds the peers that are watchers.
	watchers map[string]*watcherPeer
	// lags holds how far this host lags behind its peers in each kind.
	// directUntil holds the end of the time in which it reads a kind directly
	// from the store although it follows a peer.
	// notDirectUntil holds the end of the time in which it does not, because the store
	// failed it.
	lags                        map[objectstore.Kind]*lag
	directUntil, notDirectUntil map[objectstore.Kind]time.Time
	role                        watcherRole
	// paused is set while this host of a large fleet is no watcher and knows none.
	paused bool
	// startedAt is when this host started, followedAt when a peer last read through it,
	// and completeAt when targetWatchers watchers were last known.
	startedAt, followedAt, completeAt time.Time
	// listedPaused holds when each kind was last listed from the store while paused.
	listedPaused map[objectstore.Kind]time.Time
	// reachable holds the names of the reachable peers, and zones the zones of peers.
	reachable []string
	zones     map[string]string
	// hosts is the mirror of the hosts' entries. sized is set once it has shown whether the
	// fleet is large.
	hosts *mirror.Mirror
	sized bool
	// large is set while the fleet is so large that each zone has watchers of
	// its own.
	large bool
	// endpoints is the kind that a standby watcher reads from the store.
	endpoints objectstore.Kind
	// followed is the watcher that this host reads from; nil for the store. A standby
	// watcher reads all kinds but endpoints from it.
	followed *watcherSource
}

// peerCalls is what the coordinator needs of the exchange with the peers.
type peerCalls interface {
	// FollowPeer requests the changes that the watcher at an address has read.
	FollowPeer(ctx context.Context, address string, request *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error)
	// Interval returns the time between two reports of a peer.
	Interval() time.Duration
	// Reachability returns the current reachability of the peers.
	Reachability() exchange.Reachability
}

// watcherPeer is a peer that is a watcher.
type watcherPeer struct {
	source *watcherSource
	zone   string
	// avoidUntil is the end of the time in which it is not followed because it
	// failed or lagged.
	avoidUntil time.Time
	// validUntil is the end of the time in which it is considered connected to
	// the store.
	validUntil time.Time
	// forgetAt is when it is forgotten unless it reports again.
	forgetAt time.Time
}

// freshMirror is a mirror that the coordinator keeps fresh.
type freshMirror struct {
	*mirror.Mirror
	// tolerance is how long the host waits for a change that a peer has seen before it
	// lists the kind again.
	tolerance time.Duration
	// endpoints is set for the mirror of endpoints, which a standby watcher reads from the
	// store.
	endpoints bool
}

// newWatchCoordinator returns a coordinator that keeps the given mirrors fresh. The
// mirror of hosts may be stale: hosts discover each other through reports and need the
// store's entries only for hosts that they can't reach.
func newWatchCoordinator(h *host, peers peerCalls, hosts *mirror.Mirror, fresh ...freshMirror) *watchCoordinator {
	c := &watchCoordinator{
		host: h, peers: peers, mirrors: make(map[objectstore.Kind]*mirror.Mirror), served: make(map[objectstore.Kind]*mirror.Mirror),
		watchers: make(map[string]*watcherPeer), lags: make(map[objectstore.Kind]*lag),
		directUntil: make(map[objectstore.Kind]time.Time), notDirectUntil: make(map[objectstore.Kind]time.Time),
		listedPaused: make(map[objectstore.Kind]time.Time), zones: make(map[string]string), hosts: hosts, role: fullWatcher,
		startedAt: time.Now(), completeAt: time.Now(),
	}
	for _, m := range fresh {
		c.mirrors[m.Kind()], c.served[m.Kind()] = m.Mirror, m.Mirror
		c.lags[m.Kind()] = &lag{tolerance: m.tolerance}
		if m.endpoints {
			c.endpoints = m.Kind()
		}
		m.OnHistoryLost(func() { c.refreshOthers(m.Mirror) })
	}
	c.served[hosts.Kind()] = hosts
	for _, m := range c.served {
		m.SetSourceSelector(func() mirror.Source { return c.source(m.Kind()) })
	}
	h.adapter.Store().OnRestore(c.handleRestore)
	h.adapter.SetWatchTiming(watchTiming(c.role))
	return c
}

// refreshOthers makes all mirrors except compacted list their kinds again. It is
// called when the store has dropped the history that compacted needs; the store
// drops the history of all kinds together.
func (c *watchCoordinator) refreshOthers(compacted *mirror.Mirror) {
	for _, m := range c.mirrors {
		if m != compacted {
			m.Refresh()
		}
	}
}

// FillReport implements exchange.Participant. It reports the versions that the
// mirrors have reached.
func (c *watchCoordinator) FillReport(report *fleetv1.Report) {
	now := time.Now()
	report.Lookout = c.isWatcher()
	for kind, m := range c.mirrors {
		if reading := m.Reading(); !reading.LastResponse.IsZero() {
			report.Readings = append(report.Readings, &fleetv1.Reading{
				Kind: string(kind), Era: reading.Changed.Era(), Changed: reading.Changed.Revision(),
				AgeMillis: now.Sub(reading.LastResponse).Milliseconds(),
			})
		}
	}
}

// HandleReport implements exchange.Participant. It lists a kind again if the peer
// has seen a change that does not arrive here in time.
func (c *watchCoordinator) HandleReport(report *fleetv1.Report, _ bool) {
	now := time.Now()
	c.observeEra(report)
	lagging := c.processReport(now, report)
	if len(lagging) == 0 {
		return
	}
	c.updateRole(now) // may follow another watcher before the lists
	for _, m := range lagging {
		m.Refresh()
	}
}

// processReport processes a peer's report and returns the mirrors that have to
// list again.
func (c *watchCoordinator) processReport(now time.Time, report *fleetv1.Report) []*mirror.Mirror {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lagging []*mirror.Mirror
	oldestAge := time.Duration(0)
	for _, peerReading := range report.GetReadings() {
		if m, ok := c.mirrors[objectstore.Kind(peerReading.GetKind())]; ok {
			oldestAge = max(oldestAge, time.Duration(peerReading.GetAgeMillis())*time.Millisecond)
			if c.checkLag(now, m, objectstore.NewVersion(peerReading.GetEra(), peerReading.GetChanged())) != keepWaiting {
				lagging = append(lagging, m)
			}
		}
	}
	c.recordWatcher(now, report, oldestAge)
	return lagging
}

// recordWatcher records whether a peer is a watcher. oldestAge is the greatest
// age of the store's responses to it. It must be called with the mutex held.
func (c *watchCoordinator) recordWatcher(now time.Time, report *fleetv1.Report, oldestAge time.Duration) {
	name := report.GetHost()
	c.zones[name] = report.GetZone()
	if !report.GetLookout() || len(report.GetReadings()) < len(c.mirrors) {
		delete(c.watchers, name)
		return
	}
	p, ok := c.watchers[name]
	if !ok || p.source.address != report.GetAddress() {
		p = &watcherPeer{zone: report.GetZone()}
		p.source = &watcherSource{peers: c.peers, address: report.GetAddress()}
		p.source.onFailure = func(refused bool) { c.watcherFailed(p.source, refused) }
		p.source.observeEra = c.host.adapter.Store().ObserveEra
		c.watchers[name] = p
	}
	p.validUntil = now.Add(maxProofAge + c.peers.Interval() - oldestAge)
	p.forgetAt = now.Add(maxProofAge + 2*c.peers.Interval())
}

// checkLag returns what to do about a kind of which a peer has seen changes up to
// a version. It must be called with the mutex held.
func (c *watchCoordinator) checkLag(now time.Time, m *mirror.Mirror, changed objectstore.Version) step {
	covered := m.Reading().Covered
	l := c.lags[m.Kind()]
	step := l.observe(now, covered, changed)
	if step == keepWaiting {
		return step
	}
	if now.Before(c.notDirectUntil[m.Kind()]) {
		step = relist
	}
	logrus.WithFields(logrus.Fields{"kind": m.Kind(), "version": covered, "peer_version": l.awaited, "directly": step == relistFromStore}).
		Info("a peer is ahead")
	if !now.Before(c.directUntil[m.Kind()]) && !c.readsDirectly(m.Kind()) { // else it is the store that lags
		c.avoid(now, c.followed)
	}
	if step == relistFromStore {
		c.directUntil[m.Kind()] = now.Add(avoidDuration)
	}
	return step
}

// avoid excludes a watcher from being followed for avoidDuration. It must be
// called with the mutex held.
func (c *watchCoordinator) avoid(now time.Time, source *watcherSource) {
	if source == nil {
		return
	}
	for _, p := range c.watchers {
		if p.source == source {
			p.avoidUntil = now.Add(avoidDuration)
		}
	}
}

// watcherFailed handles a failed call to a watcher. refused reports that the peer answered
// that it is no watcher or has no recent response of the store; its next report may show
// otherwise. A watcher that doesn't answer is avoided.
func (c *watchCoordinator) watcherFailed(source *watcherSource, refused bool) {
	now := time.Now()
	c.mu.Lock()
	if !refused || !c.large {
		c.avoid(now, source)
	}
	for _, p := range c.watchers {
		if p.source == source && c.large {
			p.validUntil = now.Add(-1)
		}
	}
	c.mu.Unlock()
	c.updateRole(now)
}

// updateRole sets this host's role and, in a large fleet, the watcher that it follows.
func (c *watchCoordinator) updateRole(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endDirectReads(now)
	in, candidates := c.observeWatchers(now)
	role, followed := decideRole(in), (*watcherSource)(nil)
	if c.large && (role == nonWatcher || role == standbyWatcher && in.otherZones) {
		if name := chooseSource(candidates, in.zoneHosts, xxhash.Sum64String(c.host.settings.Host.Name)); name != "" {
			followed = c.watchers[name].source
		}
	}
	paused := c.large && role == nonWatcher && followed == nil
	if role == c.role && followed == c.followed && paused == c.paused {
		return
	}
	logrus.WithFields(logrus.Fields{
		"lookout": role != nonWatcher, "standby": role == standbyWatcher, "others": in.watchers, "rank": in.rank, "follows_peer": followed != nil,
	}).Info("watcher role or source of the mirrors changed")
	// Replaces running watches that are long, of another source or less frequent.
	replaceWatches := role != c.role && role != nonWatcher || followed != c.followed || paused != c.paused
	c.role, c.followed, c.paused = role, followed, paused
	c.host.adapter.SetWatchTiming(watchTiming(role))
	if replaceWatches {
		for _, m := range c.served {
			m.ReselectSource()
		}
	}
}

// endDirectReads ends direct reads from the store whose time is over, so that the
// kinds are read from the followed peer again. It must be called with the mutex
// held.
func (c *watchCoordinator) endDirectReads(now time.Time) {
	for kind, until := range c.directUntil {
		if now.After(until) {
			delete(c.directUntil, kind)
			c.served[kind].ReselectSource()
		}
	}
}

// observeWatchers returns what this host's role depends on, and the watchers that it may
// follow. It must be called with the mutex held.
func (c *watchCoordinator) observeWatchers(now time.Time) (roleInput, []sourceCandidate) {
	self := c.host.settings.Host
	in := roleInput{
		large: c.large, joining: now.Sub(c.startedAt) < joinGrace, zoneHosts: 1, interval: c.peers.Interval(),
		followed: now.Sub(c.followedAt) < avoidDuration,
	}
	for _, name := range c.reachable {
		if c.zones[name] != self.Zone {
			continue
		}
		in.zoneHosts++
		if p, ok := c.watchers[name]; name < self.Name && (!ok || now.After(p.avoidUntil)) {
			in.rank++
		}
	}
	var candidates []sourceCandidate
	for name, p := range c.watchers {
		connected, near := !now.After(p.validUntil), p.zone == self.Zone
		if connected && name < self.Name && (near || !c.large) {
			in.watchers++
		}
		in.otherZones = in.otherZones || connected && !near
		switch {
		case now.After(p.forgetAt):
			delete(c.watchers, name)
		case now.After(p.avoidUntil):
			candidates = append(candidates, sourceCandidate{name: name, sameZone: near, connected: connected})
		}
	}
	if in.watchers >= targetWatchers {
		c.completeAt = now
	}
	in.missing = now.Sub(c.completeAt)
	return in, candidates
}

// watchTiming returns the parameters of Adapter.SetWatchTiming for a role.
func watchTiming(role watcherRole) (wait, endpointPause time.Duration) {
	switch role {
	case nonWatcher:
		return nonWatcherWait, 0
	case standbyWatcher:
		return watcherWait, standbyPause
	}
	return watcherWait, 0
}

// isWatcher reports whether this host is a watcher.
func (c *watchCoordinator) isWatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.role != nonWatcher
}

// recordFollowed records that a peer reads through this host, which a standby watcher takes
// as a sign that the first watcher of its zone has failed.
func (c *watchCoordinator) recordFollowed(now time.Time) {
	c.mu.Lock()
	c.followedAt = now
	standby := c.role == standbyWatcher
	c.mu.Unlock()
	if standby {
		c.updateRole(now)
	}
}

// source returns the source from which the mirror of a kind is to read: the
// followed watcher or the store.
func (c *watchCoordinator) source(kind objectstore.Kind) mirror.Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readsDirectly(kind):
		return c.host.adapter.Store()
	case !c.sized:
		return sizingSource{Source: c.host.adapter.Store(), coordinator: c}
	case c.paused:
		return pausedSource{Source: c.host.adapter.Store(), mayList: func() bool { return c.mayListPaused(kind) }}
	case c.followed == nil:
		return c.host.adapter.Store()
	case time.Now().After(c.directUntil[kind]):
		return c.followed
	default:
		return directSource{Source: c.host.adapter.Store(), onFailure: func() { c.endDirectRead(kind) }}
	}
}

// readsDirectly reports whether this host, a standby watcher, reads a kind from the store
// although it follows a peer. It must be called with the mutex held.
func (c *watchCoordinator) readsDirectly(kind objectstore.Kind) bool {
	return c.role == standbyWatcher && kind == c.endpoints
}

// endDirectRead handles a failed direct read from the store: the kind is read from the
// followed peer again, and not directly for avoidDuration.
func (c *watchCoordinator) endDirectRead(kind objectstore.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.directUntil, kind)
	c.notDirectUntil[kind] = time.Now().Add(avoidDuration)
}

// directSource is the store, as read by a host that follows a peer otherwise.
type directSource struct {
	mirror.Source
	onFailure func()
}

// List implements mirror.Source.
func (s directSource) List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.Listing, error) {
	listing, err := s.Source.List(ctx, kind, prefix)
	if err != nil && ctx.Err() == nil {
		s.onFailure()
	}
	return listing, err
}
