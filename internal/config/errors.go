package config

import (
	"fmt"
	"strings"
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
)

// Fault describes one invalid field of a change.
type Fault struct {
	// Field is the path of the invalid field, such as
	// mutations[2].object.endpoint.url.
	Field string
	// Message describes the problem and how to fix it.
	Message string
}

// ValidationError reports a change that was rejected as invalid, with all its
// faults.
type ValidationError struct {
	Faults []Fault
}

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.Field + ": " + fault.Message
	}
	return "the change is invalid; correct it and apply it again: " + strings.Join(lines, "; ")
}

// ConflictError reports a change that was rejected because an object is not at
// the version that the change expects.
type ConflictError struct {
	Key ObjectKey
	// Expected is the version that the change is based on; 0 means that it
	// creates the object.
	Expected int64
	// Current is the object's current version; 0 means that it does not exist.
	Current int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q: the change expects version %d and the current one is %d; get the object and repeat the change", KindName(e.Key.Kind), e.Key.Name, e.Expected, e.Current)
}

// UnavailableError reports an attempt that wrote nothing because the platform
// was unavailable. Earlier attempts of the same change may have succeeded.
type UnavailableError struct {
	// RetryAfter is the time to wait before the next attempt.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("this attempt applied nothing: %v; retry with the same change_id after %v", e.Cause, e.RetryAfter)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a change that may or may not have been accepted.
// Applying it again with the same ChangeID settles the outcome.
type UnknownOutcomeError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s was accepted: %v; apply the same change again with this change_id, which takes effect at most once", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// KindName returns the lower-case name of a kind that operators use, such as
// placement_policy.
func KindName(kind apiv1.Kind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), "KIND_"))
}
