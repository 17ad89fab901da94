package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

const (
	// settleTimeout bounds the settling of a lost answer within one Apply.
	settleTimeout = 3 * time.Second
	// defaultRetryAfter is the advice where the platform gave none.
	defaultRetryAfter = 2 * time.Second
)

// Apply writes a change: all its mutations or none, validated against exactly
// the state before it. It returns the revision once the change is accepted.
// Applying a change again with the same changeID has no further effect and
// returns the same revision. Errors: *ValidationError, *ConflictError,
// *UnavailableError (not accepted) and *UnknownOutcomeError (repeat with the
// same changeID).
func (l *Log) Apply(ctx context.Context, mutations []*apiv1.Mutation, changeID, author string) (int64, error) {
	revision, err := l.apply(ctx, mutations, changeID, author)
	l.metrics.applies.WithLabelValues(applyResult(err)).Inc()
	if err != nil {
		return 0, err
	}
	logrus.WithFields(logrus.Fields{"revision": revision, "change_id": changeID, "author": author}).Info("configuration change accepted")
	return revision, nil
}

func (l *Log) apply(ctx context.Context, mutations []*apiv1.Mutation, changeID, author string) (int64, error) {
	for {
		proof, err := l.ensureRecent(ctx)
		if earlier := l.changeByID(changeID); earlier != nil {
			return repeatedRevision(earlier, mutations)
		}
		if err != nil {
			return 0, notApplied(err)
		}
		before := l.Current()
		if _, err := Validate(before, mutations); err != nil {
			if err := l.checkLatest(ctx, before, err); err != nil {
				return 0, err
			}
			continue
		}
		change := &apiv1.Change{
			Revision:   before.Revision() + 1,
			ChangeId:   changeID,
			Author:     author,
			UnixMillis: l.config.Clock().UnixMilli(),
			Mutations:  mutations,
		}
		if won, err := l.write(ctx, change, proof); won || err != nil {
			return change.Revision, err
		}
	}
}

// checkLatest returns the refusal of a change if the snapshot that it was
// validated against is the latest, and nil if there is a later one by now, so
// that no change is refused over an outdated state.
func (l *Log) checkLatest(ctx context.Context, before *Snapshot, refusal error) error {
	if err := l.Prove(ctx); err != nil {
		return notApplied(err)
	}
	if l.Current().Revision() > before.Revision() {
		return nil
	}
	return refusal
}

// write creates the log entry. It reports false where another change took
// the revision, or where this host was so slow that the revision may have been
// taken and compacted since the proof.
func (l *Log) write(ctx context.Context, change *apiv1.Change, proof time.Time) (won bool, err error) {
	value, err := encodeChange(change)
	if err != nil {
		return false, err
	}
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	obj, err := objectstore.CreateSettled(settleCtx, l.config.Store, objectstore.KindConfigChange, changeName(change.Revision), change.ChangeId, value)
	if l.config.Clock().Sub(proof) > l.config.MinChangeAge {
		return false, l.discardLate(ctx, obj, change, err)
	}
	if err == nil {
		return l.adopt(obj, change.ChangeId)
	}
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		return l.adopt(conflict.Current, change.ChangeId)
	}
	var unavailable *objectstore.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Outcome == objectstore.OutcomeUnknown {
		return false, &UnknownOutcomeError{ChangeID: change.ChangeId, Cause: err}
	}
	return false, notApplied(err)
}

// discardLate deletes an entry that was created too late to be part of the
// log, and leaves one that is part of it.
func (l *Log) discardLate(ctx context.Context, obj objectstore.Object, change *apiv1.Change, err error) error {
	if err != nil {
		var conflict *objectstore.ConflictError
		if errors.As(err, &conflict) {
			return nil
		}
		return &UnknownOutcomeError{ChangeID: change.ChangeId, Cause: err}
	}
	if _, err := l.load(ctx); err != nil {
		return &UnknownOutcomeError{ChangeID: change.ChangeId, Cause: err}
	}
	if l.changeByID(change.ChangeId) != nil {
		return nil
	}
	// Left undeleted it does no harm.
	_ = l.config.Store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
	return nil
}

// adopt learns the entry that holds a revision and reports whether it is the
// caller's change.
func (l *Log) adopt(obj objectstore.Object, changeID string) (bool, error) {
	change, err := decodeChange(obj)
	if err != nil {
		return false, err
	}
	if l.Current().Revision() < change.Revision {
		l.learn(change)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.replica.changeAt(change.Revision)
	return known.GetChangeId() == changeID, nil
}

// ensureRecent returns the time of the last proof, after listing the log where
// this host never did, or where the proof is so old that the next revision may
// have been taken and compacted since.
func (l *Log) ensureRecent(ctx context.Context) (time.Time, error) {
	l.mu.Lock()
	listed, proof := l.listed, l.proof
	l.mu.Unlock()
	if listed && l.isRecent(l.config.Clock(), proof) {
		return proof, nil
	}
	if _, err := l.load(ctx); err != nil {
		return time.Time{}, err
	}
	return l.Freshness(), nil
}

func (l *Log) changeByID(changeID string) *apiv1.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replica.byID[changeID]
}

// repeatedRevision answers a change that was accepted before.
func repeatedRevision(earlier *apiv1.Change, mutations []*apiv1.Mutation) (int64, error) {
	same := proto.Equal(&apiv1.Change{Mutations: earlier.Mutations}, &apiv1.Change{Mutations: mutations})
	if !same {
		return 0, &ValidationError{Faults: []Fault{{Field: "change_id", Message: "another change has this identifier; use a new one for a new change"}}}
	}
	return earlier.Revision, nil
}

func notApplied(cause error) error {
	retryAfter := defaultRetryAfter
	var unavailable *objectstore.UnavailableError
	if errors.As(cause, &unavailable) && unavailable.RetryAfter > 0 {
		retryAfter = unavailable.RetryAfter
	}
	return &UnavailableError{RetryAfter: retryAfter, Cause: cause}
}

func applyResult(err error) string {
	var (
		validation *ValidationError
		conflict   *ConflictError
		unknown    *UnknownOutcomeError
	)
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &validation):
		return "invalid"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &unknown):
		return "unknown"
	default:
		return "unavailable"
	}
}
