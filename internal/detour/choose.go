package detour

import "slices"

// Peer is a peer that relays connections, as it last reported itself.
type Peer struct {
	Name, Address, Zone string
	// Relaying is the number of connections that it relays.
	Relaying int
	// Unreached are the services to whose endpoints its own path does not work.
	Unreached []string
}

// Reaches reports whether the peer's own path to the service's endpoints works, as far as
// it knows.
func (p Peer) Reaches(service string) bool { return !slices.Contains(p.Unreached, service) }

// zoneCost is the cost of each further crossing between zones on the way, in connections
// that the peer relays.
const zoneCost = 4

// chooser chooses among peers. Outstanding is this host's own number of connections by
// way of each.
type chooser struct {
	zone        string
	outstanding map[string]int
	// random returns a number from zero to below n.
	random func(n int) int
}

// choose returns the better one of two random peers, which spreads the connections of
// hosts that have the same view of the peers. It returns false if there is no peer.
func (c chooser) choose(peers []Peer, to Target) (Peer, bool) {
	if len(peers) == 0 {
		return Peer{}, false
	}
	first := c.random(len(peers))
	best := peers[first]
	if len(peers) > 1 {
		second := peers[(first+1+c.random(len(peers)-1))%len(peers)]
		if c.cost(second, to) < c.cost(best, to) {
			best = second
		}
	}
	return best, true
}

func (c chooser) cost(p Peer, to Target) int {
	cost := max(p.Relaying, c.outstanding[p.Name])
	if p.Zone != c.zone {
		cost += zoneCost
	}
	if p.Zone != to.Zone {
		cost += zoneCost
	}
	return cost
}
