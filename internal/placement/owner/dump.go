package owner

import (
	"github.com/prometheus/client_golang/prometheus"

	"bilberryslip.example/bilberryslip/internal/placement"
)

// ownerState is the owner's part of the state dump.
type ownerState struct {
	Zone      string          `json:"zone"`
	Held      bool            `json:"held"`
	Term      int64           `json:"term"`
	Holder    string          `json:"holder"`
	Wanted    []string        `json:"wanted"`
	Endpoints []endpointState `json:"endpoints"`
}

// endpointState is one endpoint's intents.
type endpointState struct {
	Endpoint string `json:"endpoint"`
	Claimed  bool   `json:"claimed"`
	// ReadAgeMillis is since the object was first read.
	ReadAgeMillis int64                    `json:"readAgeMillis"`
	Fence         int64                    `json:"fence"`
	Seen          placement.ReportPosition `json:"seen"`
	Orders        []orderState             `json:"orders"`
}

type orderState struct {
	placement.Order
	// EndedAgeMillis is since this host knew that the order ended; -1 where
	// it has not.
	EndedAgeMillis int64 `json:"endedAgeMillis"`
}

// DumpState returns the owner's endpoints with the orders that may yet take
// effect.
func (o *Owner) DumpState() any {
	holding := o.cfg.Lease.Holding()
	o.cycleMu.Lock()
	defer o.cycleMu.Unlock()
	state := ownerState{Zone: o.cfg.Zone, Held: holding.Held, Term: holding.Term, Holder: holding.Holder}
	for _, name := range sortedNames(o.records) {
		state.Endpoints = append(state.Endpoints, o.dumpRecord(o.records[name]))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state.Wanted = sortedNames(o.wanted)
	return state
}

func (o *Owner) dumpRecord(r *record) endpointState {
	now := o.cfg.Now()
	state := endpointState{
		Endpoint:      r.name,
		Claimed:       o.claimed(r),
		ReadAgeMillis: now.Sub(r.readAt).Milliseconds(),
		Fence:         r.intents.Fence,
		Seen:          r.intents.LastReport,
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, order := range r.intents.Orders {
		age := int64(-1)
		if c := o.calls[order.ID]; c != nil && !c.endedAt.IsZero() {
			age = now.Sub(c.endedAt).Milliseconds()
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

// Collectors returns the owner's metrics.
func (o *Owner) Collectors() []prometheus.Collector {
	return []prometheus.Collector{o.metrics.steps, o.metrics.orders, o.metrics.writes, o.metrics.cycle}
}
