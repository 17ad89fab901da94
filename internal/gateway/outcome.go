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

// statusError reports an endpoint's answer with an HTTP status other than
// success.
type statusError struct {
	status int
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("the endpoint answered with status %d", e.status)
}

// finalError marks an error after which no further attempt may be made.
type finalError struct {
	cause error
}

// Error implements error.
func (e *finalError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *finalError) Unwrap() error { return e.cause }

func final(err error) bool {
	var f *finalError
	return errors.As(err, &f)
}

// outcomeOf tells what an attempt's end says of its endpoint.
func outcomeOf(ctx context.Context, err error) endpoint.Outcome {
	var status *statusError
	switch {
	case err == nil:
		return endpoint.OutcomeAnswered
	case errors.As(err, &status) && status.status == http.StatusConflict:
		return endpoint.OutcomeCancelled // it can't resume, which is no failure
	case ctx.Err() != nil || final(err):
		return endpoint.OutcomeCancelled
	default:
		return endpoint.OutcomeFailed
	}
}

// endOf tells what an attempt's failure means for the request.
func endOf(ctx context.Context, err error) repeat.Outcome {
	switch {
	case final(err):
		return repeat.Final
	case ctx.Err() != nil:
		return repeat.CallerGone
	default:
		return repeat.Unknown
	}
}

// outcome returns the answer to a request whose last attempt failed.
func (gen *generation) outcome(ctx context.Context, err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	var status *statusError
	if final(err) && errors.As(err, &status) {
		return errEndpointRefused(status.status).withRun(RunRan)
	}
	if ctx.Err() != nil {
		return ended(ctx, gen.runState())
	}
	if gen.sink.started() {
		return errAnswerCut()
	}
	return errEndpointFailed(gen.runState())
}

// runState tells what is known of the request's run.
func (gen *generation) runState() Run {
	switch {
	case !gen.request.sent:
		return RunNot
	case gen.next > 0:
		return RunRan
	default:
		return RunUnknown
	}
}

// admissionFailure is the answer to a request that left the queue unserved.
func (r *request) admissionFailure(ctx context.Context, refusal *admission.Refusal, err error) *Error {
	run := RunNot
	if r.sent {
		run = RunUnknown
	}
	switch {
	case err != nil:
		return ended(ctx, run)
	case refusal == nil:
		return nil
	case refusal.Reason == admission.ReasonNoEndpoint:
		return errNoEndpoint(refusal.RetryAfter).withRun(run)
	default:
		return errOverloaded(refusal.RetryAfter).withRun(run)
	}
}

// ended is the answer to a request whose context ended.
func ended(ctx context.Context, run Run) *Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return errTimeout(run)
	}
	return errCallerGone(run)
}

// fail ends the request with an error, in the stream if one has begun.
func (gen *generation) fail(failure *Error) error {
	if !gen.sink.started() {
		return failure
	}
	return gen.sink.abort(failure)
}

func routeInputs(sl *slot) []*apiv1.Input {
	return []*apiv1.Input{
		{Name: "load", Value: strconv.FormatFloat(sl.state.Load(), 'f', 1, 64)},
		{Name: "capacity", Value: strconv.Itoa(sl.state.Capacity())},
		{Name: "waited_ms", Value: formatInt(sl.waited.Milliseconds())},
		{Name: "zone", Value: sl.state.Config.GetZone()},
	}
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// abortConnection ends the caller's connection without the mark of a whole
// answer. net/http takes this panic without a log line.
func abortConnection() { panic(http.ErrAbortHandler) }
