package routing

import (
	"math"
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
		mean += states[i].OthersAtReport() / float64(len(states))
	}
	loads := make([]float64, len(states))
	for i := range states {
		s := &states[i]
		trust := math.Exp(-s.ReportAge.Seconds() / reportTrust.Seconds())
		others := mean + (s.OthersAtReport()-mean)*trust
		loads[i] = float64(s.InFlight) + others + s.Penalty
	}
	return loads
}

// utilisations returns the estimated loads as parts of the capacities.
func utilisations(states []endpoint.State) []float64 {
	loads := estimates(states)
	for i := range loads {
		loads[i] /= float64(states[i].Capacity())
	}
	return loads
}
