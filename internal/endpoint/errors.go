package endpoint

import (
	"fmt"
	"time"
)

// NotSentError reports an attempt that failed before any byte was sent.
type NotSentError struct {
	Endpoint string
	Cause    error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("endpoint %s is unreachable and nothing was sent (%v); check that it runs and that its URL is right", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ProgressTimeoutError reports an attempt that made no progress within a time
// limit.
type ProgressTimeoutError struct {
	Endpoint string
	Phase    Phase
	Limit    time.Duration
}

// Error implements error.
func (e *ProgressTimeoutError) Error() string {
	return fmt.Sprintf("endpoint %s sent no %s within %s, so the connection was closed; check the network path and the endpoint's load", e.Endpoint, e.Phase, e.Limit)
}

// MismatchError reports a response that belongs to another attempt.
type MismatchError struct {
	Endpoint string
	Attempt  string
	// Got is the identifier that the response carried instead.
	Got string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("endpoint %s responded to attempt %s with identifier %q and the response was discarded; check whether the endpoint mixes up responses", e.Endpoint, e.Attempt, e.Got)
}

// IncompleteResponseError reports an attempt whose connection failed after it
// was made, or whose response ended before it was complete.
type IncompleteResponseError struct {
	Endpoint string
	Attempt  string
	Cause    error
}

// Error implements error.
func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("endpoint %s sent an incomplete response to attempt %s (%v); check whether it was restarted", e.Endpoint, e.Attempt, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// NotResumedError reports a response to a resume that begins before the event at which it
// was to begin, as that of a generation that was restarted.
type NotResumedError struct {
	Endpoint string
	Attempt  string
	// Want is the offset of the event to begin at, Got that of the first event.
	Want, Got int64
}

// Error implements error.
func (e *NotResumedError) Error() string {
	return fmt.Sprintf("endpoint %s began its response to attempt %s at event %d instead of %d, and the response was discarded; check whether the endpoint can resume streams, or refuses to with status 409", e.Endpoint, e.Attempt, e.Got, e.Want)
}

// UnknownEndpointError reports an endpoint that is not configured.
type UnknownEndpointError struct {
	Endpoint string
}

// Error implements error.
func (e *UnknownEndpointError) Error() string {
	return fmt.Sprintf("endpoint %s is not configured; create it with the command-line tool", e.Endpoint)
}

// StatusError reports a control call to which an endpoint responded with an
// HTTP status other than 2xx.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint responded to the control call with status %d; check that it serves the engine protocol", e.Status)
}
