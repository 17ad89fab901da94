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
	// retryInterval is the first pause before a write is tried again.
	retryInterval = 50 * time.Millisecond
	// retryMaxInterval is the longest such pause.
	retryMaxInterval = 2 * time.Second
)

// pendingWrite is the write of a claim's final state.
type pendingWrite struct {
	claim *Claim
	// writeID is the same in all attempts, so that one whose answer was lost
	// is recognised.
	writeID string
	// busy is set while an attempt runs; guarded by the book's mutex.
	busy bool
}

// enqueue takes up the writing of a claim's final state.
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

// writeNow makes one attempt at a pending write.
func (b *Book) writeNow(ctx context.Context, p *pendingWrite) error {
	if !b.acquire(p) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, b.config.ClaimTimeout)
	defer cancel()
	err := b.writeFinal(ctx, p)
	b.mu.Lock()
	defer b.mu.Unlock()
	p.busy = false
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

func (b *Book) acquire(p *pendingWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.busy || b.pending[p.claim.name] != p {
		return false
	}
	p.busy = true
	return true
}

// writeFinal writes a claim's final state over its started state. Where the
// started state's own write got no answer, it first makes sure that it can't
// take effect any more, by the same condition.
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
			b.assertNotTaken(p, conflict.Current)
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

// ignoreMissing passes over a claim that was deleted after its retention.
func ignoreMissing(err error) error {
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return err
}

// assertNotTaken reports a claim that another process replaced although its
// request was sent. One whose request was not sent may be lost to another.
func (b *Book) assertNotTaken(p *pendingWrite, current objectstore.Object) {
	state := p.claim.current().State
	invariant.Assert(state == StateNotRun, invariant.AtMostOnce, logrus.Fields{
		"claim": p.claim.name, "state": string(state), "version": int64(current.Version),
	})
}

// servePending writes what could not be written at once.
func (b *Book) servePending(ctx context.Context) error {
	pause := retry.NewBackOff(retryInterval, retryMaxInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		}
		pause.Reset()
		for b.pendingCount() > 0 {
			if !retry.Sleep(ctx, pause.NextBackOff()) {
				return ctx.Err()
			}
			b.writePending(ctx)
		}
	}
}

// Flush writes what is pending until nothing is left or the context ends, and
// returns how many writes are left. A host that shuts down calls it last.
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
			logrus.WithError(err).WithField("claim", p.claim.name).Debug("claim not written yet")
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
