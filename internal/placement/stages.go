package placement

import (
	"cmp"
	"slices"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// removeUnconfigured unloads models and adapters that are no longer in the
// configuration, and adapters whose model is not on the endpoint.
func (p *planner) removeUnconfigured() {
	configured := make(map[Item]bool, len(p.in.Adapters))
	for i := range p.in.Adapters {
		configured[adapterItem(&p.in.Adapters[i])] = true
	}
	for _, n := range p.nodes {
		for _, item := range sortedItems(n) {
			status := n.items[item]
			if !n.schedulable() || status.State != engineapi.ItemReady || status.UnloadPending || status.LoadInFlight {
				continue
			}
			unconfigured := p.modelByName[item.Model] == nil
			if item.IsAdapter() {
				unconfigured = !configured[item] || !n.holdsModel(item.Model)
			}
			if unconfigured {
				p.planUnload(n, item, ReasonRemoved)
			}
		}
	}
}

func (n *node) holdsModel(model string) bool {
	for item, status := range n.items {
		if item.Model == model && !item.IsAdapter() && status.Present() {
			return true
		}
	}
	return false
}

func sortedItems(n *node) []Item {
	items := make([]Item, 0, len(n.items))
	for item := range n.items {
		items = append(items, item)
	}
	slices.SortFunc(items, compareItems)
	return items
}

func compareItems(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
}

// placeUnreachable loads models that are ready in no zone. A zone loads the
// model if it is the model's recovery zone.
func (p *planner) placeUnreachable() {
	var pending []*modelState
	for _, m := range p.models {
		unready := len(m.local) == 0 && !m.remoteReady && !m.oldReady
		if unready && recoveryZoneOf(m.Model, p.zones) == p.in.Zone {
			pending = append(pending, m)
		}
	}
	p.placeAll(byPriority(pending), ReasonUnreachable, true)
}

// switchVersions loads the serving version if the zone has only other versions of
// the model, and unloads the others once the serving version is ready.
func (p *planner) switchVersions() {
	var pending []*modelState
	for _, m := range p.models {
		if len(m.localOld) > 0 && len(m.local) == 0 {
			pending = append(pending, m)
		}
	}
	p.placeAll(byPriority(pending), ReasonVersion, true)
	for _, m := range p.models {
		if m.stableReplicas(nil) == 0 {
			continue
		}
		for _, old := range m.localOld {
			if old.node.schedulable() && !old.node.items[old.item].UnloadPending {
				p.planUnload(old.node, old.item, ReasonOldVersion)
			}
		}
	}
}

// placeMinimum brings each model to its minimum number of replicas: the number
// that the policy sets for each zone, else one in the model's home zone.
func (p *planner) placeMinimum() {
	var pending []*modelState
	for _, m := range p.models {
		missing := p.minReplicas(m) - len(m.local)
		for range missing {
			pending = append(pending, m)
		}
	}
	p.placeAll(byPriority(pending), ReasonMinimum, true)
}

func (p *planner) minReplicas(m *modelState) int {
	if m.MinPerZone > 0 {
		return m.MinPerZone
	}
	if m.homeZone == p.in.Zone {
		return 1
	}
	return 0
}

// placeSecondZone loads models whose replicas are all in one other zone into free
// memory of a second zone, so that they stay reachable if a zone is lost.
func (p *planner) placeSecondZone() {
	var pending []*modelState
	for _, m := range p.models {
		if len(m.local) > 0 || len(m.remote) == 0 || m.atMaxReplicas() {
			continue
		}
		soleZone := m.remote[0].Zone
		if slices.ContainsFunc(m.remote, func(n *node) bool { return n.Zone != soleZone }) {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(p.zones), func(z zoneCapacity) bool { return z.name == soleZone })
		if recoveryZoneOf(m.Model, others) == p.in.Zone {
			pending = append(pending, m)
		}
	}
	p.placeAll(byPriority(pending), ReasonSpread, false)
}

// byPriority sorts models by demand, the highest first.
func byPriority(models []*modelState) []*modelState {
	slices.SortStableFunc(models, func(a, b *modelState) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// maxReservationsPerStage limits the models that one stage of a plan sets memory
// aside for. It is far above the number of models that the weight store can load
// between two plans.
const maxReservationsPerStage = 64

// maxDeferredLoads is the number of deferred loads at which a plan stops evicting
// replicas for further ones, so that replicas are not removed long before others
// can be loaded.
const maxDeferredLoads = 4

// placeAll plans a replica of each model in turn. If no endpoint has memory for
// a model and mayEvict is set, it evicts other replicas.
func (p *planner) placeAll(models []*modelState, reason Reason, mayEvict bool) {
	for i, m := range models {
		if i >= maxReservationsPerStage {
			return
		}
		if n := p.leastLoadedNodeFor(m); n != nil {
			p.planLoad(m, n, reason)
			continue
		}
		if mayEvict && p.deferredLoads < maxDeferredLoads {
			p.evictFor(m, reason)
		}
	}
}
