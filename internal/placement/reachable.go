package placement

// MayUnload reports whether a model stays reachable without the replica, given
// the newest state of all endpoints. An owner must check it again right before it
// commits an unload, because the state may have changed since the plan was made.
func MayUnload(in *Input, endpoints []Endpoint, replica Replica) bool {
	now := *in
	now.Endpoints = endpoints
	for i := range in.Models {
		if in.Models[i].Name == replica.Item.Model {
			now.Models = in.Models[i : i+1]
			now.Adapters = nil
			return mayUnload(newPlanner(&now), replica)
		}
	}
	return true
}

func mayUnload(p *planner, replica Replica) bool {
	m := p.models[0]
	for _, n := range p.nodes {
		if n.Name != replica.Endpoint {
			continue
		}
		if replica.Item != m.item {
			return m.stableReplicas(n) > 0 || m.stableOldReplicas(n) > 0
		}
		return p.reachableWithout(m, n)
	}
	return false
}
