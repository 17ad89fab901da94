package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/retry"
)

const (
	// changesLimit is the maximum number of changes in one request to a peer.
	changesLimit = 256
	// proofRetryInterval is the pause after a failed attempt to get a proof.
	proofRetryInterval = 500 * time.Millisecond
	// ensureFreshTimeout limits one attempt of EnsureFresh.
	ensureFreshTimeout = 250 * time.Millisecond
	// retryInterval is the first pause after a failed list or watch.
	retryInterval = 100 * time.Millisecond
	// retryMaxInterval is the longest pause after a failed list or watch.
	retryMaxInterval = 2 * time.Second
)

// watchLoop lists and watches the log, and starts over with backoff whenever
// the watch ends.
func (l *Log) watchLoop(ctx context.Context) error {
	backoff := retry.NewBackOff(retryInterval, retryMaxInterval)
	for {
		started := l.config.Clock()
		err := l.watchOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if l.config.Clock().Sub(started) > retryMaxInterval {
			backoff.Reset()
		}
		logrus.WithError(err).Warn("configuration watch ended; listing again")
		if !retry.Sleep(ctx, backoff.NextBackOff()) {
			return ctx.Err()
		}
	}
}

// watchOnce lists the log and then applies its changes until the watch ends.
func (l *Log) watchOnce(ctx context.Context) error {
	version, err := l.load(ctx)
	if err != nil {
		return err
	}
	watch, err := l.config.Store.Watch(ctx, objectstore.KindConfigChange, version)
	if err != nil {
		return err
	}
	defer watch.Stop()
	for ev := range watch.Events() {
		if ev.Type != objectstore.EventPut {
			continue
		}
		change, err := decodeChange(ev.Object)
		if err != nil {
			l.ignore(ev.Object, err)
			continue
		}
		l.addChanges(change)
	}
	return watch.Err()
}

// load lists the log and brings the replica up to date, from the newest stored
// snapshot if the log does not reach back far enough. It returns the store
// version from which to watch.
func (l *Log) load(ctx context.Context) (objectstore.Version, error) {
	sentAt := l.config.Clock()
	listing, err := l.config.Store.List(ctx, objectstore.KindConfigChange, "")
	if err != nil {
		return 0, err
	}
	changes := contiguousSuffix(l.decodeChanges(listing))
	if l.needsSnapshot(changes) {
		if err := l.loadSnapshot(ctx); err != nil {
			return 0, err
		}
	}
	l.update(func(r *replica, now time.Time) {
		r.addChanges(now, changes...)
		r.backfill(now, changes)
	})
	if err := l.checkNoGap(changes); err != nil {
		return 0, err
	}
	l.markListed()
	l.recordProof(sentAt, lastRevision(changes))
	return listing.Version, nil
}

// decodeChanges returns the changes of a listing. An object that holds no change is logged
// and left out; one in the place of a change leaves a gap.
func (l *Log) decodeChanges(listing objectstore.Listing) []*apiv1.Change {
	changes := make([]*apiv1.Change, 0, len(listing.Items))
	for _, item := range listing.Items {
		change, err := decodeChange(item)
		if err != nil {
			l.ignore(item, err)
			continue
		}
		changes = append(changes, change)
	}
	return changes
}

// ignore logs an object that can't be used, once for each version of it.
func (l *Log) ignore(object objectstore.Object, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ignored.Add(object, cause)
}

// contiguousSuffix returns the longest run of contiguous revisions that ends at
// the last change. A change before a gap comes from a delayed write that took
// effect after its revision had been compacted.
func contiguousSuffix(changes []*apiv1.Change) []*apiv1.Change {
	first := len(changes) - 1
	for first > 0 && changes[first-1].Revision == changes[first].Revision-1 {
		first--
	}
	return changes[max(first, 0):]
}

func lastRevision(changes []*apiv1.Change) int64 {
	if len(changes) == 0 {
		return 0
	}
	return changes[len(changes)-1].Revision
}

// needsSnapshot reports whether there is a gap between the snapshot in force
// and the listed changes.
func (l *Log) needsSnapshot(changes []*apiv1.Change) bool {
	return len(changes) > 0 && changes[0].Revision > l.Current().Revision()+1
}

// checkNoGap returns an error if the listed changes could not all be applied
// because one is missing.
func (l *Log) checkNoGap(changes []*apiv1.Change) error {
	if revision, last := l.Current().Revision(), lastRevision(changes); revision < last {
		return errors.Newf("the configuration log has revision %d but not %d; restore the missing object", last, revision+1)
	}
	return nil
}

func (l *Log) markListed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loaded = true
	l.listed = true
}

// proofLoop renews the proof that the revision in force is the latest, every
// ProofInterval.
func (l *Log) proofLoop(ctx context.Context) error {
	pause := l.config.ProofInterval
	for retry.Sleep(ctx, pause) {
		pause = l.config.ProofInterval
		if err := l.syncAndRecordFailure(ctx); err != nil && ctx.Err() == nil {
			pause = min(pause, proofRetryInterval)
			logrus.WithError(err).Debug("could not verify that the configuration is the latest")
		}
	}
	return ctx.Err()
}

// EnsureFresh reports whether the snapshot in force was proved to be the latest
// at most maxAge ago. If it was not, for example after this process was paused,
// EnsureFresh first tries to get a proof, for at most 250 ms; concurrent calls
// share one attempt. It makes no attempt if one failed within the last maxAge,
// here or in the background: that indicates an outage rather than a pause, and an
// outage must not delay requests.
func (l *Log) EnsureFresh(ctx context.Context, maxAge time.Duration) bool {
	if l.isFresh(maxAge) {
		return true
	}
	if l.config.Clock().Sub(l.lastProofFailure()) < maxAge {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ensureFreshTimeout)
	defer cancel()
	attempt := l.syncGroup.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ensureFreshTimeout)
		defer cancel()
		return nil, l.syncAndRecordFailure(ctx)
	})
	select {
	case <-attempt:
	case <-ctx.Done():
	}
	return l.isFresh(maxAge)
}

func (l *Log) isFresh(maxAge time.Duration) bool {
	return l.config.Clock().Sub(l.ProvenAt()) <= maxAge
}

// syncAndRecordFailure calls Sync and records the time of a failure for
// EnsureFresh.
func (l *Log) syncAndRecordFailure(ctx context.Context) error {
	err := l.Sync(ctx)
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.proofFailedAt = l.config.Clock()
	}
	return err
}

func (l *Log) lastProofFailure() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proofFailedAt
}

// Sync reads entries from the platform until the one after the last known
// revision does not exist, and applies them. Revisions have no gaps, so the
// missing entry proves that this host is up to date. Entries are compacted only
// long after they were written (see MinChangeAge); a host that had no proof for
// half of that time lists the log instead.
func (l *Log) Sync(ctx context.Context) error {
	for {
		sentAt := l.config.Clock()
		revision, provenAt := l.Current().Revision(), l.ProvenAt()
		if !l.isRecent(sentAt, provenAt) {
			_, err := l.load(ctx)
			return err
		}
		obj, err := l.config.Store.Get(ctx, objectstore.KindConfigChange, changeName(revision+1))
		if l.config.Clock().Sub(provenAt) > l.config.MinChangeAge {
			continue
		}
		var missing *objectstore.NotFoundError
		if errors.As(err, &missing) {
			l.recordProof(sentAt, revision)
			return nil
		}
		if err != nil {
			return err
		}
		change, err := decodeChange(obj)
		if err != nil {
			return err
		}
		l.addChanges(change)
	}
}

// isRecent reports whether a proof is recent enough that the revision after it
// cannot have been compacted by now or soon after: it is at most half of
// MinChangeAge old.
func (l *Log) isRecent(now, provenAt time.Time) bool {
	return now.Sub(provenAt) <= l.config.MinChangeAge/2
}

// peerLoop fetches changes from a peer every PeerInterval while reads of the
// platform give no proof, and immediately when a peer has a later revision.
func (l *Log) peerLoop(ctx context.Context) error {
	if l.config.Peers == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(l.config.PeerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.peerAhead:
			l.fetchFromPeer(ctx)
		case <-ticker.C:
			if l.config.Clock().Sub(l.ProvenAt()) > 2*l.config.ProofInterval {
				l.fetchFromPeer(ctx)
			}
		}
	}
}

func (l *Log) fetchFromPeer(ctx context.Context) {
	req := &peerv1.ChangesRequest{AfterRevision: l.Current().Revision(), Limit: changesLimit}
	sentAt := l.config.Clock()
	resp, err := l.config.Peers.Changes(ctx, req)
	if err != nil {
		logrus.WithError(err).Debug("could not fetch configuration changes from a peer")
		return
	}
	l.HandleChanges(resp, sentAt)
}
