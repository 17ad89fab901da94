package placement

import (
	"cmp"
	"slices"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

func adapterItem(a *Adapter) Item { return Item{Model: a.Model, Adapter: a.Name} }

// placeAdapters loads each adapter on at least one replica of its model in the
// zone, then on the model's other replicas while adapter memory is free.
func (p *planner) placeAdapters() {
	adapters := make([]*Adapter, 0, len(p.in.Adapters))
	for i := range p.in.Adapters {
		adapters = append(adapters, &p.in.Adapters[i])
	}
	slices.SortStableFunc(adapters, func(a, b *Adapter) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Name, b.Name))
	})
	for _, adapter := range adapters {
		if p.adapterCopies(adapter) == 0 {
			p.placeAdapter(adapter, true)
		}
	}
	for _, adapter := range adapters {
		for p.budget.AdapterLoads > 0 && p.placeAdapter(adapter, false) {
		}
	}
}

// nodesWithBaseModel returns the endpoints that have a stable replica of the
// adapter's model, in any version.
func (p *planner) nodesWithBaseModel(adapter *Adapter) []*node {
	m := p.modelByName[adapter.Model]
	if m == nil {
		return nil
	}
	var nodes []*node
	for _, n := range m.local {
		if n.items[m.item].Stable() {
			nodes = append(nodes, n)
		}
	}
	for _, old := range m.localOld {
		if old.node.items[old.item].Stable() && !slices.Contains(nodes, old.node) {
			nodes = append(nodes, old.node)
		}
	}
	return nodes
}

// adapterCopies counts the zone's copies of the adapter next to a stable replica
// of its model, including pending loads.
func (p *planner) adapterCopies(adapter *Adapter) int {
	count := 0
	for _, n := range p.nodesWithBaseModel(adapter) {
		if n.items[adapterItem(adapter)].Present() {
			count++
		}
	}
	return count
}

// placeAdapter adds one copy of the adapter to the plan, on the endpoint with
// the most free adapter memory among those that have its model, and reports
// whether it did. If mayEvict is set, it may free memory by unloading other
// adapters from that endpoint.
func (p *planner) placeAdapter(adapter *Adapter, mayEvict bool) bool {
	item := adapterItem(adapter)
	var best *node
	for _, n := range p.nodesWithBaseModel(adapter) {
		if !n.schedulable() || n.items[item].Present() || n.items[item].UnloadPending {
			continue
		}
		if best == nil || n.freeAdapter > best.freeAdapter {
			best = n
		}
	}
	if best == nil {
		return false
	}
	needed := max(0, adapter.Bytes-best.items[item].Bytes)
	if needed > best.freeAdapter && (!mayEvict || !p.evictAdapters(adapter, best, needed)) {
		return false
	}
	p.planAdapterLoad(adapter, best, needed)
	return true
}

// planAdapterLoad sets memory aside for the adapter on the node. It emits the
// step if the memory is free now and the budget allows.
func (p *planner) planAdapterLoad(adapter *Adapter, n *node, needed int64) {
	item := adapterItem(adapter)
	fitsNow := needed <= n.freeAdapterNow
	n.freeAdapter -= needed
	n.freeAdapterNow -= needed
	status := n.items[item]
	status.LoadPending = true
	status.Bytes = max(status.Bytes, adapter.Bytes)
	n.items[item] = status
	if !fitsNow || p.budget.AdapterLoads <= 0 {
		return
	}
	p.budget.AdapterLoads--
	p.emit(Step{Endpoint: n.Name, Action: engineapi.ActionLoadAdapter, Item: item, Bytes: adapter.Bytes, Weights: item.Adapter, Reason: ReasonSpread})
}

// evictAdapters unloads the adapters with the least demand until the needed
// bytes will be free, and reports whether it did. It unloads only adapters that
// other endpoints of the zone also have. If that would not free enough, nothing is
// unloaded.
func (p *planner) evictAdapters(adapter *Adapter, n *node, needed int64) bool {
	var victims []*Adapter
	for i := range p.in.Adapters {
		other := &p.in.Adapters[i]
		status := n.items[adapterItem(other)]
		if !status.Stable() || status.LoadInFlight || other == adapter {
			continue
		}
		if p.adapterCopies(other) > 1 {
			victims = append(victims, other)
		}
	}
	slices.SortStableFunc(victims, func(a, b *Adapter) int { return cmp.Compare(a.Demand, b.Demand) })
	free := n.freeAdapter
	for i, victim := range victims {
		free += n.items[adapterItem(victim)].Bytes
		if free < needed {
			continue
		}
		for _, chosen := range victims[:i+1] {
			p.planUnload(n, adapterItem(chosen), ReasonMakeRoom)
		}
		return true
	}
	return false
}
