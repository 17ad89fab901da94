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
	"bilberryslip.example/bilberryslip/internal/invariant"
)

// The headers of the callers' contract.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderDecisionID     = "X-Decision-Id"
	HeaderRequestClass   = "X-Request-Class"
	HeaderTimeout        = "X-Request-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplay         = "X-Idempotent-Replay"
)

// request is one caller's request on its way.
type request struct {
	gateway *Gateway
	echo    echo.Context
	http    *http.Request
	id      string
	started time.Time
	caller  caller
	class   admission.Class
	// mu guards what a state dump reads: caller, model and lastEndpoint.
	mu sync.Mutex
	// model is what the caller asked for, or the service.
	model string
	// decisionID is that of the last route decision.
	decisionID string
	// sent is set before the first byte goes to an endpoint.
	sent bool
	// lastEndpoint is where the last attempt went.
	lastEndpoint string
}

func (g *Gateway) newRequest(c echo.Context) *request {
	return &request{
		gateway: g,
		echo:    c,
		http:    c.Request(),
		id:      uuid.NewString(),
		started: g.config.Clock(),
	}
}

// detach returns a request without the caller's connection, for a run that
// goes on when the caller goes away.
func (r *request) detach() *request {
	return &request{
		gateway: r.gateway, http: r.http, id: r.id, started: r.started, caller: r.caller,
		class: r.class, model: r.model, lastEndpoint: r.lastEndpoint, sent: r.sent, decisionID: r.decisionID,
	}
}

// adopt takes over what a detached run has noted.
func (r *request) adopt(detached *request) {
	r.sent = detached.sent
	r.decisionID = detached.decisionID
	r.at(detached.lastEndpoint)
}

// track runs a handler for a request that counts as running.
func (g *Gateway) track(handle func(*request) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := g.newRequest(c)
		g.running.add(r)
		defer g.running.remove(r)
		c.Response().Header().Set(HeaderRequestID, r.id)
		if g.running.draining() {
			c.Response().Header().Set("Connection", "close")
		}
		err := handle(r)
		r.finish(err)
		return nil
	}
}

// finish answers an error, if any, and logs the request's end.
func (r *request) finish(err error) {
	if err == nil {
		r.log("served", nil)
		return
	}
	var failure *Error
	if !errors.As(err, &failure) {
		failure = errInternal()
		logrus.WithField("request", r.id).WithError(err).Error("request failed inside the host")
	}
	r.refuse(failure)
}

// errorBody is the OpenAI error form with the outcome of the run.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Code       Code    `json:"code"`
	Param      *string `json:"param"`
	Run        Run     `json:"run"`
	DecisionID string  `json:"decision_id,omitempty"`
	RequestID  string  `json:"request_id"`
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

// refuse gives the final answer to a request that is not served.
func (r *request) refuse(failure *Error) {
	invariant.Assert(failure.Run != RunNot || !r.sent, invariant.NotRunIsTrue,
		logrus.Fields{"request": r.id, "code": failure.Code})
	decisionID := r.record(apiv1.DecisionKind_DECISION_KIND_REFUSE, string(failure.Code), r.lastEndpoint, r.refusalInputs(failure))
	r.gateway.metrics.refused(failure)
	r.log("refused", failure)
	header := r.echo.Response().Header()
	header.Set(HeaderRequestID, r.id)
	setIfPresent(header, HeaderDecisionID, decisionID)
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", failure.retryAfterHeader())
	}
	if err := r.echo.JSON(failure.Status, r.errorBody(failure, decisionID)); err != nil {
		logrus.WithField("request", r.id).WithError(err).Debug("caller did not take the answer")
	}
}

// route records that an attempt goes to a slot's endpoint.
func (r *request) route(sl *slot) {
	r.at(sl.attempt.Endpoint())
	r.decisionID = r.record(apiv1.DecisionKind_DECISION_KIND_ROUTE, "chosen", sl.attempt.Endpoint(), routeInputs(sl))
}

// showDecision tells the caller the identifier of the route decision.
func (r *request) showDecision() {
	setIfPresent(r.echo.Response().Header(), HeaderDecisionID, r.decisionID)
}

func setIfPresent(header http.Header, name, value string) {
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

// record keeps a decision and returns its identifier.
func (r *request) record(kind apiv1.DecisionKind, reason, endpointName string, inputs []*apiv1.Input) string {
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

func (r *request) log(event string, failure *Error) {
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

// body reads the request's body, within its limits of size and time.
func (r *request) body() ([]byte, *Error) {
	limit := r.gateway.config.MaxBodyBytes
	if r.http.ContentLength > limit {
		return nil, errBodyTooLarge(limit)
	}
	control := http.NewResponseController(r.echo.Response())
	// A writer without deadlines is a test's; the server's has them.
	_ = control.SetReadDeadline(time.Now().Add(r.gateway.config.ReadTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(r.echo.Response(), r.http.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errBodyTooLarge(limit)
	}
	if err != nil {
		return nil, errBodyIncomplete()
	}
	return body, nil
}

// classify reads the request's class.
func (r *request) classify() *Error {
	switch r.http.Header.Get(HeaderRequestClass) {
	case "", admission.Interactive.String():
		r.class = admission.Interactive
	case admission.Batch.String():
		r.class = admission.Batch
	default:
		return errHeader(HeaderRequestClass, "send interactive or batch")
	}
	return nil
}

// maxTimeout bounds the time limit that a caller may ask for.
const maxTimeout = 24 * time.Hour

// withTimeout returns a context under the caller's own time limit, if any,
// and that of the settings.
func (r *request) withTimeout(ctx context.Context) (context.Context, context.CancelFunc, *Error) {
	longest := r.gateway.config.RequestTimeout
	value := r.http.Header.Get(HeaderTimeout)
	if value == "" {
		ctx, cancel := context.WithTimeout(ctx, longest)
		return ctx, cancel, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis < 1 || millis > maxTimeout.Milliseconds() {
		return nil, nil, errHeader(HeaderTimeout, "send whole milliseconds from 1 to 86400000")
	}
	ctx, cancel := context.WithTimeout(ctx, min(longest, time.Duration(millis)*time.Millisecond))
	return ctx, cancel, nil
}

// queueDeadline returns the latest time to leave the queue.
func (r *request) queueDeadline(ctx context.Context) time.Time {
	wait := r.gateway.config.InteractiveWait
	if r.class == admission.Batch {
		wait = r.gateway.config.BatchWait
	}
	deadline := r.started.Add(wait)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		return limit
	}
	return deadline
}
