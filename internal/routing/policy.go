package routing

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"bilberryslip.example/bilberryslip/internal/endpoint"
)

// Policy chooses among eligible endpoints. Choose returns an index into
// states, which must not be empty.
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

// PowerOfTwo draws two endpoints and chooses the one with the lower load,
// corrected by what this host has sent since the report.
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
// the prompt's prefix in their cache, as long as that costs little more load;
// else it is the power of two choices. A prefix that no endpoint is known to
// hold goes to one of two endpoints that all hosts agree on. The zero value
// uses the default slacks.
type Affinity struct {
	// ZoneSlack is by how much of its capacity the own zone may be more
	// loaded than the least loaded endpoint. Zero means 0.25.
	ZoneSlack float64
	// PrefixSlack is by how much of its capacity an endpoint with the prefix
	// may be more loaded than the least loaded one. Zero means 0.25.
	PrefixSlack float64
}

const defaultSlack = 0.25

// Choose implements Policy.
func (p Affinity) Choose(rng *rand.Rand, states []endpoint.State, req Request) int {
	c := choice{states: states, loads: utilisations(states, req.Model), rng: rng}
	near := c.near(req.Zone, slack(p.ZoneSlack))
	if req.Prefix != 0 {
		if chosen, ok := c.withPrefix(near, req, slack(p.PrefixSlack)); ok {
			return chosen
		}
	}
	return c.leastLoaded(near)
}

func slack(configured float64) float64 {
	if configured == 0 {
		return defaultSlack
	}
	return configured
}

// choice is one choice of Affinity.
type choice struct {
	states []endpoint.State
	loads  []float64
	rng    *rand.Rand
}

// near returns the indices of the zone's own endpoints, or of all where the
// zone has none or is more loaded by the slack.
func (c *choice) near(zone string, slack float64) []int {
	var all, own []int
	for i := range c.states {
		all = append(all, i)
		if c.states[i].Config.GetZone() == zone {
			own = append(own, i)
		}
	}
	if len(own) == 0 || c.least(own) > c.least(all)+slack {
		return all
	}
	return own
}

func (c *choice) least(indices []int) float64 {
	low := c.loads[indices[0]]
	for _, i := range indices[1:] {
		low = min(low, c.loads[i])
	}
	return low
}

// leastLoaded returns the least loaded endpoint, any of them if several are.
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

func (c *choice) withPrefix(near []int, req Request, slack float64) (int, bool) {
	limit := c.least(near) + slack
	var cached []int
	for _, i := range near {
		if c.loads[i] <= limit && c.states[i].Prefixes.IsCached(req.Model, req.Prefix) {
			cached = append(cached, i)
		}
	}
	if len(cached) > 0 {
		return c.leastLoaded(cached), true
	}
	chosen := c.leastLoaded(c.agreed(near, req.Prefix))
	return chosen, c.loads[chosen] <= limit
}

// agreed returns the two endpoints with the highest rendezvous hashes, which
// are the same on all hosts.
func (c *choice) agreed(near []int, prefix uint64) []int {
	ranked := append([]int(nil), near...)
	weights := make(map[int]uint64, len(near))
	for _, i := range near {
		digest := xxhash.NewWithSeed(prefix)
		_, _ = digest.WriteString(c.states[i].Config.GetName()) // never fails
		weights[i] = digest.Sum64()
	}
	sort.Slice(ranked, func(a, b int) bool { return weights[ranked[a]] > weights[ranked[b]] })
	return ranked[:min(2, len(ranked))]
}
