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

// Config sets a Registry. Zero durations mean the defaults named.
type Config struct {
	Source config.Source
	// Zone is this host's availability zone; its endpoints are polled each
	// PollInterval, those of others each RemotePollInterval.
	Zone string
	// PollInterval defaults to 500 ms.
	PollInterval time.Duration
	// RemotePollInterval defaults to 1 s.
	RemotePollInterval time.Duration
	// EventInterval is the least time between two requests for cache events,
	// which are late and have gaps anyway. It defaults to 2 s.
	EventInterval time.Duration
	// PollTimeout bounds a poll. It defaults to 1 s.
	PollTimeout time.Duration
	// HealthTimeout is how long an endpoint that doesn't answer stays
	// reachable. It defaults to 2.5 s.
	HealthTimeout time.Duration
	// DialTimeout bounds a dial. It defaults to 500 ms.
	DialTimeout time.Duration
	// OrderTimeout bounds an order's answer. It defaults to 2 s.
	OrderTimeout time.Duration
	// Ejector defaults to DefaultEjectorConfig.
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

// Registry knows all configured endpoints and what runs on them for this
// host. It is safe for concurrent use.
type Registry struct {
	config  Config
	metrics *metrics

	mu      sync.Mutex
	entries map[string]*entry
	// names holds the entries' names in order.
	names   []string
	ejector *Ejector
	// changed is closed when an endpoint may have gained room.
	changed chan struct{}
}

// NewRegistry returns a registry of the endpoints that are configured now.
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

// Reconcile takes over the endpoints of the configuration in force.
func (r *Registry) Reconcile() {
	r.mu.Lock()
	defer r.mu.Unlock()
	configured := make(map[string]bool)
	for _, endpoint := range r.config.Source.Current().Endpoints() {
		configured[endpoint.GetName()] = true
		r.configure(endpoint)
	}
	for name, known := range r.entries {
		if !configured[name] {
			known.client.close()
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
	known, ok := r.entries[name]
	if ok && known.config.GetUrl() == cfg.GetUrl() {
		known.config = cfg
		return
	}
	if ok {
		known.client.close()
	}
	r.entries[name] = &entry{
		config:   cfg,
		client:   newClient(name, cfg.GetUrl(), r.config.DialTimeout),
		prefixes: NewPrefixSet(),
	}
}

// Group names the endpoints that stand in for each other: the service of a
// plain service, else the pool.
func Group(cfg *apiv1.Endpoint) string {
	if cfg.GetService() != "" {
		return "service/" + cfg.GetService()
	}
	return "pool/" + cfg.GetPool()
}

// Changed returns a channel that is closed when an endpoint may have gained
// room for work.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// notify must be called with the mutex held.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// States returns what is known of all endpoints, by name.
func (r *Registry) States() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	ejected := r.ejector.Ejected(now)
	states := make([]State, 0, len(r.entries))
	for _, name := range r.names {
		states = append(states, r.complete(name, r.entries[name], now, ejected))
	}
	return states
}

// State returns what is known of one endpoint.
func (r *Registry) State(name string) (State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.entries[name]
	if !ok {
		return State{}, false
	}
	now := r.config.Clock()
	return r.complete(name, known, now, r.ejector.Ejected(now)), true
}

func (r *Registry) complete(name string, known *entry, now time.Time, ejected map[string]bool) State {
	state := known.state()
	state.Reachable = !known.lastAnswer.IsZero() && now.Sub(known.lastAnswer) < r.config.HealthTimeout
	state.Ejected = ejected[name]
	state.ReportAge = now.Sub(known.reportedAt) + time.Duration(known.report.AgeMillis)*time.Millisecond
	state.Penalty = r.ejector.Penalty(now, name)
	return state
}

// Attempt is one running attempt in the accounts of an endpoint.
type Attempt struct {
	registry *Registry
	entry    *entry
	name     string
	tokens   int64
	once     sync.Once
}

// Start enters an attempt into the endpoint's accounts. It returns nil where
// the endpoint is not configured any more or is leaving.
func (r *Registry) Start(name string, tokens int64) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.entries[name]
	if !ok || known.leaving() {
		return nil
	}
	return r.start(known, tokens)
}

// Resume enters an attempt that continues a running stream. A leaving
// endpoint takes it, since it is no new work. It returns nil where the
// endpoint is not configured any more.
func (r *Registry) Resume(name string, tokens int64) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.entries[name]
	if !ok {
		return nil
	}
	return r.start(known, tokens)
}

func (r *Registry) start(known *entry, tokens int64) *Attempt {
	known.inFlight++
	known.tokensInFlight += tokens
	known.history.add(r.config.Clock(), known.inFlight)
	return &Attempt{registry: r, entry: known, name: known.client.name, tokens: tokens}
}

// Send makes a call to the attempt's endpoint.
func (a *Attempt) Send(ctx context.Context, call Call) (*Answer, error) {
	answer, err := a.entry.client.Send(ctx, call)
	if err == nil {
		a.registry.answered(a.entry)
	}
	return answer, err
}

// Cancel asks the engine to stop generating for the attempt identifier.
func (a *Attempt) Cancel(ctx context.Context, attempt string) error {
	return a.entry.client.cancel(ctx, attempt)
}

// Endpoint returns the endpoint's name.
func (a *Attempt) Endpoint() string { return a.name }

// Cached remembers that the engine has seen the prompt prefix.
func (a *Attempt) Cached(model string, prefix uint64) { a.entry.prefixes.Add(model, prefix) }

// FirstToken notes the time from the send to the first part of the answer.
func (a *Attempt) FirstToken(model string, elapsed time.Duration) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.entry.latencies.observe(a.registry.config.Clock(), model, elapsed)
}

// Refused takes account of the endpoint's own word that it is leaving.
func (a *Attempt) Refused() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.entry.refusedAt = a.registry.config.Clock()
}

// Finish takes the attempt out of the accounts, the first time it is called.
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

func (r *Registry) answered(known *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known.lastAnswer = r.config.Clock()
}

// Order sends an order to an engine. An error says nothing about whether the
// order takes effect, now or later.
func (r *Registry) Order(ctx context.Context, name string, order engineapi.Order) (engineapi.OrderResult, error) {
	r.mu.Lock()
	known, ok := r.entries[name]
	r.mu.Unlock()
	if !ok {
		return engineapi.OrderResult{}, &UnknownEndpointError{Endpoint: name}
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.OrderTimeout)
	defer cancel()
	return known.client.order(ctx, order)
}

// AssertAvailable asserts that new work goes to no endpoint that is known to
// leave.
func AssertAvailable(state State, requestID string) bool {
	return invariant.Assert(!state.Leaving && !state.Config.GetDraining(), invariant.NoWorkToLeaving, logrus.Fields{
		"endpoint": state.Config.GetName(),
		"request":  requestID,
	})
}
