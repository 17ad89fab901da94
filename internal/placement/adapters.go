package placement

import (
	"cmp"
	"slices"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

func adapterItem(a *Adapter) Item { return Item{Model: a.Model, Adapter: a.Name} }

// placeAdapters loads each adapter on one of its model's replicas in the zone
// at least, then on the others while the reserved memory has room.
func (p *planner) placeAdapters() {
	adapters := make([]*Adapter, 0, len(p.in.Adapters))
	for i := range p.in.Adapters {
		adapters = append(adapters, &p.in.Adapters[i])
	}
	slices.SortStableFunc(adapters, func(a, b *Adapter) int {
		return cmp.Or(compareBool(a.Wanted, b.Wanted), cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Name, b.Name))
	})
	for _, adapter := range adapters {
		if p.holders(adapter) == 0 {
			p.placeAdapter(adapter, true)
		}
	}
	for _, adapter := range adapters {
		for p.budget.AdapterLoads > 0 && p.placeAdapter(adapter, false) {
		}
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// carriers are the endpoints whose replica of the adapter's model is ready, in
// any version.
func (p *planner) carriers(adapter *Adapter) []*node {
	m := p.byName[adapter.Model]
	if m == nil {
		return nil
	}
	var nodes []*node
	for _, n := range m.here {
		if n.items[m.item].Secure() {
			nodes = append(nodes, n)
		}
	}
	for _, old := range m.old {
		if old.node.items[old.item].Secure() && !slices.Contains(nodes, old.node) {
			nodes = append(nodes, old.node)
		}
	}
	return nodes
}

func (p *planner) holders(adapter *Adapter) int {
	count := 0
	for _, n := range p.carriers(adapter) {
		if n.items[adapterItem(adapter)].Present() {
			count++
		}
	}
	return count
}

// placeAdapter adds one copy of the adapter to the plan, on the carrier with
// the most free adapter memory, and reports whether it did. evict allows it
// to make room by unloading adapters that other endpoints of the zone hold.
func (p *planner) placeAdapter(adapter *Adapter, evict bool) bool {
	item := adapterItem(adapter)
	var best *node
	for _, n := range p.carriers(adapter) {
		if !n.orderable() || n.items[item].Present() || n.items[item].Going {
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
	if needed > best.freeAdapter && (!evict || !p.evictAdapters(adapter, best, needed)) {
		return false
	}
	p.loadAdapter(adapter, best, needed)
	return true
}

func (p *planner) loadAdapter(adapter *Adapter, n *node, needed int64) {
	item := adapterItem(adapter)
	fitsNow := needed <= n.freeAdapterNow
	n.freeAdapter -= needed
	n.freeAdapterNow -= needed
	holding := n.items[item]
	holding.Coming = true
	holding.Bytes = max(holding.Bytes, adapter.Bytes)
	n.items[item] = holding
	if !fitsNow || p.budget.AdapterLoads <= 0 {
		return
	}
	p.budget.AdapterLoads--
	reason := ReasonSpread
	if adapter.Wanted {
		reason = ReasonWanted
	}
	p.emit(Step{Endpoint: n.Name, Action: engineapi.ActionLoadAdapter, Item: item, Bytes: adapter.Bytes, Weights: item.Adapter, Reason: reason})
}

// evictAdapters unloads adapters with the least demand that other endpoints
// hold too, until the bytes needed will be free. For an adapter that a request
// waits for, those that nothing waits for may go altogether: they are loaded
// again on demand. It changes nothing where that is not enough.
func (p *planner) evictAdapters(adapter *Adapter, n *node, needed int64) bool {
	var victims []*Adapter
	for i := range p.in.Adapters {
		other := &p.in.Adapters[i]
		holding := n.items[adapterItem(other)]
		if !holding.Secure() || holding.MayAppear || other == adapter {
			continue
		}
		if p.holders(other) > 1 || (adapter.Wanted && !other.Wanted) {
			victims = append(victims, other)
		}
	}
	slices.SortStableFunc(victims, func(a, b *Adapter) int { return cmp.Compare(a.Demand, b.Demand) })
	room := n.freeAdapter
	for i, v := range victims {
		room += n.items[adapterItem(v)].Bytes
		if room < needed {
			continue
		}
		for _, chosen := range victims[:i+1] {
			p.unload(n, adapterItem(chosen), ReasonMakeRoom)
		}
		return true
	}
	return false
}
