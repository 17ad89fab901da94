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

// input collects what a plan depends on.
func (o *Owner) input(views []*view, now time.Time) placement.Input {
	snapshot := o.cfg.Source.Current()
	o.noteReady(views, now)
	demand := o.smoothedDemand(now)
	wanted := o.wantedNames(now)
	return placement.Input{
		Zone:       o.cfg.Zone,
		Endpoints:  o.planned(views),
		Models:     models(snapshot, demand, wanted),
		Adapters:   adapters(snapshot, demand, wanted),
		Budget:     o.budget.now(now, ordersUnderWay(views), o.weightStoreZones(views)),
		Tuning:     o.cfg.Tuning,
		ReadySince: o.since,
		Now:        now,
	}
}

// planned returns the views as the plan sees them.
func (o *Owner) planned(views []*view) []placement.Endpoint {
	now := o.cfg.Now()
	endpoints := make([]placement.Endpoint, 0, len(views))
	for _, v := range views {
		endpoints = append(endpoints, placement.Endpoint{
			Name:           v.name,
			Zone:           v.zone,
			Pool:           v.config.GetPool(),
			Account:        v.account,
			Alive:          v.alive(now, o.cfg.StaleReport),
			Draining:       v.leaving(),
			OrdersAllowed:  v.usable && !v.state.Ejected,
			IntentsCounted: v.accounted,
		})
	}
	return endpoints
}

func models(snapshot *config.Snapshot, demand map[string]float64, wanted map[string]bool) []placement.Model {
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
			Requested:   wanted[m.GetName()],
		})
	}
	return out
}

// policyMap finds the placement policy of a model.
type policyMap struct {
	named    map[string]*apiv1.PlacementPolicy
	fallback *apiv1.PlacementPolicy
}

func policyIndex(snapshot *config.Snapshot) policyMap {
	index := policyMap{named: make(map[string]*apiv1.PlacementPolicy)}
	for _, policy := range snapshot.PlacementPolicies() {
		if len(policy.GetModels()) == 0 {
			index.fallback = policy
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
	return p.fallback
}

func adapters(snapshot *config.Snapshot, demand map[string]float64, wanted map[string]bool) []placement.Adapter {
	var out []placement.Adapter
	for _, a := range snapshot.Adapters() {
		out = append(out, placement.Adapter{
			Name:      a.GetName(),
			Model:     a.GetModel(),
			Bytes:     a.GetMemoryBytes(),
			Demand:    demand[a.GetName()],
			Requested: wanted[a.GetName()],
		})
	}
	return out
}

// noteReady keeps when each replica of the zone was first seen ready.
func (o *Owner) noteReady(views []*view, now time.Time) {
	seen := make(map[placement.Replica]time.Time, len(o.since))
	for _, v := range views {
		if v.zone != o.cfg.Zone {
			continue
		}
		for item, status := range v.account.Items {
			replica := placement.Replica{Endpoint: v.name, Item: item}
			if status.State != engineapi.ItemReady {
				continue
			}
			seen[replica] = now
			if first, ok := o.since[replica]; ok {
				seen[replica] = first
			}
		}
	}
	o.since = seen
}

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

// smoother is an exponential average of demand. The zero value starts with
// the first demand it is given.
type smoother struct {
	at     time.Time
	values map[string]float64
}

func (s *smoother) update(current map[string]float64, now time.Time, window time.Duration) map[string]float64 {
	weight := 1.0
	if !s.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(s.at).Seconds()/window.Seconds())
	}
	next := make(map[string]float64, len(current))
	for name, value := range s.values {
		if kept := value * (1 - weight); kept > 1e-3 {
			next[name] = kept
		}
	}
	for name, value := range current {
		next[name] += value * weight
	}
	s.at, s.values = now, next
	return next
}

func (o *Owner) wantedNames(now time.Time) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := make(map[string]bool, len(o.wanted))
	for name, at := range o.wanted {
		if now.Sub(at) > wantLifetime {
			delete(o.wanted, name)
			continue
		}
		names[name] = true
	}
	return names
}

// underWay counts orders that have not ended.
type underWay struct {
	models   int
	adapters int
}

func ordersUnderWay(views []*view) underWay {
	var count underWay
	for _, v := range views {
		for item, status := range v.account.Items {
			loading := status.State == engineapi.ItemLoading || status.LoadPending && status.State != engineapi.ItemReady
			switch {
			case v.record == nil || !loading:
			case item.IsAdapter():
				count.adapters++
			default:
				count.models++
			}
		}
	}
	return count
}

// loadBudget is this zone's part of the weight store.
type loadBudget struct {
	store  WeightStore
	tokens float64
	at     time.Time
}

// now returns the loads that may start, where the weight store is divided over
// the number of zones given.
func (b *loadBudget) now(now time.Time, running underWay, zones int) placement.Budget {
	if !b.at.IsZero() {
		b.tokens = min(1, b.tokens+now.Sub(b.at).Seconds()*b.store.LoadsPerSecond/float64(zones))
	}
	b.at = now
	atOnce := max(1, b.store.LoadsAtOnce/zones)
	adapters := max(1, b.store.AdapterLoadsAtOnce/zones)
	return placement.Budget{
		ModelLoads:   max(0, min(int(b.tokens+1e-9), atOnce-running.models)),
		AdapterLoads: max(0, adapters-running.adapters),
	}
}

// take uses one load's part of the rate.
func (b *loadBudget) take() { b.tokens-- }

// weightStoreZones returns the number of zones that share the weight store.
func (o *Owner) weightStoreZones(views []*view) int {
	if o.cfg.WeightStore.Zones > 0 {
		return o.cfg.WeightStore.Zones
	}
	zones := make(map[string]bool)
	for _, v := range views {
		zones[v.zone] = true
	}
	return max(1, len(zones))
}

// sortedNames is used by dumps that must not change from call to call.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
