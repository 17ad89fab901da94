package routing

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"bilberryslip.example/bilberryslip/internal/endpoint"
)

// Policy is a load balancing policy: it chooses among eligible endpoints. Choose
// returns an index into states, which must not be empty.
type Policy interface {
	Choose(rng *rand.Rand, states []endpoint.State, req Request) int
}

// Random chooses any endpoint with equal probability.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(rng *rand.Rand, states []endpoint.State, _ Request) int {
	return rng.IntN(len(states))
}

// LeastReported chooses the endpoint with the least reported load.
type LeastReported struct{}

// Choose implements Policy.
func (LeastReported) Choose(_ *rand.Rand, states []endpoint.State, _ Request) int {
	best := 0
	for i := range states {
		if reported(&states[i]) < reported(&states[best]) {
			best = i
		}
	}
	return best
}

func reported(s *endpoint.State) int { return s.Report.Running + s.Report.Queued }

// PowerOfTwo draws two endpoints at random and chooses the one with the lower
// utilisation, by the reported load and this host's requests since the report.
type PowerOfTwo struct{}

// Choose implements Policy.
func (PowerOfTwo) Choose(rng *rand.Rand, states []endpoint.State, _ Request) int {
	a, b := rng.IntN(len(states)), rng.IntN(len(states))
	if states[b].Load()/float64(states[b].Capacity()) < states[a].Load()/float64(states[a].Capacity()) {
		return b
	}
	return a
}

// Affinity prefers the host's own availability zone and endpoints that have
// the prompt's prefix in their cache, as long as these are little more loaded
// than others; else it chooses the least loaded endpoint. A prefix that no
// endpoint is known to hold goes to one of two endpoints chosen by rendezvous
// hashing, which are the same on all hosts. The zero value uses the default
// slacks.
type Affinity struct {
	// ZoneSlack is by how much the utilisation of the least loaded endpoint in
	// the host's zone may exceed that of the least loaded of all. Zero means 0.25.
	ZoneSlack float64
	// PrefixSlack is by how much the utilisation of an endpoint with the prefix
	// may exceed that of the least loaded one. Zero means 0.25.
	PrefixSlack float64
}

const defaultSlack = 0.25

// Choose implements Policy.
func (p Affinity) Choose(rng *rand.Rand, states []endpoint.State, req Request) int {
	c := choice{states: states, loads: utilisations(states, req.Model), rng: rng}
	indices := c.localOrAll(req.Zone, slack(p.ZoneSlack))
	if req.Prefix != 0 {
		if chosen, ok := c.withPrefix(indices, req, slack(p.PrefixSlack)); ok {
			return chosen
		}
	}
	return c.leastLoaded(indices)
}

func slack(configured float64) float64 {
	if configured == 0 {
		return defaultSlack
	}
	return configured
}

// choice holds the state of one call of Affinity.Choose.
type choice struct {
	states []endpoint.State
	// loads are the utilisations of the endpoints, parallel to states.
	loads []float64
	rng   *rand.Rand
}

// localOrAll returns the indices of the endpoints in the zone. It returns those of
// all endpoints if the zone has none or its least loaded one exceeds the least
// loaded of all by more than the slack.
func (c *choice) localOrAll(zone string, slack float64) []int {
	var all, local []int
	for i := range c.states {
		all = append(all, i)
		if c.states[i].Config.GetZone() == zone {
			local = append(local, i)
		}
	}
	if len(local) == 0 || c.lowestLoad(local) > c.lowestLoad(all)+slack {
		return all
	}
	return local
}

func (c *choice) lowestLoad(indices []int) float64 {
	lowest := c.loads[indices[0]]
	for _, i := range indices[1:] {
		lowest = min(lowest, c.loads[i])
	}
	return lowest
}

// leastLoaded returns the index of the least loaded endpoint; ties are broken at
// random.
func (c *choice) leastLoaded(indices []int) int {
	best, ties := indices[0], 1
	for _, i := range indices[1:] {
		switch {
		case c.loads[i] < c.loads[best]:
			best, ties = i, 1
		case c.loads[i] == c.loads[best]:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// withPrefix returns the least loaded endpoint that has the prefix in its cache and
// is within the slack. If there is none, it returns the preferred endpoint for the
// prefix, and whether that is within the slack.
func (c *choice) withPrefix(indices []int, req Request, slack float64) (int, bool) {
	limit := c.lowestLoad(indices) + slack
	var cached []int
	for _, i := range indices {
		if c.loads[i] <= limit && c.states[i].Prefixes.IsCached(req.Model, req.Prefix) {
			cached = append(cached, i)
		}
	}
	if len(cached) > 0 {
		return c.leastLoaded(cached), true
	}
	chosen := c.leastLoaded(c.preferred(indices, req.Prefix))
	return chosen, c.loads[chosen] <= limit
}

// preferred returns the two endpoints with the highest rendezvous hashes for the
// prefix, which are the same on all hosts.
func (c *choice) preferred(indices []int, prefix uint64) []int {
	ranked := append([]int(nil), indices...)
	hashes := make(map[int]uint64, len(indices))
	for _, i := range indices {
		digest := xxhash.NewWithSeed(prefix)
		_, _ = digest.WriteString(c.states[i].Config.GetName()) // never returns an error
		hashes[i] = digest.Sum64()
	}
	sort.Slice(ranked, func(a, b int) bool { return hashes[ranked[a]] > hashes[ranked[b]] })
	return ranked[:min(2, len(ranked))]
}
