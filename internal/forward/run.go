package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

const (
	// answerGrace is how long after the caller's limit the endpoint's own
	// answer is still awaited; it covers the way back.
	answerGrace = 60 * time.Millisecond
	// configurationPause is when to ask a host again that has no
	// configuration; another host most likely has one.
	configurationPause = 200 * time.Millisecond
	// capacityPause is when to come back where no endpoint takes the request:
	// about the time in which a batch frees a slot.
	capacityPause = 300 * time.Millisecond
	// loadPause is when to come back for a model that has to be loaded first.
	loadPause = 1500 * time.Millisecond
	// maxDials bounds the endpoints tried that could not be reached at all.
	maxDials = 4
	// maxPlainAnswer bounds an answer that is read whole before it is passed
	// on.
	maxPlainAnswer = 4 << 20
)

// errLimit is the end of the time that the caller waits.
var errLimit = errors.New("the caller's time is over")

// run is one call on its way.
type run struct {
	forwarder    *Forwarder
	call         *Call
	ctx          context.Context
	writer       http.ResponseWriter
	started      time.Time
	version      int64
	route        *traffic.Route
	service      string
	engine       bool
	organisation *traffic.Organisation
	// limit is when the caller stops waiting.
	limit time.Time

	tried []string
	sent  repeat.Sent
	// mayHaveRun is set once an endpoint may have begun to work on it.
	mayHaveRun bool
	// begun is set once the caller has seen a part of the answer.
	begun bool
	// lastEvent is the last whole event that the caller got of a stream.
	lastEvent string
	// status is that of the answer passed on.
	status     int
	firstByte  time.Duration
	lastReason fleet.Reason
}

// serve takes the call through rate, choice and sends.
func (x *run) serve() error {
	giveBack, failure := x.takeQuota()
	if failure != nil {
		return failure
	}
	defer func() {
		if !x.mayHaveRun {
			giveBack()
		}
	}()
	x.noteDemand()
	x.forwarder.config.Retry.Request(x.service)
	for {
		attempt, failure := x.choose()
		if failure != nil {
			return failure
		}
		end, err := x.send(attempt)
		if end == repeat.Over {
			return nil
		}
		if x.again(end) {
			continue
		}
		return x.giveUp(end, err)
	}
}

// takeQuota charges the organisation and returns how to undo that.
func (x *run) takeQuota() (func(), error) {
	if x.organisation == nil || x.organisation.TokensPerSecond <= 0 {
		return func() {}, nil
	}
	tokens := x.call.Tokens(x.organisation.DefaultTokens)
	quotas := x.forwarder.config.Quota
	if d := quotas.Take(x.organisation.Name, tokens); !d.Granted {
		x.log().WithFields(logrus.Fields{
			"organisation": x.organisation.Name, "tokens": tokens, "used": int64(d.Used), "limit": int64(d.Limit),
			"at_once": int64(d.Level), "unreported": int64(d.Unreported), "part": d.Part,
		}).Info("over the rate")
		return nil, refuse(ReasonOverRate, d.RetryAfter)
	}
	return func() { quotas.GiveBack(x.organisation.Name, tokens) }, nil
}

func (x *run) noteDemand() {
	if holdings := x.forwarder.config.Holdings; holdings != nil && x.call.Model != "" {
		holdings.Demand(x.service, x.call.Model, x.call.Adapter, x.call.PromptTokens+x.call.OutputTokens)
	}
}

func (x *run) work() fleet.Work {
	return fleet.Work{
		Service: x.service, Model: x.call.Model, Adapter: x.call.Adapter,
		Parts: x.call.PromptSegments, PromptTokens: x.call.PromptTokens, Tried: x.tried,
	}
}

// choose finds an endpoint, bringing the model or adapter to one where that is
// needed.
func (x *run) choose() (*fleet.Attempt, error) {
	attempt, reason := x.forwarder.config.Endpoints.Start(x.work())
	// A model comes first, its adapter after it.
	for _, missing := range []fleet.Reason{fleet.ReasonModelNotHeld, fleet.ReasonAdapterNotHeld} {
		if reason == missing && x.bring(missing) {
			attempt, reason = x.forwarder.config.Endpoints.Start(x.work())
		}
	}
	x.lastReason = reason
	switch {
	case reason == fleet.ReasonNone:
		return attempt, nil
	case x.begun:
		return nil, ErrBroken
	case x.mayHaveRun:
		return nil, &Failure{Reason: ReasonEndpointFailed}
	case reason == fleet.ReasonModelNotHeld || reason == fleet.ReasonAdapterNotHeld:
		return nil, refuse(ReasonNotHeld, loadPause)
	case reason == fleet.ReasonFull:
		return nil, refuse(ReasonOverloaded, capacityPause)
	default:
		return nil, refuse(ReasonNoEndpoint, capacityPause)
	}
}

// bring waits for the model or the adapter that no endpoint holds.
func (x *run) bring(missing fleet.Reason) bool {
	holdings := x.forwarder.config.Holdings
	if holdings == nil {
		return false
	}
	adapter := x.call.Adapter
	if missing == fleet.ReasonModelNotHeld {
		adapter = ""
	}
	return holdings.WaitHeld(x.ctx, x.service, x.call.Model, adapter)
}

// send sends the request to one endpoint.
func (x *run) send(attempt *fleet.Attempt) (repeat.End, error) {
	x.tried = append(x.tried, attempt.Endpoint.ID)
	codec := x.forwarder.config.Codec
	message := upstream.Message{
		Method: x.call.Method, Target: x.call.Target, Host: x.call.Host,
		Header: codec.Encode(x.call, x.order(attempt)), Body: x.call.Body, Fresh: !x.route.MayRepeat(),
	}
	belongs := func(header http.Header) bool { return codec.Belongs(x.call, header) }
	exchange, err := x.forwarder.config.Upstream.Send(x.ctx, attempt.Endpoint.Address, message, belongs)
	if err != nil {
		return x.sendFailed(attempt, err)
	}
	defer exchange.Close()
	x.sent.Sends++
	return x.take(attempt, exchange)
}

func (x *run) order(attempt *fleet.Attempt) Send {
	send := Send{
		Endpoint:    attempt.Endpoint.ID,
		Remaining:   x.limit.Sub(x.forwarder.config.Clock()),
		Rank:        x.rank(),
		ResumeAfter: x.resumeAfter(),
		Engine:      x.engine,
	}
	if x.organisation != nil {
		send.Organisation = x.organisation.Name
	}
	return send
}

// resumeAfter returns the event after which a stream is to go on, on routes
// that allow that.
func (x *run) resumeAfter() string {
	switch {
	case !x.route.Resumable:
		return ""
	case x.lastEvent != "":
		return x.lastEvent
	default:
		return x.call.ResumeAfter
	}
}

func (x *run) sendFailed(attempt *fleet.Attempt, err error) (repeat.End, error) {
	var notSent *upstream.NotSentError
	unsent := errors.As(err, &notSent)
	if !unsent {
		x.sent.Sends++
		x.mayHaveRun = true
	}
	if x.ctx.Err() != nil {
		attempt.Finish(endpoint.OutcomeCancelled)
		return repeat.CallerGone, err
	}
	attempt.Finish(endpoint.OutcomeFailed)
	x.forwarder.config.Upstream.Forget(attempt.Endpoint.Address)
	x.logSend(attempt, "endpoint failed", err)
	if unsent {
		x.sent.Dials++
		return repeat.NotReached, err
	}
	return repeat.Unknown, err
}

// take reads the header of an answer and passes the answer on.
func (x *run) take(attempt *fleet.Attempt, exchange *upstream.Exchange) (repeat.End, error) {
	reply := x.forwarder.config.Codec.Decode(exchange.Response)
	if reply.Load != nil {
		attempt.Reported(*reply.Load)
	}
	if reply.NotRun {
		return x.refused(attempt, exchange, reply)
	}
	x.mayHaveRun = true
	attempt.Begun()
	if reply.Encoded || exchange.Response.StatusCode < http.StatusMultipleChoices && !reply.Signed {
		attempt.Finish(endpoint.OutcomeFailed)
		err := errors.Newf("answer with status %d is not the endpoint's own", exchange.Response.StatusCode)
		x.logSend(attempt, "answer discarded", err)
		return repeat.Unknown, err
	}
	if x.route.Kind == traffic.Streaming && exchange.Response.StatusCode == http.StatusOK {
		return x.relayStream(attempt, exchange)
	}
	return x.relayWhole(attempt, exchange)
}

// refused takes account of an endpoint that did not run the request.
func (x *run) refused(attempt *fleet.Attempt, exchange *upstream.Exchange, reply Reply) (repeat.End, error) {
	outcome := endpoint.OutcomeCancelled // a full endpoint is not a failing one
	if reply.WrongEndpoint {
		x.forwarder.config.Endpoints.Learn(attempt.Endpoint.ID, x.call.Model, x.call.Adapter, false)
		outcome = endpoint.OutcomeFailed
	}
	attempt.Finish(outcome)
	err := errors.Newf("endpoint %s did not run it, status %d", attempt.Endpoint.ID, exchange.Response.StatusCode)
	x.logSend(attempt, "endpoint refused", err)
	return repeat.NotRun, err
}

// The ranks of engines: 0 to 9, where 5 is the default.
const maxRank = 9

// rank orders requests in an engine: by their organisation's priority, then by
// their route's, then by how soon they are due.
func (x *run) rank() int {
	const (
		perOrganisation = 3
		// leisurely objectives rank behind others of their priority.
		leisurely = 2 * time.Second
	)
	rank := x.route.Priority
	if x.route.LatencyObjective > leisurely {
		rank++
	}
	if x.organisation != nil && x.organisation.Priority != nil {
		rank = perOrganisation**x.organisation.Priority + min(rank, perOrganisation-1)
	}
	return min(rank, maxRank)
}
