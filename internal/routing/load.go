package routing

import (
	"math"
	"sort"
	"time"

	"bilberryslip.example/bilberryslip/internal/endpoint"
)

// reportTrust is the time constant with which a report loses its weight.
// Requests end and other hosts act on the same report, so that differences
// between endpoints that an old report shows are gone or even turned round.
const reportTrust = 250 * time.Millisecond

// estimates returns the estimated load of each endpoint: what this host has
// running there, which it knows exactly, and what other hosts have. The
// latter is the mean over the endpoints, corrected by each one's own report
// as far as that is fresh. Recent failures count as load.
func estimates(states []endpoint.State) []float64 {
	mean := 0.0
	for i := range states {
		mean += states[i].OtherHostsLoad() / float64(len(states))
	}
	loads := make([]float64, len(states))
	for i := range states {
		s := &states[i]
		trust := math.Exp(-s.ReportAge.Seconds() / reportTrust.Seconds())
		others := mean + (s.OtherHostsLoad()-mean)*trust
		loads[i] = float64(s.InFlight) + others + s.Penalty
	}
	return loads
}

const (
	// minSlowness is how many times the median an endpoint's first tokens
	// must take for it to count as slow; less is the swing of cache hits.
	minSlowness = 2.5
	// maxSlowness bounds by how much slowness makes an endpoint look loaded.
	maxSlowness = 8
)

// utilisations returns the estimated loads as parts of the capacities. An
// endpoint whose first tokens take longer than the median counts as loaded by
// as much more.
func utilisations(states []endpoint.State, model string) []float64 {
	loads := estimates(states)
	median := medianFirstToken(states, model)
	for i := range loads {
		slowness := 1.0
		if median > 0 {
			slowness = min(states[i].FirstTokenLatency[model].Seconds()/median, maxSlowness)
		}
		if slowness < minSlowness {
			slowness = 1
		}
		loads[i] = (loads[i] + slowness - 1) * slowness / float64(states[i].Capacity())
	}
	return loads
}

func medianFirstToken(states []endpoint.State, model string) float64 {
	var known []float64
	for i := range states {
		if mean := states[i].FirstTokenLatency[model]; mean > 0 {
			known = append(known, mean.Seconds())
		}
	}
	if len(known) < 3 {
		return 0 // too few to tell who is slow
	}
	sort.Float64s(known)
	return known[len(known)/2]
}
