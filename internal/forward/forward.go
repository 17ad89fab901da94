// Package forward serves routed requests: it finds the route, checks the key,
// enforces the organisation's rate, chooses an endpoint, sends the request and
// relays the response. It is independent of the headers, paths and statuses of a
// particular platform, which a Codec translates.
package forward

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bilberryslip.example/bilberryslip/internal/drain"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/quarantine"
	"bilberryslip.example/bilberryslip/internal/quota"
	"bilberryslip.example/bilberryslip/internal/reach"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/responsebuffer"
	"bilberryslip.example/bilberryslip/internal/streamorigin"
	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// Call is a caller's request. Method, Target and Body are passed on unchanged.
type Call struct {
	traffic.Request
	Method string
	// Target is the request target as the caller sent it. Path, by which the route is
	// chosen, is a part of it.
	Target string
	// Authority is the host that the caller named, as sent; empty if that is Host.
	Authority string
	// Header holds the fields to pass on, without those that this system sets.
	Header http.Header
	Body   []byte
	// NeedsLength is set if the caller can't receive chunks. Its response is sent
	// with a length, since it can't tell a cut response without one from a whole one.
	NeedsLength bool
	Arrival     Arrival
	// CallerEnded, unless nil, reports whether the caller has closed its connection, also if
	// the context of the call has not ended yet.
	CallerEnded func() bool
}

// AttemptParams holds the values of one attempt that are sent to its endpoint in
// addition to the call.
type AttemptParams struct {
	// Endpoint is the identifier of the intended endpoint.
	Endpoint string
	// Organisation is the caller's organisation; empty on public routes.
	Organisation string
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Rank is the request's scheduling rank in an engine, from 0 (first) to 9
	// (last).
	Rank int
	// ResumeAfter is the identifier of the last event that the caller has
	// received, after which to resume a stream; empty for none.
	ResumeAfter string
	// Engine is set if the endpoint is a model engine.
	Engine bool
}

// Reply is the decoded header of an endpoint's response.
type Reply struct {
	// Signed is set if the response carries the endpoint's signature.
	Signed bool
	// NotRun is set if the endpoint reports that it did not run the request.
	NotRun bool
	// ClaimsNotRun is set if callers take the status for a promise that the request has not
	// run and never will, though the endpoint did not report that.
	ClaimsNotRun bool
	// WrongEndpoint is set if the address belongs to another endpoint, or if the
	// endpoint doesn't hold the model or adapter that the request needs.
	WrongEndpoint bool
	// Encoded is set if the body has a content encoding, so that its bytes are
	// not those that the endpoint produced.
	Encoded bool
	// Leaving is set if the endpoint announces that it shuts down.
	Leaving bool
	// Backoff is how long this host must send the endpoint no request; zero unless
	// the endpoint rejected this one and asked for that.
	Backoff time.Duration
	// Limit is what the response says of the endpoint's limit.
	Limit fleet.LimitStatement
	// Cold is what the response says of the endpoint's cold start.
	Cold fleet.ColdStatement
	// Brittle is what the response says of how its service takes overload.
	Brittle fleet.BrittleStatement
	// Load is the endpoint's load; nil if the response doesn't report it.
	Load *fleet.Load
}

// Codec translates between calls and the HTTP headers of an endpoint's protocol.
type Codec interface {
	// Encode returns the header of the request to the endpoint.
	Encode(call *Call, params AttemptParams) http.Header
	// Belongs reports whether a response with the header belongs to the call.
	Belongs(call *Call, header http.Header) bool
	// Decode interprets the header of an endpoint's response.
	Decode(response *http.Response) Reply
	// CopyHeader copies those fields of a response's header that the caller
	// receives.
	CopyHeader(to, from http.Header)
}

// Source provides the current configuration, or nil while there is none.
type Source interface {
	Current() *traffic.Config
}

// Quota enforces the organisations' rates across all hosts.
type Quota interface {
	// Take charges tokens to the organisation, or returns a decision that says
	// when to retry.
	Take(organisation string, tokens float64) quota.Decision
	// Refund returns to the organisation the tokens of a request that did not run.
	Refund(organisation string, tokens float64)
}

// Placer has models and adapters loaded on endpoints.
type Placer interface {
	// RecordDemand records a request's tokens as demand for a model and adapter.
	RecordDemand(service, model, adapter string, tokens int)
	// AwaitHeld requests that the model of the work be loaded, or its adapter if it has
	// one, and waits until an endpoint may hold it. Adapters are loaded on an endpoint of
	// the work's software. It returns false if that takes too long.
	AwaitHeld(ctx context.Context, work fleet.Work) bool
}

// Config configures a Forwarder.
type Config struct {
	Source    Source
	Endpoints *fleet.Registry
	Upstream  *upstream.Pool
	Codec     Codec
	Quota     Quota
	// Holdings may be nil; then no models or adapters are loaded on demand.
	Holdings Placer
	// Retry limits the retries per service.
	Retry *repeat.Budgets
	// Quarantine holds back requests under which, or under whose prompt segments,
	// endpoints crash. Nil means one that learns from this host's requests alone.
	Quarantine *quarantine.Quarantine
	// Origins tells at which software version streams began that callers take up again.
	// Nil means those of this host alone.
	Origins *streamorigin.Origins
	// Paths tracks this host's paths to the endpoints of services. Nil means that all work.
	Paths *reach.Monitor
	// Detours connects to endpoints by way of peers. Nil means that there are none.
	Detours Detours
	// BufferBytes bounds the responses that are held at the same time because they are
	// read completely before they are relayed. Zero means 32 MiB.
	BufferBytes int64
	// Stop is the shutdown of the host. Nil means that it never shuts down.
	Stop *drain.Stop
	// Clock defaults to time.Now.
	Clock func() time.Time
}

// Forwarder serves routed requests. It is safe for concurrent use.
type Forwarder struct {
	config  Config
	metrics *metrics
	buffers *responsebuffer.Budget
	running runningCalls
}

// New returns a forwarder. A nil cfg.Clock, cfg.Quarantine, cfg.Origins, cfg.Paths,
// cfg.Detours or cfg.Stop is replaced by its default.
func New(cfg Config) *Forwarder {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.New(cfg.Clock)
	}
	if cfg.Origins == nil {
		cfg.Origins = streamorigin.New(streamorigin.Config{Listed: cfg.Endpoints.SoftwareVersions, Clock: cfg.Clock})
	}
	if cfg.Paths == nil {
		cfg.Paths = reach.New(reach.Config{Targets: func(string) []reach.Target { return nil }})
	}
	if cfg.Stop == nil {
		cfg.Stop = drain.New(drain.Config{})
	}
	if cfg.Detours == nil {
		cfg.Detours = noDetours{}
	}
	return &Forwarder{
		config: cfg, metrics: newMetrics(), buffers: responsebuffer.New(cmp.Or(cfg.BufferBytes, defaultBufferBudget)),
	}
}

// Collectors returns the forwarder's metrics.
func (f *Forwarder) Collectors() []prometheus.Collector { return f.metrics.collectors() }

// Serve serves a call and writes the response to w. The error is a *Failure if
// nothing was written, and ErrTruncated if the response was cut short.
func (f *Forwarder) Serve(ctx context.Context, call *Call, w http.ResponseWriter) error {
	x, failure := f.prepare(call)
	if failure == nil {
		ctx, x.abort = context.WithCancelCause(ctx)
		defer x.abort(nil)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, x.deadline.Add(responseGrace), errDeadline)
		defer cancel()
		x.ctx, x.writer = ctx, w
		f.running.add(x)
		defer f.running.remove(x)
		failure = x.serve()
		x.endStream()
	}
	x.finish(failure)
	return failure
}

// prepare finds the route of a call, authenticates the caller and sets the
// deadline.
func (f *Forwarder) prepare(call *Call) (*inflightCall, error) {
	x := &inflightCall{forwarder: f, call: call, started: f.config.Clock(), endStream: func() {}}
	config := f.config.Source.Current()
	if config == nil {
		return x, newRefusal(ReasonNoConfiguration, configurationRetryAfter)
	}
	x.version = config.Version()
	if x.route = config.Route(call.Host, call.Path); x.route == nil {
		return x, &Failure{Reason: ReasonNoRoute}
	}
	if config.RequiresKey() && !x.route.Public {
		if x.organisation = config.OrganisationByKey(call.Key); x.organisation == nil {
			return x, &Failure{Reason: ReasonKeyUnknown}
		}
	}
	if call.ID == "" {
		return x, &Failure{Reason: ReasonBadRequest}
	}
	if x.route.Resumable {
		x.received = receivedBefore(call.ResumeAfter)
	}
	x.suspects = suspectsOf(call, x.organisation)
	x.service = x.route.SelectService(x.streamAttempt())
	if service := config.Service(x.service); service != nil {
		x.engine = service.Engine != nil
	}
	x.deadline = x.arrivedAt().Add(x.route.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(x.deadline) {
		x.deadline = call.Deadline
	}
	return x, nil
}

// arrivedAt returns when this host's kernel received the call, from which its time counts. It
// may have lain unread for a while.
func (x *inflightCall) arrivedAt() time.Time {
	if at := x.call.Arrival.ReceivedAt; !at.IsZero() {
		return at
	}
	return x.started
}
