package endpoint

import (
	"fmt"
	"time"
)

// NotSentError reports an attempt of which no byte was sent.
type NotSentError struct {
	Endpoint string
	Cause    error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("endpoint %s was not reached and nothing was sent (%v); check that it runs and that its url is right", e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// SilentError reports a connection without progress for longer than a limit.
type SilentError struct {
	Endpoint string
	Phase    Phase
	Limit    time.Duration
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("endpoint %s sent no %s within %s; the connection was closed, check the network path and the endpoint's load", e.Endpoint, e.Phase, e.Limit)
}

// MismatchError reports an answer that belongs to another attempt.
type MismatchError struct {
	Endpoint string
	Attempt  string
	// Got is what the answer carried in place of the attempt identifier.
	Got string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("endpoint %s answered attempt %s with %q; the answer was discarded, check the endpoint for crossed answers", e.Endpoint, e.Attempt, e.Got)
}

// CutError reports an answer that ended before it was whole.
type CutError struct {
	Endpoint string
	Attempt  string
	Cause    error
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("endpoint %s cut the answer to attempt %s (%v); check whether it was restarted", e.Endpoint, e.Attempt, e.Cause)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// UnknownEndpointError reports an endpoint that is not configured.
type UnknownEndpointError struct {
	Endpoint string
}

// Error implements error.
func (e *UnknownEndpointError) Error() string {
	return fmt.Sprintf("endpoint %s is not configured; create it with the command line tool", e.Endpoint)
}

// StatusError reports a control call that an endpoint answered with an HTTP
// status other than success.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("endpoint answered the control call with status %d; check that it serves the engine protocol", e.Status)
}
