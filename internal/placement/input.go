package placement

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// Reason tells why a step is taken. It is stable and machine-readable.
type Reason string

// The reasons of steps.
const (
	// ReasonUnreachable: no replica of the model is ready anywhere.
	ReasonUnreachable Reason = "model_unreachable"
	// ReasonWanted: a request waits for the model or adapter.
	ReasonWanted Reason = "request_waits"
	// ReasonVersion: the serving version changed.
	ReasonVersion Reason = "serving_version"
	// ReasonMinimum: fewer replicas than the policy's minimum, as after an
	// endpoint left or died.
	ReasonMinimum Reason = "minimum_replicas"
	// ReasonDemand: an endpoint is overloaded.
	ReasonDemand Reason = "demand"
	// ReasonSpread: memory is free.
	ReasonSpread Reason = "spread"
	// ReasonMakeRoom: the memory is needed by another item.
	ReasonMakeRoom Reason = "make_room"
	// ReasonOldVersion: the version is no longer served.
	ReasonOldVersion Reason = "old_version"
	// ReasonRemoved: the item is no longer configured, or an adapter's model
	// is not on the endpoint.
	ReasonRemoved Reason = "removed"
)

// Step is one change that a plan advises.
type Step struct {
	Endpoint string
	Action   engineapi.Action
	Item     Item
	Bytes    int64
	Weights  string
	Reason   Reason
}

// IsLoad reports whether the step adds memory.
func (s *Step) IsLoad() bool {
	return s.Action == engineapi.ActionLoadModel || s.Action == engineapi.ActionLoadAdapter
}

// Endpoint is an engine as the plan sees it.
type Endpoint struct {
	Name string
	Zone string
	Pool string
	// Account is that of the newest report and intents. For other
	// availability zones it holds what the report shows.
	Account Account
	// Alive means that the endpoint answers and its replicas can be used.
	Alive bool
	// Leaving means that the endpoint is to hold nothing any more.
	Leaving bool
	// Accounted means that the account includes the endpoint's intents, and
	// that no earlier owner can add to them unnoticed.
	Accounted bool
	// Orderable means that this owner may send orders to it.
	Orderable bool
}

// Serves reports whether the endpoint's replicas count as reachable.
func (e *Endpoint) Serves() bool { return e.Alive && !e.Leaving }

// Model is a model as the plan sees it.
type Model struct {
	Name    string
	Version string
	Weights string
	Bytes   int64
	// Pools are the endpoint pools allowed. Empty means all.
	Pools []string
	// MinPerZone is the least number of replicas in each availability zone
	// that has room. Zero means one over all zones.
	MinPerZone int
	// MaxReplicas limits the replicas over all zones. Zero means no limit.
	MaxReplicas int
	// Demand is in tokens per second over all zones.
	Demand float64
	// Wanted means that a request waits for the model.
	Wanted bool
}

// Adapter is an adapter as the plan sees it.
type Adapter struct {
	Name  string
	Model string
	Bytes int64
	// Demand is in tokens per second over all zones.
	Demand float64
	// Wanted means that a request waits for the adapter.
	Wanted bool
}

// Budget limits the loads that one plan may start.
type Budget struct {
	ModelLoads   int
	AdapterLoads int
}

// Tuning holds the plan's thresholds. The zero value means DefaultTuning.
type Tuning struct {
	// EndpointTokensPerSecond is what an endpoint generates at most.
	EndpointTokensPerSecond float64
	// HighLoad is the part of EndpointTokensPerSecond above which a replica
	// is added elsewhere.
	HighLoad float64
	// LowLoad is the part below which the remaining endpoints must stay for a
	// replica to be surplus.
	LowLoad float64
	// MinResidence is how long a replica stays before demand may remove it.
	MinResidence time.Duration
	// MaxMoves limits the replicas that one plan adds for demand.
	MaxMoves int
}

// DefaultTuning returns the thresholds in use where none are set.
func DefaultTuning() Tuning {
	return Tuning{
		EndpointTokensPerSecond: 1000,
		HighLoad:                0.7,
		LowLoad:                 0.5,
		MinResidence:            5 * time.Minute,
		MaxMoves:                4,
	}
}

func (t Tuning) withDefaults() Tuning {
	d := DefaultTuning()
	if t.EndpointTokensPerSecond <= 0 {
		t.EndpointTokensPerSecond = d.EndpointTokensPerSecond
	}
	if t.HighLoad <= 0 {
		t.HighLoad = d.HighLoad
	}
	if t.LowLoad <= 0 {
		t.LowLoad = d.LowLoad
	}
	if t.MinResidence <= 0 {
		t.MinResidence = d.MinResidence
	}
	if t.MaxMoves <= 0 {
		t.MaxMoves = d.MaxMoves
	}
	return t
}

// Replica names one item on one endpoint.
type Replica struct {
	Endpoint string
	Item     Item
}

// Input is all that a plan depends on. Zone is the availability zone planned
// for; endpoints of all zones are given.
type Input struct {
	Zone      string
	Endpoints []Endpoint
	Models    []Model
	Adapters  []Adapter
	Budget    Budget
	Tuning    Tuning
	// Since is when a replica was first seen ready. A missing one counts as
	// old.
	Since map[Replica]time.Time
	Now   time.Time
}
