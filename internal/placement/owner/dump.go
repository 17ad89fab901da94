package owner

import (
	"github.com/prometheus/client_golang/prometheus"

	"bilberryslip.example/bilberryslip/internal/placement"
)

// ownerState is the owner's section of the state dump.
type ownerState struct {
	Zone      string          `json:"zone"`
	Held      bool            `json:"held"`
	Term      int64           `json:"term"`
	Holder    string          `json:"holder"`
	Endpoints []endpointState `json:"endpoints"`
}

// endpointState is the state dump of one endpoint's intents.
type endpointState struct {
	Endpoint string `json:"endpoint"`
	Claimed  bool   `json:"claimed"`
	// ReadAgeMillis is the time since the object was first read.
	ReadAgeMillis int64                    `json:"readAgeMillis"`
	Fence         int64                    `json:"fence"`
	LastReport    placement.ReportPosition `json:"seen"`
	Orders        []orderState             `json:"orders"`
}

// orderState is the state dump of one order.
type orderState struct {
	placement.Order
	// EndedAgeMillis is the time since this host found that the order had
	// ended; -1 if it has not.
	EndedAgeMillis int64 `json:"endedAgeMillis"`
}

// DumpState returns the owner's state for the state dump: its lease, and its
// endpoints with the orders that may still take effect.
func (o *Owner) DumpState() any {
	status := o.cfg.Lease.Status()
	o.cycleMu.Lock()
	defer o.cycleMu.Unlock()
	state := ownerState{Zone: o.cfg.Zone, Held: status.Held, Term: status.Term, Holder: status.Holder}
	for _, name := range sortedNames(o.intentCache) {
		state.Endpoints = append(state.Endpoints, o.dumpIntents(o.intentCache[name]))
	}
	return state
}

func (o *Owner) dumpIntents(cached *cachedIntents) endpointState {
	now := o.cfg.Now()
	state := endpointState{
		Endpoint:      cached.name,
		Claimed:       o.claimed(cached),
		ReadAgeMillis: now.Sub(cached.firstReadAt).Milliseconds(),
		Fence:         cached.intents.Fence,
		LastReport:    cached.intents.LastReport,
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, order := range cached.intents.Orders {
		age := int64(-1)
		if tracked := o.trackedOrders[order.ID]; tracked != nil && !tracked.endedAt.IsZero() {
			age = now.Sub(tracked.endedAt).Milliseconds()
		}
		state.Orders = append(state.Orders, orderState{Order: order, EndedAgeMillis: age})
	}
	return state
}

type ownerMetrics struct {
	steps  *prometheus.CounterVec
	orders *prometheus.CounterVec
	writes prometheus.Counter
	cycle  prometheus.Histogram
}

func newOwnerMetrics() ownerMetrics {
	return ownerMetrics{
		steps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_placement_steps_total",
			Help: "Placement steps committed, by action and reason.",
		}, []string{"action", "reason"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_placement_orders_total",
			Help: "Orders sent to endpoints, by action and outcome of the call.",
		}, []string{"action", "outcome"}),
		writes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberryslip_placement_intent_writes_total",
			Help: "Writes of intent objects.",
		}),
		cycle: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bilberryslip_placement_cycle_seconds",
			Help:    "Time of one placement cycle in seconds.",
			Buckets: []float64{0.001, 0.005, 0.02, 0.1, 0.5, 2},
		}),
	}
}

// Collectors returns the owner's metrics for registration.
func (o *Owner) Collectors() []prometheus.Collector {
	return []prometheus.Collector{o.metrics.steps, o.metrics.orders, o.metrics.writes, o.metrics.cycle}
}
