package forward

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Reason is the machine-readable reason why a request was not served. The values
// are stable.
type Reason string

// Reasons why requests are not served.
const (
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonNoRoute         Reason = "no_route"
	ReasonKeyUnknown      Reason = "key_unknown"
	ReasonBadRequest      Reason = "bad_request"
	ReasonOverRate        Reason = "over_rate"
	ReasonNoEndpoint      Reason = "no_endpoint"
	ReasonNotHeld         Reason = "model_not_held"
	ReasonOverloaded      Reason = "overloaded"
	ReasonSegmentHeld     Reason = "segment_held"
	ReasonRequestHeld     Reason = "request_held"
	ReasonVersionGone     Reason = "version_gone"
	ReasonStreamUnknown   Reason = "stream_unknown"
	ReasonZoneEmptied     Reason = "zone_emptied"
	ReasonEndpointFailed  Reason = "endpoint_failed"
	ReasonStopping        Reason = "stopping"
	ReasonTimeout         Reason = "timeout"
	ReasonCallerGone      Reason = "caller_gone"
)

// remedies holds the advice that is appended to the message of a Failure.
var remedies = map[Reason]string{
	ReasonNoConfiguration: "retry; this host has not read yet a configuration, or which availability zones are evacuated",
	ReasonNoRoute:         "check host name and path against the configured routes",
	ReasonKeyUnknown:      "present a key that is granted in the configuration",
	ReasonBadRequest:      "correct the request's headers",
	ReasonOverRate:        "retry after the time given, or ask the operator for a higher rate",
	ReasonNoEndpoint:      "retry; check that the service's endpoints are listed and healthy",
	ReasonNotHeld:         "retry once the model is loaded; check placement in the state dump",
	ReasonOverloaded:      "retry after the time given; add endpoints if this persists",
	ReasonSegmentHeld:     "leave out the prompt segment; endpoints crashed under requests with it",
	ReasonRequestHeld:     "do not send the request again; endpoints crashed each time that it ran",
	ReasonVersionGone:     "start the stream from its beginning; no endpoint runs the software version that began it",
	ReasonStreamUnknown:   "retry, or start the stream from its beginning; no host knows the software version that began it",
	ReasonZoneEmptied:     "retry after the time given; end an evacuation, or start endpoints in another availability zone",
	ReasonEndpointFailed:  "check the endpoint's log for the request's identifier",
	ReasonStopping:        "retry on a new connection; this host shuts down",
	ReasonTimeout:         "check the endpoint's load; the request may have run",
	ReasonCallerGone:      "none; the caller closed its connection",
}

// Failure is the error of a request that was not served and for which the caller
// has not received any part of a response.
type Failure struct {
	Reason Reason
	// NotRun guarantees that no endpoint has run the request or will run it.
	NotRun bool
	// RetryAfter is the time after which the caller should retry. Zero means no
	// advice.
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

// Unwrap returns the cause, which may be nil.
func (f *Failure) Unwrap() error { return f.Cause }

// ErrTruncated means that a response ended early after the caller had received
// part of it. The caller's connection must be aborted, so that the caller can
// detect the truncation.
var ErrTruncated = errors.New("response ended early after the caller had received part of it; the caller's connection must be closed")

func newRefusal(reason Reason, retryAfter time.Duration) *Failure {
	return &Failure{Reason: reason, NotRun: true, RetryAfter: retryAfter}
}
