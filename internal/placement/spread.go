package placement

import (
	"cmp"
	"slices"
)

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
		if n.load > high && p.waiting < maxWaiting {
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
