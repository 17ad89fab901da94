package edge

import (
	"context"
	"slices"
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
	host *host
	// mirrors holds the mirrors that must be fresh; served holds those that
	// followers can read.
	mirrors, served map[objectstore.Kind]*mirror.Mirror

	mu sync.Mutex
	// watchers holds the peers that are watchers and whose names sort before
	// this host's.
	watchers map[string]*watcherPeer
	// lags holds how far this host lags behind its peers in each kind.
	// directUntil holds the end of the time in which it reads a kind directly
	// from the store although it follows a peer.
	// notDirectUntil holds the end of the time in which it does not, because the store
	// failed it.
	lags                        map[objectstore.Kind]*lag
	directUntil, notDirectUntil map[objectstore.Kind]time.Time
	// watcher is set while this host is a watcher.
	watcher bool
	// large is set while the fleet is so large that each zone has watchers of
	// its own.
	large bool
	// followed is the watcher that this host reads from; nil for the store.
	followed *watcherSource
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
}

// freshMirror is a mirror that the coordinator keeps fresh.
type freshMirror struct {
	*mirror.Mirror
	// tolerance is how long the host waits for a change that a peer has seen before it
	// lists the kind again.
	tolerance time.Duration
}

// newWatchCoordinator returns a coordinator that keeps the given mirrors fresh. The
// mirror of hosts may be stale: hosts discover each other through reports and need the
// store's entries only for hosts that they can't reach.
func newWatchCoordinator(h *host, hosts *mirror.Mirror, fresh ...freshMirror) *watchCoordinator {
	c := &watchCoordinator{
		host: h, mirrors: make(map[objectstore.Kind]*mirror.Mirror), served: make(map[objectstore.Kind]*mirror.Mirror),
		watchers: make(map[string]*watcherPeer), lags: make(map[objectstore.Kind]*lag),
		directUntil: make(map[objectstore.Kind]time.Time), notDirectUntil: make(map[objectstore.Kind]time.Time), watcher: true,
	}
	for _, m := range fresh {
		c.mirrors[m.Kind()], c.served[m.Kind()] = m.Mirror, m.Mirror
		c.lags[m.Kind()] = &lag{tolerance: m.tolerance}
		m.OnHistoryLost(func() { c.refreshOthers(m.Mirror) })
	}
	c.served[hosts.Kind()] = hosts
	for _, m := range c.served {
		m.SetSourceSelector(func() mirror.Source { return c.source(m.Kind()) })
	}
	h.exchange.SetFollowHandler(c.follow)
	h.adapter.Store().OnRestore(c.handleRestore)
	h.adapter.SetWatchWait(watcherWait)
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

// observeEra passes on the era of the store that a peer reports, so that this host
// detects a restore without access to the store.
func (c *watchCoordinator) observeEra(report *fleetv1.Report) {
	for _, reading := range report.GetReadings() {
		if era := reading.GetEra(); era > 0 {
			c.host.adapter.Store().ObserveEra(era)
		}
	}
}

// handleRestore is called when the store has been restored from an older copy. All
// kinds are listed again, and endpoints missing from the copy stay usable for a
// moment, in which live ones write their entries again.
func (c *watchCoordinator) handleRestore(era int64) {
	logrus.WithField("era", era).Info("listing all kinds again after the store's restore")
	c.host.endpoints.StoreRestored()
	for _, m := range c.served {
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
	if name >= c.host.settings.Host.Name {
		return
	}
	if !report.GetLookout() || len(report.GetReadings()) < len(c.mirrors) {
		delete(c.watchers, name)
		return
	}
	p, ok := c.watchers[name]
	if !ok || p.source.address != report.GetAddress() {
		p = &watcherPeer{zone: report.GetZone()}
		p.source = &watcherSource{exchange: c.host.exchange, address: report.GetAddress()}
		p.source.onFailure = func() { c.watcherFailed(p.source) }
		p.source.observeEra = c.host.adapter.Store().ObserveEra
		c.watchers[name] = p
	}
	p.validUntil = now.Add(maxProofAge + c.host.exchange.Interval() - oldestAge)
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
	if !now.Before(c.directUntil[m.Kind()]) { // else it is the store that lags
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

// watcherFailed handles a failed call to a watcher.
func (c *watchCoordinator) watcherFailed(source *watcherSource) {
	now := time.Now()
	c.mu.Lock()
	c.avoid(now, source)
	c.mu.Unlock()
	c.updateRole(now)
}

// SetReachability implements exchange.Participant. It updates this host's role.
func (c *watchCoordinator) SetReachability(reachability exchange.Reachability) {
	c.mu.Lock()
	c.large = len(reachability.Reachable)+len(reachability.Unreachable)+1 >= followFleetSize
	c.mu.Unlock()
	c.updateRole(time.Now())
}

// updateRole makes this host a watcher if fewer than targetWatchers hosts with
// lower names are, and ends that role when enough are. In a large fleet it also
// chooses the watcher to follow, and makes this host a watcher if there is none.
func (c *watchCoordinator) updateRole(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endDirectReads(now)
	names, followable := c.currentWatchers(now)
	watcher, followed := len(names) < targetWatchers || c.large && len(followable) == 0, c.followed
	switch {
	case watcher || !c.large:
		followed = nil
	case !slices.ContainsFunc(followable, func(name string) bool { return c.watchers[name].source == followed }):
		followed = c.watchers[followable[xxhash.Sum64String(c.host.settings.Host.Name)%uint64(len(followable))]].source
	}
	if watcher == c.watcher && followed == c.followed {
		return
	}
	logrus.WithFields(logrus.Fields{"lookout": watcher, "others": len(names), "follows_peer": followed != nil}).Info("watcher role or source of the mirrors changed")
	replaceWatches := watcher && !c.watcher || followed != c.followed
	c.watcher, c.followed = watcher, followed
	c.host.adapter.SetWatchWait(watchWait(watcher))
	if replaceWatches { // replaces running watches that are long or of another source
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

// currentWatchers returns the names of the watchers that are relevant for this
// host, and of those that it may follow, both sorted. It must be called with the
// mutex held.
func (c *watchCoordinator) currentWatchers(now time.Time) (names, followable []string) {
	for name, p := range c.watchers {
		switch {
		case now.After(p.validUntil):
			delete(c.watchers, name)
		case !c.large || p.zone == c.host.settings.Host.Zone:
			names = append(names, name)
			if now.After(p.avoidUntil) {
				followable = append(followable, name)
			}
		}
	}
	slices.Sort(names)
	slices.Sort(followable)
	return names, followable
}

func watchWait(watcher bool) time.Duration {
	if watcher {
		return watcherWait
	}
	return nonWatcherWait
}

// isWatcher reports whether this host is a watcher.
func (c *watchCoordinator) isWatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watcher
}

// source returns the source from which the mirror of a kind is to read: the
// followed watcher or the store.
func (c *watchCoordinator) source(kind objectstore.Kind) mirror.Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.followed == nil:
		return c.host.adapter.Store()
	case time.Now().After(c.directUntil[kind]):
		return c.followed
	default:
		return directSource{Source: c.host.adapter.Store(), onFailure: func() { c.endDirectRead(kind) }}
	}
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
