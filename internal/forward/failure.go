package forward

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Reason tells why a request was not served. It is stable and
// machine-readable.
type Reason string

// The reasons for which requests are not served.
const (
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonNoRoute         Reason = "no_route"
	ReasonKeyUnknown      Reason = "key_unknown"
	ReasonBadRequest      Reason = "bad_request"
	ReasonOverRate        Reason = "over_rate"
	ReasonNoEndpoint      Reason = "no_endpoint"
	ReasonNotHeld         Reason = "model_not_held"
	ReasonOverloaded      Reason = "overloaded"
	ReasonEndpointFailed  Reason = "endpoint_failed"
	ReasonTimeout         Reason = "timeout"
	ReasonCallerGone      Reason = "caller_gone"
)

// remedies tell the reader of a failure what to do.
var remedies = map[Reason]string{
	ReasonNoConfiguration: "retry; this host has not read a configuration yet",
	ReasonNoRoute:         "check host name and path against the configured routes",
	ReasonKeyUnknown:      "present a key that is granted in the configuration",
	ReasonBadRequest:      "correct the request's headers",
	ReasonOverRate:        "retry after the time given, or ask the operator for a higher rate",
	ReasonNoEndpoint:      "retry; check that the service's endpoints are listed and healthy",
	ReasonNotHeld:         "retry once the model is loaded; check placement in the state dump",
	ReasonOverloaded:      "retry after the time given; add endpoints if it lasts",
	ReasonEndpointFailed:  "check the endpoint's log for the request's identifier",
	ReasonTimeout:         "check the endpoint's load; the request may have run",
	ReasonCallerGone:      "none; the caller closed its connection",
}

// Failure is the final answer to a request that was not served and of which
// the caller has seen nothing yet.
type Failure struct {
	Reason Reason
	// NotRun promises that the request has not run and never will.
	NotRun bool
	// RetryAfter is when the caller should come back. Zero gives no advice.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Cause != nil {
		return fmt.Sprintf("%s: %v; %s", f.Reason, f.Cause, remedies[f.Reason])
	}
	return fmt.Sprintf("%s; %s", f.Reason, remedies[f.Reason])
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// ErrBroken reports an answer that ended early after the caller had seen its
// beginning. The caller's connection must be closed without an orderly end.
var ErrBroken = errors.New("the answer broke off; the caller's connection is closed")

func refuse(reason Reason, retryAfter time.Duration) *Failure {
	return &Failure{Reason: reason, NotRun: true, RetryAfter: retryAfter}
}
