// Package owner carries out the plans of package placement for the endpoints
// of one availability zone. One host at a time owns a zone's endpoints, by a
// lease. Safety does not rest on the lease: each order is written to the
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

// Defaults of Config.
const (
	DefaultInterval      = time.Second
	DefaultOrderTimeout  = 5 * time.Second
	DefaultOrderLifetime = 2 * time.Minute
	DefaultStaleReport   = 15 * time.Second
	DefaultSettleDelay   = 5 * time.Second
	DefaultDemandWindow  = time.Minute
)

// wantLifetime is how long a request's wish for a model is remembered.
const wantLifetime = 30 * time.Second

// LeaseName returns the name of the lease for a zone's endpoints.
func LeaseName(zone string) string { return "placement-" + zone }

// Endpoints gives the endpoints' states and sends them orders. An error of
// Order that has a method NotSent() bool returning true means that no byte of
// the order left the process; any other error leaves the outcome unknown.
// After Order has returned, no further copy of the order may be sent.
type Endpoints interface {
	States() []endpoint.State
	Order(ctx context.Context, name string, order engineapi.Order) (engineapi.OrderResult, error)
}

// Recorder keeps the record of decisions.
type Recorder interface {
	Record(decision *apiv1.Decision) string
}

// Holder tells whether this host owns the zone's endpoints.
type Holder interface {
	Status() lease.Status
	// RaiseTerm makes the lease's next write use at least the term given.
	RaiseTerm(term int64)
}

// Demand is the recent demand for one model or adapter, over all hosts.
type Demand struct {
	TokensPerSecond float64
	// Queued is the number of requests that wait.
	Queued int
}

// WeightStore is what the weight store of the region allows. Its limits are
// divided evenly over the region's availability zones.
type WeightStore struct {
	// LoadsPerSecond is the rate of model loads. Zero means 1.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of model loads at full speed. Zero means 4.
	LoadsAtOnce int
	// AdapterLoadsAtOnce is the number of adapter loads in flight at full
	// speed. Zero means 32.
	AdapterLoadsAtOnce int
	// Zones is the number of availability zones that share it. Zero means
	// those with engines in the configuration.
	Zones int
}

// Config sets up an Owner.
type Config struct {
	Host string
	// Incarnation identifies this process.
	Incarnation string
	Zone        string
	Store       objectstore.Store
	Source      config.Source
	Endpoints   Endpoints
	Lease       Holder
	Recorder    Recorder
	// Demand gives the demand by model or adapter name. Nil means none.
	Demand func() map[string]Demand
	// DemandWindow is the time constant of the demand's exponential average.
	// Zero means DefaultDemandWindow.
	DemandWindow time.Duration
	WeightStore  WeightStore
	Tuning       placement.Tuning
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// Interval is the time between two plans. Zero means DefaultInterval.
	Interval time.Duration
	// OrderTimeout limits one call to an endpoint. Zero means
	// DefaultOrderTimeout.
	OrderTimeout time.Duration
	// OrderLifetime is the longest time that a copy of an order may still be
	// under way after its sender's call is over, or after a report named it.
	// It matters for endpoints that do not check fencing. Zero means
	// DefaultOrderLifetime.
	OrderLifetime time.Duration
	// StaleReport is the age at which a report is no longer relied upon. Zero
	// means DefaultStaleReport.
	StaleReport time.Duration
	// SettleDelay is the longest time that the end of an order stays
	// unwritten. Zero means DefaultSettleDelay.
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
	c.WeightStore = c.WeightStore.withDefaults()
	return c
}

func (w WeightStore) withDefaults() WeightStore {
	if w.LoadsPerSecond <= 0 {
		w.LoadsPerSecond = 1
	}
	if w.LoadsAtOnce <= 0 {
		w.LoadsAtOnce = 4
	}
	if w.AdapterLoadsAtOnce <= 0 {
		w.AdapterLoadsAtOnce = 32
	}
	return w
}

// Owner is a candidate owner of a zone's endpoints. The zero value is not
// usable; call New.
type Owner struct {
	cfg     Config
	sender  string
	metrics ownerMetrics
	wake    chan struct{}
	sends   sync.WaitGroup

	mu     sync.Mutex
	calls  map[string]*call
	wanted map[string]time.Time

	// What follows is used by the goroutine that runs Cycle, under cycleMu.
	cycleMu sync.Mutex
	term    int64
	deposed int64
	records map[string]*record
	budget  loadBudget
	demand  smoother
	since   map[placement.Replica]time.Time
}

// New returns an owner. Run its Serve.
func New(cfg Config) *Owner {
	cfg = cfg.withDefaults()
	return &Owner{
		cfg:     cfg,
		sender:  cfg.Host + "/" + cfg.Incarnation,
		metrics: newOwnerMetrics(),
		wake:    make(chan struct{}, 1),
		calls:   make(map[string]*call),
		wanted:  make(map[string]time.Time),
		records: make(map[string]*record),
		budget:  loadBudget{store: cfg.WeightStore, tokens: 1},
		since:   make(map[placement.Replica]time.Time),
	}
}

// Want hints that a request waits for a model or adapter that no endpoint in
// reach holds.
func (o *Owner) Want(name string) {
	o.mu.Lock()
	o.wanted[name] = o.cfg.Now()
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Serve implements suture.Service.
func (o *Owner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(o.cfg.Interval)
	defer ticker.Stop()
	for {
		if err := o.Cycle(ctx); err != nil && ctx.Err() == nil {
			logrus.WithError(err).WithField("zone", o.cfg.Zone).Warn("placement cycle failed")
		}
		select {
		case <-ctx.Done():
			o.stop()
			return ctx.Err()
		case <-ticker.C:
		case <-o.wake:
		}
	}
}

// Wait blocks until no order is being sent.
func (o *Owner) Wait() { o.sends.Wait() }

// stop writes down how this owner's last orders ended.
func (o *Owner) stop() {
	o.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), o.cfg.OrderTimeout)
	defer cancel()
	o.cycleMu.Lock()
	defer o.cycleMu.Unlock()
	o.reportEnded(ctx)
}

// Cycle makes and carries out one plan if this host is the owner. Orders are
// sent in the background.
func (o *Owner) Cycle(ctx context.Context) error {
	o.cycleMu.Lock()
	defer o.cycleMu.Unlock()
	holding := o.cfg.Lease.Status()
	if !holding.Held || holding.Term <= o.deposed {
		o.records = make(map[string]*record)
		o.reportEnded(ctx)
		return nil
	}
	begun := o.cfg.Now()
	if holding.Term != o.term {
		o.term = holding.Term
		o.records = make(map[string]*record)
		o.since = make(map[placement.Replica]time.Time)
	}
	views := o.views()
	err := o.claimAll(ctx, views)
	if err == nil {
		err = o.settleAll(ctx, views)
	}
	if err == nil {
		err = o.carryOut(ctx, views)
	}
	o.metrics.cycle.Observe(o.cfg.Now().Sub(begun).Seconds())
	return o.checkDeposed(err)
}

// checkDeposed notes that another owner with a higher term exists.
func (o *Owner) checkDeposed(err error) error {
	var deposed *deposedError
	if !errors.As(err, &deposed) {
		return err
	}
	o.deposed = o.term
	o.cfg.Lease.RaiseTerm(deposed.term + 1)
	o.records = make(map[string]*record)
	logrus.WithFields(logrus.Fields{"zone": o.cfg.Zone, "term": o.term, "owner": deposed.owner}).
		Info("placement owner deposed")
	return nil
}
