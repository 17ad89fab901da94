package gateway

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// RunState is whether a rejected or failed request ran at an endpoint. It tells
// the caller whether sending the request again is safe.
type RunState string

const (
	// RunStateNotRun means that no byte of the request was sent to an endpoint.
	RunStateNotRun RunState = "not run"
	// RunStateUnknown means that the request was sent and may have run.
	RunStateUnknown RunState = "unknown"
	// RunStateRan means that an endpoint started to run the request.
	RunStateRan RunState = "ran"
)

// ErrorCode identifies a kind of error to callers. Its values are part of the
// API and don't change.
type ErrorCode string

// The error codes returned to callers.
const (
	CodeKeyMissing            ErrorCode = "key_missing"
	CodeKeyInvalid            ErrorCode = "key_invalid"
	CodeKeyAmbiguous          ErrorCode = "key_ambiguous"
	CodeKeyMisplaced          ErrorCode = "key_misplaced"
	CodeKeyWithdrawn          ErrorCode = "key_withdrawn"
	CodeKeyStateStale         ErrorCode = "key_state_stale"
	CodeNotPermitted          ErrorCode = "not_permitted"
	CodeBodyInvalid           ErrorCode = "body_invalid"
	CodeBodyTooLarge          ErrorCode = "body_too_large"
	CodeParameterInvalid      ErrorCode = "parameter_invalid"
	CodeHeaderInvalid         ErrorCode = "header_invalid"
	CodePathInvalid           ErrorCode = "path_invalid"
	CodePathUnknown           ErrorCode = "path_unknown"
	CodeMethodNotAllowed      ErrorCode = "method_not_allowed"
	CodeModelNotFound         ErrorCode = "model_not_found"
	CodeRouteNotFound         ErrorCode = "route_not_found"
	CodeRateLimitExceeded     ErrorCode = "rate_limit_exceeded"
	CodeOverBurst             ErrorCode = "over_burst"
	CodeRatePolicyMissing     ErrorCode = "rate_policy_missing"
	CodeRateUnavailable       ErrorCode = "rate_unavailable"
	CodeOverloaded            ErrorCode = "overloaded"
	CodeNoEndpoint            ErrorCode = "no_endpoint"
	CodeEndpointFailed        ErrorCode = "endpoint_failed"
	CodeEndpointRefused       ErrorCode = "endpoint_refused"
	CodeAnswerCut             ErrorCode = "answer_cut"
	CodeTimeout               ErrorCode = "timeout"
	CodeIdempotencyKeyMissing ErrorCode = "idempotency_key_missing"
	CodeIdempotencyKeyReused  ErrorCode = "idempotency_key_reused"
	CodeStillRunning          ErrorCode = "still_running"
	CodeOutcomeUnknown        ErrorCode = "outcome_unknown"
	CodeAnswerNotKept         ErrorCode = "answer_not_kept"
	CodeClaimUnavailable      ErrorCode = "claim_unavailable"
	CodeNotReady              ErrorCode = "not_ready"
	CodeStopping              ErrorCode = "stopping"
	CodeCallerGone            ErrorCode = "caller_gone"
	CodeInternal              ErrorCode = "internal"
)

// Error is an error response to a caller. Its message says what the caller can
// do about it and never contains a key.
type Error struct {
	Code    ErrorCode
	Status  int
	Message string
	Run     RunState
	// RetryAfter is how long the caller should wait before a retry. Zero means
	// that a retry doesn't help.
	RetryAfter time.Duration
	// Param is the name of the invalid parameter, if any.
	Param string
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// Type returns the error type of the OpenAI API for the error's status.
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

// retryAfterHeader returns RetryAfter in whole seconds, rounded up.
func (e *Error) retryAfterHeader() string {
	return strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds())))
}

func newError(status int, code ErrorCode, format string, args ...any) *Error {
	return &Error{Code: code, Status: status, Run: RunStateNotRun, Message: fmt.Sprintf(format, args...)}
}

func (e *Error) withRun(run RunState) *Error {
	e.Run = run
	return e
}

func (e *Error) withRetryAfter(delay time.Duration) *Error {
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
		"this host has not learnt of key changes for longer than your organisation's limit of %s: retry, or ask your operator about the host's connection", limit).withRetryAfter(2 * time.Second)
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

func errParameterInvalid(param, format string, args ...any) *Error {
	e := newError(http.StatusBadRequest, CodeParameterInvalid, format, args...)
	e.Param = param
	return e
}

func errHeaderInvalid(name, remedy string) *Error {
	return newError(http.StatusBadRequest, CodeHeaderInvalid, "the header %s is not valid: %s", name, remedy)
}

func errPathInvalid() *Error {
	return newError(http.StatusBadRequest, CodePathInvalid, "the path holds empty, dot or encoded-slash segments, or the query can't be read: send a plain path")
}

func errPathUnknown() *Error {
	return newError(http.StatusNotFound, CodePathUnknown, "no such path: see the API page for the paths that are served")
}

func errMethodNotAllowed() *Error {
	return newError(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "this method is not served here: see the API page")
}

func errModelNotFound(name string) *Error {
	return newError(http.StatusNotFound, CodeModelNotFound, "no model or adapter %q for your organisation: GET /v1/models lists those you may use", name)
}

func errRouteNotFound(service string) *Error {
	return newError(http.StatusNotFound, CodeRouteNotFound, "no route of the service %q matches: ask your operator for its routes", service)
}

func errRateLimitExceeded(delay time.Duration) *Error {
	return newError(http.StatusTooManyRequests, CodeRateLimitExceeded, "your organisation's rate is used up: retry after the time in Retry-After").withRetryAfter(delay)
}

func errOverBurst(tokens float64) *Error {
	return newError(http.StatusBadRequest, CodeOverBurst, "the request of %.0f tokens is over your organisation's burst: ask for fewer tokens, or ask your operator for a larger burst", tokens)
}

func errRatePolicyMissing() *Error {
	return newError(http.StatusForbidden, CodeRatePolicyMissing, "your organisation has no rate policy: ask your operator to create one")
}

func errRateUnavailable() *Error {
	return newError(http.StatusServiceUnavailable, CodeRateUnavailable, "your organisation's rate could not be read: retry after the time in Retry-After").withRetryAfter(time.Second)
}

func errOverloaded(delay time.Duration) *Error {
	return newError(http.StatusServiceUnavailable, CodeOverloaded, "the queue can't serve this request in time: retry after the time in Retry-After").withRetryAfter(delay)
}

func errStopping() *Error {
	return newError(http.StatusServiceUnavailable, CodeStopping, "this host shuts down and can't serve this request to its end: retry on a new connection").withRetryAfter(time.Second)
}

func errNoEndpoint(delay time.Duration) *Error {
	return newError(http.StatusServiceUnavailable, CodeNoEndpoint, "no endpoint can take this request now: retry after the time in Retry-After").withRetryAfter(delay)
}

func errEndpointFailed(run RunState) *Error {
	return newError(http.StatusBadGateway, CodeEndpointFailed, "the endpoint failed: retry after the time in Retry-After").withRun(run).withRetryAfter(time.Second)
}

func errEndpointRefused(status int) *Error {
	return newError(http.StatusBadRequest, CodeEndpointRefused, "the endpoint refused the request with status %d: correct its parameters", status)
}

func errAnswerCut() *Error {
	return newError(http.StatusBadGateway, CodeAnswerCut, "the answer was cut and could not be resumed; what was sent so far is not whole: send the request again").withRun(RunStateRan).withRetryAfter(time.Second)
}

func errTimeout(run RunState) *Error {
	return newError(http.StatusGatewayTimeout, CodeTimeout, "the request's time limit passed: allow more time or ask for fewer tokens").withRun(run)
}

// statusClientClosedRequest is nginx's non-standard status for a client that
// closed its connection. It appears only in logs and metrics.
const statusClientClosedRequest = 499

func errCallerGone(run RunState) *Error {
	return newError(statusClientClosedRequest, CodeCallerGone, "the caller closed the connection before the answer").withRun(run)
}

func errIdempotencyKeyMissing() *Error {
	return newError(http.StatusBadRequest, CodeIdempotencyKeyMissing, "this call may not be repeated: send an Idempotency-Key of your own, unique to the request")
}

func errIdempotencyKeyReused() *Error {
	return newError(http.StatusUnprocessableEntity, CodeIdempotencyKeyReused, "the Idempotency-Key was used for another request: choose a new one")
}

func errStillRunning() *Error {
	return newError(http.StatusConflict, CodeStillRunning, "the request with this Idempotency-Key is still running: repeat it later for its answer").withRun(RunStateUnknown).withRetryAfter(2 * time.Second)
}

func errRepeatOutcomeUnknown() *Error {
	return newError(http.StatusConflict, CodeOutcomeUnknown, "whether the request with this Idempotency-Key ran is unknown: check with the service before you send it under a new key").withRun(RunStateUnknown)
}

func errOutcomeUnknown(status int) *Error {
	return newError(status, CodeOutcomeUnknown, "the request was sent and its answer was lost, so whether it ran is unknown: check with the service before you send it under a new key").withRun(RunStateUnknown)
}

func errStoppedBeforeAnswer() *Error {
	return newError(http.StatusBadGateway, CodeOutcomeUnknown, "this host shut down before the answer came, so whether the request ran is unknown: send it again on a new connection").withRun(RunStateUnknown).withRetryAfter(time.Second)
}

func errAnswerNotKept() *Error {
	return newError(http.StatusGone, CodeAnswerNotKept, "the request with this Idempotency-Key ran and its answer was too large to keep: look its result up at the service").withRun(RunStateRan)
}

func errClaimUnavailable(delay time.Duration) *Error {
	return newError(http.StatusServiceUnavailable, CodeClaimUnavailable, "the request could not be recorded, so it was not sent: retry after the time in Retry-After").withRetryAfter(delay)
}

func errNotReady() *Error {
	return newError(http.StatusServiceUnavailable, CodeNotReady, "this host has no configuration yet: retry at another host").withRetryAfter(time.Second)
}

func errInternal() *Error {
	return newError(http.StatusInternalServerError, CodeInternal, "the host failed: report the request_id to your operator").withRun(RunStateUnknown)
}
