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

// maxResumes bounds the resumes of a stream that makes no progress.
const maxResumes = 3

// generation is a completion on its way through one or more attempts.
type generation struct {
	request     *request
	asked       *completion
	target      target
	body        []byte
	prefix      uint64
	weight      float64
	reservation ratelimit.Reservation
	sink        sink

	tried []string
	// attempt is the identifier of the last attempt that gave events, and
	// next the offset of the event that is due.
	attempt string
	next    int64
	// resumeRefused is set when the engine can't continue the stream.
	resumeRefused bool
	// consumed is the tokens entered into the reservation.
	consumed int64
}

func (gen *generation) gateway() *Gateway { return gen.request.gateway }

// run makes attempts until the answer is whole or no further one may help.
func (gen *generation) run(ctx context.Context) error {
	for attempts := 1; ; attempts++ {
		sl, failure := gen.acquire(ctx)
		if failure != nil {
			return gen.fail(failure)
		}
		err := gen.runAt(ctx, sl)
		if err == nil {
			return gen.sink.finish()
		}
		failure = gen.outcome(ctx, err)
		if !gen.gateway().retryAllowed(true, attempts, endOf(ctx, err)) {
			return gen.fail(failure)
		}
		gen.moveOn(sl.attempt.Endpoint())
	}
}

// moveOn prepares the attempt at another endpoint. Where something reached
// the caller, that one must resume the stream at its offset and refuses if it
// can't; else it starts anew.
func (gen *generation) moveOn(failedAt string) {
	gen.tried = append(gen.tried, failedAt)
	gen.resumeRefused = false
	if gen.sink.started() {
		gen.gateway().metrics.retries.WithLabelValues("resume_elsewhere").Inc()
		return
	}
	gen.gateway().metrics.retries.WithLabelValues("restart").Inc()
	gen.attempt, gen.next = "", 0
	gen.sink.reset()
}

// acquire waits for a place at an endpoint.
func (gen *generation) acquire(ctx context.Context) (*slot, *Error) {
	r := gen.request
	sl, refusal, err := gen.gateway().scheduler.acquire(ctx, slotRequest{
		requestID: r.id,
		admission: admission.Request{
			Organisation: r.caller.organisation.GetName(),
			Weight:       gen.weight,
			Class:        r.class,
			Resource:     gen.target.name(),
			Tokens:       float64(gen.asked.tokens()),
			Deadline:     r.queueDeadline(ctx),
		},
		routing: gen.routing(),
	})
	if failure := r.admissionFailure(ctx, refusal, err); failure != nil {
		return nil, failure
	}
	if failure := gen.gateway().stillGranted(r.caller); failure != nil {
		gen.gateway().scheduler.finish(sl, endpoint.OutcomeCancelled, 0)
		return nil, failure
	}
	gen.gateway().metrics.queueWait.Observe(sl.waited.Seconds())
	return sl, nil
}

func (gen *generation) routing() routing.Request {
	return routing.Request{
		Zone:    gen.gateway().config.Zone,
		Model:   gen.target.model.GetName(),
		Version: gen.target.model.GetServingVersion(),
		Adapter: gen.target.adapter.GetName(),
		Prefix:  gen.prefix,
		Tried:   gen.tried,
	}
}

// runAt runs the generation at the slot's endpoint and resumes it there for
// as long as that makes progress.
func (gen *generation) runAt(ctx context.Context, sl *slot) error {
	gen.begin(sl)
	err := gen.stream(ctx, sl.attempt, len(gen.tried) > 0)
	gen.gateway().scheduler.finish(sl, outcomeOf(ctx, err), gen.consumed)
	for resumes := 0; gen.resumable(ctx, err) && resumes < maxResumes; resumes++ {
		before := gen.next
		err = gen.resume(ctx, sl.attempt.Endpoint(), err)
		if gen.next > before {
			resumes = 0
		}
	}
	return err
}

// begin records where the request goes.
func (gen *generation) begin(sl *slot) {
	gen.request.route(sl)
	if !gen.sink.started() {
		gen.request.showDecision()
	}
	sl.attempt.RecordCachedPrefix(gen.target.model.GetName(), gen.prefix)
}

func (gen *generation) resumable(ctx context.Context, err error) bool {
	return err != nil && !final(err) && ctx.Err() == nil && gen.next > 0 && !gen.resumeRefused
}

// resume continues the cut stream at its endpoint, over a new connection.
func (gen *generation) resume(ctx context.Context, name string, cause error) error {
	attempt := gen.gateway().config.Endpoints.Resume(name, gen.asked.maxTokens)
	if attempt == nil {
		return cause
	}
	gen.gateway().metrics.retries.WithLabelValues("resume").Inc()
	err := gen.stream(ctx, attempt, true)
	attempt.Finish(outcomeOf(ctx, err))
	var status *statusError
	if errors.As(err, &status) {
		gen.resumeRefused = true
		return cause
	}
	return err
}

// stream makes one attempt and passes its events on.
func (gen *generation) stream(ctx context.Context, attempt *endpoint.Attempt, fresh bool) error {
	call := gen.call(fresh)
	if gen.next > 0 {
		call.Resume = resumeAt(gen.attempt, gen.next)
	}
	gen.request.assertMayRun(call, gen.target.permits(gen.request.caller.organisation.GetName()))
	gen.request.sent = true
	sent := gen.gateway().config.Clock()
	answer, err := attempt.Send(ctx, call)
	if err != nil {
		gen.notSent(err)
		gen.cancelAt(attempt, call.AttemptID, err)
		return err
	}
	defer answer.Body.Close()
	if answer.Status != http.StatusOK {
		return gen.refusedBy(attempt, answer)
	}
	events := endpoint.NewEventReader(attempt.Endpoint(), call.AttemptID, gen.next, answer.Body)
	gen.attempt = call.AttemptID
	err = gen.pass(events, func() {
		attempt.RecordFirstToken(gen.target.model.GetName(), gen.gateway().config.Clock().Sub(sent))
	})
	gen.cancelAt(attempt, call.AttemptID, err)
	return err
}

func (gen *generation) call(fresh bool) endpoint.Call {
	cfg := gen.gateway().config
	limits := endpoint.ProgressLimits{
		Header: cfg.FirstByte, ReusedHeader: cfg.ReusedFirstByte, FirstByte: cfg.FirstByte, BetweenReads: cfg.Between,
	}
	return endpoint.Call{
		AttemptID:   uuid.NewString(),
		RequestID:   gen.request.id,
		Method:      http.MethodPost,
		Path:        gen.asked.path(),
		ContentType: "application/json",
		Accept:      "text/event-stream",
		Priority:    gen.request.class.String(),
		Body:        gen.body,
		Fresh:       fresh,
		Limits:      limits,
	}
}

// notSent takes back that the request was sent, where no attempt was.
func (gen *generation) notSent(err error) {
	var notSent *endpoint.NotSentError
	if errors.As(err, &notSent) && gen.next == 0 && len(gen.tried) == 0 {
		gen.request.sent = false
	}
}

// pass reads events to the final one and hands them on. It calls first at the
// generation's first event.
func (gen *generation) pass(events *endpoint.EventReader, first func()) error {
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if failure := gen.gateway().stillGranted(gen.request.caller); failure != nil {
			return &finalError{failure.withRun(RunRan)}
		}
		if event.Done {
			gen.next = events.Offset()
			return nil
		}
		if event.Offset == 0 {
			first()
		}
		if err := gen.accept(event); err != nil {
			return err
		}
		gen.next = events.Offset()
	}
}

func (gen *generation) accept(event endpoint.Event) error {
	if event.Offset == 0 {
		gen.gateway().metrics.firstToken.Observe(gen.gateway().config.Clock().Sub(gen.request.started).Seconds())
		gen.consume(gen.asked.promptTokens())
	}
	gen.consume(1)
	invariant.Assert(event.Offset == gen.next, invariant.AnswerMatchesAttempt, logrus.Fields{
		"request": gen.request.id, "attempt": gen.attempt, "offset": event.Offset, "expected": gen.next,
	})
	return gen.sink.event(event.Data)
}

// consume enters tokens into the accounts, up to what was reserved.
func (gen *generation) consume(tokens int64) {
	tokens = min(tokens, gen.asked.tokens()-gen.consumed)
	gen.consumed += tokens
	gen.reservation.Consume(float64(tokens))
	gen.gateway().metrics.tokens.Add(float64(tokens))
}

// refusedBy turns an engine's refusal into an error.
func (gen *generation) refusedBy(attempt *endpoint.Attempt, answer *endpoint.Response) error {
	status := &statusError{status: answer.Status}
	switch answer.Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return &finalError{status}
	case http.StatusServiceUnavailable:
		if answer.Header.Get(headerLeaving) == "true" {
			attempt.MarkDraining()
		}
	}
	return status
}

// headerLeaving is an endpoint's word, beside a 503, that it is leaving.
const headerLeaving = "X-Leaving"

// cancelTimeout bounds the order to an engine to stop generating.
const cancelTimeout = 2 * time.Second

// cancelAt tells the engine that nobody waits for the attempt any more.
func (gen *generation) cancelAt(attempt *endpoint.Attempt, id string, err error) {
	var notSent *endpoint.NotSentError
	if err == nil || errors.As(err, &notSent) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// An engine that misses this has seen the connection close.
		_ = attempt.Cancel(ctx, id)
	}()
}

func resumeAt(attempt string, offset int64) string {
	return attempt + "/" + formatInt(offset)
}
