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
	// urgentPatience is how long a host waits for the usual way to show a
	// change of the configuration that a peer has seen, and usualPatience for
	// one of the endpoints: those are gathered on the way.
	urgentPatience = 250 * time.Millisecond
	usualPatience  = 900 * time.Millisecond
	// avoidFor is how long a lookout is not followed that didn't answer or was
	// behind.
	avoidFor = 3 * time.Second
)

// freshness keeps the mirrors of all hosts up to date together: a few hosts
// ask the store often, the others trust them as long as they hear from them.
// It implements exchange.Part.
type freshness struct {
	host    *host
	mirrors map[objectstore.Kind]*mirror.Mirror
	// urgent is the mirror of the configuration.
	urgent *mirror.Mirror

	mu sync.Mutex
	// watched are the peers with lower names that are on lookout.
	watched map[string]*watchedPeer
	// behind is what this host has still to see of each kind.
	behind  map[objectstore.Kind]lag
	lookout bool
	// large tells that the fleet has lookouts in each zone.
	large bool
	// followed is the lookout that this host reads from; nil for the store.
	followed *lookoutSource
}

// lag is a change that a peer has seen and this host has not.
type lag struct {
	version objectstore.Version
	since   time.Time
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

func newFreshness(h *host, configuration, endpoints *mirror.Mirror) *freshness {
	f := &freshness{
		host: h, urgent: configuration, mirrors: make(map[objectstore.Kind]*mirror.Mirror), watched: make(map[string]*watchedPeer),
		behind: make(map[objectstore.Kind]lag), lookout: true,
	}
	for _, m := range []*mirror.Mirror{configuration, endpoints} {
		f.mirrors[m.Kind()] = m
		m.OnGone(func() { f.refresh(m) })
		m.ReadFrom(f.source)
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
		if reading := m.Reading(); !reading.At.IsZero() {
			report.Readings = append(report.Readings, &fleetv1.Reading{
				Kind: string(kind), Changed: int64(reading.Changed), AgeMillis: now.Sub(reading.At).Milliseconds(),
			})
		}
	}
}

// Hear implements exchange.Part.
func (f *freshness) Hear(report *fleetv1.Report, _ bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := time.Duration(0)
	for _, theirs := range report.GetReadings() {
		if m, ok := f.mirrors[objectstore.Kind(theirs.GetKind())]; ok {
			oldest = max(oldest, time.Duration(theirs.GetAgeMillis())*time.Millisecond)
			f.compare(now, m, objectstore.Version(theirs.GetChanged()))
		}
	}
	f.watch(now, report, oldest)
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

// compare lists a kind anew where this host has not seen a change for a while
// that a peer has.
func (f *freshness) compare(now time.Time, m *mirror.Mirror, changed objectstore.Version) {
	covered := m.Reading().Covered
	missing, behind := f.behind[m.Kind()]
	if behind && covered >= missing.version {
		behind = false
		delete(f.behind, m.Kind())
	}
	switch {
	case changed <= covered:
	case !behind:
		f.behind[m.Kind()] = lag{version: changed, since: now}
	case now.Sub(missing.since) >= f.patience(m):
		logrus.WithFields(logrus.Fields{"kind": m.Kind(), "version": covered, "peer_version": missing.version}).Info("a peer is ahead")
		delete(f.behind, m.Kind())
		f.avoid(now, f.followed)
		m.Refresh()
	}
}

// patience is how long a change may take by the usual way.
func (f *freshness) patience(m *mirror.Mirror) time.Duration {
	if m == f.urgent {
		return urgentPatience
	}
	return usualPatience
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
	if begin {
		f.refresh(nil) // ends the long watches, and those of another source
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

// source returns where the mirrors read.
func (f *freshness) source() mirror.Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.followed != nil {
		return f.followed
	}
	return f.host.adapter.Store()
}
