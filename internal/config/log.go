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

// Peers asks another host for configuration changes.
type Peers interface {
	// Changes asks one host, preferably one with a later revision.
	Changes(ctx context.Context, req *peerv1.ChangesRequest) (*peerv1.ChangesResponse, error)
}

// LogConfig configures a Log. Zero durations and counts mean the defaults.
type LogConfig struct {
	Store objectstore.Store
	// Peers may be nil: then only the platform is asked.
	Peers Peers
	// Clock tells the time. Nil means time.Now.
	Clock func() time.Time
	// ProofInterval is the time between reads that prove the revision in
	// force to be the latest. Zero means 2 s.
	ProofInterval time.Duration
	// PeerInterval is the time between questions to a peer while there is no
	// proof from the platform. Zero means 1 s.
	PeerInterval time.Duration
	// SnapshotInterval is the number of revisions between snapshots in the
	// platform. Zero means 256.
	SnapshotInterval int64
	// KeepChanges is the number of latest changes that compaction leaves.
	// Zero means 1024.
	KeepChanges int64
	// MinChangeAge is how long this host must have known a change before it
	// may compact it. Zero means 1 h.
	MinChangeAge time.Duration
	// SnapshotDelay is the longest random wait before a snapshot that is due
	// is written. Zero means 10 s.
	SnapshotDelay time.Duration
}

// Log is the configuration log as this host knows it: a Source of the
// snapshot in force, and the way to apply a change. It never goes back to an
// earlier revision. Serve keeps it up to date.
type Log struct {
	config  LogConfig
	metrics *logMetrics
	// hints wakes the peer loop when a peer is known to be ahead.
	hints chan struct{}
	// proving joins the attempts of EnsureFresh.
	proving singleflight.Group

	mu      sync.Mutex
	replica *replica
	changed chan struct{}
	loaded  bool
	listed  bool
	ready   bool
	// highest is the highest revision that a peer is known to have.
	highest int64
	// failure is when an attempt to prove last failed.
	failure time.Time
	// proof is when the read was sent that proved the revision to be the
	// latest. Zero means never.
	proof time.Time
	// accepted wakes the snapshot loop.
	accepted chan struct{}
}

var _ Source = (*Log)(nil)

// NewLog returns a log at revision 0 that is not loaded yet.
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
		config:   config,
		hints:    make(chan struct{}, 1),
		accepted: make(chan struct{}, 1),
		replica:  newReplica(config.KeepChanges),
		changed:  make(chan struct{}),
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

// Loaded reports whether this host has any configuration from the platform
// or a peer. Until then it must not serve.
func (l *Log) Loaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

// Freshness returns the latest time at which the snapshot in force was
// certainly the latest, counted from before the read that proves it was sent.
// Zero means that there never was such proof.
func (l *Log) Freshness() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proof
}

// Serve keeps the log up to date until the context ends.
func (l *Log) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.serveWatch(ctx) })
	group.Go(func() error { return l.serveProofs(ctx) })
	group.Go(func() error { return l.servePeers(ctx) })
	group.Go(func() error { return l.serveSnapshots(ctx) })
	return group.Wait()
}

// String names the service for its supervisor.
func (l *Log) String() string { return "config" }

// Hint tells that a peer has a revision in force.
func (l *Log) Hint(revision int64) {
	l.mu.Lock()
	l.highest = max(l.highest, revision)
	l.mu.Unlock()
	if !l.Behind() {
		return
	}
	select {
	case l.hints <- struct{}{}:
	default:
	}
}

// Behind reports whether a peer is known to have a later revision.
func (l *Log) Behind() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highest > l.replica.revision()
}

// Ready reports whether this host has ever been loaded and not behind: from
// then on it serves. A host that starts while the platform is down thus first
// takes the highest revision that it hears of.
func (l *Log) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = l.ready || l.loaded && l.highest <= l.replica.revision()
	return l.ready
}

// Changes answers a peer.
func (l *Log) Changes(_ context.Context, req *peerv1.ChangesRequest) (*peerv1.ChangesResponse, error) {
	limit := int(req.GetLimit())
	if limit <= 0 || limit > changesLimit {
		limit = changesLimit
	}
	return l.ChangesAfter(req.GetAfterRevision(), limit), nil
}

// ChangesAfter answers a peer: changes that follow a revision, or a snapshot
// where they are no longer kept.
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

// Learn takes a peer's answer to a question that was sent at the time given.
func (l *Log) Learn(resp *peerv1.ChangesResponse, askedAt time.Time) {
	snapshot := resp.GetSnapshot()
	l.update(func(r *replica, now time.Time) {
		if snapshot != nil && snapshot.Revision > r.revision() {
			r.offerSnapshot(NewSnapshot(snapshot.Revision, snapshot.Objects))
		}
		r.offer(now, resp.GetChanges()...)
	})
	if resp.GetProofAgeMillis() < 0 {
		return
	}
	proof := askedAt.Add(-time.Duration(resp.GetProofAgeMillis()) * time.Millisecond)
	l.prove(proof, resp.GetRevision())
}

// prove notes that at the time given no later revision than the one given
// was accepted.
func (l *Log) prove(at time.Time, latest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replica.revision() >= latest && at.After(l.proof) {
		l.proof = at
	}
}

// learn takes changes from the platform.
func (l *Log) learn(changes ...*apiv1.Change) {
	l.update(func(r *replica, now time.Time) { r.offer(now, changes...) })
}

// update runs a step on the replica and publishes what it changed.
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
