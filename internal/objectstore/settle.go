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
	// settleInterval is the first pause between attempts to settle.
	settleInterval = 20 * time.Millisecond
	// settleMaxInterval is the longest such pause.
	settleMaxInterval = time.Second
)

// SupersededError reports a write whose outcome was unknown and that another
// write has since replaced, so that it may or may not have taken effect.
type SupersededError struct {
	// Conflict holds the object as it stands.
	Conflict *ConflictError
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("the write may have taken effect before another replaced it: %v", e.Conflict)
}

// Unwrap returns the conflict.
func (e *SupersededError) Unwrap() error { return e.Conflict }

// CreateSettled creates an object and settles an unknown outcome by creating
// it again with the same write identifier, until the context ends. Repeating
// the conditional create, rather than reading, also settles a request that is
// still under way: it and the repetition can't both take effect. An error
// *UnavailableError with OutcomeUnknown means that it is still unknown.
func CreateSettled(ctx context.Context, store Store, kind Kind, name, writeID string, value json.RawMessage) (Object, error) {
	return settle(ctx, writeID, func() (Object, error) {
		return store.Create(ctx, kind, name, writeID, value)
	})
}

// UpdateSettled is CreateSettled for a conditional update.
func UpdateSettled(ctx context.Context, store Store, kind Kind, name string, version Version, writeID string, value json.RawMessage) (Object, error) {
	return settle(ctx, writeID, func() (Object, error) {
		return store.Update(ctx, kind, name, version, writeID, value)
	})
}

// settle repeats a conditional write while its outcome is unknown.
func settle(ctx context.Context, writeID string, write func() (Object, error)) (Object, error) {
	pause := retry.NewBackOff(settleInterval, settleMaxInterval)
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
		if !retry.Sleep(ctx, max(pause.NextBackOff(), unavailable.RetryAfter)) {
			return Object{}, &UnavailableError{Outcome: OutcomeUnknown, RetryAfter: unavailable.RetryAfter, Cause: unavailable.Cause}
		}
	}
}

func settleConflict(conflict *ConflictError, writeID string, unknown bool) (Object, error) {
	if conflict.Current.WriteID == writeID {
		return conflict.Current, nil
	}
	if unknown {
		return Object{}, &SupersededError{Conflict: conflict}
	}
	return Object{}, conflict
}
