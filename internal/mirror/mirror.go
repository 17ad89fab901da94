// Package mirror keeps a local copy of the objects of one kind in the store: it
// lists the kind, watches it for changes, and lists it again if the store has
// dropped the history that the watch needs.
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
	// minBackoff and maxBackoff bound the pauses between failed calls. The
	// maximum is a fraction of the time within which a change must be seen.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Handler receives the objects of a kind and their changes. A mirror does not
// call it concurrently.
type Handler interface {
	// Replace replaces all objects by those of a listing.
	Replace(listing objectstore.Listing)
	// Apply applies one change. It is not called for bookmarks.
	Apply(event objectstore.Event)
}

// AvailabilityHandler may be implemented by a Handler that needs to know whether
// the store is available.
type AvailabilityHandler interface {
	// StoreUnavailable is called at the first of a series of failed calls to
	// the store, with the time of the last response; zero for none.
	StoreUnavailable(since time.Time)
	// StoreAvailable is called at the first successful call after
	// StoreUnavailable.
	StoreAvailable()
}

// Source is what a mirror reads from: the store, or a peer that serves its own
// mirror of the store.
type Source interface {
	List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.Listing, error)
	Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (objectstore.Watch, error)
}

// Mirror keeps a Handler up to date with one kind, and caches recent changes for
// followers. It implements suture.Service.
type Mirror struct {
	store        Source
	selectSource func() Source
	cache        *watchCache
	kind         objectstore.Kind
	handler      Handler
	// unavailable is set from a failed call until the next successful one.
	unavailable bool
	backoff     interface {
		NextBackOff() time.Duration
		Reset()
	}
	// refresh and reselect make consume stop reading the watch.
	refresh, reselect chan struct{}
	onHistoryLost     func()

	mu      sync.Mutex
	reading Reading
}

// Reading describes how up to date a mirror is.
type Reading struct {
	// Changed is the version of the latest change received.
	Changed objectstore.Version
	// Covered is the version up to which all changes were received.
	Covered objectstore.Version
	// LastResponse is when the last response or event arrived. Zero means never.
	LastResponse time.Time
	// AsOf is the latest time, by clock.Boot, of which the handler has all that the store
	// held then; zero if the source doesn't tell.
	AsOf time.Time
}

// Reading returns how up to date the mirror is.
func (m *Mirror) Reading() Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reading
}

// Kind returns the kind that the mirror copies.
func (m *Mirror) Kind() objectstore.Kind { return m.kind }

// Len returns the number of objects in the copy.
func (m *Mirror) Len() int {
	m.cache.mu.Lock()
	defer m.cache.mu.Unlock()
	return len(m.cache.objects)
}

// recordReading raises the versions and the time reached and sets the time of the
// last response.
func (m *Mirror) recordReading(covered, changed objectstore.Version, asOf time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.Covered = max(m.reading.Covered, covered, changed)
	m.reading.Changed = max(m.reading.Changed, changed)
	m.reading.LastResponse = time.Now()
	if asOf.After(m.reading.AsOf) {
		m.reading.AsOf = asOf
	}
}

// New returns a mirror that reads a kind from the store and passes it to the
// handler once Serve runs.
func New(store objectstore.Store, kind objectstore.Kind, handler Handler) *Mirror {
	return &Mirror{
		store: store, cache: newWatchCache(), kind: kind, handler: handler, backoff: retry.NewBackOff(minBackoff, maxBackoff),
		refresh: make(chan struct{}, 1), reselect: make(chan struct{}, 1),
	}
}

// OnHistoryLost sets a function to call when the store has dropped the history
// that the watch needs. The store drops the history of all kinds together, so
// that their mirrors must list again as well. OnHistoryLost must be called before
// Serve.
func (m *Mirror) OnHistoryLost(f func()) { m.onHistoryLost = f }

// SetSourceSelector sets a function that returns the source to read from. It is
// called before each list and whenever another watch begins. By default a mirror
// reads from the store. SetSourceSelector must be called before Serve.
func (m *Mirror) SetSourceSelector(selectSource func() Source) { m.selectSource = selectSource }

func (m *Mirror) source() Source {
	if m.selectSource == nil {
		return m.store
	}
	return m.selectSource()
}

// Refresh makes the mirror list its kind again immediately. Callers use it if the
// watch has missed a change or the store has dropped its history.
func (m *Mirror) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default: // a refresh is pending already
	}
}

// ReselectSource makes the mirror end the watch, select the source again and
// continue from the version that it has reached.
func (m *Mirror) ReselectSource() {
	select {
	case m.reselect <- struct{}{}:
	default:
	}
}

// String returns the name of the service for logs.
func (m *Mirror) String() string { return "mirror-" + string(m.kind) }

// Serve keeps the handler up to date until ctx ends.
func (m *Mirror) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		source := m.source()
		listing, err := source.List(ctx, m.kind, "")
		if reached := m.Reading().Covered; err == nil && listing.Version.Era() < reached.Era() {
			err = errors.Newf("listing of %s at version %s is older than the store's last restore, which began era %d", m.kind, listing.Version, reached.Era())
		}
		if err != nil {
			m.handleFailure(ctx, "list", err)
			continue
		}
		m.handleSuccess()
		m.handler.Replace(listing)
		m.cache.replace(listing)
		m.recordReading(listing.Version, newestVersion(listing), listing.AsOf)
		m.follow(ctx, source, listing.Version)
	}
	return ctx.Err()
}

// newestVersion returns the highest version of the objects in a listing.
func newestVersion(listing objectstore.Listing) objectstore.Version {
	var version objectstore.Version
	for _, item := range listing.Items {
		version = max(version, item.Version)
	}
	return version
}

// follow watches the kind from a version on, and selects the source again after
// each watch. It returns when the kind must be listed again, because the history
// was dropped or Refresh was called, or when ctx ends.
func (m *Mirror) follow(ctx context.Context, source Source, version objectstore.Version) {
	for ctx.Err() == nil {
		watch, err := source.Watch(ctx, m.kind, version)
		if err == nil {
			var end watchEnd
			version, end = m.consume(watch, version)
			if end == endRefresh {
				logrus.WithFields(logrus.Fields{"kind": m.kind, "version": version}).Info("refresh requested; listing again")
				return
			}
			if end == endClosed {
				err = watch.Err()
			}
		}
		var compacted *objectstore.CompactedError
		if errors.As(err, &compacted) {
			logrus.WithFields(logrus.Fields{"kind": m.kind, "version": version}).Info("store dropped its history; listing again")
			if m.onHistoryLost != nil {
				m.onHistoryLost()
			}
			return
		}
		if err != nil {
			m.handleFailure(ctx, "watch", err)
		}
		source = m.source()
	}
}

// watchEnd is the reason why consume stopped reading a watch.
type watchEnd int

const (
	endClosed   watchEnd = iota // the watch ended
	endRefresh                  // Refresh was called
	endReselect                 // ReselectSource was called
)

// consume processes the events of one watch and returns the version reached and
// the reason why it stopped.
func (m *Mirror) consume(watch objectstore.Watch, version objectstore.Version) (objectstore.Version, watchEnd) {
	defer watch.Stop()
	for {
		select {
		case <-m.refresh:
			return version, endRefresh
		case <-m.reselect:
			return version, endReselect
		case event, open := <-watch.Events():
			if !open {
				return version, endClosed
			}
			m.handleSuccess()
			m.cache.apply(event)
			if event.Type == objectstore.EventBookmark {
				m.recordReading(event.Version, 0, event.AsOf)
			} else {
				m.handler.Apply(event)
				m.recordReading(0, event.Version, time.Time{})
			}
			version = max(version, event.Version)
		}
	}
}

// handleSuccess resets the backoff, and notifies the handler if the store was
// unavailable before.
func (m *Mirror) handleSuccess() {
	m.backoff.Reset()
	if !m.unavailable {
		return
	}
	m.unavailable = false
	logrus.WithField("kind", m.kind).Info("store answers again")
	if h, ok := m.handler.(AvailabilityHandler); ok {
		h.StoreAvailable()
	}
}

// handleFailure notifies the handler at the first of a series of failures, and
// waits for the backoff.
func (m *Mirror) handleFailure(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	if !m.unavailable {
		m.unavailable = true
		logrus.WithError(err).WithFields(logrus.Fields{"kind": m.kind, "call": call}).Warn("store lost; the last state stays in force")
		if h, ok := m.handler.(AvailabilityHandler); ok {
			h.StoreUnavailable(m.Reading().LastResponse)
		}
	}
	retry.Sleep(ctx, m.backoff.NextBackOff())
}
