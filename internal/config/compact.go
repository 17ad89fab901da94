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
	// keepSnapshots is the number of newest snapshots that compaction leaves,
	// so that a host can finish reading one while the next is written.
	keepSnapshots = 2
	// deleteInterval spaces deletions, to leave the platform's write budget
	// to others.
	deleteInterval = 20 * time.Millisecond
)

// compact deletes the snapshots and changes that the newest snapshot
// replaces.
func (l *Log) compact(ctx context.Context, manifests []manifest) error {
	for len(manifests) > keepSnapshots {
		if err := l.deleteSnapshot(ctx, manifests[0]); err != nil {
			return err
		}
		manifests = manifests[1:]
	}
	newest := manifests[len(manifests)-1].Revision
	return l.compactChanges(ctx, min(newest-l.config.KeepChanges, l.lastOldRevision()))
}

// deleteSnapshot deletes the manifest first, so that no reader starts on a
// snapshot that is not whole.
func (l *Log) deleteSnapshot(ctx context.Context, m manifest) error {
	if err := l.deleteAll(ctx, objectstore.KindConfigSnapshot, m.name(), nil); err != nil {
		return err
	}
	return l.deleteAll(ctx, objectstore.KindConfigSnapshot, fmt.Sprintf("chunk-%s-", changeName(m.Revision)), nil)
}

func (l *Log) compactChanges(ctx context.Context, through int64) error {
	if through <= 0 {
		return nil
	}
	return l.deleteAll(ctx, objectstore.KindConfigChange, "", func(obj objectstore.Object) bool {
		return obj.Name <= changeName(through)
	})
}

// lastOldRevision returns the last revision that this host has known for
// MinChangeAge, by its own clock. A change is at least as old as any later
// one.
func (l *Log) lastOldRevision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock()
	for i := len(l.replica.history) - 1; i >= 0; i-- {
		if now.Sub(l.replica.history[i].at) >= l.config.MinChangeAge {
			return l.replica.history[i].change.Revision
		}
	}
	return 0
}

// deleteAll deletes the objects with a prefix that also match, oldest first.
// Nil matches all.
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
