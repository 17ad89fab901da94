// Package forward is the life of a routed request: it finds the route, checks
// the key, holds the organisation to its rate, chooses an endpoint, sends the
// request and passes on the whole answer. It knows no header, path or status
// of a particular platform: a Codec translates.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/quota"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/traffic"
	"bilberryslip.example/bilberryslip/internal/upstream"
)

// Call is a caller's request with what is passed on unchanged.
type Call struct {
	traffic.Request
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	// Header holds what is passed on, without what the system sets itself.
	Header http.Header
	Body   []byte
}

// Send is what one attempt tells its endpoint besides the call.
type Send struct {
	// Endpoint is the identifier of the endpoint that is meant.
	Endpoint string
	// Organisation is the caller's; empty on public routes.
	Organisation string
	// Remaining is how long the caller will still wait.
	Remaining time.Duration
	// Rank orders requests in an engine, 0 first to 9 last.
	Rank int
	// ResumeAfter is the last event that the caller has; empty for none.
	ResumeAfter string
	// Engine tells that the endpoint is a model engine.
	Engine bool
}

// Reply is what the header of an endpoint's answer says.
type Reply struct {
	// Signed answers bear the endpoint's signature.
	Signed bool
	// NotRun is the endpoint's word that it did not run the request.
	NotRun bool
	// WrongEndpoint means that the address belongs to another endpoint, or
	// that the endpoint doesn't hold what the request needs.
	WrongEndpoint bool
	// Encoded bodies are not the endpoint's own bytes.
	Encoded bool
	// Load is nil where the answer tells none.
	Load *fleet.Load
}

// Codec translates between calls and an endpoint's protocol.
type Codec interface {
	Encode(call *Call, send Send) http.Header
	// Belongs reports whether an answer is the one to the call.
	Belongs(call *Call, header http.Header) bool
	Decode(response *http.Response) Reply
	// CopyHeader copies what the caller gets of an answer's header.
	CopyHeader(to, from http.Header)
}

// Source gives the configuration in force, or nil while there is none.
type Source interface {
	Current() *traffic.Config
}

// Quota holds organisations to their rates over all hosts.
type Quota interface {
	// Take takes tokens, or tells when to come back.
	Take(organisation string, tokens float64) quota.Decision
	// GiveBack returns tokens of a request that did not run.
	GiveBack(organisation string, tokens float64)
}

// Holdings brings models and adapters to endpoints.
type Holdings interface {
	// Demand notes a request's work for a model and adapter.
	Demand(service, model, adapter string, tokens int)
	// WaitHeld asks for a model, or an adapter of it, and waits until an
	// endpoint may hold it; false where that can't be had in time.
	WaitHeld(ctx context.Context, service, model, adapter string) bool
}

// Config sets a Forwarder.
type Config struct {
	Source    Source
	Endpoints *fleet.Registry
	Upstream  *upstream.Pool
	Codec     Codec
	Quota     Quota
	// Holdings may be nil: models and adapters stay where they are.
	Holdings Holdings
	// Retry bounds the sends beyond each request's first, per service.
	Retry *repeat.Budgets
	// Clock defaults to time.Now.
	Clock func() time.Time
}

// Forwarder serves routed requests. It is safe for concurrent use.
type Forwarder struct {
	config  Config
	metrics *metrics
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Forwarder{config: cfg, metrics: newMetrics()}
}

// Collectors returns the forwarder's metrics.
func (f *Forwarder) Collectors() []prometheus.Collector { return f.metrics.collectors() }

// Serve serves a call. Its error is a *Failure where the caller has seen
// nothing yet, and else ErrBroken.
func (f *Forwarder) Serve(ctx context.Context, call *Call, w http.ResponseWriter) error {
	x, failure := f.begin(call)
	if failure == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, x.limit.Add(answerGrace), errLimit)
		defer cancel()
		x.ctx, x.writer = ctx, w
		failure = x.serve()
	}
	x.finish(failure)
	return failure
}

// begin authenticates a call and finds its route.
func (f *Forwarder) begin(call *Call) (*run, error) {
	x := &run{forwarder: f, call: call, started: f.config.Clock()}
	config := f.config.Source.Current()
	if config == nil {
		return x, refuse(ReasonNoConfiguration, configurationPause)
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
	x.service = x.route.SelectService(call.ID)
	if service := config.Service(x.service); service != nil {
		x.engine = service.Engine != nil
	}
	x.limit = x.started.Add(x.route.Timeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(x.limit) {
		x.limit = call.Deadline
	}
	return x, nil
}
