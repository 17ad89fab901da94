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
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/repeat"
	"bilberryslip.example/bilberryslip/internal/routing"
)

// Config sets a Gateway. Zero durations and sizes mean the defaults named.
type Config struct {
	Source    config.Source
	Limiter   Limiter
	Claims    Claims
	Endpoints Endpoints
	Recorder  Recorder
	// Freshness returns when this host last had proof that its configuration
	// was up to date. Nil means always.
	Freshness func() time.Time
	// Zone is the host's availability zone.
	Zone string
	// Policy defaults to routing.Affinity.
	Policy    routing.Policy
	Admission admission.Config
	Retry     repeat.BudgetConfig
	// Clock defaults to time.Now.
	Clock func() time.Time
	// Seed of the routing policy's random numbers.
	Seed uint64

	// RequestTimeout is the longest life of a request. It defaults to 24 h.
	RequestTimeout time.Duration
	// MaxBodyBytes defaults to 1 MiB.
	MaxBodyBytes int64
	// DefaultAnswerTokens is max_tokens where the caller names none. It
	// defaults to 512.
	DefaultAnswerTokens int64
	// InteractiveWait and BatchWait are the longest times in the queue. They
	// default to 5 s and 10 min.
	InteractiveWait time.Duration
	BatchWait       time.Duration
	// ReadTimeout bounds the arrival of a request's body. It defaults to 30 s.
	ReadTimeout time.Duration
	// WriteTimeout bounds one write to a caller. It defaults to 30 s.
	WriteTimeout time.Duration
	// FirstByte and Between bound an engine's progress. They default to 10 s
	// and 3 s.
	FirstByte time.Duration
	Between   time.Duration
	// ReusedFirstByte is FirstByte on a connection that was used before and
	// may have gone silent since. It defaults to 2 s.
	ReusedFirstByte time.Duration
	// ServiceFirstByte bounds a plain service's answer. It defaults to 10 s.
	ServiceFirstByte time.Duration
	// MaxAttempts bounds the attempts of a repeatable request. It defaults
	// to 3.
	MaxAttempts int
	// StopAccepting closes the callers' listener in a drain, once the balancer
	// has moved away, and waits for the requests that run. Nil means that it
	// stays open.
	StopAccepting func(ctx context.Context)
}

func (c Config) withDefaults() Config {
	c.RequestTimeout = cmp.Or(c.RequestTimeout, maxTimeout)
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, 1<<20)
	c.DefaultAnswerTokens = cmp.Or(c.DefaultAnswerTokens, 512)
	c.InteractiveWait = cmp.Or(c.InteractiveWait, 5*time.Second)
	c.BatchWait = cmp.Or(c.BatchWait, 10*time.Minute)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, 30*time.Second)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 30*time.Second)
	c.FirstByte = cmp.Or(c.FirstByte, 10*time.Second)
	c.Between = cmp.Or(c.Between, 3*time.Second)
	c.ReusedFirstByte = cmp.Or(c.ReusedFirstByte, 2*time.Second)
	c.ServiceFirstByte = cmp.Or(c.ServiceFirstByte, 10*time.Second)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 3)
	if c.Policy == nil {
		c.Policy = routing.Affinity{}
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	return c
}

// Gateway serves callers. It implements suture.Service.
type Gateway struct {
	config    Config
	scheduler *scheduler
	metrics   *metrics
	demand    *demand
	running   tracker
	retries   *repeat.Budgets
}

// New returns a gateway. Its Serve must run for waiting requests to start.
func New(cfg Config) *Gateway {
	cfg = cfg.withDefaults()
	return &Gateway{
		config:    cfg,
		scheduler: newScheduler(cfg),
		metrics:   newMetrics(),
		demand:    newDemand(),
		running:   tracker{requests: make(map[*request]struct{})},
		retries:   repeat.NewBudgets(cfg.Retry, cfg.Clock),
	}
}

// Serve keeps the queue moving until ctx ends.
func (g *Gateway) Serve(ctx context.Context) error { return g.scheduler.serve(ctx) }

// Handler returns the callers' HTTP handler.
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

// NewServer returns an HTTP server for callers with limits against slow and
// oversized requests. Addresses are left to the caller.
func (g *Gateway) NewServer() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    64 << 10,
	}
}

// handleError answers errors that echo itself raises.
func (g *Gateway) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	r := g.newRequest(c)
	failure := errInternal()
	if he, ok := err.(*echo.HTTPError); ok {
		switch he.Code {
		case http.StatusNotFound:
			failure = errPathUnknown()
		case http.StatusMethodNotAllowed:
			failure = errMethodUnknown()
		}
	}
	r.refuse(failure)
}

func (g *Gateway) models(r *request) error {
	snapshot := g.config.Source.Current()
	who, failure := g.authenticate(snapshot, r.http)
	if failure != nil {
		return failure
	}
	r.identify(who, "")
	return r.echo.JSON(http.StatusOK, listModels(snapshot, who.organisation.GetName()))
}

// Collectors returns the gateway's metrics.
func (g *Gateway) Collectors() []prometheus.Collector { return g.metrics.collectors() }

// ownBudget names the one retry budget for all models and services.
const ownBudget = ""

// retryAllowed decides whether a request with as many attempts is sent once
// more.
func (g *Gateway) retryAllowed(repeatable bool, attempts int, end repeat.Outcome) bool {
	rule := repeat.Policy{Repeatable: repeatable, MaxAttempts: g.config.MaxAttempts}
	return g.retries.Decide(ownBudget, rule, repeat.Attempts{Sent: attempts}, end).IsRetry()
}

func (g *Gateway) firstAttempt() { g.retries.RecordRequest(ownBudget) }

var _ Endpoints = (*endpoint.Registry)(nil)
