package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/mirror"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/retry"
)

const (
	// pausedWait is how long a watch lasts while no watcher is known. After it the store
	// counts as lost, as it would if this host had called it. It is longer than joinGrace, in
	// which a starting host may know no watcher yet.
	pausedWait = 1500 * time.Millisecond
	// pausedListInterval is the time between two lists of a kind from the store while no
	// watcher is known.
	pausedListInterval = 4 * time.Second
	// maxSizingWait limits how long the first watches wait for the hosts' entries.
	maxSizingWait = 300 * time.Millisecond
	// sizingPollInterval is the time between two checks whether they were read.
	sizingPollInterval = 5 * time.Millisecond
)

// errNoWatcher is the result of calls by a host of a large fleet that is no watcher and
// knows none.
var errNoWatcher = errors.New("no host that reads from the store is in reach; check the store, and the hosts' paths to it and to each other")

// pausedSource is the source of a host that is no watcher and knows none. It implements
// mirror.Source without watches of the store. It lists from the store while mayList allows.
type pausedSource struct {
	mirror.Source
	mayList func() bool
}

// List implements mirror.Source.
func (s pausedSource) List(ctx context.Context, kind objectstore.Kind, prefix string) (objectstore.Listing, error) {
	if !s.mayList() {
		return objectstore.Listing{}, errNoWatcher
	}
	return s.Source.List(ctx, kind, prefix)
}

// Watch implements mirror.Source.
func (s pausedSource) Watch(ctx context.Context, _ objectstore.Kind, after objectstore.Version) (objectstore.Watch, error) {
	return objectstore.NewPolledWatch(ctx, after, 0, func(ctx context.Context, _ objectstore.Version) ([]objectstore.Event, error) {
		retry.Sleep(ctx, pausedWait)
		return nil, errNoWatcher
	}), nil
}

// mayListPaused reports whether a paused host may list a kind from the store now.
func (c *watchCoordinator) mayListPaused(kind objectstore.Kind) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if last, ok := c.listedPaused[kind]; ok && now.Sub(last) < pausedListInterval {
		return false
	}
	c.listedPaused[kind] = now
	return true
}

// sizingSource is the store, as read by a host that does not yet know whether the fleet is
// large. Its watches begin once the hosts' entries were read, or after maxSizingWait.
type sizingSource struct {
	mirror.Source
	coordinator *watchCoordinator
}

// Watch implements mirror.Source.
func (s sizingSource) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) (objectstore.Watch, error) {
	c := s.coordinator
	c.awaitSize(ctx)
	c.mu.Lock()
	first := !c.sized
	c.sized = true
	c.large = c.large || c.hosts.Len() >= followFleetSize
	c.mu.Unlock()
	if first {
		c.updateRole(time.Now())
	}
	return c.source(kind).Watch(ctx, kind, after)
}

// awaitSize waits until the hosts' entries were read, at most until maxSizingWait after the
// start.
func (c *watchCoordinator) awaitSize(ctx context.Context) {
	deadline := c.startedAt.Add(maxSizingWait)
	for c.hosts.Reading().LastResponse.IsZero() && time.Now().Before(deadline) && retry.Sleep(ctx, sizingPollInterval) {
	}
}
