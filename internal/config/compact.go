package config

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/retry"
)

const (
	// keepSnapshots is the number of newest snapshots that compaction retains,
	// so that a host can finish reading one while the next is written.
	keepSnapshots = 2
	// deleteInterval is the pause after each deletion, so that compaction does
	// not use up the platform's write budget.
	deleteInterval = 20 * time.Millisecond
)

// compact deletes the snapshots and changes that the newest snapshot makes
// unnecessary. The manifests must be ordered by revision and include the newest.
func (l *Log) compact(ctx context.Context, manifests []manifest) error {
	for len(manifests) > keepSnapshots {
		if err := l.deleteSnapshot(ctx, manifests[0]); err != nil {
			return err
		}
		manifests = manifests[1:]
	}
	newest := manifests[len(manifests)-1].Revision
	return l.compactChanges(ctx, min(newest-l.config.KeepChanges, l.lastCompactableRevision()))
}

// deleteSnapshot deletes the manifest before the chunks, so that no reader
// starts on an incomplete snapshot.
func (l *Log) deleteSnapshot(ctx context.Context, m manifest) error {
	if err := l.deleteAll(ctx, objectstore.KindConfigSnapshot, m.name(), nil); err != nil {
		return err
	}
	return l.deleteAll(ctx, objectstore.KindConfigSnapshot, fmt.Sprintf("chunk-%s-", changeName(m.Revision)), nil)
}

// compactChanges deletes the changes up to and including a revision.
func (l *Log) compactChanges(ctx context.Context, through int64) error {
	if through <= 0 {
		return nil
	}
	return l.deleteAll(ctx, objectstore.KindConfigChange, "", func(obj objectstore.Object) bool {
		return obj.Name <= changeName(through)
	})
}

// lastCompactableRevision returns the latest revision that this host received
// at least MinChangeAge ago by its own clock, or 0. Every earlier change was
// written at least as long ago.
func (l *Log) lastCompactableRevision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock()
	for i := len(l.replica.history) - 1; i >= 0; i-- {
		if now.Sub(l.replica.history[i].receivedAt) >= l.config.MinChangeAge {
			return l.replica.history[i].change.Revision
		}
	}
	return 0
}

// deleteAll deletes the objects whose name has the prefix and for which match
// returns true, in the order listed, which is oldest first. A nil match selects
// all of them. Objects that no longer exist are skipped.
func (l *Log) deleteAll(ctx context.Context, kind objectstore.Kind, prefix string, match func(objectstore.Object) bool) error {
	listing, err := l.config.Store.List(ctx, kind, prefix)
	if err != nil {
		return err
	}
	for _, obj := range listing.Items {
		if match != nil && !match(obj) {
			continue
		}
		err := l.config.Store.Delete(ctx, kind, obj.Name, obj.Version)
		var missing *objectstore.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			return err
		}
		if !retry.Sleep(ctx, deleteInterval) {
			return ctx.Err()
		}
	}
	return nil
}
