// Package mirror keeps a copy of one kind of object of the store: it lists
// the kind, follows its changes, and lists it again where history was lost.
package mirror

import (
	"context"
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

// Mirror follows one kind. It implements suture.Service.
type Mirror struct {
	store   objectstore.Store
	kind    objectstore.Kind
	handler Handler
	lost    bool
	pause   interface {
		NextBackOff() time.Duration
		Reset()
	}
}

// New returns a mirror of a kind; Serve runs it.
func New(store objectstore.Store, kind objectstore.Kind, handler Handler) *Mirror {
	return &Mirror{store: store, kind: kind, handler: handler, pause: retry.NewBackOff(firstPause, longestPause)}
}

// String names the service in logs.
func (m *Mirror) String() string { return "mirror-" + string(m.kind) }

// Serve follows the kind until ctx ends.
func (m *Mirror) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		listing, err := m.store.List(ctx, m.kind, "")
		if err != nil {
			m.failed(ctx, "list", err)
			continue
		}
		m.answered()
		m.handler.Replace(listing)
		m.follow(ctx, listing.Version)
	}
	return ctx.Err()
}

// follow watches from a version until its history is gone or ctx ends.
func (m *Mirror) follow(ctx context.Context, version objectstore.Version) {
	for ctx.Err() == nil {
		watch, err := m.store.Watch(ctx, m.kind, version)
		if err == nil {
			version = m.consume(watch, version)
			err = watch.Err()
		}
		var gone *objectstore.GoneError
		if errors.As(err, &gone) {
			logrus.WithFields(logrus.Fields{"kind": m.kind, "version": version}).Info("history of the store is gone; listing again")
			return
		}
		if err != nil {
			m.failed(ctx, "watch", err)
		}
	}
}

// consume takes the events of one watch and returns the version reached.
func (m *Mirror) consume(watch objectstore.Watch, version objectstore.Version) objectstore.Version {
	defer watch.Stop()
	for event := range watch.Events() {
		m.answered()
		if event.Type != objectstore.EventBookmark {
			m.handler.Apply(event)
		}
		version = max(version, event.Version)
	}
	return version
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
