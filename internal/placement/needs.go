package placement

import (
	"cmp"
	"slices"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// removeUnconfigured unloads models and adapters that the configuration no
// longer has, and adapters whose model is not on the endpoint.
func (p *planner) removeUnconfigured() {
	known := make(map[Item]bool, len(p.in.Adapters))
	for i := range p.in.Adapters {
		known[adapterItem(&p.in.Adapters[i])] = true
	}
	for _, n := range p.nodes {
		for _, item := range sortedItems(n) {
			holding := n.items[item]
			if !n.orderable() || holding.State != engineapi.ItemReady || holding.Going || holding.MayAppear {
				continue
			}
			unknown := p.byName[item.Model] == nil
			if item.IsAdapter() {
				unknown = !known[item] || !n.holdsModel(item.Model)
			}
			if unknown {
				p.unload(n, item, ReasonRemoved)
			}
		}
	}
}

func (n *node) holdsModel(model string) bool {
	for item, holding := range n.items {
		if item.Model == model && !item.IsAdapter() && holding.Present() {
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

// placeUnreachable loads models that are ready nowhere. The first alive zone
// in the model's order does it, or this one where a request waits here.
func (p *planner) placeUnreachable() {
	var needs []*placed
	for _, m := range p.models {
		nowhere := len(m.here) == 0 && !m.readyThere && !m.oldReady
		if nowhere && (m.Wanted || rescueZone(m.Model, p.zones) == p.in.Zone) {
			needs = append(needs, m)
		}
	}
	p.placeAll(byUrgency(needs), ReasonUnreachable, true)
}

// switchVersions loads the serving version where only others are held, and
// unloads the others once it is ready.
func (p *planner) switchVersions() {
	var needs []*placed
	for _, m := range p.models {
		if len(m.old) > 0 && len(m.here) == 0 {
			needs = append(needs, m)
		}
	}
	p.placeAll(byUrgency(needs), ReasonVersion, true)
	for _, m := range p.models {
		if m.secure(nil) == 0 {
			continue
		}
		for _, old := range m.old {
			if old.node.orderable() && !old.node.items[old.item].Going {
				p.unload(old.node, old.item, ReasonOldVersion)
			}
		}
	}
}

// placeMinimum brings each model to its least number of replicas: one in its
// keeper zone, or what the policy asks for in each zone.
func (p *planner) placeMinimum() {
	var needs []*placed
	for _, m := range p.models {
		missing := p.minimum(m) - len(m.here)
		for range missing {
			needs = append(needs, m)
		}
	}
	p.placeAll(byUrgency(needs), ReasonMinimum, true)
}

func (p *planner) minimum(m *placed) int {
	if m.MinPerZone > 0 {
		return m.MinPerZone
	}
	if m.keeper == p.in.Zone {
		return 1
	}
	return 0
}

// placeSecond loads models whose replicas are all in one other zone into free
// memory of the first further zone, so that they outlive the loss of a zone.
func (p *planner) placeSecond() {
	var needs []*placed
	for _, m := range p.models {
		if len(m.here) > 0 || len(m.there) == 0 || m.full() {
			continue
		}
		only := m.there[0].Zone
		if slices.ContainsFunc(m.there, func(n *node) bool { return n.Zone != only }) {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(p.zones), func(z zoneRoom) bool { return z.name == only })
		if rescueZone(m.Model, others) == p.in.Zone {
			needs = append(needs, m)
		}
	}
	p.placeAll(byUrgency(needs), ReasonSpread, false)
}

// placeWanted loads models that a request of this zone waits for, where only
// other zones hold them.
func (p *planner) placeWanted() {
	var needs []*placed
	for _, m := range p.models {
		if m.Wanted && len(m.here) == 0 && !m.full() {
			needs = append(needs, m)
		}
	}
	p.placeAll(byUrgency(needs), ReasonWanted, true)
}

func byUrgency(needs []*placed) []*placed {
	slices.SortStableFunc(needs, func(a, b *placed) int {
		if a.Wanted != b.Wanted {
			if a.Wanted {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Name, b.Name))
	})
	return needs
}

// maxNeedsPerPlan limits the needs of one kind that a plan sets memory aside
// for. It is far above what the weight store can load between two plans.
const maxNeedsPerPlan = 64

func (p *planner) placeAll(needs []*placed, reason Reason, evict bool) {
	for i, m := range needs {
		if i >= maxNeedsPerPlan {
			return
		}
		if n := p.roomFor(m); n != nil {
			p.load(m, n, reason)
			continue
		}
		if evict {
			p.evictFor(m, reason)
		}
	}
}

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

// spreadLoad adds replicas of the models that weigh most on overloaded
// endpoints, on those with the least load.
func (p *planner) spreadLoad() {
	high := p.tuning.HighLoad * p.tuning.EndpointTokensPerSecond
	hot := append([]*node(nil), p.nodes...)
	if p.leastLoadedZone() {
		hot = append(hot, p.remote...)
	}
	hot = slices.DeleteFunc(hot, func(n *node) bool { return n.load <= high })
	slices.SortStableFunc(hot, func(a, b *node) int { return cmp.Compare(b.load, a.load) })
	for _, n := range hot[:min(len(hot), p.tuning.MaxMoves)] {
		if n.load > high {
			p.relieve(n)
		}
	}
}

// leastLoadedZone reports whether this zone has the least load for each of its
// endpoints, so that it is the one to relieve other zones.
func (p *planner) leastLoadedZone() bool {
	load := make(map[string]float64)
	count := make(map[string]float64)
	for _, n := range append(append([]*node(nil), p.nodes...), p.remote...) {
		if n.Serves() {
			load[n.Zone] += n.load
			count[n.Zone]++
		}
	}
	mine := load[p.in.Zone] / max(1, count[p.in.Zone])
	for zone := range load {
		if zone != p.in.Zone && load[zone]/count[zone] < mine {
			return false
		}
	}
	return true
}

// relieve adds one replica that takes load off the endpoint, if it finds one.
func (p *planner) relieve(hot *node) {
	var carried []*placed
	for item, holding := range hot.items {
		if m := p.byName[item.Model]; m != nil && item == m.item && holding.Present() && !m.full() {
			carried = append(carried, m)
		}
	}
	slices.SortFunc(carried, func(a, b *placed) int {
		return cmp.Or(cmp.Compare(b.share(), a.share()), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range carried {
		if p.addReplica(m, hot) {
			return
		}
	}
}

// minGain is the least part of an endpoint's load that an added replica must
// take off it.
const minGain = 0.1

// addReplica adds a replica of the model where that lowers the endpoint's load
// enough, and leaves the new replica's endpoint below it.
func (p *planner) addReplica(m *placed, hot *node) bool {
	after := m.Demand / float64(m.replicas()+1)
	target := (1 - minGain) * hot.load
	if hot.load-m.share()+after > target {
		return false
	}
	if n := p.roomFor(m); n != nil && n.load+after <= target {
		p.load(m, n, ReasonDemand)
		return true
	}
	n, victims := p.cheapestRoom(m, func(v *placed, on *node) bool {
		return v != m && on.load-v.share()+after <= target && p.surplus(v, on, target)
	})
	if n == nil {
		return false
	}
	for _, v := range victims {
		p.unload(n, v.item, ReasonMakeRoom)
	}
	p.load(m, n, ReasonDemand)
	return true
}

// idlePart is the part of an endpoint's tokens per second below which a
// replica's share of demand may move to any other endpoint.
const idlePart = 0.01

// surplus reports whether demand allows to remove the replica: its share is
// idle, or the endpoints that take it stay under the low threshold, or well
// under the load that the removal relieves.
func (p *planner) surplus(m *placed, n *node, relieved float64) bool {
	if !p.spare(m, n) || m.replicas() < 2 || p.young(m, n) {
		return false
	}
	extra := m.share() / float64(m.replicas()-1)
	if extra <= idlePart*p.tuning.EndpointTokensPerSecond {
		return true
	}
	limit := max(p.tuning.LowLoad*p.tuning.EndpointTokensPerSecond, (1-minGain)*relieved)
	overloaded := func(other *node) bool { return other != n && other.load+extra > limit }
	return !slices.ContainsFunc(m.here, overloaded) && !slices.ContainsFunc(m.there, overloaded)
}

func (p *planner) young(m *placed, n *node) bool {
	since, ok := p.in.Since[Replica{n.Name, m.item}]
	return ok && p.in.Now.Sub(since) < p.tuning.MinResidence
}

// spreadFree loads models that this zone lacks into memory that is free.
func (p *planner) spreadFree() {
	if p.budget.ModelLoads <= 0 {
		return
	}
	var needs []*placed
	for _, m := range p.models {
		if len(m.here) == 0 && !m.full() {
			needs = append(needs, m)
		}
	}
	p.placeAll(byUrgency(needs), ReasonSpread, false)
}
