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
	// planInterval is the time between two plans.
	planInterval = 400 * time.Millisecond
	// settleMargin is added to the lease before a new holder's first order.
	settleMargin = 400 * time.Millisecond
	// announceFor is how long an order's effect is told to the other hosts;
	// the engines' own descriptions say it within a heartbeat.
	announceFor = 3 * time.Second
	// leastUnderWay is the number of engines that may change their models at
	// once, and enginesPerChange how many engines allow one more: those that
	// change serve less meanwhile.
	leastUnderWay    = 3
	enginesPerChange = 8
	// ceilingShare is the part of the weight store's ceiling that is used.
	ceilingShare = 0.85
)

// Leadership is the standing in the placement lease.
type Leadership interface {
	Holding() lease.Holding
	Hear(value lease.Value, version objectstore.Version)
}

// Peers asks other hosts.
type Peers interface {
	// AskLeader asks the holder of the placement lease for a model or an adapter.
	AskLeader(ctx context.Context, request *fleetv1.PlaceRequest) (*fleetv1.PlaceResponse, error)
}

// Config sets a Service.
type Config struct {
	// Host is this host's name, under which it gives orders.
	Host     string
	Registry *fleet.Registry
	Source   forward.Source
	Engines  Engines
	Lease    Leadership
	Peers    Peers
	// LeaseTime is how long after one holder's orders another's may follow.
	LeaseTime time.Duration
	// LoadWindow and LoadOverage bound the loads from the weight store.
	LoadWindow  time.Duration
	LoadOverage float64
}

// Service gives orders while this host holds the placement lease, and asks
// the holder else. It implements suture.Service, forward.Placer and
// exchange.Participant.
type Service struct {
	config  Config
	metrics *prometheus.CounterVec

	mu     sync.Mutex
	demand *demand
	views  map[string]*view
	// locks holds one lock for each engine: one order at a time.
	locks map[string]*sync.Mutex
	// actsFrom is when this host may give its first order as holder.
	held     bool
	actsFrom time.Time
	// loads are the times of recent loads of models.
	loads   []time.Time
	moving  map[string]string
	recent  []announcement
	waiting map[subject]chan struct{}
}

type announcement struct {
	holding *fleetv1.Holding
	until   time.Time
}

var _ forward.Placer = (*Service)(nil)

// New returns a service.
func New(cfg Config) *Service {
	return &Service{
		config: cfg,
		metrics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_engine_orders_total",
			Help: "Orders to engines, by action and answer.",
		}, []string{"action", "answer"}),
		demand: newDemand(), views: make(map[string]*view),
		locks: make(map[string]*sync.Mutex), moving: make(map[string]string), waiting: make(map[subject]chan struct{}),
	}
}

// String names the service in logs.
func (s *Service) String() string { return "orders" }

// Collectors returns the service's metrics.
func (s *Service) Collectors() []prometheus.Collector { return []prometheus.Collector{s.metrics} }

// Serve plans while this host holds the lease.
func (s *Service) Serve(ctx context.Context) error {
	for {
		if s.mayOrder() {
			s.plan(ctx)
		}
		if !retry.Sleep(ctx, planInterval+rand.N(planInterval/8)) {
			return ctx.Err()
		}
	}
}

// mayOrder reports whether this host may give an order now.
func (s *Service) mayOrder() bool {
	holding := s.config.Lease.Holding()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Boot()
	if !holding.Held {
		if s.held {
			logrus.Info("placement lease lost")
		}
		s.held = false
		return false
	}
	if !s.held {
		s.held = true
		s.actsFrom = now
		if !holding.ForeignUntil.IsZero() {
			s.actsFrom = holding.ForeignUntil.Add(s.config.LeaseTime + settleMargin)
		}
		s.views = make(map[string]*view)
		logrus.WithFields(logrus.Fields{"term": holding.Term, "version": holding.Version, "acts_in_ms": s.actsFrom.Sub(now).Milliseconds()}).
			Info("placement lease held")
	}
	return !now.Before(s.actsFrom)
}

// RecordDemand implements forward.Placer.
func (s *Service) RecordDemand(service, model, adapter string, tokens int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	subjects := []subject{{service: service, model: model}}
	if adapter != "" {
		subjects = append(subjects, subject{service, model, adapter})
	}
	for _, of := range subjects {
		s.demand.add(now, of, float64(tokens))
	}
}

// FillReport implements exchange.Participant.
func (s *Service) FillReport(report *fleetv1.Report) {
	holding := s.config.Lease.Holding()
	s.mu.Lock()
	defer s.mu.Unlock()
	if holding.Held {
		report.Lease = &fleetv1.Lease{
			Holder: holding.Holder, Incarnation: holding.Incarnation, Term: holding.Term, Version: int64(holding.Version),
			LeftMillis: holding.Until.Sub(clock.Boot()).Milliseconds(),
		}
	}
	now := time.Now()
	for of, perSecond := range s.demand.told(now) {
		report.Demand = append(report.Demand, &fleetv1.Demand{
			Service: of.service, Model: of.model, Adapter: of.adapter, TokensPerSecond: perSecond,
		})
	}
	s.recent = slices.DeleteFunc(s.recent, func(a announcement) bool { return now.After(a.until) })
	for _, a := range s.recent {
		report.Holdings = append(report.Holdings, a.holding)
	}
}

// HandleReport implements exchange.Participant.
func (s *Service) HandleReport(report *fleetv1.Report, _ bool) {
	if !report.GetWithoutDemand() {
		s.hearDemand(report)
	}
	if l := report.GetLease(); l != nil {
		s.config.Lease.Hear(lease.Value{Holder: l.GetHolder(), Incarnation: l.GetIncarnation(), Term: l.GetTerm()}, objectstore.Version(l.GetVersion()))
	}
	for _, h := range report.GetHoldings() {
		s.config.Registry.Learn(h.GetEndpoint(), h.GetModel(), h.GetAdapter(), h.GetHeld())
	}
}

func (s *Service) hearDemand(report *fleetv1.Report) {
	rates := make(map[subject]float64, len(report.GetDemand()))
	for _, d := range report.GetDemand() {
		rates[subject{d.GetService(), d.GetModel(), d.GetAdapter()}] = d.GetTokensPerSecond()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.report(time.Now(), report.GetHost(), rates)
}

// SetReachability implements exchange.Participant.
func (s *Service) SetReachability(exchange.Reachability) {}

// announce tells this host and the others what an engine holds by order.
func (s *Service) announce(endpoint, model, adapter string, held bool) {
	s.config.Registry.Learn(endpoint, model, adapter, held)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, announcement{
		holding: &fleetv1.Holding{Endpoint: endpoint, Model: model, Adapter: adapter, Held: held},
		until:   time.Now().Add(announceFor),
	})
}

// engineOf returns the configuration of a service's engines, or nil.
func (s *Service) engineOf(service string) *traffic.Engine {
	config := s.config.Source.Current()
	if config == nil {
		return nil
	}
	if found := config.Service(service); found != nil {
		return found.Engine
	}
	return nil
}

// refresh brings the views of a service's engines up to their descriptions.
// It must be called with the mutex held.
func (s *Service) refresh(service string) []*view {
	var views []*view
	for _, e := range s.config.Registry.Endpoints() {
		if e.Service != service {
			continue
		}
		v, ok := s.views[e.ID]
		if !ok {
			v = newView(e)
			s.views[e.ID] = v
		}
		v.update(e)
		views = append(views, v)
	}
	return views
}

func (s *Service) lock(endpoint string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.locks[endpoint]
	if !ok {
		l = &sync.Mutex{}
		s.locks[endpoint] = l
	}
	return l
}

// engineState is one engine in the state dump.
type engineState struct {
	Endpoint string
	Orders   int64
	Models   map[string]fleet.Adapters
	Busy     bool
}

// DumpState returns the lease and what the holder knows of the engines.
func (s *Service) DumpState() any {
	holding := s.config.Lease.Holding()
	s.mu.Lock()
	defer s.mu.Unlock()
	engines := []engineState{}
	for id, v := range s.views {
		engines = append(engines, engineState{id, v.orders, cloneModels(v.models), v.busy})
	}
	return map[string]any{"held": holding.Held, "holder": holding.Holder, "term": holding.Term, "engines": engines}
}
