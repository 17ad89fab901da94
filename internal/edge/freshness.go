package edge

import (
	"sync"
	"time"

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
	// patience is how long a host waits for its own watch to show a change
	// that a peer has seen.
	patience = 150 * time.Millisecond
)

// freshness keeps the mirrors of all hosts up to date together: a few hosts
// ask the store often, the others trust them as long as they hear from them.
// It implements exchange.Part.
type freshness struct {
	host    *host
	mirrors map[objectstore.Kind]*mirror.Mirror

	mu sync.Mutex
	// watched is until when each peer with a lower name is known to be in
	// touch with the store.
	watched map[string]time.Time
	// behind is since when a peer has been ahead in a kind.
	behind  map[objectstore.Kind]time.Time
	lookout bool
}

func newFreshness(h *host, mirrors ...*mirror.Mirror) *freshness {
	f := &freshness{
		host: h, mirrors: make(map[objectstore.Kind]*mirror.Mirror), watched: make(map[string]time.Time),
		behind: make(map[objectstore.Kind]time.Time), lookout: true,
	}
	for _, m := range mirrors {
		f.mirrors[m.Kind()] = m
		m.OnGone(func() { f.refresh(m) })
	}
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
	if report.GetHost() < f.host.settings.Host.Name && len(report.GetReadings()) == len(f.mirrors) {
		f.watched[report.GetHost()] = now.Add(proofAge - oldest)
	}
}

// compare lists a kind anew where a peer has seen a change that this host's
// own watch doesn't show.
func (f *freshness) compare(now time.Time, m *mirror.Mirror, changed objectstore.Version) {
	since, behind := f.behind[m.Kind()]
	switch {
	case changed <= m.Reading().Covered:
		delete(f.behind, m.Kind())
	case !behind:
		f.behind[m.Kind()] = now
	case now.Sub(since) >= patience:
		logrus.WithFields(logrus.Fields{"kind": m.Kind(), "version": m.Reading().Covered, "peer_version": changed}).Info("a peer is ahead")
		delete(f.behind, m.Kind())
		m.Refresh()
	}
}

// Reach implements exchange.Part.
func (f *freshness) Reach(exchange.Reach) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	others := 0
	for name, until := range f.watched {
		if now.Before(until) {
			others++
		} else {
			delete(f.watched, name)
		}
	}
	lookout := others < lookouts
	if lookout == f.lookout {
		return
	}
	f.lookout = lookout
	logrus.WithFields(logrus.Fields{"lookout": lookout, "others": others}).Info("lookout for changes in the store")
	if !lookout {
		f.host.adapter.SetWatchWait(longWait)
		return
	}
	f.host.adapter.SetWatchWait(lookoutWait)
	f.refresh(nil) // ends the long watches
}
