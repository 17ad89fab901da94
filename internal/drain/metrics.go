package drain

import "github.com/prometheus/client_golang/prometheus"

var (
	phaseDescription = prometheus.NewDesc("bilberryslip_stop_phase",
		"Phase of the shutdown: 0 serving, 1 announced, 2 draining, 3 ending, 4 closing, 5 ended.", nil, nil)
	decisionsDescription = prometheus.NewDesc("bilberryslip_stop_decisions_total",
		"Decisions on requests in a shutdown, one before each attempt, by decision and what it rests on.", []string{"decision", "basis"}, nil)
)

// Describe implements prometheus.Collector.
func (s *Stop) Describe(to chan<- *prometheus.Desc) {
	to <- phaseDescription
	to <- decisionsDescription
}

// Collect implements prometheus.Collector.
func (s *Stop) Collect(to chan<- prometheus.Metric) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to <- prometheus.MustNewConstMetric(phaseDescription, prometheus.GaugeValue, float64(s.phase))
	for key, count := range s.decisions {
		to <- prometheus.MustNewConstMetric(decisionsDescription, prometheus.CounterValue, float64(count), key.label(), string(key.basis))
	}
}

// decisionKey is a kind of decision that is counted.
type decisionKey struct {
	admitted bool
	basis    Basis
}

func (k decisionKey) label() string {
	if k.admitted {
		return "admitted"
	}
	return "refused"
}
