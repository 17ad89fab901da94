package orders

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/clock"
	"bilberryslip.example/bilberryslip/internal/exchange"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/forward"
	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/retry"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

const (
	// planInterval is the time between two planning cycles, before jitter.
	planInterval = 400 * time.Millisecond
	// takeoverMargin is the wait before a new holder's first order, on top of the
	// lease time. The previous holder may have checked its lease just before it lost
	// it, and its last order arrives within orderTimeout.
	takeoverMargin = orderTimeout + 100*time.Millisecond
	// announceTTL is how long the effect of an order is included in reports to
	// peers. The engines' own entries show it within a heartbeat.
	announceTTL = 3 * time.Second
	// minConcurrentChanges is the number of engines that may change their models
	// at the same time in any deployment.
	minConcurrentChanges = 3
	// loadLimitFraction is the fraction of the weight store's rate limit that
	// loads may use.
	loadLimitFraction = 0.85
)

// Leadership returns the status of the placement lease and records what peers
// report about it. It is implemented by lease.Lease.
type Leadership interface {
	Status() lease.Status
	UpdateFromPeer(value lease.Value, version objectstore.Version)
	ReadAgain()
}

// Peers sends requests to other hosts.
type Peers interface {
	// RequestPlacement sends a placement request for a model or an adapter to
	// the holder of the placement lease.
	RequestPlacement(ctx context.Context, request *fleetv1.PlaceRequest) (*fleetv1.PlaceResponse, error)
}

// Config configures a Service.
type Config struct {
	// Host is this host's name, which is sent as the holder in orders.
	Host     string
	Registry *fleet.Registry
	Source   forward.Source
	Engines  Engines
	Lease    Leadership
	Peers    Peers
	// LeaseTime is the duration of the placement lease. A new holder sends no
	// order before this time has passed since another host may last have held
	// the lease.
	LeaseTime time.Duration
	// LoadWindow and LoadOverage bound the loads from the weight store: in any
	// LoadWindow, at most LoadOverage times as many as its rate limit allows.
	LoadWindow  time.Duration
	LoadOverage float64
	// FirstStart reports that the whole system starts for the first time, so that no
	// engine got an order before.
	FirstStart bool
	// MayStart reports whether changes of models may start. Nil means always.
	MayStart func() bool
}

// Idle reports whether no change of models is in progress.
func (s *Service) Idle() bool { return s.changesInProgress() == 0 }

// Service plans the placement of models and adapters and sends orders to engines
// while this host holds the placement lease. Otherwise it sends placement
// requests to the lease holder. It implements suture.Service, forward.Placer
// and exchange.Participant.
type Service struct {
	config  Config
	metrics *prometheus.CounterVec

	mu     sync.Mutex
	demand *demand
	// views holds the lease holder's view of each engine, by endpoint ID.
	views map[string]*view
	// sent holds the orders that engines may still carry out, by endpoint ID, and
	// starts which engines have started again.
	sent   map[string]*sentLoads
	starts *starts
	// locks holds one lock per engine, which serializes the orders to it: a channel that
	// has an element while the lock is held.
	locks map[string]chan struct{}
	// held is whether this host held the lease at the last check, and actsFrom
	// when it may send its first order as the holder. heldTerm is the last term in
	// which it held the lease.
	held     bool
	actsFrom time.Time
	heldTerm int64
	// unknownUntil is until when orders of earlier holders may be carried out.
	unknownUntil time.Time
	// loads are the start times of recent loads from the weight store.
	loads []time.Time
	// changing are the changes in progress, by engine.
	changing map[string]change
	// recent are the announcements to include in reports to peers.
	recent []announcement
	// placing holds, for each placement request in progress, a channel that is
	// closed when the request is done.
	placing map[placement]chan struct{}
}

// announcement reports to peers that an engine holds a model or adapter, or no
// longer does.
type announcement struct {
	holding *fleetv1.Holding
	until   time.Time
}

var _ forward.Placer = (*Service)(nil)

// New returns a Service. Serve must run for it to plan.
func New(cfg Config) *Service {
	return &Service{
		config: cfg,
		metrics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_engine_orders_total",
			Help: "Orders to engines, by action and answer.",
		}, []string{"action", "answer"}),
		demand: newDemand(), views: make(map[string]*view),
		sent: make(map[string]*sentLoads), starts: newStarts(clock.Boot(), cfg.FirstStart),
		locks: make(map[string]chan struct{}), changing: make(map[string]change), placing: make(map[placement]chan struct{}),
	}
}

// String returns the name of the service for the supervisor's logs.
func (s *Service) String() string { return "orders" }

// Collectors returns the service's metrics for registration.
func (s *Service) Collectors() []prometheus.Collector { return []prometheus.Collector{s.metrics} }

// Serve runs a planning cycle once per interval while this host holds the lease,
// until ctx is done. On all hosts it follows the starts of the engines.
func (s *Service) Serve(ctx context.Context) error {
	for {
		s.observeStarts()
		if s.mayOrder() {
			s.plan(ctx)
		}
		if !retry.Sleep(ctx, planInterval+rand.N(planInterval/8)) {
			return ctx.Err()
		}
	}
}

// observeStarts records the present starts of all endpoints and drops what is too old to
// matter.
func (s *Service) observeStarts() {
	endpoints := s.config.Registry.Endpoints()
	now := clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts.observe(now, time.Now(), endpoints)
	for id, sent := range s.sent {
		sent.expire(now)
		if len(sent.list) == 0 && s.views[id] == nil {
			delete(s.sent, id)
		}
	}
}

// mayOrder reports whether this host may send orders now: it holds the placement
// lease, and the wait after another host's lease is over. If the lease was
// acquired since the last call, mayOrder discards all views.
func (s *Service) mayOrder() bool {
	status := s.config.Lease.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Boot()
	if !status.Held {
		if s.held {
			logrus.Info("placement lease lost")
		}
		s.held = false
		return false
	}
	if !s.held {
		s.held = true
		s.actsFrom = now
		if !status.PreviousUntil.IsZero() {
			s.actsFrom = status.PreviousUntil.Add(s.config.LeaseTime + takeoverMargin)
		}
		s.views = make(map[string]*view)
		if known := status.Term == s.heldTerm || status.Term <= 1 && s.config.FirstStart; !known {
			s.unknownUntil = lastOrderBefore(now, status).Add(lateLimit)
		}
		s.heldTerm = status.Term
		logrus.WithFields(logrus.Fields{"term": status.Term, "version": status.Version, "acts_in_ms": s.actsFrom.Sub(now).Milliseconds()}).
			Info("placement lease held")
	}
	return !now.Before(s.actsFrom)
}

// lastOrderBefore returns until when another lease holder, or an earlier process of this
// one, may have sent orders.
func lastOrderBefore(now time.Time, status lease.Status) time.Time {
	if status.PreviousUntil.IsZero() {
		return now
	}
	return status.PreviousUntil.Add(orderTimeout)
}

// RecordDemand implements forward.Placer.
func (s *Service) RecordDemand(service, model, adapter string, tokens int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []itemKey{{service: service, model: model}}
	if adapter != "" {
		items = append(items, itemKey{service, model, adapter})
	}
	for _, item := range items {
		s.demand.add(now, item, float64(tokens))
	}
}

// FillReport implements exchange.Participant.
func (s *Service) FillReport(report *fleetv1.Report) {
	status := s.config.Lease.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	if status.Held {
		report.Lease = &fleetv1.Lease{
			Holder: status.Holder, Incarnation: status.Incarnation, Term: status.Term, Era: status.Version.Era(), Version: status.Version.Revision(),
			LeftMillis: status.Until.Sub(clock.Boot()).Milliseconds(),
		}
	}
	now := time.Now()
	for item, perSecond := range s.demand.localRates(now) {
		report.Demand = append(report.Demand, &fleetv1.Demand{
			Service: item.service, Model: item.model, Adapter: item.adapter, TokensPerSecond: perSecond,
		})
	}
	s.recent = slices.DeleteFunc(s.recent, func(a announcement) bool { return now.After(a.until) })
	for _, a := range s.recent {
		report.Holdings = append(report.Holdings, a.holding)
	}
	boot := clock.Boot()
	report.StartsKnown = s.starts.complete(boot)
	for id, start := range s.starts.recent(boot) {
		report.Restarted = append(report.Restarted, &fleetv1.EndpointStart{
			Endpoint: id, StartedMillis: start.started.UnixMilli(), AgeMillis: boot.Sub(start.since).Milliseconds(),
		})
	}
}

// learnStarts records what a peer reports of engines that have started again.
func (s *Service) learnStarts(report *fleetv1.Report) {
	now := clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range report.GetRestarted() {
		s.starts.learn(now, r.GetEndpoint(), time.UnixMilli(r.GetStartedMillis()), time.Duration(r.GetAgeMillis())*time.Millisecond)
	}
	if report.GetStartsKnown() && !s.starts.known {
		s.starts.learnAll()
	}
}

// HandleReport implements exchange.Participant.
func (s *Service) HandleReport(report *fleetv1.Report, _ bool) {
	if !report.GetWithoutDemand() {
		s.setPeerDemand(report)
	}
	s.learnStarts(report)
	if l := report.GetLease(); l != nil {
		s.config.Lease.UpdateFromPeer(lease.Value{Holder: l.GetHolder(), Incarnation: l.GetIncarnation(), Term: l.GetTerm()}, objectstore.NewVersion(l.GetEra(), l.GetVersion()))
	} else if report.GetHost() == s.config.Lease.Status().Holder {
		s.config.Lease.ReadAgain()
	}
	for _, h := range report.GetHoldings() {
		s.config.Registry.RecordHeld(h.GetEndpoint(), h.GetModel(), h.GetAdapter(), h.GetHeld())
	}
}

// setPeerDemand replaces the reporting host's demand by that of its report.
func (s *Service) setPeerDemand(report *fleetv1.Report) {
	rates := make(map[itemKey]float64, len(report.GetDemand()))
	for _, d := range report.GetDemand() {
		rates[itemKey{d.GetService(), d.GetModel(), d.GetAdapter()}] = d.GetTokensPerSecond()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.setPeer(time.Now(), report.GetHost(), rates)
}

// SetReachability implements exchange.Participant.
func (s *Service) SetReachability(exchange.Reachability) {}

// announce records in the registry that an engine holds a model or adapter, or
// no longer does, as the result of an order, and reports that to peers.
func (s *Service) announce(endpoint, model, adapter string, held bool) {
	s.config.Registry.RecordHeld(endpoint, model, adapter, held)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, announcement{
		holding: &fleetv1.Holding{Endpoint: endpoint, Model: model, Adapter: adapter, Held: held},
		until:   time.Now().Add(announceTTL),
	})
}

// engineConfig returns the configuration of a service's engines, or nil if the
// service is unknown or has none.
func (s *Service) engineConfig(service string) *traffic.Engine {
	config := s.config.Source.Current()
	if config == nil {
		return nil
	}
	if found := config.Service(service); found != nil {
		return found.Engine
	}
	return nil
}

// currentViews returns the views of a service's engines, updated with the
// engines' current entries. Engines in evacuated zones are left out; their reports are
// read again when the evacuation has ended. It must be called with the mutex held.
func (s *Service) currentViews(service string) []*view {
	var views []*view
	for _, e := range s.config.Registry.Endpoints() {
		if e.Service != service {
			continue
		}
		v, ok := s.views[e.ID]
		if !ok {
			v = newView(e, s.sentTo(e.ID))
			s.views[e.ID] = v
		}
		v.update(e)
		s.starts.observeOne(clock.Boot(), time.Now(), e.ID, e.Started)
		if s.config.Registry.Evacuated(e.Zone) {
			v.stale = true
			continue
		}
		views = append(views, v)
	}
	return views
}

// sentTo returns the orders that an engine may still carry out. It must be called with
// the mutex held.
func (s *Service) sentTo(endpoint string) *sentLoads {
	sent, ok := s.sent[endpoint]
	if !ok {
		sent = &sentLoads{}
		s.sent[endpoint] = sent
	}
	return sent
}

// lockEngine takes the lock that must be held while orders are sent to an engine, and
// returns the function that releases it. It returns false if ctx is done before: a
// change of the models holds the lock until its end.
func (s *Service) lockEngine(ctx context.Context, endpoint string) (release func(), ok bool) {
	s.mu.Lock()
	l, ok := s.locks[endpoint]
	if !ok {
		l = make(chan struct{}, 1)
		s.locks[endpoint] = l
	}
	s.mu.Unlock()
	select {
	case l <- struct{}{}:
		return func() { <-l }, true
	case <-ctx.Done():
		return nil, false
	}
}

// engineState is one engine in the state dump.
type engineState struct {
	Endpoint string
	Orders   int64
	Models   map[string]fleet.Adapters
	Busy     bool
	// Loading is a model that the engine is loading, Unsettled the number of orders to
	// load that it may still carry out.
	Loading   string
	Unsettled int
}

// DumpState returns the state of the placement lease and this host's views of
// the engines, for the state dump.
func (s *Service) DumpState() any {
	status := s.config.Lease.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	engines := []engineState{}
	for id, v := range s.views {
		engines = append(engines, engineState{id, v.orders, cloneModels(v.models), v.busy, v.incoming, len(v.sent.list)})
	}
	return map[string]any{"held": status.Held, "holder": status.Holder, "term": status.Term, "engines": engines}
}
