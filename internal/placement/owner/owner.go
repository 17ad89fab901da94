// Package owner executes the plans of package placement for the endpoints of one
// availability zone. One host at a time owns a zone's endpoints; it holds a lease
// on them. Safety does not depend on the lease: each order is written to the
// endpoint's intent object by a conditional update before it is sent.
package owner

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/endpoint"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/lease"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/placement"
)

// Default values of Config.
const (
	DefaultInterval      = time.Second
	DefaultOrderTimeout  = 5 * time.Second
	DefaultOrderLifetime = 2 * time.Minute
	DefaultStaleReport   = 15 * time.Second
	DefaultSettleDelay   = 5 * time.Second
	DefaultDemandWindow  = time.Minute
)

// LeaseName returns the name of the lease for a zone's endpoints.
func LeaseName(zone string) string { return "placement-" + zone }

// Endpoints returns the states of the endpoints and sends them orders. If the
// error of Order has a method NotSent() bool that returns true, no byte of the
// order left the process; any other error leaves the outcome unknown. After Order
// has returned, no further copy of the order may be sent.
type Endpoints interface {
	States() []endpoint.State
	Order(ctx context.Context, name string, order engineapi.Order) (engineapi.OrderResult, error)
}

// Recorder records decisions and returns their identifiers.
type Recorder interface {
	Record(decision *apiv1.Decision) string
}

// Lease is this host's view of the lease on the zone's endpoints. It is implemented
// by lease.Lease.
type Lease interface {
	// Status returns whether this host holds the lease, and the lease's term.
	Status() lease.Status
	// RaiseTerm makes the next write of the lease use at least the given term.
	RaiseTerm(term int64)
}

// Demand is the recent demand for one model or adapter, summed over all hosts.
type Demand struct {
	TokensPerSecond float64
	// Queued is the number of queued requests.
	Queued int
}

// WeightStoreLimits holds the load limits of the region's weight store. They are
// divided evenly over the region's availability zones.
type WeightStoreLimits struct {
	// LoadsPerSecond is the rate at which model loads may start. Zero means 1.
	LoadsPerSecond float64
	// ParallelLoads is the number of parallel model loads that the store serves
	// at full speed. Zero means 4.
	ParallelLoads int
	// ParallelAdapterLoads is the number of parallel adapter loads that the
	// store serves at full speed. Zero means 32.
	ParallelAdapterLoads int
	// Zones is the number of availability zones that share the store. Zero
	// means the number of zones with engines in the configuration.
	Zones int
}

// Config configures an Owner.
type Config struct {
	// Host is the name of this host.
	Host string
	// Incarnation identifies this process.
	Incarnation string
	// Zone is the availability zone whose endpoints are owned.
	Zone      string
	Store     objectstore.Store
	Source    config.Source
	Endpoints Endpoints
	Lease     Lease
	Recorder  Recorder
	// Demand returns the demand by model or adapter name. Nil means no demand.
	Demand func() map[string]Demand
	// DemandWindow is the time constant of the demand's exponential average.
	// Zero means DefaultDemandWindow.
	DemandWindow      time.Duration
	WeightStoreLimits WeightStoreLimits
	Tuning            placement.Tuning
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// Interval is the time between two plans. Zero means DefaultInterval.
	Interval time.Duration
	// OrderTimeout is the timeout of one call to an endpoint. Zero means
	// DefaultOrderTimeout.
	OrderTimeout time.Duration
	// OrderLifetime is the longest time for which a copy of an order may still
	// be in flight after its sender's call returned, or after a report listed
	// the order as settled. It matters for endpoints that do not check fencing
	// tokens. Zero means DefaultOrderLifetime.
	OrderLifetime time.Duration
	// StaleReport is the age up to which a report is used. Zero means
	// DefaultStaleReport.
	StaleReport time.Duration
	// SettleDelay is the longest time for which the end of an order is not yet
	// written to the intent object. Zero means DefaultSettleDelay.
	SettleDelay time.Duration
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.OrderTimeout = cmp.Or(c.OrderTimeout, DefaultOrderTimeout)
	c.OrderLifetime = cmp.Or(c.OrderLifetime, DefaultOrderLifetime)
	c.StaleReport = cmp.Or(c.StaleReport, DefaultStaleReport)
	c.SettleDelay = cmp.Or(c.SettleDelay, DefaultSettleDelay)
	c.DemandWindow = cmp.Or(c.DemandWindow, DefaultDemandWindow)
	c.WeightStoreLimits = c.WeightStoreLimits.withDefaults()
	return c
}

func (w WeightStoreLimits) withDefaults() WeightStoreLimits {
	if w.LoadsPerSecond <= 0 {
		w.LoadsPerSecond = 1
	}
	if w.ParallelLoads <= 0 {
		w.ParallelLoads = 4
	}
	if w.ParallelAdapterLoads <= 0 {
		w.ParallelAdapterLoads = 32
	}
	return w
}

// Owner plans the placement on a zone's endpoints and sends them orders while
// this host holds the zone's lease. It is created by New; the zero value is not
// usable. Its methods are safe for concurrent use.
type Owner struct {
	cfg      Config
	sender   string
	metrics  ownerMetrics
	inFlight sync.WaitGroup

	mu            sync.Mutex
	trackedOrders map[string]*trackedOrder

	// cycleMu guards the fields below, which Cycle uses.
	cycleMu     sync.Mutex
	term        int64
	deposedTerm int64

	ignoredMu sync.Mutex
	// ignored logs the intents that can't be decoded.
	ignored     objectstore.IgnoredLog
	intentCache map[string]*cachedIntents
	budget      loadBudget
	demand      movingAverage
	readySince  map[placement.Replica]time.Time
}

// New returns an Owner. Call Serve to run it.
func New(cfg Config) *Owner {
	cfg = cfg.withDefaults()
	return &Owner{
		cfg:           cfg,
		sender:        cfg.Host + "/" + cfg.Incarnation,
		metrics:       newOwnerMetrics(),
		trackedOrders: make(map[string]*trackedOrder),
		intentCache:   make(map[string]*cachedIntents),
		budget:        loadBudget{limits: cfg.WeightStoreLimits, tokens: 1},
		readySince:    make(map[placement.Replica]time.Time),
	}
}

// Serve runs a cycle at every Interval until ctx is done. It implements suture.Service.
func (o *Owner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(o.cfg.Interval)
	defer ticker.Stop()
	for {
		if err := o.Cycle(ctx); err != nil && ctx.Err() == nil {
			logrus.WithError(err).WithField("zone", o.cfg.Zone).Warn("placement cycle failed")
		}
		select {
		case <-ctx.Done():
			o.shutdown()
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Wait blocks until no call for an order is in flight.
func (o *Owner) Wait() { o.inFlight.Wait() }

// shutdown waits for the orders in flight and marks them as ended in the store.
func (o *Owner) shutdown() {
	o.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), o.cfg.OrderTimeout)
	defer cancel()
	o.cycleMu.Lock()
	defer o.cycleMu.Unlock()
	o.markFinishedOrders(ctx)
}

// Cycle makes and executes one plan if this host holds the lease. Orders are sent
// in the background.
func (o *Owner) Cycle(ctx context.Context) error {
	o.cycleMu.Lock()
	defer o.cycleMu.Unlock()
	status := o.cfg.Lease.Status()
	if !status.Held || status.Term <= o.deposedTerm {
		o.intentCache = make(map[string]*cachedIntents)
		o.markFinishedOrders(ctx)
		return nil
	}
	started := o.cfg.Now()
	if status.Term != o.term {
		o.term = status.Term
		o.intentCache = make(map[string]*cachedIntents)
		o.readySince = make(map[placement.Replica]time.Time)
	}
	views := o.views()
	err := o.claimAll(ctx, views)
	if err == nil {
		err = o.settleAll(ctx, views)
	}
	if err == nil {
		err = o.executePlan(ctx, views)
	}
	o.metrics.cycle.Observe(o.cfg.Now().Sub(started).Seconds())
	return o.checkDeposed(err)
}

// checkDeposed handles a deposedError in err: this owner stops until it holds the
// lease with a higher term. It returns any other error unchanged.
func (o *Owner) checkDeposed(err error) error {
	var deposed *deposedError
	if !errors.As(err, &deposed) {
		return err
	}
	o.deposedTerm = o.term
	o.cfg.Lease.RaiseTerm(deposed.term + 1)
	o.intentCache = make(map[string]*cachedIntents)
	logrus.WithFields(logrus.Fields{"zone": o.cfg.Zone, "term": o.term, "owner": deposed.owner}).
		Info("placement owner deposed")
	return nil
}
