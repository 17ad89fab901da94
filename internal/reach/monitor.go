package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

const (
	// tickInterval is how often services are looked at: those whose endpoints are silent,
	// and those to which the path is not direct, which are checked each time.
	tickInterval = 250 * time.Millisecond
	// silenceBeforeCheck is how long no endpoint of a service sends anything, though
	// requests wait, until they are checked.
	silenceBeforeCheck = 500 * time.Millisecond
	// checkPause is the time from an answered check to the next one for silence. Requests
	// may run for long without sending anything.
	checkPause = 2 * time.Second
	// checkTimeout limits a check. It covers a round trip between zones on a busy host.
	checkTimeout = 400 * time.Millisecond
	// checkedAtOnce is the number of endpoints in a check. They are of different zones,
	// since a zone may be cut off as a whole.
	checkedAtOnce = 3
)

// Target is an endpoint that can be checked.
type Target struct {
	ID, Address, Zone string
}

// Config configures a Monitor.
type Config struct {
	// Targets returns the endpoints of a service that may get requests.
	Targets func(service string) []Target
	// Ping calls an endpoint on a new connection, in a way that needs no slot there. It
	// returns nil if the endpoint answered, whatever it answered.
	Ping func(ctx context.Context, address string) error
	// OnChange is called when the state of the path to a service changes, with whether a
	// peer reaches the endpoints while this host does not. Nil does nothing.
	OnChange func(service string, state State, peerReaches bool)
	// Clock defaults to time.Now.
	Clock func() time.Time
}

// Monitor tracks the paths to the endpoints of all services. It checks them when traffic
// shows that a path may have failed. It implements suture.Service and is safe for
// concurrent use.
type Monitor struct {
	config  Config
	metrics *metrics

	mu    sync.Mutex
	paths map[string]*servicePath
}

// servicePath is the path to one service's endpoints, with the traffic on it.
type servicePath struct {
	Path
	// waiting are the direct requests in flight. quietSince is when the first of them
	// began or endpoints last sent anything, whichever is later.
	waiting    map[*Wait]struct{}
	quietSince time.Time
	// checking is set during a check, answeredAt is when one was last answered.
	checking   bool
	answeredAt time.Time
	// onResult are called with the result of the next check that begins.
	onResult []func(works bool)
}

// New returns a monitor that takes all paths for direct until Serve runs.
func New(cfg Config) *Monitor {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func(string, State, bool) {}
	}
	return &Monitor{config: cfg, metrics: newMetrics(), paths: make(map[string]*servicePath)}
}

// Collectors returns the monitor's metrics.
func (m *Monitor) Collectors() []prometheus.Collector { return m.metrics.collectors() }

// String implements fmt.Stringer; the supervisor logs the name.
func (m *Monitor) String() string { return "reach" }

// path returns the path of a service. It must be called with the mutex held.
func (m *Monitor) path(service string) *servicePath {
	p, ok := m.paths[service]
	if !ok {
		p = &servicePath{waiting: make(map[*Wait]struct{})}
		m.paths[service] = p
	}
	return p
}

// State returns the state of the path to a service's endpoints.
func (m *Monitor) State(service string) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.path(service).State()
}

// CutOff reports whether peers reach a service's endpoints while this host does not.
func (m *Monitor) CutOff(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.path(service).Confirmed()
}

// NotDirect returns the services to whose endpoints the path is not direct, sorted.
func (m *Monitor) NotDirect() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var services []string
	for service, p := range m.paths {
		if p.State() != Direct {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Wait is a direct request that waits for an endpoint of a service.
type Wait struct {
	monitor *Monitor
	path    *servicePath
	// onCut is called if the request hangs on a path that is cut; nil for requests that
	// can't be sent again.
	onCut func()
	// receivedAt is when something last arrived for the request; zero if nothing did.
	receivedAt time.Time
}

// Begin records that a direct request begins to wait for a service's endpoint. Its End
// must be called when it ends. onCut, unless nil, is called once if nothing arrives for it
// while peers reach the endpoints. It must not call the monitor.
func (m *Monitor) Begin(service string, onCut func()) *Wait {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, now := m.path(service), m.config.Clock()
	if len(p.waiting) == 0 {
		p.quietSince = now
	}
	w := &Wait{monitor: m, path: p, onCut: onCut}
	p.waiting[w] = struct{}{}
	return w
}

// End ends the wait. Only the first call has an effect.
func (w *Wait) End() {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	delete(w.path.waiting, w)
}

// Received records that the endpoint sent something.
func (w *Wait) Received() {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	now := w.monitor.config.Clock()
	w.receivedAt, w.path.quietSince = now, now
	w.path.RecordReceived(now)
}

// hanging returns what to call for the requests that hang on a path that was cut. It must
// be called with the mutex held.
func (p *servicePath) hanging() []func() {
	var calls []func()
	for w := range p.waiting {
		if w.onCut != nil && !w.receivedAt.After(p.since) {
			calls = append(calls, w.onCut)
			w.onCut = nil
		}
	}
	return calls
}

// RecordViaPeer records that an endpoint of a service answered by way of a peer.
func (m *Monitor) RecordViaPeer(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.path(service).RecordViaPeer(m.config.Clock())
}

// RecordFailure records that a connection to an endpoint of a service failed before
// anything arrived, and has the service's endpoints checked. onResult, unless nil, is
// called with whether the path works: any of them answered, or there is none to check.
func (m *Monitor) RecordFailure(ctx context.Context, service string, onResult func(works bool)) {
	m.mu.Lock()
	if onResult != nil {
		p := m.path(service)
		p.onResult = append(p.onResult, onResult)
	}
	m.mu.Unlock()
	m.startCheck(ctx, service)
}

// Serve looks at the services until ctx ends. It implements suture.Service.
func (m *Monitor) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			for _, service := range m.due() {
				m.startCheck(ctx, service)
			}
		}
	}
}

// due returns the services to check now.
func (m *Monitor) due() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock()
	var services []string
	for service, p := range m.paths {
		silent := len(p.waiting) > 0 && now.Sub(p.quietSince) >= silenceBeforeCheck && now.Sub(p.answeredAt) >= checkPause
		if p.State() != Direct || silent || len(p.onResult) > 0 {
			services = append(services, service)
		}
	}
	return services
}

// startCheck checks a service's endpoints in the background, unless a check is running.
func (m *Monitor) startCheck(ctx context.Context, service string) {
	m.mu.Lock()
	p := m.path(service)
	running := p.checking
	p.checking = true
	waiting := p.onResult
	if !running {
		p.onResult = nil
	}
	m.mu.Unlock()
	if running {
		return
	}
	go func() {
		result := m.check(context.WithoutCancel(ctx), service)
		m.record(service, result)
		for _, callback := range waiting {
			callback(result.Answered > 0 || result.Refused+result.Silent == 0)
		}
	}()
}

// check calls some endpoints of a service at the same time. On a direct path it ends with
// the first answer.
func (m *Monitor) check(ctx context.Context, service string) Check {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	result := Check{StartedAt: m.config.Clock()}
	direct := m.State(service) == Direct
	targets := pickTargets(m.config.Targets(service), checkedAtOnce)
	errs := make(chan error, len(targets))
	for _, target := range targets {
		go func() { errs <- m.config.Ping(ctx, target.Address) }()
	}
	for range targets {
		switch err := <-errs; {
		case err == nil:
			result.Answered++
			if direct {
				return result
			}
		case isTimeout(ctx, err):
			result.Silent++
		default:
			result.Refused++
		}
	}
	return result
}

func isTimeout(ctx context.Context, err error) bool {
	var netErr net.Error
	return ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout()
}

// record records the result of a check.
func (m *Monitor) record(service string, result Check) {
	now := m.config.Clock()
	m.mu.Lock()
	p := m.path(service)
	p.checking = false
	before, since := p.State(), p.since
	if result.Answered > 0 {
		p.answeredAt = now
	}
	if len(p.waiting) > 0 && p.quietSince.Before(result.StartedAt) {
		result.QuietSince = p.quietSince
	}
	changed := p.RecordCheck(now, result)
	state, confirmed := p.State(), p.Confirmed()
	var hanging []func()
	if changed && confirmed && result.Silent > 0 {
		hanging = p.hanging()
	}
	m.mu.Unlock()
	m.metrics.recordCheck(service, result, state)
	if !changed {
		return
	}
	m.config.OnChange(service, state, confirmed)
	for _, onCut := range hanging {
		onCut()
	}
	entry := logrus.WithFields(logrus.Fields{
		"service": service, "path": state.String(), "before": before.String(), "peer_reaches": confirmed,
		"answered": result.Answered, "refused": result.Refused, "silent": result.Silent, "ended_waits": len(hanging),
	})
	if before != Direct {
		entry = entry.WithField("lasted_ms", now.Sub(since).Milliseconds())
	}
	entry.Info("path to endpoints changed")
}

// pickTargets chooses up to count targets at random, of as many zones as possible.
func pickTargets(targets []Target, count int) []Target {
	targets = slices.Clone(targets)
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	ofZone := make(map[string]int)
	rank := make(map[string]int, len(targets))
	for _, t := range targets {
		rank[t.ID] = ofZone[t.Zone]
		ofZone[t.Zone]++
	}
	slices.SortStableFunc(targets, func(a, b Target) int { return rank[a.ID] - rank[b.ID] })
	return targets[:min(count, len(targets))]
}
