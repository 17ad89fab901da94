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
	// inFlight is set while an attempt runs; guarded by Store.mu.
	inFlight bool
}

// enqueue adds the write of a claim's final state to the pending writes and
// wakes Serve.
func (s *Store) enqueue(claim *Claim) *pendingWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &pendingWrite{claim: claim, writeID: uuid.NewString()}
	s.pending[claim.name] = p
	s.metrics.pending.Set(float64(len(s.pending)))
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return p
}

// writeNow makes one attempt at a pending write. It returns nil without an
// attempt if another one is in flight or the write is no longer pending.
func (s *Store) writeNow(ctx context.Context, p *pendingWrite) error {
	if !s.acquire(p) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.ClaimTimeout)
	defer cancel()
	err := s.writeFinal(ctx, p)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.inFlight = false
	if err != nil {
		return err
	}
	if s.pending[p.claim.name] == p {
		delete(s.pending, p.claim.name)
		delete(s.local, p.claim.name)
	}
	s.metrics.pending.Set(float64(len(s.pending)))
	return nil
}

// acquire marks a pending write as in flight and reports whether the caller may
// attempt it.
func (s *Store) acquire(p *pendingWrite) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.inFlight || s.pending[p.claim.name] != p {
		return false
	}
	p.inFlight = true
	return true
}

// writeFinal writes a claim's final state over its started state. If the write
// of the started state got no response, this write first repeats its condition:
// it either succeeds, after which the earlier write can't take effect, or
// conflicts with the earlier write and then replaces it.
func (s *Store) writeFinal(ctx context.Context, p *pendingWrite) error {
	value, err := s.encode(p.claim.current())
	if err != nil {
		return err
	}
	for {
		err := s.putFinal(ctx, p, value)
		var conflict *objectstore.ConflictError
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &conflict):
			return ignoreMissing(err)
		case conflict.Current.WriteID == p.writeID:
			return nil
		case conflict.Current.WriteID != p.claim.writeID:
			s.assertNotTakenOver(p, conflict.Current)
			return nil
		}
		p.claim.base = conflict.Current.Version
	}
}

func (s *Store) putFinal(ctx context.Context, p *pendingWrite, value json.RawMessage) error {
	var err error
	if p.claim.base == 0 {
		_, err = s.config.ObjectStore.Create(ctx, objectstore.KindClaim, p.claim.name, p.writeID, value)
	} else {
		_, err = s.config.ObjectStore.Update(ctx, objectstore.KindClaim, p.claim.name, p.claim.base, p.writeID, value)
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
func (s *Store) assertNotTakenOver(p *pendingWrite, current objectstore.Object) {
	state := p.claim.current().State
	invariant.Assert(state == StateNotRun, invariant.AtMostOnce, logrus.Fields{
		"claim": p.claim.name, "state": string(state), "version": int64(current.Version),
	})
}

// servePending retries pending writes with backoff until the context ends.
func (s *Store) servePending(ctx context.Context) error {
	backoff := retry.NewBackOff(retryInterval, retryMaxInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		backoff.Reset()
		for s.pendingCount() > 0 {
			if !retry.Sleep(ctx, backoff.NextBackOff()) {
				return ctx.Err()
			}
			s.writePending(ctx)
		}
	}
}

// Flush attempts the pending writes until none is left or the context ends, and
// returns the number left. A host calls it as the last step of its shutdown.
func (s *Store) Flush(ctx context.Context) int {
	for s.pendingCount() > 0 {
		s.writePending(ctx)
		if s.pendingCount() > 0 && !retry.Sleep(ctx, retryInterval) {
			break
		}
	}
	return s.pendingCount()
}

func (s *Store) writePending(ctx context.Context) {
	for _, p := range s.pendingWrites() {
		if err := s.writeNow(ctx, p); err != nil {
			logrus.WithError(err).WithField("claim", p.claim.name).Debug("final state of claim not written; will retry")
			return
		}
	}
}

func (s *Store) pendingWrites() []*pendingWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := make([]*pendingWrite, 0, len(s.pending))
	for _, p := range s.pending {
		writes = append(writes, p)
	}
	return writes
}

func (s *Store) pendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}
