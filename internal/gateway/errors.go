package gateway

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Run tells whether a refused or failed request ran at an endpoint.
type Run string

// What is known of a request's run.
const (
	RunNot     Run = "not run"
	RunUnknown Run = "unknown"
	RunRan     Run = "ran"
)

// Code is the stable name of a kind of error.
type Code string

// The kinds of error that callers see.
const (
	CodeKeyMissing         Code = "key_missing"
	CodeKeyInvalid         Code = "key_invalid"
	CodeKeyAmbiguous       Code = "key_ambiguous"
	CodeKeyMisplaced       Code = "key_misplaced"
	CodeKeyWithdrawn       Code = "key_withdrawn"
	CodeKeyStateStale      Code = "key_state_stale"
	CodeNotPermitted       Code = "not_permitted"
	CodeBodyInvalid        Code = "body_invalid"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeParameterInvalid   Code = "parameter_invalid"
	CodeHeaderInvalid      Code = "header_invalid"
	CodePathInvalid        Code = "path_invalid"
	CodePathUnknown        Code = "path_unknown"
	CodeMethodUnknown      Code = "method_not_allowed"
	CodeModelUnknown       Code = "model_not_found"
	CodeRouteUnknown       Code = "route_not_found"
	CodeRateExceeded       Code = "rate_limit_exceeded"
	CodeOverBurst          Code = "over_burst"
	CodeRatePolicyMissing  Code = "rate_policy_missing"
	CodeRateUnavailable    Code = "rate_unavailable"
	CodeOverloaded         Code = "overloaded"
	CodeNoEndpoint         Code = "no_endpoint"
	CodeEndpointFailed     Code = "endpoint_failed"
	CodeEndpointRefused    Code = "endpoint_refused"
	CodeAnswerCut          Code = "answer_cut"
	CodeTimeout            Code = "timeout"
	CodeIdempotencyMissing Code = "idempotency_key_missing"
	CodeIdempotencyReused  Code = "idempotency_key_reused"
	CodeStillRunning       Code = "still_running"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeAnswerNotKept      Code = "answer_not_kept"
	CodeClaimUnavailable   Code = "claim_unavailable"
	CodeNotReady           Code = "not_ready"
	CodeCallerGone         Code = "caller_gone"
	CodeInternal           Code = "internal"
)

// Error is an answer other than success. Its message names the remedy and
// never holds a key.
type Error struct {
	Code    Code
	Status  int
	Message string
	Run     Run
	// RetryAfter tells the caller when to come back. Zero means that coming
	// back doesn't help.
	RetryAfter time.Duration
	// Param names the faulty parameter, if any.
	Param string
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// Type returns the error's class in the OpenAI form.
func (e *Error) Type() string {
	switch {
	case e.Status == http.StatusUnauthorized:
		return "authentication_error"
	case e.Status == http.StatusForbidden:
		return "permission_error"
	case e.Status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case e.Status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// retryAfterHeader returns whole seconds, rounded up.
func (e *Error) retryAfterHeader() string {
	return strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds())))
}

func newError(status int, code Code, format string, args ...any) *Error {
	return &Error{Code: code, Status: status, Run: RunNot, Message: fmt.Sprintf(format, args...)}
}

func (e *Error) withRun(run Run) *Error {
	e.Run = run
	return e
}

func (e *Error) retryIn(delay time.Duration) *Error {
	e.RetryAfter = max(delay, time.Second)
	return e
}

func errKeyMissing() *Error {
	return newError(http.StatusUnauthorized, CodeKeyMissing, "no key: send the header Authorization: Bearer KEY")
}

func errKeyInvalid() *Error {
	return newError(http.StatusUnauthorized, CodeKeyInvalid, "the key is unknown or was withdrawn: ask your operator for a new key")
}

func errKeyAmbiguous() *Error {
	return newError(http.StatusUnauthorized, CodeKeyAmbiguous, "more than one Authorization header: send exactly one")
}

func errKeyMisplaced(where string) *Error {
	return newError(http.StatusUnauthorized, CodeKeyMisplaced,
		"the key is in the %s: send it only in the header Authorization: Bearer KEY, and ask your operator to replace it", where)
}

func errKeyWithdrawn() *Error {
	return newError(http.StatusUnauthorized, CodeKeyWithdrawn, "the key was withdrawn while the request ran: ask your operator for a new key")
}

func errKeyStateStale(limit time.Duration) *Error {
	return newError(http.StatusServiceUnavailable, CodeKeyStateStale,
		"this host has not learnt of key changes for longer than your organisation's limit of %s: retry, or ask your operator about the host's connection", limit).retryIn(2 * time.Second)
}

func errNotPermitted(what, name string) *Error {
	return newError(http.StatusForbidden, CodeNotPermitted, "your organisation may not use the %s %q: ask your operator for access", what, name)
}

func errBodyInvalid(cause error) *Error {
	return newError(http.StatusBadRequest, CodeBodyInvalid, "the body is not a valid JSON request (%v): correct it", cause)
}

func errBodyTooLarge(limit int64) *Error {
	return newError(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is over %d bytes: send a smaller one", limit)
}

func errBodyIncomplete() *Error {
	return newError(http.StatusBadRequest, CodeBodyInvalid, "the body did not arrive whole: send it again")
}

func errParameter(param, format string, args ...any) *Error {
	e := newError(http.StatusBadRequest, CodeParameterInvalid, format, args...)
	e.Param = param
	return e
}

func errHeader(name, remedy string) *Error {
	return newError(http.StatusBadRequest, CodeHeaderInvalid, "the header %s is not valid: %s", name, remedy)
}

func errPathInvalid() *Error {
	return newError(http.StatusBadRequest, CodePathInvalid, "the path holds empty, dot or encoded-slash segments, or the query can't be read: send a plain path")
}

func errPathUnknown() *Error {
	return newError(http.StatusNotFound, CodePathUnknown, "no such path: see the API page for the paths that are served")
}

func errMethodUnknown() *Error {
	return newError(http.StatusMethodNotAllowed, CodeMethodUnknown, "this method is not served here: see the API page")
}

func errModelUnknown(name string) *Error {
	return newError(http.StatusNotFound, CodeModelUnknown, "no model or adapter %q for your organisation: GET /v1/models lists those you may use", name)
}

func errRouteUnknown(service string) *Error {
	return newError(http.StatusNotFound, CodeRouteUnknown, "no route of the service %q matches: ask your operator for its routes", service)
}

func errRateExceeded(delay time.Duration) *Error {
	return newError(http.StatusTooManyRequests, CodeRateExceeded, "your organisation's rate is used up: retry after the time in Retry-After").retryIn(delay)
}

func errOverBurst(tokens float64) *Error {
	return newError(http.StatusBadRequest, CodeOverBurst, "the request of %.0f tokens is over your organisation's burst: ask for fewer tokens, or ask your operator for a larger burst", tokens)
}

func errNoRatePolicy() *Error {
	return newError(http.StatusForbidden, CodeRatePolicyMissing, "your organisation has no rate policy: ask your operator to create one")
}

func errRateUnavailable() *Error {
	return newError(http.StatusServiceUnavailable, CodeRateUnavailable, "your organisation's rate could not be read: retry after the time in Retry-After").retryIn(time.Second)
}

func errOverloaded(delay time.Duration) *Error {
	return newError(http.StatusServiceUnavailable, CodeOverloaded, "the queue can't serve this request in time: retry after the time in Retry-After").retryIn(delay)
}

func errNoEndpoint(delay time.Duration) *Error {
	return newError(http.StatusServiceUnavailable, CodeNoEndpoint, "no endpoint can take this request now: retry after the time in Retry-After").retryIn(delay)
}

func errEndpointFailed(run Run) *Error {
	return newError(http.StatusBadGateway, CodeEndpointFailed, "the endpoint failed: retry after the time in Retry-After").withRun(run).retryIn(time.Second)
}

func errEndpointRefused(status int) *Error {
	return newError(http.StatusBadRequest, CodeEndpointRefused, "the endpoint refused the request with status %d: correct its parameters", status)
}

func errAnswerCut() *Error {
	return newError(http.StatusBadGateway, CodeAnswerCut, "the answer was cut and could not be resumed; what was sent so far is not whole: send the request again").withRun(RunRan).retryIn(time.Second)
}

func errTimeout(run Run) *Error {
	return newError(http.StatusGatewayTimeout, CodeTimeout, "the request's time limit passed: allow more time or ask for fewer tokens").withRun(run)
}

// statusCallerGone is nginx's customary status for a caller that closed its
// connection; only logs and metrics show it.
const statusCallerGone = 499

func errCallerGone(run Run) *Error {
	return newError(statusCallerGone, CodeCallerGone, "the caller closed the connection before the answer").withRun(run)
}

func errIdempotencyMissing() *Error {
	return newError(http.StatusBadRequest, CodeIdempotencyMissing, "this call may not be repeated: send an Idempotency-Key of your own, unique to the request")
}

func errIdempotencyReused() *Error {
	return newError(http.StatusUnprocessableEntity, CodeIdempotencyReused, "the Idempotency-Key was used for another request: choose a new one")
}

func errStillRunning() *Error {
	return newError(http.StatusConflict, CodeStillRunning, "the request with this Idempotency-Key is still running: repeat it later for its answer").withRun(RunUnknown).retryIn(2 * time.Second)
}

func errUnknownRepeat() *Error {
	return newError(http.StatusConflict, CodeOutcomeUnknown, "whether the request with this Idempotency-Key ran is unknown: check with the service before you send it under a new key").withRun(RunUnknown)
}

func errOutcomeUnknown(status int) *Error {
	return newError(status, CodeOutcomeUnknown, "the request was sent and its answer was lost, so whether it ran is unknown: check with the service before you send it under a new key").withRun(RunUnknown)
}

func errAnswerNotKept() *Error {
	return newError(http.StatusGone, CodeAnswerNotKept, "the request with this Idempotency-Key ran and its answer was too large to keep: look its result up at the service").withRun(RunRan)
}

func errClaimUnavailable(delay time.Duration) *Error {
	return newError(http.StatusServiceUnavailable, CodeClaimUnavailable, "the request could not be recorded, so it was not sent: retry after the time in Retry-After").retryIn(delay)
}

func errNotReady() *Error {
	return newError(http.StatusServiceUnavailable, CodeNotReady, "this host has no configuration yet: retry at another host").retryIn(time.Second)
}

func errInternal() *Error {
	return newError(http.StatusInternalServerError, CodeInternal, "the host failed: report the request_id to your operator").withRun(RunUnknown)
}
