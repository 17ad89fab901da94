package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/invariant"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/retry"
)

const (
	// retryInterval is the first pause before a failed write is retried.
	retryInterval = 50 * time.Millisecond
	// retryMaxInterval is the longest such pause.
	retryMaxInterval = 2 * time.Second
)

// pendingWrite is the write of a claim's final state.
type pendingWrite struct {
	claim *Claim
	// writeID is the same for all attempts, so that a conflict with an attempt
	// whose response was lost is recognised.
	writeID string
	// inFlight is set while an attempt runs; guarded by Book.mu.
	inFlight bool
}

// enqueue adds the write of a claim's final state to the pending writes and
// wakes Serve.
func (b *Book) enqueue(claim *Claim) *pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &pendingWrite{claim: claim, writeID: uuid.NewString()}
	b.pending[claim.name] = p
	b.metrics.pending.Set(float64(len(b.pending)))
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return p
}

// writeNow makes one attempt at a pending write. It returns nil without an
// attempt if another one is in flight or the write is no longer pending.
func (b *Book) writeNow(ctx context.Context, p *pendingWrite) error {
	if !b.acquire(p) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.ClaimTimeout)
	defer cancel()
	err := b.writeFinal(ctx, p)
	b.mu.Lock()
	defer b.mu.Unlock()
	p.inFlight = false
	if err != nil {
		return err
	}
	if b.pending[p.claim.name] == p {
		delete(b.pending, p.claim.name)
		delete(b.local, p.claim.name)
	}
	b.metrics.pending.Set(float64(len(b.pending)))
	return nil
}

// acquire marks a pending write as in flight and reports whether the caller may
// attempt it.
func (b *Book) acquire(p *pendingWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.inFlight || b.pending[p.claim.name] != p {
		return false
	}
	p.inFlight = true
	return true
}

// writeFinal writes a claim's final state over its started state. If the write
// of the started state got no response, this write first repeats its condition:
// it either succeeds, after which the earlier write can't take effect, or
// conflicts with the earlier write and then replaces it.
func (b *Book) writeFinal(ctx context.Context, p *pendingWrite) error {
	value, err := b.encode(p.claim.current())
	if err != nil {
		return err
	}
	for {
		err := b.putFinal(ctx, p, value)
		var conflict *objectstore.ConflictError
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &conflict):
			return ignoreMissing(err)
		case conflict.Current.WriteID == p.writeID:
			return nil
		case conflict.Current.WriteID != p.claim.writeID:
			b.assertNotTakenOver(p, conflict.Current)
			return nil
		}
		p.claim.base = conflict.Current.Version
	}
}

func (b *Book) putFinal(ctx context.Context, p *pendingWrite, value json.RawMessage) error {
	var err error
	if p.claim.base == 0 {
		_, err = b.config.Store.Create(ctx, objectstore.KindClaim, p.claim.name, p.writeID, value)
	} else {
		_, err = b.config.Store.Update(ctx, objectstore.KindClaim, p.claim.name, p.claim.base, p.writeID, value)
	}
	return err
}

// ignoreMissing returns nil for the error about a claim that was deleted after
// its retention, and err otherwise.
func ignoreMissing(err error) error {
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return err
}

// assertNotTakenOver asserts that the request of a claim that another process
// replaced was never sent. Only such a claim may be taken over.
func (b *Book) assertNotTakenOver(p *pendingWrite, current objectstore.Object) {
	state := p.claim.current().State
	invariant.Assert(state == StateNotRun, invariant.AtMostOnce, logrus.Fields{
		"claim": p.claim.name, "state": string(state), "version": int64(current.Version),
	})
}

// servePending retries pending writes with backoff until the context ends.
func (b *Book) servePending(ctx context.Context) error {
	backoff := retry.NewBackOff(retryInterval, retryMaxInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		}
		backoff.Reset()
		for b.pendingCount() > 0 {
			if !retry.Sleep(ctx, backoff.NextBackOff()) {
				return ctx.Err()
			}
			b.writePending(ctx)
		}
	}
}

// Flush attempts the pending writes until none is left or the context ends, and
// returns the number left. A host calls it as the last step of its shutdown.
func (b *Book) Flush(ctx context.Context) int {
	for b.pendingCount() > 0 {
		b.writePending(ctx)
		if b.pendingCount() > 0 && !retry.Sleep(ctx, retryInterval) {
			break
		}
	}
	return b.pendingCount()
}

func (b *Book) writePending(ctx context.Context) {
	for _, p := range b.pendingWrites() {
		if err := b.writeNow(ctx, p); err != nil {
			logrus.WithError(err).WithField("claim", p.claim.name).Debug("final state of claim not written; will retry")
			return
		}
	}
}

func (b *Book) pendingWrites() []*pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	writes := make([]*pendingWrite, 0, len(b.pending))
	for _, p := range b.pending {
		writes = append(writes, p)
	}
	return writes
}

func (b *Book) pendingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}
