package endpoint

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/invariant"
)

// Config configures a Registry. Zero values select the defaults.
type Config struct {
	// Source provides the configured endpoints.
	Source config.Source
	// Zone is this host's availability zone.
	Zone string
	// PollInterval is the time between polls of an endpoint in the same zone.
	// It defaults to 500 ms.
	PollInterval time.Duration
	// RemotePollInterval is the time between polls of an endpoint in another
	// zone. It defaults to 1 s.
	RemotePollInterval time.Duration
	// EventInterval is the minimum time between two requests for an engine's
	// cache events. They are delayed and incomplete in any case, so frequent
	// polling gains little. It defaults to 2 s.
	EventInterval time.Duration
	// PollTimeout is the timeout of a poll. It defaults to 1 s.
	PollTimeout time.Duration
	// HealthTimeout is the time without a response after which an endpoint
	// counts as unreachable. It defaults to 2.5 s.
	HealthTimeout time.Duration
	// DialTimeout is the timeout of a dial. It defaults to 500 ms.
	DialTimeout time.Duration
	// OrderTimeout is the timeout of an order sent to an engine. It defaults
	// to 2 s.
	OrderTimeout time.Duration
	// Ejector configures outlier ejection. It defaults to
	// DefaultEjectorConfig.
	Ejector EjectorConfig
	// Clock defaults to time.Now.
	Clock func() time.Time
}

func (c Config) withDefaults() Config {
	c.PollInterval = cmp.Or(c.PollInterval, 500*time.Millisecond)
	c.RemotePollInterval = cmp.Or(c.RemotePollInterval, time.Second)
	c.EventInterval = cmp.Or(c.EventInterval, 2*time.Second)
	c.PollTimeout = cmp.Or(c.PollTimeout, time.Second)
	c.HealthTimeout = cmp.Or(c.HealthTimeout, 2500*time.Millisecond)
	c.DialTimeout = cmp.Or(c.DialTimeout, 500*time.Millisecond)
	c.OrderTimeout = cmp.Or(c.OrderTimeout, 2*time.Second)
	if c.Ejector == (EjectorConfig{}) {
		c.Ejector = DefaultEjectorConfig()
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	return c
}

// Registry tracks the configured endpoints: their reported state, their health
// and this host's in-flight attempts at them. It is safe for concurrent use.
type Registry struct {
	config  Config
	metrics *metrics

	mu      sync.Mutex
	entries map[string]*entry
	// names holds the keys of entries, sorted.
	names   []string
	ejector *Ejector
	// changed is closed and replaced when an endpoint may have free capacity.
	changed chan struct{}
}

// NewRegistry returns a Registry of the currently configured endpoints. Serve
// must be running for their state to be updated.
func NewRegistry(cfg Config) *Registry {
	cfg = cfg.withDefaults()
	r := &Registry{
		config:  cfg,
		metrics: newMetrics(),
		entries: make(map[string]*entry),
		ejector: NewEjector(cfg.Ejector),
		changed: make(chan struct{}),
	}
	r.Reconcile()
	return r
}

// Reconcile updates the set of endpoints to the current configuration.
func (r *Registry) Reconcile() {
	r.mu.Lock()
	defer r.mu.Unlock()
	configured := make(map[string]bool)
	for _, endpoint := range r.config.Source.Current().Endpoints() {
		configured[endpoint.GetName()] = true
		r.configure(endpoint)
	}
	for name, e := range r.entries {
		if !configured[name] {
			e.client.close()
			r.ejector.Remove(name)
			delete(r.entries, name)
		}
	}
	r.names = slices.Sorted(maps.Keys(r.entries))
	r.notify()
}

func (r *Registry) configure(cfg *apiv1.Endpoint) {
	name := cfg.GetName()
	r.ejector.Add(name, Group(cfg))
	e, ok := r.entries[name]
	if ok && e.config.GetUrl() == cfg.GetUrl() {
		e.config = cfg
		return
	}
	if ok {
		e.client.close()
	}
	r.entries[name] = &entry{
		config:   cfg,
		client:   newClient(name, cfg.GetUrl(), r.config.DialTimeout),
		prefixes: NewPrefixSet(),
	}
}

// Group returns the name of the group of interchangeable endpoints to which an
// endpoint belongs: the service for a plain service, otherwise the pool.
func Group(cfg *apiv1.Endpoint) string {
	if cfg.GetService() != "" {
		return "service/" + cfg.GetService()
	}
	return "pool/" + cfg.GetPool()
}

// Changed returns a channel that is closed when an endpoint may have free
// capacity.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// notify closes the Changed channel. The caller must hold r.mu.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// States returns the states of all endpoints, ordered by name.
func (r *Registry) States() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	ejected := r.ejector.Ejected(now)
	states := make([]State, 0, len(r.entries))
	for _, name := range r.names {
		states = append(states, r.stateOf(name, r.entries[name], now, ejected))
	}
	return states
}

// State returns the state of an endpoint, and reports whether it is configured.
func (r *Registry) State(name string) (State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[name]
	if !ok {
		return State{}, false
	}
	now := r.config.Clock()
	return r.stateOf(name, e, now, r.ejector.Ejected(now)), true
}

// stateOf returns an endpoint's state. The caller must hold r.mu.
func (r *Registry) stateOf(name string, e *entry, now time.Time, ejected map[string]bool) State {
	state := e.state()
	state.Reachable = !e.lastResponse.IsZero() && now.Sub(e.lastResponse) < r.config.HealthTimeout
	state.Ejected = ejected[name]
	state.ReportAge = now.Sub(e.reportedAt) + time.Duration(e.report.AgeMillis)*time.Millisecond
	state.Penalty = r.ejector.Penalty(now, name)
	return state
}

// Attempt is an in-flight attempt at an endpoint. It counts towards the
// endpoint's load until Finish is called.
type Attempt struct {
	registry *Registry
	entry    *entry
	name     string
	tokens   int64
	once     sync.Once
}

// Start begins an attempt that is expected to use the given number of tokens.
// It returns nil if the endpoint is no longer configured or is draining. The
// caller must call Finish on the attempt.
func (r *Registry) Start(name string, tokens int64) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[name]
	if !ok || e.draining() {
		return nil
	}
	return r.start(e, tokens)
}

// Resume begins an attempt that continues an interrupted stream. Unlike Start
// it allows a draining endpoint, since this is not new work. It returns nil if
// the endpoint is no longer configured.
func (r *Registry) Resume(name string, tokens int64) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[name]
	if !ok {
		return nil
	}
	return r.start(e, tokens)
}

func (r *Registry) start(e *entry, tokens int64) *Attempt {
	e.inFlight++
	e.tokensInFlight += tokens
	e.history.add(r.config.Clock(), e.inFlight)
	return &Attempt{registry: r, entry: e, name: e.client.name, tokens: tokens}
}

// Send sends the call to the attempt's endpoint. A NotSentError means that no
// byte was sent; after any other error it is unknown whether the endpoint ran
// the request.
func (a *Attempt) Send(ctx context.Context, call Call) (*Response, error) {
	response, err := a.entry.client.Send(ctx, call)
	if err == nil {
		a.registry.recordResponse(a.entry)
	}
	return response, err
}

// Cancel requests that the engine stop generating for the attempt identifier.
func (a *Attempt) Cancel(ctx context.Context, attempt string) error {
	return a.entry.client.cancel(ctx, attempt)
}

// Endpoint returns the name of the endpoint.
func (a *Attempt) Endpoint() string { return a.name }

// RecordCachedPrefix records that the engine has processed the prompt prefix and
// has therefore probably cached it.
func (a *Attempt) RecordCachedPrefix(model string, prefix uint64) {
	a.entry.prefixes.Add(model, prefix)
}

// RecordFirstToken records the time from sending the request to the first part
// of the response.
func (a *Attempt) RecordFirstToken(model string, elapsed time.Duration) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.entry.latencies.observe(a.registry.config.Clock(), model, elapsed)
}

// MarkDraining records that the endpoint rejected the attempt because it is
// draining.
func (a *Attempt) MarkDraining() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.entry.drainingAt = a.registry.config.Clock()
}

// Finish ends the attempt and records its outcome. Further calls have no
// effect.
func (a *Attempt) Finish(outcome Outcome) {
	a.once.Do(func() { a.registry.finish(a, outcome) })
}

func (r *Registry) finish(a *Attempt, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	a.entry.inFlight--
	a.entry.tokensInFlight -= a.tokens
	a.entry.history.add(now, a.entry.inFlight)
	r.ejector.Observe(now, a.name, outcome)
	r.metrics.attempt(outcome)
	r.notify()
}

func (r *Registry) recordResponse(e *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.lastResponse = r.config.Clock()
}

// Order sends an order to an engine. If it returns an error, the order may
// nevertheless take effect, now or later.
func (r *Registry) Order(ctx context.Context, name string, order engineapi.Order) (engineapi.OrderResult, error) {
	r.mu.Lock()
	e, ok := r.entries[name]
	r.mu.Unlock()
	if !ok {
		return engineapi.OrderResult{}, &UnknownEndpointError{Endpoint: name}
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.OrderTimeout)
	defer cancel()
	return e.client.order(ctx, order)
}

// AssertNotDraining asserts that a request is not routed to an endpoint that is
// known to be draining, and reports whether that holds.
func AssertNotDraining(state State, requestID string) bool {
	return invariant.Assert(!state.Draining && !state.Config.GetDraining(), invariant.NoWorkToDraining, logrus.Fields{
		"endpoint": state.Config.GetName(),
		"request":  requestID,
	})
}
