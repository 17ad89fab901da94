package placement

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// Reason is the cause of a step, as a stable, machine-readable code.
type Reason string

// Reasons for steps.
const (
	// ReasonUnreachable: no replica of the model is ready in any zone.
	ReasonUnreachable Reason = "model_unreachable"
	// ReasonVersion: the serving version changed.
	ReasonVersion Reason = "serving_version"
	// ReasonMinimum: the model has fewer replicas than the policy's minimum,
	// for example after an endpoint was drained or failed.
	ReasonMinimum Reason = "minimum_replicas"
	// ReasonDemand: an endpoint is overloaded.
	ReasonDemand Reason = "demand"
	// ReasonSpread: free memory allows another replica or copy.
	ReasonSpread Reason = "spread"
	// ReasonMakeRoom: the step frees memory for another item.
	ReasonMakeRoom Reason = "make_room"
	// ReasonOldVersion: the version is no longer served.
	ReasonOldVersion Reason = "old_version"
	// ReasonRemoved: the item is no longer configured, or an adapter's model
	// is not on the endpoint.
	ReasonRemoved Reason = "removed"
)

// Step is one change that a plan proposes: a load or an unload of one item on
// one endpoint.
type Step struct {
	Endpoint string
	Action   engineapi.Action
	Item     Item
	// Bytes is the memory that the item takes on the endpoint.
	Bytes int64
	// Weights names the weights in the weight store. It is empty for unloads.
	Weights string
	Reason  Reason
}

// IsLoad reports whether the step loads a model or an adapter.
func (s *Step) IsLoad() bool {
	return s.Action == engineapi.ActionLoadModel || s.Action == engineapi.ActionLoadAdapter
}

// Endpoint is a plan's input for one engine.
type Endpoint struct {
	Name string
	Zone string
	Pool string
	// Account is computed from the newest report and intents. For endpoints of
	// other availability zones it is computed from the report alone.
	Account Account
	// Alive is set if the endpoint responds and its replicas can be used.
	Alive bool
	// Draining is set if the endpoint is draining: its replicas no longer count,
	// and it gets no orders.
	Draining bool
	// IntentsCounted is set if the account includes the endpoint's intents, and
	// an earlier owner can't add to them unnoticed.
	IntentsCounted bool
	// OrdersAllowed is set if this owner may send orders to the endpoint.
	OrdersAllowed bool
}

// Serves reports whether the endpoint's replicas count towards the reachability
// of their models.
func (e *Endpoint) Serves() bool { return e.Alive && !e.Draining }

// Model is a plan's input for one model.
type Model struct {
	Name string
	// Version is the serving version.
	Version string
	// Weights names the version's weights in the weight store.
	Weights string
	// Bytes is the memory of one replica.
	Bytes int64
	// Pools are the endpoint pools that may hold the model. Empty means all.
	Pools []string
	// MinPerZone is the minimum number of replicas in each availability zone
	// that has memory for them. Zero means one over all zones.
	MinPerZone int
	// MaxReplicas limits the replicas over all zones. Zero means no limit.
	MaxReplicas int
	// Demand is in tokens per second over all zones.
	Demand float64
}

// Adapter is a plan's input for one adapter.
type Adapter struct {
	Name string
	// Model is the base model.
	Model string
	// Bytes is the memory of one copy.
	Bytes int64
	// Demand is in tokens per second over all zones.
	Demand float64
}

// Budget is the number of loads that one plan may start.
type Budget struct {
	ModelLoads   int
	AdapterLoads int
}

// Tuning holds the thresholds of a plan. A field that is zero or less takes its
// value from DefaultTuning.
type Tuning struct {
	// EndpointTokensPerSecond is the highest token rate of one endpoint.
	EndpointTokensPerSecond float64
	// HighLoad is the fraction of EndpointTokensPerSecond above which an
	// endpoint is overloaded, so that replicas are added on other endpoints.
	HighLoad float64
	// LowLoad is the fraction of EndpointTokensPerSecond that the remaining
	// endpoints may reach when a surplus replica is removed.
	LowLoad float64
	// MinResidence is the time for which a ready replica is not removed on
	// account of demand.
	MinResidence time.Duration
	// MaxMoves is the largest number of replicas that one plan adds for demand.
	MaxMoves int
}

// DefaultTuning returns the default thresholds.
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

// Replica identifies one item on one endpoint.
type Replica struct {
	Endpoint string
	Item     Item
}

// Input is the complete input of a plan. Zone is the availability zone to plan
// for; Endpoints holds the endpoints of all zones.
type Input struct {
	Zone      string
	Endpoints []Endpoint
	Models    []Model
	Adapters  []Adapter
	Budget    Budget
	Tuning    Tuning
	// ReadySince holds the time at which each replica was first seen ready. A
	// replica without an entry is taken to have passed MinResidence.
	ReadySince map[Replica]time.Time
	// Now is the time of the plan.
	Now time.Time
}
