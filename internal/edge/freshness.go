package edge

import (
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
	// lookoutWait and longWait are how long the store holds a watch of the
	// hosts on lookout and of the others. A watch may go deaf unnoticed: the
	// next one shows the change, and the hosts that saw it tell the others.
	// The shorter one leaves room for that within the two seconds in which a
	// change must be in force.
	lookoutWait = 1200 * time.Millisecond
	longWait    = 12 * time.Second
	// lookouts is how many hosts in reach of each other are on lookout.
	lookouts = 2
	// proofAge is how old the store's answer to a lookout may be; its next
	// watch has ended by then.
	proofAge = lookoutWait + 600*time.Millisecond
	// followAge is how old the store's answer may be to a lookout that answers
	// its followers.
	followAge = lookoutWait + 300*time.Millisecond
	// followFrom is the number of hosts from which those not on lookout read
	// the store by way of a lookout of their zone. In a smaller fleet each
	// keeps its own watch, which a cut between hosts can't take away.
	followFrom = 24
	// avoidFor is how long a lookout is not followed that didn't answer or was
	// behind.
	avoidFor = 3 * time.Second
)

// freshness keeps the mirrors of all hosts up to date together: a few hosts
// ask the store often, the others trust them as long as they hear from them.
// It implements exchange.Part.
type freshness struct {
	host *host
	// mirrors are those that must be fresh, served those that followers read.
	mirrors, served map[objectstore.Kind]*mirror.Mirror

	mu sync.Mutex
	// watched are the peers with lower names that are on lookout.
	watched map[string]*watchedPeer
	// behind is what this host has still to see of each kind, and directly
	// until when it reads a kind from the store though it follows a peer.
	behind   map[objectstore.Kind]*lag
	directly map[objectstore.Kind]time.Time
	lookout  bool
	// large tells that the fleet has lookouts in each zone.
	large bool
	// followed is the lookout that this host reads from; nil for the store.
	followed *lookoutSource
}

// watchedPeer is a peer on lookout.
type watchedPeer struct {
	source *lookoutSource
	zone   string
	// avoided is until when it is not followed, since it didn't answer or was
	// behind.
	avoided time.Time
	// until is up to when it is known to be in touch with the store.
	until time.Time
}

// newFreshness keeps two mirrors fresh. Hosts need not be: they tell each other
// of themselves, so that following them at the store is for those out of reach.
func newFreshness(h *host, configuration, endpoints, hosts *mirror.Mirror) *freshness {
	f := &freshness{
		host: h, mirrors: make(map[objectstore.Kind]*mirror.Mirror), served: make(map[objectstore.Kind]*mirror.Mirror),
		watched: make(map[string]*watchedPeer),
		behind: map[objectstore.Kind]*lag{
			configuration.Kind(): {patience: urgentPatience}, endpoints.Kind(): {patience: usualPatience},
		},
		directly: make(map[objectstore.Kind]time.Time), lookout: true,
	}
	for _, m := range []*mirror.Mirror{configuration, endpoints} {
		f.mirrors[m.Kind()] = m
		m.OnHistoryLost(func() { f.refresh(m) })
	}
	for _, m := range []*mirror.Mirror{configuration, endpoints, hosts} {
		f.served[m.Kind()] = m
		m.SetSourceSelector(func() mirror.Source { return f.source(m.Kind()) })
	}
	h.exchange.ServeFollowers(f.follow)
	h.adapter.SetWatchWait(lookoutWait)
	return f
}

// refresh lists all kinds anew but for one, whose history is known to be gone
// like that of all.
func (f *freshness) refresh(gone *mirror.Mirror) {
	for _, m := range f.mirrors {
		if m != gone {
			m.Refresh()
		}
	}
}

// Contribute implements exchange.Part.
func (f *freshness) Contribute(report *fleetv1.Report) {
	now := time.Now()
	report.Lookout = f.onLookout()
	for kind, m := range f.mirrors {
		if reading := m.Reading(); !reading.LastResponse.IsZero() {
			report.Readings = append(report.Readings, &fleetv1.Reading{
				Kind: string(kind), Changed: int64(reading.Changed), AgeMillis: now.Sub(reading.LastResponse).Milliseconds(),
			})
		}
	}
}

// Hear implements exchange.Part.
func (f *freshness) Hear(report *fleetv1.Report, _ bool) {
	now := time.Now()
	late := f.take(now, report)
	if len(late) == 0 {
		return
	}
	f.decide(now) // follows another before it lists again
	for _, m := range late {
		m.Refresh()
	}
}

// take takes a peer's report and returns the mirrors that are to list again.
func (f *freshness) take(now time.Time, report *fleetv1.Report) []*mirror.Mirror {
	f.mu.Lock()
	defer f.mu.Unlock()
	var late []*mirror.Mirror
	oldest := time.Duration(0)
	for _, theirs := range report.GetReadings() {
		if m, ok := f.mirrors[objectstore.Kind(theirs.GetKind())]; ok {
			oldest = max(oldest, time.Duration(theirs.GetAgeMillis())*time.Millisecond)
			if f.compare(now, m, objectstore.Version(theirs.GetChanged())) != wait {
				late = append(late, m)
			}
		}
	}
	f.watch(now, report, oldest)
	return late
}

// watch notes a peer that is on lookout and whose store answered lately. It
// must be called with the mutex held.
func (f *freshness) watch(now time.Time, report *fleetv1.Report, oldest time.Duration) {
	name := report.GetHost()
	if name >= f.host.settings.Host.Name {
		return
	}
	if !report.GetLookout() || len(report.GetReadings()) < len(f.mirrors) {
		delete(f.watched, name)
		return
	}
	p, ok := f.watched[name]
	if !ok || p.source.address != report.GetAddress() {
		p = &watchedPeer{zone: report.GetZone()}
		p.source = &lookoutSource{exchange: f.host.exchange, address: report.GetAddress()}
		p.source.lost = func() { f.lost(p.source) }
		f.watched[name] = p
	}
	p.until = now.Add(proofAge + f.host.exchange.Interval() - oldest)
}

// compare returns what to do about a kind of which a peer has seen a change.
// It must be called with the mutex held.
func (f *freshness) compare(now time.Time, m *mirror.Mirror, changed objectstore.Version) step {
	covered := m.Reading().Covered
	l := f.behind[m.Kind()]
	step := l.heard(now, covered, changed)
	if step == wait {
		return step
	}
	logrus.WithFields(logrus.Fields{"kind": m.Kind(), "version": covered, "peer_version": l.missing, "directly": step == listDirectly}).
		Info("a peer is ahead")
	f.avoid(now, f.followed)
	if step == listDirectly {
		f.directly[m.Kind()] = now.Add(avoidFor)
	}
	return step
}

// avoid stops following a lookout for a while. It must be called with the
// mutex held.
func (f *freshness) avoid(now time.Time, source *lookoutSource) {
	if source == nil {
		return
	}
	for _, p := range f.watched {
		if p.source == source {
			p.avoided = now.Add(avoidFor)
		}
	}
}

// lost notes that a lookout doesn't answer.
func (f *freshness) lost(source *lookoutSource) {
	now := time.Now()
	f.mu.Lock()
	f.avoid(now, source)
	f.mu.Unlock()
	f.decide(now)
}

// Reach implements exchange.Part.
func (f *freshness) Reach(reach exchange.Reach) {
	f.mu.Lock()
	f.large = len(reach.Heard)+len(reach.Silent)+1 >= followFrom
	f.mu.Unlock()
	f.decide(time.Now())
}

// decide goes on lookout where too few others are, and off it again.
func (f *freshness) decide(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endDirect(now)
	names, open := f.lookoutsNow(now)
	lookout, followed := len(names) < lookouts || f.large && len(open) == 0, f.followed
	switch {
	case lookout || !f.large:
		followed = nil
	case !slices.ContainsFunc(open, func(name string) bool { return f.watched[name].source == followed }):
		followed = f.watched[open[xxhash.Sum64String(f.host.settings.Host.Name)%uint64(len(open))]].source
	}
	if lookout == f.lookout && followed == f.followed {
		return
	}
	logrus.WithFields(logrus.Fields{"lookout": lookout, "others": len(names), "follows_peer": followed != nil}).Info("lookout for changes in the store")
	begin := lookout && !f.lookout || followed != f.followed
	f.lookout, f.followed = lookout, followed
	f.host.adapter.SetWatchWait(waitOf(lookout))
	if begin { // ends the long watches, and those of another source
		for _, m := range f.served {
			m.ReselectSource()
		}
	}
}

// endDirect lets kinds that were read from the store for a while be read by way
// of a peer again. It must be called with the mutex held.
func (f *freshness) endDirect(now time.Time) {
	for kind, until := range f.directly {
		if now.After(until) {
			delete(f.directly, kind)
			f.served[kind].ReselectSource()
		}
	}
}

// lookoutsNow returns the names of the lookouts that count for this host, and
// of those that it may follow. It must be called with the mutex held.
func (f *freshness) lookoutsNow(now time.Time) (names, open []string) {
	for name, p := range f.watched {
		switch {
		case now.After(p.until):
			delete(f.watched, name)
		case !f.large || p.zone == f.host.settings.Host.Zone:
			names = append(names, name)
			if now.After(p.avoided) {
				open = append(open, name)
			}
		}
	}
	slices.Sort(names)
	slices.Sort(open)
	return names, open
}

func waitOf(lookout bool) time.Duration {
	if lookout {
		return lookoutWait
	}
	return longWait
}

// onLookout reports whether this host asks the store often.
func (f *freshness) onLookout() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lookout
}

// source returns where the mirror of a kind reads.
func (f *freshness) source(kind objectstore.Kind) mirror.Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.followed != nil && time.Now().After(f.directly[kind]) {
		return f.followed
	}
	return f.host.adapter.Store()
}
