package placement

import (
	"cmp"
	"slices"
)

// spreadLoad takes load off overloaded endpoints: it adds replicas of the models
// with the most demand there on the endpoints with the least load.
func (p *planner) spreadLoad() {
	high := p.tuning.HighLoad * p.tuning.EndpointTokensPerSecond
	hot := append([]*node(nil), p.nodes...)
	if p.leastLoadedZone() {
		hot = append(hot, p.remoteNodes...)
	}
	hot = slices.DeleteFunc(hot, func(n *node) bool { return n.load <= high })
	slices.SortStableFunc(hot, func(a, b *node) int { return cmp.Compare(b.load, a.load) })
	for _, n := range hot[:min(len(hot), p.tuning.MaxMoves)] {
		if n.load > high && p.deferredLoads < maxDeferredLoads {
			p.relieve(n)
		}
	}
}

// leastLoadedZone reports whether this zone has the lowest load per endpoint. Such
// a zone also adds replicas to take load off other zones.
func (p *planner) leastLoadedZone() bool {
	load := make(map[string]float64)
	count := make(map[string]float64)
	for _, n := range append(append([]*node(nil), p.nodes...), p.remoteNodes...) {
		if n.Serves() {
			load[n.Zone] += n.load
			count[n.Zone]++
		}
	}
	own := load[p.in.Zone] / max(1, count[p.in.Zone])
	for zone := range load {
		if zone != p.in.Zone && load[zone]/count[zone] < own {
			return false
		}
	}
	return true
}

// relieve adds one replica that takes load off the endpoint, if there is a
// suitable one.
func (p *planner) relieve(hot *node) {
	var candidates []*modelState
	for item, status := range hot.items {
		if m := p.modelByName[item.Model]; m != nil && item == m.item && status.Present() && !m.atMaxReplicas() {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b *modelState) int {
		return cmp.Or(cmp.Compare(b.demandPerReplica(), a.demandPerReplica()), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range candidates {
		if p.addReplica(m, hot) {
			return
		}
	}
}

// minGain is the smallest fraction of an endpoint's load that an added replica
// must take off it.
const minGain = 0.1

// addReplica adds a replica of the model if that takes at least minGain off the
// hot endpoint's load and keeps the new replica's endpoint at or below the same
// target. It reports whether it added one.
func (p *planner) addReplica(m *modelState, hot *node) bool {
	after := m.Demand / float64(m.replicas()+1)
	target := (1 - minGain) * hot.load
	if hot.load-m.demandPerReplica()+after > target {
		return false
	}
	if n := p.leastLoadedNodeFor(m); n != nil && n.load+after <= target {
		p.planLoad(m, n, ReasonDemand)
		return true
	}
	n, victims := p.cheapestEviction(m, func(v *modelState, on *node) bool {
		return v != m && on.load-v.demandPerReplica()+after <= target && p.surplus(v, on, target)
	})
	if n == nil {
		return false
	}
	for _, v := range victims {
		p.planUnload(n, v.item, ReasonMakeRoom)
	}
	p.planLoad(m, n, ReasonDemand)
	return true
}

// idleFraction is the fraction of an endpoint's tokens per second up to which the
// demand that a removal moves to each remaining replica is negligible, whatever
// the load of its endpoint.
const idleFraction = 0.01

// surplus reports whether the replica can be removed to make room for demand. It
// must have passed MinResidence, and the demand that would move to each of the
// other replicas must be negligible, or their endpoints must stay within LowLoad
// or target, the highest load that the relief of another endpoint aims at.
func (p *planner) surplus(m *modelState, n *node, target float64) bool {
	if !p.canRemove(m, n) || m.replicas() < 2 || p.withinMinResidence(m, n) {
		return false
	}
	extra := m.demandPerReplica() / float64(m.replicas()-1)
	if extra <= idleFraction*p.tuning.EndpointTokensPerSecond {
		return true
	}
	limit := max(p.tuning.LowLoad*p.tuning.EndpointTokensPerSecond, target)
	overloaded := func(other *node) bool { return other != n && other.load+extra > limit }
	return !slices.ContainsFunc(m.local, overloaded) && !slices.ContainsFunc(m.remote, overloaded)
}

// withinMinResidence reports whether the replica has been ready for less than
// MinResidence.
func (p *planner) withinMinResidence(m *modelState, n *node) bool {
	readySince, ok := p.in.ReadySince[Replica{n.Name, m.item}]
	return ok && p.in.Now.Sub(readySince) < p.tuning.MinResidence
}

// spreadFree loads models that this zone doesn't have into free memory.
func (p *planner) spreadFree() {
	if p.budget.ModelLoads <= 0 {
		return
	}
	var pending []*modelState
	for _, m := range p.models {
		if len(m.local) == 0 && !m.atMaxReplicas() {
			pending = append(pending, m)
		}
	}
	p.placeAll(byPriority(pending), ReasonSpread, false)
}
