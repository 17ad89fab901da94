// Package mirror keeps a copy of one kind of object of the store: it lists
// the kind, follows its changes, and lists it again where history was lost.
package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/retry"
)

const (
	// firstPause and longestPause bound the pauses between failed calls; the
	// longest is a fraction of the time within which a change must be seen.
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// Handler takes the objects of a kind.
type Handler interface {
	// Replace takes all objects at once.
	Replace(listing objectstore.Listing)
	// Apply takes one change. Bookmarks are not passed on.
	Apply(event objectstore.Event)
}

// Lifeline may be implemented by a Handler that wants to know when the store
// was lost and when it answers again.
type Lifeline interface {
	Lost()
	Regained()
}

// Source is where a mirror reads: the store, or a peer that follows it.
type Source interface {
	List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.Listing, error)
	Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (objectstore.Watch, error)
}

// Mirror follows one kind. It implements suture.Service.
type Mirror struct {
	store   Source
	choose  func() Source
	journal *journal
	kind    objectstore.Kind
	handler Handler
	lost    bool
	pause   interface {
		NextBackOff() time.Duration
		Reset()
	}
	refresh, moved chan struct{}
	onGone         func()

	mu      sync.Mutex
	reading Reading
}

// Reading is how far a mirror has read its kind.
type Reading struct {
	// Changed is the version of the newest change seen.
	Changed objectstore.Version
	// Covered is the version up to which all changes were seen.
	Covered objectstore.Version
	// At is when the store last answered.
	At time.Time
}

// Reading returns how far the mirror has read.
func (m *Mirror) Reading() Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reading
}

// Kind returns the kind that is followed.
func (m *Mirror) Kind() objectstore.Kind { return m.kind }

func (m *Mirror) read(covered, changed objectstore.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.Covered = max(m.reading.Covered, covered, changed)
	m.reading.Changed = max(m.reading.Changed, changed)
	m.reading.At = time.Now()
}

// New returns a mirror of a kind; Serve runs it.
func New(store objectstore.Store, kind objectstore.Kind, handler Handler) *Mirror {
	return &Mirror{
		store: store, journal: newJournal(), kind: kind, handler: handler, pause: retry.NewBackOff(firstPause, longestPause),
		refresh: make(chan struct{}, 1), moved: make(chan struct{}, 1),
	}
}

// OnGone sets what is told when the store has dropped its history, which
// concerns all kinds. It must be called before Serve.
func (m *Mirror) OnGone(tell func()) { m.onGone = tell }

// ReadFrom sets what chooses where to read each time the mirror begins anew.
// It must be called before Serve.
func (m *Mirror) ReadFrom(choose func() Source) { m.choose = choose }

func (m *Mirror) source() Source {
	if m.choose == nil {
		return m.store
	}
	return m.choose()
}

// Refresh makes the mirror list its kind at once, since there is word of a
// change that the watch has not shown.
func (m *Mirror) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default: // one is due already
	}
}

// Move makes the mirror go on where it is to read now, from the version that it
// has reached.
func (m *Mirror) Move() {
	select {
	case m.moved <- struct{}{}:
	default:
	}
}

// String names the service in logs.
func (m *Mirror) String() string { return "mirror-" + string(m.kind) }

// Serve follows the kind until ctx ends.
func (m *Mirror) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		source := m.source()
		listing, err := source.List(ctx, m.kind, "")
		if err != nil {
			m.failed(ctx, "list", err)
			continue
		}
		m.answered()
		m.handler.Replace(listing)
		m.journal.replace(listing)
		m.read(listing.Version, newest(listing))
		m.follow(ctx, source, listing.Version)
	}
	return ctx.Err()
}

// newest returns the version of a listing's last change.
func newest(listing objectstore.Listing) objectstore.Version {
	var version objectstore.Version
	for _, item := range listing.Items {
		version = max(version, item.Version)
	}
	return version
}

// follow watches from a version, wherever it is to read, until its history is
// gone, a refresh is due or ctx ends.
func (m *Mirror) follow(ctx context.Context, source Source, version objectstore.Version) {
	for ctx.Err() == nil {
		watch, err := source.Watch(ctx, m.kind, version)
		if err == nil {
			var end watchEnd
			version, end = m.consume(watch, version)
			if end == endRefresh {
				logrus.WithFields(logrus.Fields{"kind": m.kind, "version": version}).Info("word of a change; listing again")
				return
			}
			if end == endByItself {
				err = watch.Err()
			}
		}
		var gone *objectstore.CompactedError
		if errors.As(err, &gone) {
			logrus.WithFields(logrus.Fields{"kind": m.kind, "version": version}).Info("history of the store is gone; listing again")
			if m.onGone != nil {
				m.onGone()
			}
			return
		}
		if err != nil {
			m.failed(ctx, "watch", err)
		}
		source = m.source()
	}
}

// watchEnd is why a watch is not followed any more.
type watchEnd int

const (
	endByItself watchEnd = iota
	endRefresh
	endMoved
)

// consume takes the events of one watch and returns the version reached, and
// what ended it.
func (m *Mirror) consume(watch objectstore.Watch, version objectstore.Version) (objectstore.Version, watchEnd) {
	defer watch.Stop()
	for {
		select {
		case <-m.refresh:
			return version, endRefresh
		case <-m.moved:
			return version, endMoved
		case event, open := <-watch.Events():
			if !open {
				return version, endByItself
			}
			m.answered()
			m.journal.apply(event)
			if event.Type == objectstore.EventBookmark {
				m.read(event.Version, 0)
			} else {
				m.handler.Apply(event)
				m.read(0, event.Version)
			}
			version = max(version, event.Version)
		}
	}
}

func (m *Mirror) answered() {
	m.pause.Reset()
	if !m.lost {
		return
	}
	m.lost = false
	logrus.WithField("kind", m.kind).Info("store answers again")
	if l, ok := m.handler.(Lifeline); ok {
		l.Regained()
	}
}

func (m *Mirror) failed(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	if !m.lost {
		m.lost = true
		logrus.WithError(err).WithFields(logrus.Fields{"kind": m.kind, "call": what}).Warn("store lost; the last state stays in force")
		if l, ok := m.handler.(Lifeline); ok {
			l.Lost()
		}
	}
	retry.Sleep(ctx, m.pause.NextBackOff())
}
