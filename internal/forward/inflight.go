package forward

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/detour"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/quarantine"
	"bilberryslip.example/bilberryslip/internal/reach"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/retry"
	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

const (
	// responseGrace is how long after the caller's deadline the endpoint's own
	// response is still awaited. It covers the network latency of the response.
	responseGrace = 60 * time.Millisecond
	// configurationRetryAfter is when to retry if this host has no configuration;
	// another host most likely has one.
	configurationRetryAfter = 200 * time.Millisecond
	// capacityRetryAfter is when to retry if no endpoint takes the request: about
	// the time in which a batch frees a slot.
	capacityRetryAfter = 300 * time.Millisecond
	// loadRetryAfter is when to retry if the model has to be loaded first.
	loadRetryAfter = 1500 * time.Millisecond
	// restartRetryAfter is when to retry if no endpoint of the required software is left:
	// about the time in which an endpoint restarts.
	restartRetryAfter = 1500 * time.Millisecond
	// evacuationRetryAfter is when to retry if all endpoints are in evacuated zones. Zones
	// stay evacuated for much longer; endpoints may start in another zone.
	evacuationRetryAfter = 2 * time.Second
	// maxDials limits the number of endpoints tried that could not be reached.
	maxDials = 4
)

// errDeadline is the cancellation cause once the caller's deadline has passed.
var errDeadline = errors.New("the caller's deadline has passed")

// inflightCall is the state of one call while it is served.
type inflightCall struct {
	forwarder *Forwarder
	call      *Call
	ctx       context.Context
	writer    http.ResponseWriter
	// abort ends ctx.
	abort   context.CancelCauseFunc
	started time.Time
	// version is the version of the configuration that the call is served with.
	version      int64
	route        *traffic.Route
	service      string
	engine       bool
	organisation *traffic.Organisation
	// deadline is when the caller stops waiting.
	deadline time.Time
	// suspects are what may be to blame for crashes, as suspectsOf returns them.
	suspects []quarantine.Suspect

	// software is the software version of the endpoint of the last attempt.
	software string
	// boundTo is the software version that began the stream, at which alone it may go on;
	// empty before its first event.
	boundTo string
	// endStream is called when the call ends.
	endStream func()
	// tried holds the identifiers of the endpoints tried.
	tried []string
	// attempts counts the attempts by whether the endpoint was reached.
	attempts repeat.Attempts
	// mayHaveRun is set once an endpoint may have started to run the request.
	mayHaveRun bool
	// responseStarted is set once the response header was written to the caller.
	responseStarted bool
	// namesEvents is set if the header of that response names the media type of events.
	namesEvents bool
	// received is what the caller has received of a resumable stream.
	received receivedEvents
	// events is the number of complete events in the stream of the last attempt.
	events int
	// framing is the framing of the last response whose body was read.
	framing upstream.Framing
	// unacknowledged is how much of the last attempt's request its endpoint's host had not
	// acknowledged when the attempt ended without a response, in bytes; -1 if unknown.
	unacknowledged int
	// status is the status of the relayed response.
	status int
	// firstByte is the time from started to the response header; zero before it.
	firstByte time.Duration
	// via is the peer by way of which the last attempt was sent; empty for none. detour
	// is its connection; nil before it stands.
	via    string
	detour *detour.Conn
	// attemptCtx is the context of the last attempt.
	attemptCtx context.Context
	// wait is the last attempt's wait on this host's own path; nil if it goes by way of a
	// peer.
	wait     *reach.Wait
	progress progress
	// lastReason is why the last choice of an endpoint failed; ReasonNone if it
	// succeeded.
	lastReason fleet.Reason
}

// serve charges the quota, then attempts the call on endpoints until it succeeds
// or may not be retried.
func (x *inflightCall) serve() error {
	if err := x.checkAwaited(); err != nil {
		return x.finalError(repeat.CallerGone, err)
	}
	if refusal := x.checkShutdown(); refusal != nil {
		return refusal
	}
	if refusal := x.checkHeld(); refusal != nil {
		return refusal
	}
	if refusal := x.bindTakenUp(); refusal != nil {
		return refusal
	}
	refund, failure := x.takeQuota()
	if failure != nil {
		return failure
	}
	defer func() {
		if !x.mayHaveRun {
			refund()
		}
	}()
	x.recordDemand()
	x.forwarder.config.Retry.RecordRequest(x.service)
	for {
		attempt, failure := x.startAttempt()
		if failure != nil {
			return failure
		}
		outcome, err := x.send(attempt)
		if outcome == repeat.Final {
			return nil
		}
		if errors.Is(err, errZoneEvacuated) {
			continue // nothing was sent, and the zone is left out from now on
		}
		if !x.inVain(err) && x.mayGoOn() && x.shouldRetry(outcome) {
			continue
		}
		return x.finalError(outcome, err)
	}
}

// takeQuota charges the call's tokens to the organisation and returns a function
// that refunds them.
func (x *inflightCall) takeQuota() (func(), error) {
	if x.organisation == nil || x.organisation.TokensPerSecond <= 0 {
		return func() {}, nil
	}
	tokens := x.call.Tokens(x.organisation.DefaultTokens)
	quotas := x.forwarder.config.Quota
	if d := quotas.Take(x.organisation.Name, tokens); !d.Granted {
		x.log().WithFields(logrus.Fields{
			"organisation": x.organisation.Name, "tokens": tokens, "used": int64(d.Used), "limit": int64(d.Limit),
			"at_once": int64(d.Level), "unreported": int64(d.Unreported), "part": d.LimitFraction,
		}).Info("over the rate")
		return nil, newRefusal(ReasonOverRate, d.RetryAfter)
	}
	return func() { quotas.Refund(x.organisation.Name, tokens) }, nil
}

func (x *inflightCall) recordDemand() {
	if placer := x.forwarder.config.Holdings; placer != nil && x.call.Model != "" {
		placer.RecordDemand(x.service, x.call.Model, x.call.Adapter, x.call.PromptTokens+x.call.OutputTokens)
	}
}

func (x *inflightCall) work() fleet.Work {
	work := fleet.Work{
		Service: x.service, Model: x.call.Model, Adapter: x.call.Adapter,
		PromptSegments: x.call.PromptSegments, PromptTokens: x.call.PromptTokens, Software: x.boundTo, Tried: x.tried,
	}
	if x.route.Resumable && x.boundTo == "" {
		work.BeginAt = x.forwarder.config.Origins.MayBegin(x.service)
	}
	return work
}

// unsettledTries and unsettledPause bound the wait until streams may begin at a software
// version that has just appeared, and no other one is left: 0.5 s. In fleets of up to 24
// hosts, which report every 0.2 s, it mostly takes less.
const (
	unsettledTries = 10
	unsettledPause = 50 * time.Millisecond
)

// startAttempt chooses an endpoint and starts an attempt on it. If no endpoint
// holds the model or adapter, it first waits for one to load it.
func (x *inflightCall) startAttempt() (*fleet.Attempt, error) {
	attempt, reason := x.forwarder.config.Endpoints.Start(x.work())
	for tries := 0; reason == fleet.ReasonSoftwareUnsettled && tries < unsettledTries && retry.Sleep(x.ctx, unsettledPause); tries++ {
		attempt, reason = x.forwarder.config.Endpoints.Start(x.work())
	}
	// An adapter can only be loaded on an endpoint that holds its model.
	for _, missing := range []fleet.Reason{fleet.ReasonModelNotHeld, fleet.ReasonAdapterNotHeld} {
		if reason == missing && x.awaitHeld(missing) {
			attempt, reason = x.forwarder.config.Endpoints.Start(x.work())
		}
	}
	x.lastReason = reason
	// A segment may have been held back since the last attempt or during the wait.
	refusal := x.checkHeld()
	if refusal == nil && !x.responseStarted {
		refusal = x.checkShutdown()
	}
	if refusal != nil && attempt != nil {
		attempt.Finish(endpoint.OutcomeCancelled)
	}
	switch {
	case refusal == nil && reason == fleet.ReasonNone:
		return attempt, nil
	case x.responseStarted:
		return nil, ErrTruncated
	case x.mayHaveRun:
		return nil, &Failure{Reason: ReasonEndpointFailed}
	case refusal != nil:
		return nil, refusal
	case reason == fleet.ReasonBackoff:
		return nil, newRefusal(ReasonOverloaded, cmp.Or(x.forwarder.config.Endpoints.RemainingBackoff(x.work()), capacityRetryAfter))
	case reason == fleet.ReasonZoneEvacuated:
		return nil, newRefusal(ReasonZoneEmptied, evacuationRetryAfter)
	case reason == fleet.ReasonSoftwareUnsettled:
		return nil, newRefusal(ReasonNoEndpoint, capacityRetryAfter)
	case reason == fleet.ReasonOtherSoftware:
		return nil, newRefusal(ReasonVersionGone, restartRetryAfter)
	case reason == fleet.ReasonModelNotHeld || reason == fleet.ReasonAdapterNotHeld:
		return nil, newRefusal(ReasonNotHeld, loadRetryAfter)
	default:
		return nil, newRefusal(ReasonNoEndpoint, capacityRetryAfter)
	}
}

// errZoneEvacuated means that an endpoint's zone was evacuated after the endpoint was chosen.
var errZoneEvacuated = errors.New("the endpoint's availability zone is evacuated")

// checkAwaited returns an error, and ends the call's context with it, if nobody waits for the
// call any more: its deadline has passed or its caller has left.
func (x *inflightCall) checkAwaited() error {
	switch {
	case !x.forwarder.config.Clock().Before(x.deadline):
		x.abort(errDeadline)
	case x.call.CallerEnded != nil && x.call.CallerEnded():
		x.abort(errCallerGone)
	}
	return context.Cause(x.ctx)
}

// checkSend returns an error if an attempt must send nothing any more.
func (x *inflightCall) checkSend(attempt *fleet.Attempt) error {
	if err := x.checkAwaited(); err != nil {
		return err
	}
	if x.forwarder.config.Endpoints.Evacuated(attempt.Endpoint.Zone) {
		return errZoneEvacuated
	}
	return nil
}

// awaitHeld waits until an endpoint may hold the model or adapter that none
// holds. It returns false if that takes too long.
func (x *inflightCall) awaitHeld(missing fleet.Reason) bool {
	placer := x.forwarder.config.Holdings
	if placer == nil {
		return false
	}
	work := x.work()
	if missing == fleet.ReasonModelNotHeld {
		work.Adapter = ""
	}
	return placer.AwaitHeld(x.ctx, work)
}

// send sends the request to one endpoint and relays the response.
func (x *inflightCall) send(attempt *fleet.Attempt) (repeat.Outcome, error) {
	x.tried, x.software = append(x.tried, attempt.Endpoint.ID), attempt.Endpoint.Software
	x.events = 0
	x.progress.endpoint.Store(&attempt.Endpoint.ID)
	codec := x.forwarder.config.Codec
	message := upstream.Message{
		Method: x.call.Method, Target: x.call.Target, Host: cmp.Or(x.call.Authority, x.call.Host), ID: x.call.ID,
		EncodeHeader: func() http.Header {
			writtenAt := x.forwarder.config.Clock()
			x.progress.writtenAt.Store(&writtenAt)
			return codec.Encode(x.call, x.attemptParams(attempt))
		},
		Body: x.call.Body, Dedicated: !x.route.MayRepeat() || x.call.ID == "", // nothing tells the response from others
	}
	message.Check = func() error { return x.checkSend(attempt) }
	x.chooseWay(attempt, &message)
	belongs := func(header http.Header) bool { return codec.Belongs(x.call, header) }
	sentAt := x.forwarder.config.Clock()
	x.progress.sentAt.Store(&sentAt)
	ctx, end := x.beginOnPath()
	defer end()
	x.attemptCtx = ctx
	exchange, err := x.forwarder.config.Upstream.Send(ctx, attempt.Endpoint.Address, message, belongs)
	if err != nil {
		return x.handleSendError(attempt, err)
	}
	defer exchange.Close()
	x.recordReceived()
	x.attempts.Sent++
	x.recordAnswer(attempt, sentAt)
	return x.handleResponse(attempt, exchange)
}

func (x *inflightCall) attemptParams(attempt *fleet.Attempt) AttemptParams {
	params := AttemptParams{
		Endpoint:    attempt.Endpoint.ID,
		Remaining:   x.deadline.Sub(x.forwarder.config.Clock()),
		Rank:        x.rank(),
		ResumeAfter: x.received.lastID,
		Engine:      x.engine,
	}
	if x.organisation != nil {
		params.Organisation = x.organisation.Name
	}
	return params
}

func (x *inflightCall) handleSendError(attempt *fleet.Attempt, err error) (repeat.Outcome, error) {
	var notSent *upstream.NotSentError
	wasNotSent := errors.As(err, &notSent)
	if !wasNotSent {
		x.attempts.Sent++
		x.mayHaveRun = true
		x.recordUnacknowledged(err)
	}
	if x.ctx.Err() != nil {
		attempt.Finish(endpoint.OutcomeCancelled)
		return repeat.CallerGone, err
	}
	if errors.Is(err, errZoneEvacuated) {
		attempt.Finish(endpoint.OutcomeCancelled)
		x.logAttempt(attempt, "zone evacuated before the request was sent", err)
		return repeat.NotReached, err
	}
	attempt.Finish(chargeTo(err))
	x.forwarder.config.Upstream.CloseIdle(attempt.Endpoint.Address)
	x.logAttempt(attempt, "endpoint failed", err)
	if wasNotSent {
		x.attempts.DialFailures++
		x.recordUnreached(attempt, err)
		return repeat.NotReached, err
	}
	if !errors.Is(err, errPathCut) && !x.recordOversized(err) {
		x.recordPathFailure()
		x.recordBreak(attempt)
	}
	return repeat.Unknown, err
}

// handleResponse checks the header of a response and relays the response.
func (x *inflightCall) handleResponse(attempt *fleet.Attempt, exchange *upstream.Exchange) (repeat.Outcome, error) {
	reply := x.forwarder.config.Codec.Decode(exchange.Response)
	if reply.Load != nil {
		attempt.RecordLoad(*reply.Load)
	}
	attempt.RecordLimit(reply.Limit)
	attempt.RecordCold(reply.Cold)
	attempt.RecordBrittle(reply.Brittle)
	if reply.Leaving {
		attempt.RecordLeaving()
	}
	if reply.Backoff > 0 {
		attempt.RecordBackoff(reply.Backoff)
	}
	x.tellPeer(attempt, reply)
	if reply.NotRun {
		return x.handleRefusal(attempt, exchange, reply)
	}
	x.mayHaveRun = true
	attempt.ResponseStarted()
	if reply.ClaimsNotRun {
		return x.handleFalseClaim(attempt, exchange)
	}
	if reply.Encoded || exchange.Response.StatusCode < http.StatusMultipleChoices && !reply.Signed {
		attempt.Finish(endpoint.OutcomeFailed)
		err := errors.Newf("response with status %d was not produced by the endpoint", exchange.Response.StatusCode)
		x.logAttempt(attempt, "answer discarded", err)
		return repeat.Unknown, err
	}
	if mismatch := x.checkContinuation(exchange.Response); mismatch != nil {
		return x.rejectContinuation(attempt, mismatch)
	}
	x.framing = exchange.Framing()
	if x.relaysAsStream(exchange.Response) {
		return x.relayStream(attempt, exchange)
	}
	return x.relayBuffered(attempt, exchange)
}

// handleRefusal records the outcome of an attempt that the endpoint did not run. It leaves
// the body unread, so that the connection is closed: an endpoint that repeats the refusal
// there can't reach a later attempt.
func (x *inflightCall) handleRefusal(attempt *fleet.Attempt, exchange *upstream.Exchange, reply Reply) (repeat.Outcome, error) {
	outcome := endpoint.OutcomeCancelled // refusing because it is full is not a failure
	if reply.WrongEndpoint {
		x.forwarder.config.Endpoints.RecordHeld(attempt.Endpoint.ID, x.call.Model, x.call.Adapter, false)
		outcome = endpoint.OutcomeFailed
	} else {
		attempt.RecordRejection()
	}
	attempt.Finish(outcome)
	err := errors.Newf("endpoint %s did not run the request: status %d", attempt.Endpoint.ID, exchange.Response.StatusCode)
	x.logAttempt(attempt, "endpoint refused", err)
	return repeat.NotRun, err
}

// handleFalseClaim records the outcome of an attempt whose status must not reach the
// caller, since the request may have run. Its response is not relayed in any case: without
// the status, it is not the endpoint's.
func (x *inflightCall) handleFalseClaim(attempt *fleet.Attempt, exchange *upstream.Exchange) (repeat.Outcome, error) {
	attempt.Finish(endpoint.OutcomeFailed)
	err := errors.Newf("endpoint %s answered with status %d, but did not say that the request has not run", attempt.Endpoint.ID, exchange.Response.StatusCode)
	x.logAttempt(attempt, "endpoint answered with an error", err)
	return repeat.Unknown, err
}
