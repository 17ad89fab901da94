package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/admission"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/invariant"
	"bilberryslip.example/bilberryslip/internal/ratelimit"
	"bilberryslip.example/bilberryslip/internal/routing"
)

// maxResumes is the maximum number of consecutive resumes of a stream that
// makes no progress.
const maxResumes = 3

// generation runs one completion request, in one or more attempts.
type generation struct {
	request     *request
	completion  *completion
	target      target
	body        []byte
	prefixHash  uint64
	weight      float64
	reservation ratelimit.Reservation
	sink        sink

	// tried lists the endpoints at which an attempt has failed.
	tried []string
	// attemptID is the identifier of the last attempt whose response was
	// accepted, and nextOffset the offset of the next expected event.
	attemptID  string
	nextOffset int64
	// resumeRefused is set if the engine can't continue the stream.
	resumeRefused bool
	// consumedTokens counts the tokens consumed from the reservation.
	consumedTokens int64
}

func (gen *generation) gateway() *Gateway { return gen.request.gateway }

// run makes attempts until the response is complete or no retry is allowed.
func (gen *generation) run(ctx context.Context) error {
	for attempts := 1; ; attempts++ {
		sl, failure := gen.acquire(ctx)
		if failure != nil {
			return gen.fail(failure)
		}
		err := gen.runOnSlot(ctx, sl)
		if err == nil {
			return gen.sink.finish()
		}
		failure = gen.responseError(ctx, err)
		if !gen.gateway().retryAllowed(true, attempts, attemptEnd(ctx, err)) {
			return gen.fail(failure)
		}
		gen.prepareRetry(sl.attempt.Endpoint())
	}
}

// prepareRetry prepares an attempt at another endpoint. If part of the response
// has reached the caller, that endpoint must resume the stream at its offset,
// or refuse; otherwise the generation restarts from the beginning.
func (gen *generation) prepareRetry(failedAt string) {
	gen.tried = append(gen.tried, failedAt)
	gen.resumeRefused = false
	if gen.sink.started() {
		gen.gateway().metrics.retries.WithLabelValues("resume_elsewhere").Inc()
		return
	}
	gen.gateway().metrics.retries.WithLabelValues("restart").Inc()
	gen.attemptID, gen.nextOffset = "", 0
	gen.sink.reset()
}

// acquire waits for a slot at an endpoint.
func (gen *generation) acquire(ctx context.Context) (*slot, *Error) {
	r := gen.request
	sl, refusal, err := gen.gateway().scheduler.acquire(ctx, slotRequest{
		requestID: r.id,
		admission: admission.Request{
			Organisation: r.caller.organisation.GetName(),
			Weight:       gen.weight,
			Class:        r.class,
			Resource:     gen.target.name(),
			Tokens:       float64(gen.completion.tokens()),
			Deadline:     r.queueDeadline(ctx),
		},
		routing: gen.routingRequest(),
	})
	if failure := r.admissionError(ctx, refusal, err); failure != nil {
		if gen.sink.started() && isAborted(ctx) {
			return nil, errAnswerCut()
		}
		return nil, failure
	}
	if failure := r.checkSend(gen.runState()); failure != nil {
		gen.gateway().scheduler.finish(sl, endpoint.OutcomeCancelled, 0)
		return nil, failure
	}
	if len(gen.tried) == 0 {
		if failure := gen.gateway().checkShutdown(ctx, gen.completion.size()); failure != nil {
			gen.gateway().scheduler.finish(sl, endpoint.OutcomeCancelled, 0)
			return nil, failure
		}
	}
	gen.gateway().metrics.queueWait.Observe(sl.waited.Seconds())
	return sl, nil
}

func (gen *generation) routingRequest() routing.Request {
	return routing.Request{
		Zone:    gen.gateway().config.Zone,
		Model:   gen.target.model.GetName(),
		Version: gen.target.model.GetServingVersion(),
		Adapter: gen.target.adapter.GetName(),
		Prefix:  gen.prefixHash,
		Tried:   gen.tried,
	}
}

// runOnSlot runs the generation at the slot's endpoint. If the stream breaks, it
// is resumed there as long as that makes progress.
func (gen *generation) runOnSlot(ctx context.Context, sl *slot) error {
	gen.recordStart(sl)
	err := gen.stream(ctx, sl.attempt, len(gen.tried) > 0)
	gen.gateway().scheduler.finish(sl, attemptOutcome(ctx, err), gen.consumedTokens)
	for resumes := 0; gen.canResume(ctx, err) && resumes < maxResumes; resumes++ {
		before := gen.nextOffset
		err = gen.resume(ctx, sl.attempt.Endpoint(), err)
		if gen.nextOffset > before {
			resumes = 0
		}
	}
	return err
}

// recordStart records the routing decision and the prompt prefix that the
// endpoint will have cached.
func (gen *generation) recordStart(sl *slot) {
	gen.request.recordRoute(sl)
	if !gen.sink.started() {
		gen.request.setDecisionHeader()
	}
	sl.attempt.RecordCachedPrefix(gen.target.model.GetName(), gen.prefixHash)
}

// canResume reports whether the stream that failed with err can be resumed at
// its endpoint.
func (gen *generation) canResume(ctx context.Context, err error) bool {
	return err != nil && !isFinal(err) && ctx.Err() == nil && gen.nextOffset > 0 && !gen.resumeRefused
}

// resume continues a broken stream at its endpoint, over a new connection.
func (gen *generation) resume(ctx context.Context, name string, cause error) error {
	attempt := gen.gateway().config.Endpoints.Resume(name, gen.completion.maxTokens)
	if attempt == nil {
		return cause
	}
	gen.gateway().metrics.retries.WithLabelValues("resume").Inc()
	err := gen.stream(ctx, attempt, true)
	attempt.Finish(attemptOutcome(ctx, err))
	var status *statusError
	if errors.As(err, &status) {
		gen.resumeRefused = true
		return cause
	}
	return err
}

// stream makes one attempt and forwards its events. If fresh is set, the
// attempt uses a new connection.
func (gen *generation) stream(ctx context.Context, attempt *endpoint.Attempt, fresh bool) error {
	call := gen.newCall(fresh)
	if gen.nextOffset > 0 {
		call.Resume = resumeValue(gen.attemptID, gen.nextOffset)
	}
	gen.request.assertCallPermitted(call, gen.target.permits(gen.request.caller.organisation.GetName()))
	gen.request.sent = true
	sent := gen.gateway().config.Clock()
	response, err := attempt.Send(ctx, call)
	if err != nil {
		gen.clearSentIfNotSent(err)
		gen.cancelAttempt(attempt, call.AttemptID, err)
		return err
	}
	defer response.Body.Close()
	if response.Status != http.StatusOK {
		return gen.rejectionError(attempt, response)
	}
	events := endpoint.NewEventReader(attempt.Endpoint(), call.AttemptID, gen.nextOffset, response.Body)
	earlierAttempt := gen.attemptID
	gen.attemptID = call.AttemptID
	err = gen.forwardEvents(events, func() {
		attempt.RecordFirstToken(gen.target.model.GetName(), gen.gateway().config.Clock().Sub(sent))
	})
	var notResumed *endpoint.NotResumedError
	if errors.As(err, &notResumed) {
		// The new attempt runs another generation, which must not be resumed.
		gen.attemptID, gen.resumeRefused = earlierAttempt, true
	}
	gen.cancelAttempt(attempt, call.AttemptID, err)
	return err
}

func (gen *generation) newCall(fresh bool) endpoint.Call {
	cfg := gen.gateway().config
	limits := endpoint.ProgressLimits{
		Header: cfg.FirstByteTimeout, ReusedHeader: cfg.ReusedFirstByteTimeout, FirstByte: cfg.FirstByteTimeout, BetweenReads: cfg.ProgressTimeout,
	}
	return endpoint.Call{
		AttemptID:   uuid.NewString(),
		RequestID:   gen.request.id,
		Method:      http.MethodPost,
		Path:        gen.completion.path(),
		ContentType: "application/json",
		Accept:      "text/event-stream",
		Priority:    gen.request.class.String(),
		Body:        gen.body,
		Dedicated:   fresh,
		Limits:      limits,
	}
}

// clearSentIfNotSent clears the request's sent flag if err shows that the first
// attempt sent nothing and there were no others.
func (gen *generation) clearSentIfNotSent(err error) {
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) && gen.nextOffset == 0 && len(gen.tried) == 0 {
		gen.request.sent = false
	}
}

// forwardEvents forwards events to the sink until the final one. It calls
// onFirst at the first event of the generation.
func (gen *generation) forwardEvents(events *endpoint.EventReader, onFirst func()) error {
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if failure := gen.gateway().checkNotWithdrawn(gen.request.caller); failure != nil {
			return &finalError{failure.withRun(RunStateRan)}
		}
		if event.Done {
			gen.nextOffset = events.Offset()
			return nil
		}
		if event.Offset == 0 {
			onFirst()
		}
		if err := gen.forwardEvent(event); err != nil {
			return err
		}
		gen.nextOffset = events.Offset()
	}
}

// forwardEvent accounts for one event and writes it to the sink.
func (gen *generation) forwardEvent(event endpoint.Event) error {
	if event.Offset == 0 {
		gen.gateway().metrics.firstToken.Observe(gen.gateway().config.Clock().Sub(gen.request.started).Seconds())
		gen.consumeTokens(gen.completion.promptTokens())
	}
	gen.consumeTokens(1)
	invariant.Assert(event.Offset == gen.nextOffset, invariant.AnswerMatchesAttempt, logrus.Fields{
		"request": gen.request.id, "attempt": gen.attemptID, "offset": event.Offset, "expected": gen.nextOffset,
	})
	return gen.sink.writeEvent(event.Data)
}

// consumeTokens consumes tokens from the reservation, at most as many as were
// reserved.
func (gen *generation) consumeTokens(tokens int64) {
	tokens = min(tokens, gen.completion.tokens()-gen.consumedTokens)
	gen.consumedTokens += tokens
	gen.reservation.Consume(float64(tokens))
	gen.gateway().metrics.tokens.Add(float64(tokens))
}

// rejectionError returns the error for a response with a status other than 200.
// It is final if another engine would reject the request as well.
func (gen *generation) rejectionError(attempt *endpoint.Attempt, response *endpoint.Response) error {
	status := &statusError{status: response.Status}
	switch response.Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return &finalError{status}
	case http.StatusServiceUnavailable:
		if response.Header.Get(headerDraining) == "true" {
			attempt.MarkDraining()
		}
	}
	return status
}

// headerDraining is set to "true" on a 503 response of a draining endpoint.
const headerDraining = "X-Leaving"

// cancelTimeout is the timeout of a request that cancels an attempt.
const cancelTimeout = 2 * time.Second

// cancelAttempt asks the engine, in the background, to stop generating for a
// failed attempt. It does nothing if err is nil or nothing was sent.
func (gen *generation) cancelAttempt(attempt *endpoint.Attempt, id string, err error) {
	var notSent *endpoint.NotSentError
	if err == nil || errors.As(err, &notSent) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// Best effort: the engine also sees the connection close.
		_ = attempt.Cancel(ctx, id)
	}()
}

// resumeValue returns the value of engineapi.HeaderResume.
func resumeValue(attempt string, offset int64) string {
	return attempt + "/" + formatInt(offset)
}
