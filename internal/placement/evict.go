package placement

import (
	"cmp"
	"slices"
)

// leastLoadedNodeFor returns the least loaded endpoint with memory for the model,
// or nil. It prefers an endpoint where memory is already counted for the model
// because an earlier load may still take effect.
func (p *planner) leastLoadedNodeFor(m *modelState) *node {
	var best *node
	bestReserved := false
	for _, n := range p.nodes {
		if !n.schedulable() || !m.canRunOn(n) || slices.Contains(m.local, n) || n.items[m.item].UnloadPending {
			continue
		}
		reserved := n.items[m.item].Bytes
		if m.Bytes-reserved > n.free {
			continue
		}
		if best == nil || (reserved > 0 && !bestReserved) || (reserved > 0) == bestReserved && n.load < best.load {
			best, bestReserved = n, reserved > 0
		}
	}
	return best
}

// victim is a replica that may be evicted.
type victim struct {
	item  Item
	bytes int64
	// cost is the demand that moves to other replicas, in tokens per second.
	cost float64
}

// evictFor evicts the cheapest set of replicas on one endpoint whose removal
// frees memory for the model, and plans the model's load there. If no endpoint
// has such a set, it tries to relocate another model's sole replica.
func (p *planner) evictFor(m *modelState, reason Reason) {
	n, victims := p.cheapestEviction(m, func(v *modelState, on *node) bool { return p.canRemove(v, on) })
	if n == nil {
		p.relocateFor(m)
		return
	}
	for _, v := range victims {
		p.planUnload(n, v.item, ReasonMakeRoom)
	}
	p.planLoad(m, n, reason)
}

// cheapestEviction returns the endpoint that can get memory for the model at the
// lowest cost, and the replicas to evict there, or nil.
func (p *planner) cheapestEviction(m *modelState, removable func(*modelState, *node) bool) (*node, []victim) {
	var best *node
	var bestVictims []victim
	bestCost := 0.0
	for _, n := range p.nodes {
		if !n.schedulable() || !m.canRunOn(n) || slices.Contains(m.local, n) || n.items[m.item].UnloadPending {
			continue
		}
		victims, cost, ok := p.victimsOn(n, m.Bytes-n.items[m.item].Bytes-n.free, removable)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = n, victims, cost
		}
	}
	return best, bestVictims
}

// victimsOn returns the removable replicas with the lowest costs whose memory
// adds up to the needed bytes, their total cost, and whether there are enough.
func (p *planner) victimsOn(n *node, needed int64, removable func(*modelState, *node) bool) ([]victim, float64, bool) {
	candidates := p.removableOn(n, removable)
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), compareItems(a.item, b.item))
	})
	cost := 0.0
	for i, v := range candidates {
		needed -= v.bytes
		cost += v.cost
		if needed <= 0 {
			return candidates[:i+1], cost, true
		}
	}
	return nil, 0, needed <= 0
}

func (p *planner) removableOn(n *node, removable func(*modelState, *node) bool) []victim {
	var candidates []victim
	for item, status := range n.items {
		m := p.modelByName[item.Model]
		if m == nil || item.IsAdapter() || !status.Stable() || status.LoadInFlight {
			continue
		}
		if item == m.item && removable(m, n) {
			candidates = append(candidates, victim{item, m.Bytes, m.demandPerReplica()})
		}
		if item != m.item && m.stableOldReplicas(n) > 0 {
			candidates = append(candidates, victim{item, status.Bytes, 0})
		}
	}
	return candidates
}

// stableOldReplicas counts the zone's replicas of versions other than the serving
// one that are ready and that no order in flight can remove, leaving out the
// given node.
func (m *modelState) stableOldReplicas(except *node) int {
	count := 0
	for _, old := range m.localOld {
		if old.node != except && old.node.IntentsCounted && old.node.items[old.item].Stable() {
			count++
		}
	}
	return count
}

// canRemove reports whether the replica on the endpoint can be removed: the model
// stays reachable and at its minimum, and none of its adapters loses its last
// copy in the zone.
func (p *planner) canRemove(m *modelState, n *node) bool {
	if !p.reachableWithout(m, n) {
		return false
	}
	if p.minReplicas(m) > 0 && m.stableReplicas(n) < p.minReplicas(m) {
		return false
	}
	return !p.holdsLastAdapterCopy(m, n)
}

// reachableWithout reports whether the model stays reachable without the replica
// on the node: another ready replica remains in this zone, or in the model's home
// zone, whose owner keeps its last one. No unload may violate this.
func (p *planner) reachableWithout(m *modelState, n *node) bool {
	if m.stableReplicas(n) > 0 {
		return true
	}
	return m.homeZone != p.in.Zone && m.homeReady
}

// holdsLastAdapterCopy reports whether the zone has further replicas of the model
// but the node has the only copy of one of its adapters.
func (p *planner) holdsLastAdapterCopy(m *modelState, n *node) bool {
	if len(m.local) < 2 {
		return false
	}
	for _, adapter := range m.adapters {
		item := adapterItem(adapter)
		if !n.items[item].Stable() {
			continue
		}
		if !slices.ContainsFunc(m.local, func(o *node) bool { return o != n && o.items[item].Stable() }) {
			return true
		}
	}
	return false
}

// relocateFor loads a second replica of a model whose sole replica in the zone
// can't be removed yet, if the later removal of that replica would free enough
// memory for m.
func (p *planner) relocateFor(m *modelState) {
	for _, n := range p.nodes {
		if !n.schedulable() || !m.canRunOn(n) {
			continue
		}
		for _, item := range sortedItems(n) {
			sole := p.modelByName[item.Model]
			if sole == nil || sole == m || item != sole.item || len(sole.local) != 1 || !n.items[item].Stable() {
				continue
			}
			if n.free+sole.Bytes < m.Bytes {
				continue
			}
			if target := p.leastLoadedNodeFor(sole); target != nil {
				p.planLoad(sole, target, ReasonMakeRoom)
				return
			}
		}
	}
}
