package ratelimit

import (
	"fmt"
	"time"
)

// Reservation is a number of tokens reserved for one request.
type Reservation interface {
	// Consume records the use of tokens. It may be called repeatedly.
	Consume(tokens float64)
	// Settle ends the reservation and returns the tokens that were not
	// consumed. Repeated calls have no effect.
	Settle()
}

// RefusalReason is the reason for which a request was refused.
type RefusalReason string

// The reasons for a refusal.
const (
	// ReasonRate means that the organisation does not have enough tokens left.
	ReasonRate RefusalReason = "rate"
	// ReasonTooLarge means that the request exceeds the organisation's burst,
	// so that it can never be granted.
	ReasonTooLarge RefusalReason = "too large"
	// ReasonNoPolicy means that the organisation has no rate policy.
	ReasonNoPolicy RefusalReason = "no rate policy"
)

// RefusedError is returned for a request that is refused under the rate policy
// of its organisation.
type RefusedError struct {
	Organisation string
	Reason       RefusalReason
	// Tokens is the number of tokens requested.
	Tokens float64
	// RetryAfter estimates the time until the tokens are available. Zero means
	// that they never will be.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	switch e.Reason {
	case ReasonTooLarge:
		return fmt.Sprintf("request of %.0f tokens exceeds the burst of organisation %q; ask for fewer tokens or have an operator raise the burst", e.Tokens, e.Organisation)
	case ReasonNoPolicy:
		return fmt.Sprintf("organisation %q has no rate policy; have an operator create one", e.Organisation)
	default:
		return fmt.Sprintf("organisation %q is above its rate; retry after %s", e.Organisation, e.RetryAfter.Round(time.Millisecond))
	}
}
