package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/admission"
	"bilberryslip.example/bilberryslip/internal/httpserver"
	"bilberryslip.example/bilberryslip/internal/invariant"
)

// The HTTP headers of the callers' API.
const (
	HeaderRequestID        = "X-Request-Id"
	HeaderDecisionID       = "X-Decision-Id"
	HeaderRequestClass     = "X-Request-Class"
	HeaderRequestTimeout   = "X-Request-Timeout-Ms"
	HeaderIdempotencyKey   = "Idempotency-Key"
	HeaderIdempotentReplay = "X-Idempotent-Replay"
)

// request is a caller's request while it is being served.
type request struct {
	gateway *Gateway
	echo    echo.Context
	http    *http.Request
	id      string
	// started is when this host's kernel had received the request, from which its time counts.
	started time.Time
	caller  caller
	class   admission.Class
	// mu guards the fields that a state dump reads: caller, model and
	// lastEndpoint.
	mu sync.Mutex
	// model is the requested model or adapter, or the service.
	model string
	// decisionID is the identifier of the last routing decision.
	decisionID string
	// sent is set before the first byte is sent to an endpoint, and cleared if
	// it turns out that none was sent.
	sent bool
	// lastEndpoint is the endpoint of the last attempt.
	lastEndpoint string
	// abort cancels the request's context with a cause.
	abort context.CancelCauseFunc
}

func (g *Gateway) newRequest(c echo.Context) *request {
	ctx, abort := context.WithCancelCause(c.Request().Context())
	started := g.config.Clock()
	if conn, ok := httpserver.ConnectionOf(ctx); ok && !conn.ReceivedAt.IsZero() {
		started = started.Add(-time.Since(conn.ReceivedAt))
	}
	return &request{
		gateway: g,
		echo:    c,
		http:    c.Request().WithContext(ctx),
		id:      uuid.NewString(),
		started: started,
		abort:   abort,
	}
}

// checkSend returns an error if the request must not be sent any more after it has waited
// for a slot: its caller's key was withdrawn, or the caller has left.
func (r *request) checkSend(run RunState) *Error {
	if failure := r.gateway.checkNotWithdrawn(r.caller); failure != nil {
		return failure.withRun(run)
	}
	if httpserver.CallerEnded(r.http.Context()) {
		return errCallerGone(run)
	}
	return nil
}

// detach returns a copy of the request without the caller's connection, for a
// call that continues after the caller disconnects. abort cancels the call.
func (r *request) detach(abort context.CancelCauseFunc) *request {
	return &request{
		abort:   abort,
		gateway: r.gateway, http: r.http, id: r.id, started: r.started, caller: r.caller,
		class: r.class, model: r.model, lastEndpoint: r.lastEndpoint, sent: r.sent, decisionID: r.decisionID,
	}
}

// mergeDetached copies the results of a detached copy that has ended.
func (r *request) mergeDetached(detached *request) {
	r.sent = detached.sent
	r.decisionID = detached.decisionID
	r.setEndpoint(detached.lastEndpoint)
}

// track returns an echo handler that runs handle and tracks the request as
// running meanwhile.
func (g *Gateway) track(handle func(*request) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := g.newRequest(c)
		defer r.abort(context.Canceled)
		g.running.add(r)
		defer g.running.remove(r)
		c.Response().Header().Set(HeaderRequestID, r.id)
		err := handle(r)
		r.finish(err)
		return nil
	}
}

// finish sends the error response, if any, and logs the end of the request.
func (r *request) finish(err error) {
	if err == nil {
		r.logEnd("served", nil)
		return
	}
	var failure *Error
	if !errors.As(err, &failure) {
		failure = errInternal()
		logrus.WithField("request", r.id).WithError(err).Error("request failed with an internal error")
	}
	r.respondError(failure)
}

// errorBody is an error response in the format of the OpenAI API, extended by
// the run state and identifiers.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the error object of an errorBody.
type errorDetail struct {
	Message    string    `json:"message"`
	Type       string    `json:"type"`
	Code       ErrorCode `json:"code"`
	Param      *string   `json:"param"`
	Run        RunState  `json:"run"`
	DecisionID string    `json:"decision_id,omitempty"`
	RequestID  string    `json:"request_id"`
}

func (r *request) errorBody(failure *Error, decisionID string) errorBody {
	detail := errorDetail{
		Message:    failure.Message,
		Type:       failure.Type(),
		Code:       failure.Code,
		Run:        failure.Run,
		DecisionID: decisionID,
		RequestID:  r.id,
	}
	if failure.Param != "" {
		detail.Param = &failure.Param
	}
	return errorBody{Error: detail}
}

// respondError records the refusal of a request and sends the error response.
func (r *request) respondError(failure *Error) {
	invariant.Assert(failure.Run != RunStateNotRun || !r.sent, invariant.NotRunIsTrue,
		logrus.Fields{"request": r.id, "code": failure.Code})
	decisionID := r.recordDecision(apiv1.DecisionKind_DECISION_KIND_REFUSE, string(failure.Code), r.lastEndpoint, r.refusalInputs(failure))
	r.gateway.metrics.refused(failure)
	r.logEnd("refused", failure)
	header := r.echo.Response().Header()
	header.Set(HeaderRequestID, r.id)
	setIfNotEmpty(header, HeaderDecisionID, decisionID)
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", failure.retryAfterHeader())
	}
	if err := r.echo.JSON(failure.Status, r.errorBody(failure, decisionID)); err != nil {
		logrus.WithField("request", r.id).WithError(err).Debug("failed to write error response to caller")
	}
}

// recordRoute records the routing decision for an attempt at a slot's endpoint.
func (r *request) recordRoute(sl *slot) {
	r.setEndpoint(sl.attempt.Endpoint())
	r.decisionID = r.recordDecision(apiv1.DecisionKind_DECISION_KIND_ROUTE, "chosen", sl.attempt.Endpoint(), routeDecisionInputs(sl))
}

// setDecisionHeader sets the response header with the identifier of the routing
// decision.
func (r *request) setDecisionHeader() {
	setIfNotEmpty(r.echo.Response().Header(), HeaderDecisionID, r.decisionID)
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func (r *request) refusalInputs(failure *Error) []*apiv1.Input {
	return []*apiv1.Input{
		{Name: "run", Value: string(failure.Run)},
		{Name: "status", Value: strconv.Itoa(failure.Status)},
		{Name: "retry_after_seconds", Value: failure.retryAfterHeader()},
	}
}

// recordDecision records a decision about the request and returns the
// decision's identifier, or an empty string if there is no recorder.
func (r *request) recordDecision(kind apiv1.DecisionKind, reason, endpointName string, inputs []*apiv1.Input) string {
	if r.gateway.config.Recorder == nil {
		return ""
	}
	return r.gateway.config.Recorder.Record(&apiv1.Decision{
		Kind:         kind,
		Organisation: r.caller.organisation.GetName(),
		Model:        r.model,
		Endpoint:     endpointName,
		RequestId:    r.id,
		Reason:       reason,
		Inputs:       inputs,
	})
}

// logEnd counts and logs the end of a request. The event is "served", "refused"
// or "cut".
func (r *request) logEnd(event string, failure *Error) {
	elapsed := r.gateway.config.Clock().Sub(r.started)
	fields := logrus.Fields{
		"request":      r.id,
		"organisation": r.caller.organisation.GetName(),
		"model":        r.model,
		"endpoint":     r.lastEndpoint,
		"duration_ms":  elapsed.Milliseconds(),
	}
	if failure != nil {
		fields["code"] = failure.Code
		fields["run"] = failure.Run
	}
	r.gateway.metrics.finished(event, elapsed)
	logrus.WithFields(fields).Info("request " + event)
}

// readBody reads the request's body, limited by MaxBodyBytes and ReadTimeout.
func (r *request) readBody() ([]byte, *Error) {
	limit := r.gateway.config.MaxBodyBytes
	if r.http.ContentLength > limit {
		return nil, errBodyTooLarge(limit)
	}
	control := http.NewResponseController(r.echo.Response())
	// The error is ignored: only response writers of tests don't support
	// deadlines.
	_ = control.SetReadDeadline(time.Now().Add(r.gateway.config.ReadTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	defer context.AfterFunc(r.http.Context(), func() { _ = control.SetReadDeadline(time.Now().Add(abortedReadTimeout)) })()
	body, err := io.ReadAll(http.MaxBytesReader(r.echo.Response(), r.http.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errBodyTooLarge(limit)
	}
	if err != nil && isAborted(r.http.Context()) {
		return nil, errStopping()
	}
	if err != nil {
		return nil, errBodyIncomplete()
	}
	return body, nil
}

// parseClass sets the request's class from its header.
func (r *request) parseClass() *Error {
	switch r.http.Header.Get(HeaderRequestClass) {
	case "", admission.Interactive.String():
		r.class = admission.Interactive
	case admission.Batch.String():
		r.class = admission.Batch
	default:
		return errHeaderInvalid(HeaderRequestClass, "send interactive or batch")
	}
	return nil
}

// maxTimeout is the longest timeout that a caller may request.
const maxTimeout = 24 * time.Hour

// withTimeout returns a context with the shorter of the configured
// RequestTimeout and the timeout in the caller's header, if any.
func (r *request) withTimeout(ctx context.Context) (context.Context, context.CancelFunc, *Error) {
	longest := r.gateway.config.RequestTimeout
	value := r.http.Header.Get(HeaderRequestTimeout)
	if value == "" {
		ctx, cancel := context.WithTimeout(ctx, longest-r.age())
		return ctx, cancel, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis < 1 || millis > maxTimeout.Milliseconds() {
		return nil, nil, errHeaderInvalid(HeaderRequestTimeout, "send whole milliseconds from 1 to 86400000")
	}
	ctx, cancel := context.WithTimeout(ctx, min(longest, time.Duration(millis)*time.Millisecond)-r.age())
	return ctx, cancel, nil
}

// age returns the time since the request was received.
func (r *request) age() time.Duration { return r.gateway.config.Clock().Sub(r.started) }

// queueDeadline returns the time until which the request may wait in the queue.
func (r *request) queueDeadline(ctx context.Context) time.Time {
	wait := r.gateway.config.MaxInteractiveWait
	if r.class == admission.Batch {
		wait = r.gateway.config.MaxBatchWait
	}
	deadline := r.started.Add(wait)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		return limit
	}
	return deadline
}
