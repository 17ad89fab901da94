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

// maxWaiting limits the loads that wait while memory is made free for more, so
// that replicas are not removed long before others can be loaded.
const maxWaiting = 4

func (p *planner) placeAll(needs []*placed, reason Reason, evict bool) {
	for i, m := range needs {
		if i >= maxNeedsPerPlan {
			return
		}
		if n := p.roomFor(m); n != nil {
			p.load(m, n, reason)
			continue
		}
		if evict && p.waiting < maxWaiting {
			p.evictFor(m, reason)
		}
	}
}
