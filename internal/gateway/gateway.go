package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"bilberryslip.example/bilberryslip/internal/admission"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/drain"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/responsebuffer"
	"bilberryslip.example/bilberryslip/internal/routing"
)

// Config configures a Gateway. Zero durations and sizes select the documented
// defaults.
type Config struct {
	Source    config.Source
	Limiter   Limiter
	Claims    Claims
	Endpoints Endpoints
	// Recorder may be nil; decisions are then not recorded.
	Recorder Recorder
	// ConfigProvenAt returns the last time at which this host's configuration
	// was proved to be up to date. Nil means that it is always up to date.
	ConfigProvenAt func() time.Time
	// Zone is the host's availability zone.
	Zone string
	// Policy defaults to routing.Affinity.
	Policy    routing.Policy
	Admission admission.Config
	Retry     repeat.BudgetConfig
	// ServiceResponsesBytes bounds the responses of plain services that are held at the same
	// time. Zero means 64 MiB.
	ServiceResponsesBytes int64
	// Stop is the shutdown of the host. Nil means that it never shuts down.
	Stop *drain.Stop
	// Clock defaults to time.Now.
	Clock func() time.Time
	// Seed seeds the random numbers of the routing policy.
	Seed uint64

	// RequestTimeout is the maximum lifetime of a request. It defaults to 24 h.
	RequestTimeout time.Duration
	// MaxBodyBytes is the maximum size of a request body. It defaults to 1 MiB.
	MaxBodyBytes int64
	// DefaultMaxTokens is the value of max_tokens if the caller sets none.
	// It defaults to 512.
	DefaultMaxTokens int64
	// MaxInteractiveWait and MaxBatchWait are the maximum times that requests
	// of the class wait in the queue. They default to 5 s and 10 min.
	MaxInteractiveWait time.Duration
	MaxBatchWait       time.Duration
	// ReadTimeout is the timeout for reading a request body. It defaults to
	// 30 s.
	ReadTimeout time.Duration
	// WriteTimeout is the timeout for one write to a caller. It defaults to
	// 30 s.
	WriteTimeout time.Duration
	// FirstByteTimeout is the timeout for the header of an engine's response,
	// and again for the first byte of its body. ProgressTimeout is the timeout
	// for each further read of the body, and for all reads of the body of a
	// service's response. They default to 10 s and 3 s.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// ReusedFirstByteTimeout is the timeout for the response header on a reused
	// connection, which may have failed silently while idle. It defaults to
	// 2 s.
	ReusedFirstByteTimeout time.Duration
	// ServiceFirstByteTimeout is the timeout for the response header of a plain
	// service. It defaults to 10 s.
	ServiceFirstByteTimeout time.Duration
	// MaxAttempts is the maximum number of attempts for a request. It defaults
	// to 3.
	MaxAttempts int
}

func (c Config) withDefaults() Config {
	c.RequestTimeout = cmp.Or(c.RequestTimeout, maxTimeout)
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, 1<<20)
	c.DefaultMaxTokens = cmp.Or(c.DefaultMaxTokens, 512)
	c.MaxInteractiveWait = cmp.Or(c.MaxInteractiveWait, 5*time.Second)
	c.MaxBatchWait = cmp.Or(c.MaxBatchWait, 10*time.Minute)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, 30*time.Second)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 30*time.Second)
	c.FirstByteTimeout = cmp.Or(c.FirstByteTimeout, 10*time.Second)
	c.ProgressTimeout = cmp.Or(c.ProgressTimeout, 3*time.Second)
	c.ReusedFirstByteTimeout = cmp.Or(c.ReusedFirstByteTimeout, 2*time.Second)
	c.ServiceFirstByteTimeout = cmp.Or(c.ServiceFirstByteTimeout, 10*time.Second)
	c.ServiceResponsesBytes = cmp.Or(c.ServiceResponsesBytes, defaultServiceResponsesBytes)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 3)
	if c.Policy == nil {
		c.Policy = routing.Affinity{}
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Stop == nil {
		c.Stop = drain.New(drain.Config{Clock: c.Clock})
	}
	return c
}

// Gateway serves callers' requests. It implements suture.Service and is safe
// for concurrent use.
type Gateway struct {
	config    Config
	scheduler *scheduler
	metrics   *metrics
	demand    *demand
	running   tracker
	retries   *repeat.Budgets
	responses *responsebuffer.Budget
}

// New returns a gateway. Serve must run for queued requests to start.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	return &Gateway{
		config:    cfg,
		scheduler: newScheduler(cfg),
		metrics:   newMetrics(),
		responses: responsebuffer.New(cfg.ServiceResponsesBytes),
		demand:    newDemand(),
		running:   tracker{requests: make(map[*request]struct{})},
		retries:   repeat.NewBudgets(cfg.Retry, cfg.Clock),
	}
}

// Serve dispatches queued requests until ctx is done.
func (g *Gateway) Serve(ctx context.Context) error { return g.scheduler.serve(ctx) }

// Handler returns the HTTP handler for callers' requests.
func (g *Gateway) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = g.handleError
	e.POST("/v1/chat/completions", g.track(func(r *request) error { return g.complete(r, true) }))
	e.POST("/v1/completions", g.track(func(r *request) error { return g.complete(r, false) }))
	e.GET("/v1/models", g.track(g.models))
	e.Any("/services/:service", g.track(g.service))
	e.Any("/services/:service/*", g.track(g.service))
	return e
}

// NewServer returns an HTTP server for callers' requests with limits on slow
// and oversized requests. Its address is not set.
func (g *Gateway) NewServer() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    64 << 10,
	}
}

// handleError responds to errors raised by echo itself, such as unknown paths
// and methods.
func (g *Gateway) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	r := g.newRequest(c)
	defer r.abort(context.Canceled)
	failure := errInternal()
	if he, ok := err.(*echo.HTTPError); ok {
		switch he.Code {
		case http.StatusNotFound:
			failure = errPathUnknown()
		case http.StatusMethodNotAllowed:
			failure = errMethodNotAllowed()
		}
	}
	r.respondError(failure)
}

func (g *Gateway) models(r *request) error {
	snapshot := g.config.Source.Current()
	principal, failure := g.authenticate(snapshot, r.http)
	if failure != nil {
		return failure
	}
	r.setCallerAndModel(principal, "")
	return r.echo.JSON(http.StatusOK, listModels(snapshot, principal.organisation.GetName()))
}

// Collectors returns the gateway's metrics, for registration.
func (g *Gateway) Collectors() []prometheus.Collector { return g.metrics.collectors() }

// sharedBudget is the name of the single retry budget that all models and
// services share.
const sharedBudget = ""

// retryAllowed reports whether a request may be sent again after the given
// number of attempts, the last of which had the given outcome. An allowed retry
// is charged to the retry budget.
func (g *Gateway) retryAllowed(repeatable bool, attempts int, outcome repeat.Outcome) bool {
	policy := repeat.Policy{Repeatable: repeatable, MaxAttempts: g.config.MaxAttempts}
	return g.retries.Decide(sharedBudget, policy, repeat.Attempts{Sent: attempts}, outcome).IsRetry()
}

// recordFirstAttempt adds a new request to the retry budget.
func (g *Gateway) recordFirstAttempt() { g.retries.RecordRequest(sharedBudget) }

var _ Endpoints = (*endpoint.Registry)(nil)
