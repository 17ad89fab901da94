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
	return lower(states, rng.IntN(len(states)), rng.IntN(len(states)))
}

func lower(states []endpoint.State, a, b int) int {
	if utilisation(&states[b]) < utilisation(&states[a]) {
		return b
	}
	return a
}

func utilisation(s *endpoint.State) float64 { return s.Load() / float64(s.Capacity()) }

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
	near := p.near(states, req.Zone)
	if req.Prefix != 0 {
		if chosen, ok := p.withPrefix(rng, states, near, req); ok {
			return chosen
		}
	}
	return lower(states, near[rng.IntN(len(near))], near[rng.IntN(len(near))])
}

// near returns the indices of the zone's own endpoints, or of all where the
// zone has none or is more loaded by the slack.
func (p Affinity) near(states []endpoint.State, zone string) []int {
	var all, own []int
	for i := range states {
		all = append(all, i)
		if states[i].Config.GetZone() == zone {
			own = append(own, i)
		}
	}
	if len(own) == 0 || least(states, own) > least(states, all)+slack(p.ZoneSlack) {
		return all
	}
	return own
}

func least(states []endpoint.State, indices []int) float64 {
	low := utilisation(&states[indices[0]])
	for _, i := range indices[1:] {
		low = min(low, utilisation(&states[i]))
	}
	return low
}

func slack(configured float64) float64 {
	if configured == 0 {
		return defaultSlack
	}
	return configured
}

func (p Affinity) withPrefix(rng *rand.Rand, states []endpoint.State, near []int, req Request) (int, bool) {
	limit := least(states, near) + slack(p.PrefixSlack)
	var cached []int
	for _, i := range near {
		if utilisation(&states[i]) <= limit && states[i].Prefixes.Holds(req.Model, req.Prefix) {
			cached = append(cached, i)
		}
	}
	if len(cached) > 0 {
		return lower(states, cached[rng.IntN(len(cached))], cached[rng.IntN(len(cached))]), true
	}
	first, second := agreed(states, near, req.Prefix)
	chosen := lower(states, first, second)
	return chosen, utilisation(&states[chosen]) <= limit
}

// agreed returns the two endpoints with the highest rendezvous hashes.
func agreed(states []endpoint.State, near []int, prefix uint64) (int, int) {
	ranked := append([]int(nil), near...)
	weights := make(map[int]uint64, len(near))
	for _, i := range near {
		digest := xxhash.NewWithSeed(prefix)
		_, _ = digest.WriteString(states[i].Config.GetName()) // never fails
		weights[i] = digest.Sum64()
	}
	sort.Slice(ranked, func(a, b int) bool { return weights[ranked[a]] > weights[ranked[b]] })
	return ranked[0], ranked[min(1, len(ranked)-1)]
}
