package placement

import (
	"cmp"
	"slices"
)

// roomFor returns the least loaded endpoint with memory for the model, or nil.
// Memory that a possible late load of the model has reserved is used first.
func (p *planner) roomFor(m *placed) *node {
	var best *node
	bestReserved := false
	for _, n := range p.nodes {
		if !n.orderable() || !m.allows(n) || slices.Contains(m.here, n) || n.items[m.item].Going {
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

// victim is a replica that may be removed.
type victim struct {
	item  Item
	bytes int64
	// cost is the demand that other replicas have to take, in tokens per
	// second.
	cost float64
}

// evictFor removes the cheapest set of replicas of one endpoint that makes
// room for the model, and sets the room aside.
func (p *planner) evictFor(m *placed, reason Reason) {
	n, victims := p.cheapestRoom(m, func(v *placed, on *node) bool { return p.spare(v, on) })
	if n == nil {
		p.relocateFor(m)
		return
	}
	for _, v := range victims {
		p.unload(n, v.item, ReasonMakeRoom)
	}
	p.load(m, n, reason)
}

func (p *planner) cheapestRoom(m *placed, removable func(*placed, *node) bool) (*node, []victim) {
	var best *node
	var bestVictims []victim
	bestCost := 0.0
	for _, n := range p.nodes {
		if !n.orderable() || !m.allows(n) || slices.Contains(m.here, n) || n.items[m.item].Going {
			continue
		}
		victims, cost, ok := p.victimsOn(n, m.Bytes-n.items[m.item].Bytes-n.free, removable)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = n, victims, cost
		}
	}
	return best, bestVictims
}

// victimsOn returns the cheapest removable replicas whose memory adds up to
// the bytes needed.
func (p *planner) victimsOn(n *node, needed int64, removable func(*placed, *node) bool) ([]victim, float64, bool) {
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

func (p *planner) removableOn(n *node, removable func(*placed, *node) bool) []victim {
	var candidates []victim
	for item, holding := range n.items {
		m := p.byName[item.Model]
		if m == nil || item.IsAdapter() || !holding.Secure() || holding.MayAppear {
			continue
		}
		if item == m.item && removable(m, n) {
			candidates = append(candidates, victim{item, m.Bytes, m.share()})
		}
		if item != m.item && m.oldSecure(n) > 0 {
			candidates = append(candidates, victim{item, holding.Bytes, 0})
		}
	}
	return candidates
}

// oldSecure counts the zone's replicas of versions other than the serving one
// that are ready and stay, without the node given.
func (m *placed) oldSecure(without *node) int {
	count := 0
	for _, old := range m.old {
		if old.node != without && old.node.Accounted && old.node.items[old.item].Secure() {
			count++
		}
	}
	return count
}

// spare reports whether the model stays reachable, and at its minimum,
// without the replica on the endpoint.
func (p *planner) spare(m *placed, n *node) bool {
	if !p.reachableWithout(m, n) {
		return false
	}
	if p.minimum(m) > 0 && m.secure(n) < p.minimum(m) {
		return false
	}
	return !p.carriesSoleAdapter(m, n)
}

// reachableWithout is the rule that no unload may break: another ready replica
// remains in this zone, or in the model's keeper zone, whose owner keeps its
// last one.
func (p *planner) reachableWithout(m *placed, n *node) bool {
	if m.secure(n) > 0 {
		return true
	}
	return m.keeper != p.in.Zone && m.keeperReady
}

func (p *planner) carriesSoleAdapter(m *placed, n *node) bool {
	if len(m.here) < 2 {
		return false
	}
	for _, adapter := range m.adapters {
		item := adapterItem(adapter)
		if !n.items[item].Secure() {
			continue
		}
		if !slices.ContainsFunc(m.here, func(o *node) bool { return o != n && o.items[item].Secure() }) {
			return true
		}
	}
	return false
}

// relocateFor loads one model that is the only one of its zone, and cannot be
// removed, a second time elsewhere, if its removal would then make room.
func (p *planner) relocateFor(m *placed) {
	for _, n := range p.nodes {
		if !n.orderable() || !m.allows(n) {
			continue
		}
		for _, item := range sortedItems(n) {
			sole := p.byName[item.Model]
			if sole == nil || sole == m || item != sole.item || len(sole.here) != 1 || !n.items[item].Secure() {
				continue
			}
			if n.free+sole.Bytes < m.Bytes {
				continue
			}
			if target := p.roomFor(sole); target != nil {
				p.load(sole, target, ReasonMakeRoom)
				return
			}
		}
	}
}
