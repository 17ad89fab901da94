package config

import (
	"context"
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
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
	return revision, err
}

func (l *Log) apply(ctx context.Context, mutations []*apiv1.Mutation, changeID, author string) (int64, error) {
	if err := l.ensureListed(ctx); err != nil {
		return 0, notApplied(err)
	}
	for {
		if earlier := l.changeByID(changeID); earlier != nil {
			return repeatedRevision(earlier, mutations)
		}
		before := l.Current()
		if _, err := Validate(before, mutations); err != nil {
			fresh, proveErr := l.refreshed(ctx, before)
			if proveErr != nil {
				return 0, notApplied(proveErr)
			}
			if !fresh {
				continue
			}
			return 0, err
		}
		change := &apiv1.Change{
			Revision:   before.Revision() + 1,
			ChangeId:   changeID,
			Author:     author,
			UnixMillis: l.config.Clock().UnixMilli(),
			Mutations:  mutations,
		}
		won, err := l.write(ctx, change)
		if err != nil {
			return 0, err
		}
		if won {
			logrus.WithFields(logrus.Fields{"revision": change.Revision, "change_id": changeID, "author": author}).Info("configuration change accepted")
			return change.Revision, nil
		}
	}
}

// refreshed reads on and reports whether the snapshot was the latest, so that
// a change is not refused over an outdated state.
func (l *Log) refreshed(ctx context.Context, before *Snapshot) (bool, error) {
	if err := l.Prove(ctx); err != nil {
		return false, err
	}
	return l.Current().Revision() == before.Revision(), nil
}

// write creates the log entry. It reports false where another change took
// the revision, which is then in force here.
func (l *Log) write(ctx context.Context, change *apiv1.Change) (won bool, err error) {
	value, err := encodeChange(change)
	if err != nil {
		return false, err
	}
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	obj, err := platform.CreateSettled(settleCtx, l.config.Store, platform.KindConfigChange, changeName(change.Revision), change.ChangeId, value)
	if err == nil {
		return l.adopt(obj, change.ChangeId)
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return l.adopt(conflict.Current, change.ChangeId)
	}
	var unavailable *platform.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Outcome == platform.OutcomeUnknown {
		return false, &UnknownOutcomeError{ChangeID: change.ChangeId, Cause: err}
	}
	return false, notApplied(err)
}

// adopt learns the entry that holds a revision and reports whether it is the
// caller's change, also by the history: an entry that was compacted long ago
// could be created anew.
func (l *Log) adopt(obj platform.Object, changeID string) (bool, error) {
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

func (l *Log) ensureListed(ctx context.Context) error {
	l.mu.Lock()
	listed := l.listed
	l.mu.Unlock()
	if listed {
		return nil
	}
	_, err := l.load(ctx)
	return err
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
	var unavailable *platform.UnavailableError
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
