package config

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/invariant"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	defaultProofInterval    = 2 * time.Second
	defaultPeerInterval     = time.Second
	defaultSnapshotInterval = 256
	defaultKeepChanges      = 1024
	defaultMinChangeAge     = time.Hour
	defaultSnapshotDelay    = 10 * time.Second
)

// Peers fetches configuration changes from another host.
type Peers interface {
	// Changes sends the request to one host, preferably one with a later
	// revision.
	Changes(ctx context.Context, req *peerv1.ChangesRequest) (*peerv1.ChangesResponse, error)
}

// LogConfig configures a Log. Durations and counts that are zero take their
// defaults.
type LogConfig struct {
	Store objectstore.Store
	// Peers is used to fetch changes while reads of the platform give no proof,
	// and when a peer has a later revision. If nil, changes are read from the
	// platform only.
	Peers Peers
	// Clock returns the current time. Nil means time.Now.
	Clock func() time.Time
	// ProofInterval is the time between reads of the platform that prove that
	// the revision in force is the latest. Zero means 2 s.
	ProofInterval time.Duration
	// PeerInterval is the time between requests to peers while reads of the
	// platform give no proof. Zero means 1 s.
	PeerInterval time.Duration
	// SnapshotInterval is the number of revisions between snapshots that are
	// stored in the platform. Zero means 256.
	SnapshotInterval int64
	// KeepChanges is the number of latest changes that compaction retains.
	// Zero means 1024.
	KeepChanges int64
	// MinChangeAge is the time that must pass after this host received a change
	// before it may compact the change. Zero means 1 h.
	MinChangeAge time.Duration
	// SnapshotDelay is the upper bound of the random delay before a due
	// snapshot is written. Zero means 10 s.
	SnapshotDelay time.Duration
}

// Log is this host's replica of the configuration log, which the platform
// stores. It provides the snapshot in force as a Source and appends changes with
// Apply. Its revision never decreases. Serve keeps it up to date from the
// platform and from peers. Log is safe for concurrent use.
type Log struct {
	config  LogConfig
	metrics *logMetrics
	// peerAhead wakes the peer loop when a peer has a later revision.
	peerAhead chan struct{}
	// syncGroup merges concurrent syncs of EnsureFresh into one.
	syncGroup singleflight.Group

	mu      sync.Mutex
	replica *replica
	// changed is closed and replaced when the revision advances.
	changed chan struct{}
	// loaded is set once a configuration was read from the platform or a peer.
	loaded bool
	// listed is set once the log was listed from the platform.
	listed bool
	// ready is the latched result of Ready.
	ready bool
	// highestPeerRevision is the highest revision that a peer has reported.
	highestPeerRevision int64
	// proofFailedAt is when an attempt to get a proof last failed.
	proofFailedAt time.Time
	// provenAt is when the read was sent that proved the revision to be the
	// latest. Zero means never.
	provenAt time.Time
	// ignored logs the objects that can't be used.
	ignored objectstore.IgnoredLog
	// snapshotDue wakes the snapshot loop.
	snapshotDue chan struct{}
}

var _ Source = (*Log)(nil)

// NewLog returns a log at revision 0 that holds no configuration yet.
func NewLog(config LogConfig) *Log {
	config.ProofInterval = cmp.Or(config.ProofInterval, defaultProofInterval)
	config.PeerInterval = cmp.Or(config.PeerInterval, defaultPeerInterval)
	config.SnapshotInterval = cmp.Or(config.SnapshotInterval, defaultSnapshotInterval)
	config.KeepChanges = cmp.Or(config.KeepChanges, defaultKeepChanges)
	config.MinChangeAge = cmp.Or(config.MinChangeAge, defaultMinChangeAge)
	config.SnapshotDelay = cmp.Or(config.SnapshotDelay, defaultSnapshotDelay)
	if config.Clock == nil {
		config.Clock = time.Now
	}
	l := &Log{
		config:      config,
		peerAhead:   make(chan struct{}, 1),
		snapshotDue: make(chan struct{}, 1),
		replica:     newReplica(config.KeepChanges),
		changed:     make(chan struct{}),
	}
	l.metrics = newLogMetrics(l)
	return l
}

// Current implements Source.
func (l *Log) Current() *Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replica.snapshot
}

// Changed implements Source.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Loaded reports whether this host has read a configuration from the platform
// or a peer. Until then it must not serve.
func (l *Log) Loaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

// ProvenAt returns the last time at which the snapshot in force was proved to
// be the latest. It is the time at which the read that proved it was sent, not
// when the response arrived. Zero means that there is no proof yet.
func (l *Log) ProvenAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.provenAt
}

// Serve keeps the log up to date and writes snapshots until the context ends.
func (l *Log) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.watchLoop(ctx) })
	group.Go(func() error { return l.proofLoop(ctx) })
	group.Go(func() error { return l.peerLoop(ctx) })
	group.Go(func() error { return l.snapshotLoop(ctx) })
	return group.Wait()
}

// String names the service for its supervisor.
func (l *Log) String() string { return "config" }

// ObservePeerRevision records that a peer has a revision in force, and wakes the
// peer loop if this host is behind it.
func (l *Log) ObservePeerRevision(revision int64) {
	l.mu.Lock()
	l.highestPeerRevision = max(l.highestPeerRevision, revision)
	l.mu.Unlock()
	if !l.Behind() {
		return
	}
	select {
	case l.peerAhead <- struct{}{}:
	default:
	}
}

// Behind reports whether a peer has reported a later revision than the one in
// force.
func (l *Log) Behind() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highestPeerRevision > l.replica.revision()
}

// Ready reports whether this host may serve. It becomes true once a
// configuration is loaded and no peer has reported a later revision, and then
// stays true. A host that starts while the platform is down thus first catches up
// with the highest revision that its peers have reported.
func (l *Log) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = l.ready || l.loaded && l.highestPeerRevision <= l.replica.revision()
	return l.ready
}

// Changes implements Peers, so that another Log can read from this one. It
// returns at most 256 changes.
func (l *Log) Changes(_ context.Context, req *peerv1.ChangesRequest) (*peerv1.ChangesResponse, error) {
	limit := int(req.GetLimit())
	if limit <= 0 || limit > changesLimit {
		limit = changesLimit
	}
	return l.ChangesAfter(req.GetAfterRevision(), limit), nil
}

// ChangesAfter returns at most limit changes that follow a revision, or a
// snapshot if those changes are no longer kept.
func (l *Log) ChangesAfter(revision int64, limit int) *peerv1.ChangesResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	resp := &peerv1.ChangesResponse{Revision: l.replica.revision(), ProofAgeMillis: l.proofAgeMillis()}
	changes, ok := l.replica.changesAfter(revision, limit)
	if ok {
		resp.Changes = changes
		return resp
	}
	resp.Snapshot = &apiv1.ConfigSnapshot{
		Revision: l.replica.revision(),
		Objects:  l.replica.snapshot.Objects(apiv1.Kind_KIND_UNSPECIFIED),
	}
	return resp
}

func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// HandleChanges applies a peer's response to a request that was sent at sentAt.
// If the peer has a proof that its revision is the latest and this host has
// reached that revision, HandleChanges records a proof dated back from sentAt by
// the age of the peer's.
func (l *Log) HandleChanges(resp *peerv1.ChangesResponse, sentAt time.Time) {
	snapshot := resp.GetSnapshot()
	l.update(func(r *replica, now time.Time) {
		if snapshot != nil && snapshot.Revision > r.revision() {
			r.installSnapshot(NewSnapshot(snapshot.Revision, snapshot.Objects))
		}
		r.addChanges(now, resp.GetChanges()...)
	})
	if resp.GetProofAgeMillis() < 0 {
		return
	}
	provenAt := sentAt.Add(-time.Duration(resp.GetProofAgeMillis()) * time.Millisecond)
	l.recordProof(provenAt, resp.GetRevision())
}

// recordProof records that latest was the highest accepted revision at the time
// given. It has no effect unless this host has reached that revision.
func (l *Log) recordProof(at time.Time, latest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replica.revision() >= latest && at.After(l.provenAt) {
		l.provenAt = at
	}
}

// addChanges adds changes that were read from the platform.
func (l *Log) addChanges(changes ...*apiv1.Change) {
	l.update(func(r *replica, now time.Time) { r.addChanges(now, changes...) })
}

// update runs step on the replica and, if that advanced the revision, notifies
// the waiters on Changed.
func (l *Log) update(step func(r *replica, now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.replica.revision()
	step(l.replica, l.config.Clock())
	after := l.replica.revision()
	l.assertConsistent(before, after)
	if after == before {
		return
	}
	l.loaded = true
	close(l.changed)
	l.changed = make(chan struct{})
	l.wakeSnapshots(before, after)
}

func (l *Log) assertConsistent(before, after int64) {
	fields := logrus.Fields{"revision_before": before, "revision_after": after}
	invariant.Assert(after >= before, invariant.RevisionMonotonic, fields)
	if l.replica.forked {
		invariant.Assert(false, invariant.RevisionMonotonic, fields)
		l.replica.forked = false
	}
}
