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
	// changesLimit is the number of changes asked of a peer at once.
	changesLimit = 256
	// proofRetryInterval is the pause after an attempt to prove that failed.
	proofRetryInterval = 500 * time.Millisecond
	// ensureTimeout bounds one attempt of EnsureFresh.
	ensureTimeout = 250 * time.Millisecond
	// retryInterval is the first pause after a failed list or watch.
	retryInterval = 100 * time.Millisecond
	// retryMaxInterval is the longest such pause.
	retryMaxInterval = 2 * time.Second
)

// serveWatch lists and watches the log, again and again.
func (l *Log) serveWatch(ctx context.Context) error {
	pause := retry.NewBackOff(retryInterval, retryMaxInterval)
	for {
		started := l.config.Clock()
		err := l.watchOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if l.config.Clock().Sub(started) > retryMaxInterval {
			pause.Reset()
		}
		logrus.WithError(err).Warn("configuration watch ended; listing again")
		if !retry.Sleep(ctx, pause.NextBackOff()) {
			return ctx.Err()
		}
	}
}

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
			return err
		}
		l.learn(change)
	}
	return watch.Err()
}

// load reads the newest snapshot, if this host needs it, and the log, and
// returns the version from which to watch.
func (l *Log) load(ctx context.Context) (objectstore.Version, error) {
	sentAt := l.config.Clock()
	listing, err := l.config.Store.List(ctx, objectstore.KindConfigChange, "")
	if err != nil {
		return 0, err
	}
	changes, err := decodeChanges(listing)
	if err != nil {
		return 0, err
	}
	changes = denseSuffix(changes)
	if l.needsSnapshot(changes) {
		if err := l.loadSnapshot(ctx); err != nil {
			return 0, err
		}
	}
	l.update(func(r *replica, now time.Time) {
		r.offer(now, changes...)
		r.backfill(now, changes)
	})
	if err := l.checkReached(changes); err != nil {
		return 0, err
	}
	l.noteListed()
	l.prove(sentAt, lastRevision(changes))
	return listing.Version, nil
}

func decodeChanges(listing objectstore.Listing) ([]*apiv1.Change, error) {
	changes := make([]*apiv1.Change, 0, len(listing.Items))
	for _, item := range listing.Items {
		change, err := decodeChange(item)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// denseSuffix returns the changes up to the last one without a gap. What
// comes before a gap was written late, under the name of a revision that had
// been compacted.
func denseSuffix(changes []*apiv1.Change) []*apiv1.Change {
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

// needsSnapshot reports whether the changes don't follow on what this host
// has.
func (l *Log) needsSnapshot(changes []*apiv1.Change) bool {
	return len(changes) > 0 && changes[0].Revision > l.Current().Revision()+1
}

// checkReached fails where the listed changes have a gap.
func (l *Log) checkReached(changes []*apiv1.Change) error {
	if revision, last := l.Current().Revision(), lastRevision(changes); revision < last {
		return errors.Newf("the configuration log has revision %d but not %d; restore the missing object", last, revision+1)
	}
	return nil
}

func (l *Log) noteListed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loaded = true
	l.listed = true
}

// serveProofs proves at intervals that the revision in force is the latest.
func (l *Log) serveProofs(ctx context.Context) error {
	pause := l.config.ProofInterval
	for retry.Sleep(ctx, pause) {
		pause = l.config.ProofInterval
		if err := l.proveNoting(ctx); err != nil && ctx.Err() == nil {
			pause = min(pause, proofRetryInterval)
			logrus.WithError(err).Debug("no proof that the configuration is the latest")
		}
	}
	return ctx.Err()
}

// EnsureFresh reports whether the snapshot in force was the latest at most
// maxAge ago, and where it was not, as after a pause of this process, tries to
// prove it now. Calls at the same time share one attempt. None is made where one
// failed in the last maxAge, in the background or here: that is an outage and
// not a pause, and must not hold up requests.
func (l *Log) EnsureFresh(ctx context.Context, maxAge time.Duration) bool {
	if l.isFresh(maxAge) {
		return true
	}
	if l.config.Clock().Sub(l.lastFailure()) < maxAge {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ensureTimeout)
	defer cancel()
	attempt := l.proving.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ensureTimeout)
		defer cancel()
		return nil, l.proveNoting(ctx)
	})
	select {
	case <-attempt:
	case <-ctx.Done():
	}
	return l.isFresh(maxAge)
}

func (l *Log) isFresh(maxAge time.Duration) bool {
	return l.config.Clock().Sub(l.Freshness()) <= maxAge
}

// proveNoting is Prove, and notes a failure for EnsureFresh.
func (l *Log) proveNoting(ctx context.Context) error {
	err := l.Prove(ctx)
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.failure = l.config.Clock()
	}
	return err
}

func (l *Log) lastFailure() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// Prove reads the entry after the last one known. The log is dense, so its
// absence proves that this host is up to date. Entries are deleted only long
// after they were written (see MinChangeAge); a host that had no proof for
// half of that time lists the log instead.
func (l *Log) Prove(ctx context.Context) error {
	for {
		sentAt := l.config.Clock()
		revision, proof := l.Current().Revision(), l.Freshness()
		if !l.isRecent(sentAt, proof) {
			_, err := l.load(ctx)
			return err
		}
		obj, err := l.config.Store.Get(ctx, objectstore.KindConfigChange, changeName(revision+1))
		if l.config.Clock().Sub(proof) > l.config.MinChangeAge {
			continue
		}
		var missing *objectstore.NotFoundError
		if errors.As(err, &missing) {
			l.prove(sentAt, revision)
			return nil
		}
		if err != nil {
			return err
		}
		change, err := decodeChange(obj)
		if err != nil {
			return err
		}
		l.learn(change)
	}
}

// isRecent reports whether the revision after a proof can't have been
// compacted soon after the time given.
func (l *Log) isRecent(now, proof time.Time) bool {
	return now.Sub(proof) <= l.config.MinChangeAge/2
}

// servePeers asks a peer while the platform gives no proof, and at once when
// a peer is known to be ahead.
func (l *Log) servePeers(ctx context.Context) error {
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
		case <-l.hints:
			l.askPeer(ctx)
		case <-ticker.C:
			if l.config.Clock().Sub(l.Freshness()) > 2*l.config.ProofInterval {
				l.askPeer(ctx)
			}
		}
	}
}

func (l *Log) askPeer(ctx context.Context) {
	req := &peerv1.ChangesRequest{AfterRevision: l.Current().Revision(), Limit: changesLimit}
	askedAt := l.config.Clock()
	resp, err := l.config.Peers.Changes(ctx, req)
	if err != nil {
		logrus.WithError(err).Debug("no peer answered about the configuration")
		return
	}
	l.Learn(resp, askedAt)
}
