package objectstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryslip.example/bilberryslip/internal/retry"
)

const (
	// settleInterval is the first pause between attempts at a write.
	settleInterval = 20 * time.Millisecond
	// settleMaxInterval is the longest such pause.
	settleMaxInterval = time.Second
)

// SupersededError reports a write whose outcome stays unknown, because another
// write has replaced the object since. It may or may not have taken effect.
type SupersededError struct {
	// Conflict holds the object as stored.
	Conflict *ConflictError
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("the write may have taken effect before another replaced it: %v", e.Conflict)
}

// Unwrap returns the conflict.
func (e *SupersededError) Unwrap() error { return e.Conflict }

// CreateSettled creates an object. While the outcome is unknown, it retries the
// create with the same write ID, until the context ends. Retrying the conditional
// create, rather than reading the object, also determines the outcome of an
// attempt that is still in flight: it and the retry can't both take effect. An
// *UnavailableError with OutcomeUnknown means that the outcome is still unknown;
// one with OutcomeNotSent is returned without a retry.
func CreateSettled(ctx context.Context, store Store, kind Kind, name, writeID string, value json.RawMessage) (Object, error) {
	return settle(ctx, writeID, func() (Object, error) {
		return store.Create(ctx, kind, name, writeID, value)
	})
}

// UpdateSettled updates an object as CreateSettled creates one.
func UpdateSettled(ctx context.Context, store Store, kind Kind, name string, version Version, writeID string, value json.RawMessage) (Object, error) {
	return settle(ctx, writeID, func() (Object, error) {
		return store.Update(ctx, kind, name, version, writeID, value)
	})
}

// settle retries a conditional write while its outcome is unknown.
func settle(ctx context.Context, writeID string, write func() (Object, error)) (Object, error) {
	backoff := retry.NewBackOff(settleInterval, settleMaxInterval)
	unknown := false
	for {
		obj, err := write()
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return settleConflict(conflict, writeID, unknown)
		}
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) {
			return obj, err
		}
		unknown = unknown || unavailable.Outcome == OutcomeUnknown
		if !unknown {
			return Object{}, err
		}
		if !retry.Sleep(ctx, max(backoff.NextBackOff(), unavailable.RetryAfter)) {
			return Object{}, &UnavailableError{Outcome: OutcomeUnknown, RetryAfter: unavailable.RetryAfter, Cause: unavailable.Cause}
		}
	}
}

// settleConflict returns the stored object if it is the result of this write, and
// the error for a conflict with another write otherwise.
func settleConflict(conflict *ConflictError, writeID string, unknown bool) (Object, error) {
	if conflict.Current.WriteID == writeID {
		return conflict.Current, nil
	}
	if unknown {
		return Object{}, &SupersededError{Conflict: conflict}
	}
	return Object{}, conflict
}
