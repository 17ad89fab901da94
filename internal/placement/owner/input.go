package owner

import (
	"math"
	"slices"
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/engineapi"
	"bilberryslip.example/bilberryslip/internal/placement"
)

// planInput collects the input of a plan.
func (o *Owner) planInput(views []*view, now time.Time) placement.Input {
	snapshot := o.cfg.Source.Current()
	o.recordReady(views, now)
	demand := o.smoothedDemand(now)
	return placement.Input{
		Zone:       o.cfg.Zone,
		Endpoints:  o.planEndpoints(views),
		Models:     models(snapshot, demand),
		Adapters:   adapters(snapshot, demand),
		Budget:     o.budget.available(now, countLoadsInFlight(views), o.weightStoreZones(views)),
		Tuning:     o.cfg.Tuning,
		ReadySince: o.readySince,
		Now:        now,
	}
}

// planEndpoints converts the views to the endpoints of a plan's input.
func (o *Owner) planEndpoints(views []*view) []placement.Endpoint {
	now := o.cfg.Now()
	endpoints := make([]placement.Endpoint, 0, len(views))
	for _, v := range views {
		endpoints = append(endpoints, placement.Endpoint{
			Name:           v.name,
			Zone:           v.zone,
			Pool:           v.config.GetPool(),
			Account:        v.account,
			Alive:          v.alive(now, o.cfg.StaleReport),
			Draining:       v.draining(),
			OrdersAllowed:  v.usable && !v.state.Ejected,
			IntentsCounted: v.intentsCounted,
		})
	}
	return endpoints
}

func models(snapshot *config.Snapshot, demand map[string]float64) []placement.Model {
	policies := policyIndex(snapshot)
	var out []placement.Model
	for _, m := range snapshot.Models() {
		version := snapshot.Version(m.GetServingVersion())
		if version == nil {
			continue
		}
		policy := policies.of(m.GetName())
		out = append(out, placement.Model{
			Name:        m.GetName(),
			Version:     version.GetName(),
			Weights:     version.GetWeights(),
			Bytes:       version.GetMemoryBytes(),
			Pools:       policy.GetPools(),
			MinPerZone:  int(policy.GetMinReplicasPerZone()),
			MaxReplicas: int(policy.GetMaxReplicas()),
			Demand:      demand[m.GetName()],
		})
	}
	return out
}

// policyMap maps models to their placement policies. defaultPolicy applies to the
// models that no policy names; it may be nil.
type policyMap struct {
	named         map[string]*apiv1.PlacementPolicy
	defaultPolicy *apiv1.PlacementPolicy
}

func policyIndex(snapshot *config.Snapshot) policyMap {
	index := policyMap{named: make(map[string]*apiv1.PlacementPolicy)}
	for _, policy := range snapshot.PlacementPolicies() {
		if len(policy.GetModels()) == 0 {
			index.defaultPolicy = policy
		}
		for _, model := range policy.GetModels() {
			index.named[model] = policy
		}
	}
	return index
}

func (p policyMap) of(model string) *apiv1.PlacementPolicy {
	if policy := p.named[model]; policy != nil {
		return policy
	}
	return p.defaultPolicy
}

func adapters(snapshot *config.Snapshot, demand map[string]float64) []placement.Adapter {
	var out []placement.Adapter
	for _, a := range snapshot.Adapters() {
		out = append(out, placement.Adapter{
			Name:   a.GetName(),
			Model:  a.GetModel(),
			Bytes:  a.GetMemoryBytes(),
			Demand: demand[a.GetName()],
		})
	}
	return out
}

// recordReady records when each replica of the zone was first seen ready, and
// drops replicas that are no longer ready.
func (o *Owner) recordReady(views []*view, now time.Time) {
	updated := make(map[placement.Replica]time.Time, len(o.readySince))
	for _, v := range views {
		if v.zone != o.cfg.Zone {
			continue
		}
		for item, status := range v.account.Items {
			replica := placement.Replica{Endpoint: v.name, Item: item}
			if status.State != engineapi.ItemReady {
				continue
			}
			updated[replica] = now
			if first, ok := o.readySince[replica]; ok {
				updated[replica] = first
			}
		}
	}
	o.readySince = updated
}

// smoothedDemand returns the average demand by name, in tokens per second. The
// demand for an adapter counts for its model as well.
func (o *Owner) smoothedDemand(now time.Time) map[string]float64 {
	current := make(map[string]float64)
	if o.cfg.Demand != nil {
		for name, demand := range o.cfg.Demand() {
			current[name] = demand.TokensPerSecond
		}
	}
	snapshot := o.cfg.Source.Current()
	for _, a := range snapshot.Adapters() {
		current[a.GetModel()] += current[a.GetName()]
	}
	return o.demand.update(current, now, o.cfg.DemandWindow)
}

// movingAverage is an exponential moving average of demand by name, in tokens per
// second. The zero value starts with the values of the first update.
type movingAverage struct {
	at     time.Time
	values map[string]float64
}

func (m *movingAverage) update(current map[string]float64, now time.Time, window time.Duration) map[string]float64 {
	weight := 1.0
	if !m.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(m.at).Seconds()/window.Seconds())
	}
	next := make(map[string]float64, len(current))
	for name, value := range m.values {
		if decayed := value * (1 - weight); decayed > 1e-3 {
			next[name] = decayed
		}
	}
	for name, value := range current {
		next[name] += value * weight
	}
	m.at, m.values = now, next
	return next
}

// loadsInFlight is the number of loads in the zone that have not ended.
type loadsInFlight struct {
	models   int
	adapters int
}

func countLoadsInFlight(views []*view) loadsInFlight {
	var count loadsInFlight
	for _, v := range views {
		for item, status := range v.account.Items {
			loading := status.State == engineapi.ItemLoading || status.LoadPending && status.State != engineapi.ItemReady
			switch {
			case v.cached == nil || !loading:
			case item.IsAdapter():
				count.adapters++
			default:
				count.models++
			}
		}
	}
	return count
}

// loadBudget is this zone's share of the weight store: a token bucket with a
// capacity of one model load, and limits on parallel loads.
type loadBudget struct {
	limits WeightStoreLimits
	tokens float64
	at     time.Time
}

// available returns the number of loads that may start now if the weight store is
// shared by the given number of zones.
func (b *loadBudget) available(now time.Time, inFlight loadsInFlight, zones int) placement.Budget {
	if !b.at.IsZero() {
		b.tokens = min(1, b.tokens+now.Sub(b.at).Seconds()*b.limits.LoadsPerSecond/float64(zones))
	}
	b.at = now
	parallelLoads := max(1, b.limits.ParallelLoads/zones)
	parallelAdapterLoads := max(1, b.limits.ParallelAdapterLoads/zones)
	return placement.Budget{
		ModelLoads:   max(0, min(int(b.tokens+1e-9), parallelLoads-inFlight.models)),
		AdapterLoads: max(0, parallelAdapterLoads-inFlight.adapters),
	}
}

// consume takes the token of one model load.
func (b *loadBudget) consume() { b.tokens-- }

// weightStoreZones returns the number of zones that share the weight store.
func (o *Owner) weightStoreZones(views []*view) int {
	if o.cfg.WeightStoreLimits.Zones > 0 {
		return o.cfg.WeightStoreLimits.Zones
	}
	zones := make(map[string]bool)
	for _, v := range views {
		zones[v.zone] = true
	}
	return max(1, len(zones))
}

// sortedNames returns the keys in order, so that state dumps are deterministic.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
