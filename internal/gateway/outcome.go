package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/admission"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/repeat"
)

// statusError is the error for an endpoint's response with an HTTP status other
// than success.
type statusError struct {
	status int
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("the endpoint answered with status %d", e.status)
}

// finalError wraps an error after which the request must not be retried.
type finalError struct {
	cause error
}

// Error implements error.
func (e *finalError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *finalError) Unwrap() error { return e.cause }

// isFinal reports whether err wraps a finalError.
func isFinal(err error) bool {
	var f *finalError
	return errors.As(err, &f)
}

// attemptOutcome returns the outcome of an attempt that ended with err, for the
// endpoint's failure statistics.
func attemptOutcome(ctx context.Context, err error) endpoint.Outcome {
	var status *statusError
	switch {
	case err == nil:
		return endpoint.OutcomeAnswered
	case errors.As(err, &status) && status.status == http.StatusConflict:
		return endpoint.OutcomeCancelled // the engine can't resume, which is not a failure
	case ctx.Err() != nil || isFinal(err):
		return endpoint.OutcomeCancelled
	default:
		return endpoint.OutcomeFailed
	}
}

// attemptEnd classifies the failure of an attempt for the retry decision.
func attemptEnd(ctx context.Context, err error) repeat.Outcome {
	switch {
	case isFinal(err):
		return repeat.Final
	case ctx.Err() != nil:
		return repeat.CallerGone
	default:
		return repeat.Unknown
	}
}

// responseError returns the error response to a request whose last attempt
// failed with err.
func (gen *generation) responseError(ctx context.Context, err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	var status *statusError
	if isFinal(err) && errors.As(err, &status) {
		return errEndpointRefused(status.status).withRun(RunStateRan)
	}
	if gen.sink.started() && (ctx.Err() == nil || isAborted(ctx)) {
		return errAnswerCut()
	}
	if ctx.Err() != nil {
		return contextError(ctx, gen.runState())
	}
	return errEndpointFailed(gen.runState())
}

// runState returns what is known about whether the request ran.
func (gen *generation) runState() RunState {
	switch {
	case !gen.request.sent:
		return RunStateNotRun
	case gen.nextOffset > 0:
		return RunStateRan
	default:
		return RunStateUnknown
	}
}

// admissionError returns the error response to a request that left the queue
// without a slot, or nil if it got one.
func (r *request) admissionError(ctx context.Context, refusal *admission.Refusal, err error) *Error {
	run := RunStateNotRun
	if r.sent {
		run = RunStateUnknown
	}
	switch {
	case err != nil:
		return contextError(ctx, run)
	case refusal == nil:
		return nil
	case refusal.Reason == admission.ReasonNoEndpoint:
		return errNoEndpoint(refusal.RetryAfter).withRun(run)
	default:
		return errOverloaded(refusal.RetryAfter).withRun(run)
	}
}

// contextError returns the error response to a request whose context is done.
func contextError(ctx context.Context, run RunState) *Error {
	if isAborted(ctx) {
		return abortError(run)
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return errTimeout(run)
	}
	return errCallerGone(run)
}

// fail ends the request with an error, which is sent as an event if the
// response stream has started.
func (gen *generation) fail(failure *Error) error {
	if !gen.sink.started() {
		return failure
	}
	return gen.sink.abort(failure)
}

// routeDecisionInputs returns the inputs recorded with a routing decision.
func routeDecisionInputs(sl *slot) []*apiv1.Input {
	return []*apiv1.Input{
		{Name: "load", Value: strconv.FormatFloat(sl.state.Load(), 'f', 1, 64)},
		{Name: "capacity", Value: strconv.Itoa(sl.state.Capacity())},
		{Name: "waited_ms", Value: formatInt(sl.waited.Milliseconds())},
		{Name: "zone", Value: sl.state.Config.GetZone()},
	}
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// abortConnection closes the caller's connection without ending the response,
// so that the caller detects that it is truncated. net/http does not log this
// panic.
func abortConnection() { panic(http.ErrAbortHandler) }
