package routing

import (
	"math"
	"sort"
	"time"

	"bilberryslip.example/bilberryslip/internal/endpoint"
)

// reportDecay is the time constant with which a load report loses its weight.
// Requests end and other hosts act on the same report, so the differences between
// endpoints in an old report have since vanished or even reversed.
const reportDecay = 250 * time.Millisecond

// estimateLoads returns the estimated number of requests at each endpoint: those
// of this host, whose number is exact, and those of other hosts. The latter is the
// mean over the endpoints, corrected towards each endpoint's own report with a
// weight that decays with the report's age. Recent failures count as load.
func estimateLoads(states []endpoint.State) []float64 {
	mean := 0.0
	for i := range states {
		mean += states[i].OtherHostsLoad() / float64(len(states))
	}
	loads := make([]float64, len(states))
	for i := range states {
		s := &states[i]
		weight := math.Exp(-s.ReportAge.Seconds() / reportDecay.Seconds())
		others := mean + (s.OtherHostsLoad()-mean)*weight
		loads[i] = float64(s.InFlight) + others + s.Penalty
	}
	return loads
}

const (
	// minSlowness is the time to first token, as a multiple of the median, from
	// which an endpoint is treated as slow; cache hits and misses cause smaller
	// differences.
	minSlowness = 2.5
	// maxSlowness bounds the factor by which slowness raises an endpoint's load.
	maxSlowness = 8
)

// utilisations returns the estimated load of each endpoint as a fraction of its
// capacity. The load of an endpoint whose time to first token for the model is
// well above the median is raised accordingly.
func utilisations(states []endpoint.State, model string) []float64 {
	loads := estimateLoads(states)
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

// medianFirstToken returns the median over the endpoints of the mean time to first
// token in seconds, or zero if fewer than three endpoints have one.
func medianFirstToken(states []endpoint.State, model string) float64 {
	var known []float64
	for i := range states {
		if mean := states[i].FirstTokenLatency[model]; mean > 0 {
			known = append(known, mean.Seconds())
		}
	}
	if len(known) < 3 {
		return 0 // too few to identify slow endpoints
	}
	sort.Float64s(known)
	return known[len(known)/2]
}
