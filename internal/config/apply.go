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
	// settleTimeout limits how long one attempt of Apply retries a write whose
	// response was lost.
	settleTimeout = 3 * time.Second
	// defaultRetryAfter is returned to the caller when the platform suggests no
	// retry delay.
	defaultRetryAfter = 2 * time.Second
)

// Apply appends a change to the log and returns its revision. The mutations are
// applied atomically and validated against the state at the preceding revision.
// Apply is idempotent: calling it again with the same changeID and mutations
// returns the same revision without further effect. It returns
// *ValidationError or *ConflictError if the change is rejected,
// *UnavailableError if this attempt wrote nothing, and *UnknownOutcomeError if
// the change may have been accepted and should be retried with the same
// changeID.
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
		provenAt, err := l.ensureRecent(ctx)
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
		if won, err := l.write(ctx, change, provenAt); won || err != nil {
			return change.Revision, err
		}
	}
}

// checkLatest returns rejection if before, the snapshot that a change was
// validated against, is still the latest, and nil if a later one exists and the
// change must be validated again. It prevents rejecting a change because of
// stale state.
func (l *Log) checkLatest(ctx context.Context, before *Snapshot, rejection error) error {
	if err := l.Sync(ctx); err != nil {
		return notApplied(err)
	}
	if l.Current().Revision() > before.Revision() {
		return nil
	}
	return rejection
}

// write creates the log entry and reports whether the change was accepted. It
// returns false without an error if another change took the revision, or if so
// much time passed since provenAt that the revision may have been taken and
// compacted in between.
func (l *Log) write(ctx context.Context, change *apiv1.Change, provenAt time.Time) (won bool, err error) {
	value, err := encodeChange(change)
	if err != nil {
		return false, err
	}
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	obj, err := objectstore.CreateSettled(settleCtx, l.config.Store, objectstore.KindConfigChange, changeName(change.Revision), change.ChangeId, value)
	if l.config.Clock().Sub(provenAt) > l.config.MinChangeAge {
		return false, l.discardLate(ctx, obj, change, err)
	}
	if err == nil {
		return l.recordEntry(obj, change.ChangeId)
	}
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		return l.recordEntry(conflict.Current, change.ChangeId)
	}
	var unavailable *objectstore.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Outcome == objectstore.OutcomeUnknown {
		return false, &UnknownOutcomeError{ChangeID: change.ChangeId, Cause: err}
	}
	return false, notApplied(err)
}

// discardLate handles an entry whose revision may have been compacted before
// the entry was created. It deletes the entry unless the reloaded log contains
// the change.
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
	// The error is ignored because an entry that stays has no effect.
	_ = l.config.Store.Delete(ctx, obj.Kind, obj.Name, obj.Version)
	return nil
}

// recordEntry adds the entry found at a revision to the replica and reports
// whether it is the change identified by changeID.
func (l *Log) recordEntry(obj objectstore.Object, changeID string) (bool, error) {
	change, err := decodeChange(obj)
	if err != nil {
		return false, err
	}
	if l.Current().Revision() < change.Revision {
		l.addChanges(change)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.replica.changeAt(change.Revision)
	return known.GetChangeId() == changeID, nil
}

// ensureRecent returns the time of the last proof. It first lists the log if
// this host has never done so, or if the proof is so old that the next revision
// may have been taken and compacted since.
func (l *Log) ensureRecent(ctx context.Context) (time.Time, error) {
	l.mu.Lock()
	listed, provenAt := l.listed, l.provenAt
	l.mu.Unlock()
	if listed && l.isRecent(l.config.Clock(), provenAt) {
		return provenAt, nil
	}
	if _, err := l.load(ctx); err != nil {
		return time.Time{}, err
	}
	return l.ProvenAt(), nil
}

func (l *Log) changeByID(changeID string) *apiv1.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replica.byID[changeID]
}

// repeatedRevision returns the revision of earlier, a change accepted under the
// same identifier, or a ValidationError if its mutations differ.
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
