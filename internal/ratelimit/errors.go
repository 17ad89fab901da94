package ratelimit

import (
	"fmt"
	"time"
)

// Reservation is the right of one request to use tokens.
type Reservation interface {
	// Consume reports tokens as they are used.
	Consume(tokens float64)
	// Settle returns what was not consumed. Repeated calls have no effect.
	Settle()
}

// RefusalReason tells why a request was refused.
type RefusalReason string

// The reasons for a refusal.
const (
	// ReasonRate means that the organisation used up its rate and burst.
	ReasonRate RefusalReason = "rate"
	// ReasonTooLarge means that the request exceeds the organisation's burst,
	// so that it can never be granted.
	ReasonTooLarge RefusalReason = "too large"
	// ReasonNoPolicy means that the organisation has no rate policy.
	ReasonNoPolicy RefusalReason = "no rate policy"
)

// RefusedError reports a request that exceeds an organisation's rate.
type RefusedError struct {
	Organisation string
	Reason       RefusalReason
	// Tokens is what was asked for.
	Tokens float64
	// RetryAfter is when the tokens could be there; zero where never.
	RetryAfter time.Duration
}

// Error implements error.
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
