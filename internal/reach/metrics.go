package reach

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	state  *prometheus.GaugeVec
	checks *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		state: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bilberryslip_path_state",
			Help: "This host's path to the endpoints of a service: 0 direct, 1 suspect, 2 cut. Absent until it was first checked.",
		}, []string{"service"}),
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_path_checks_total",
			Help: "Endpoints called to check the path to a service, by result.",
		}, []string{"service", "result"}),
	}
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.state, m.checks}
}

func (m *metrics) recordCheck(service string, result Check, state State) {
	m.state.WithLabelValues(service).Set(float64(state))
	m.checks.WithLabelValues(service, "answered").Add(float64(result.Answered))
	m.checks.WithLabelValues(service, "refused").Add(float64(result.Refused))
	m.checks.WithLabelValues(service, "silent").Add(float64(result.Silent))
}

// pathState is the path to a service's endpoints in the state dump.
type pathState struct {
	Service     string `json:"service"`
	Path        string `json:"path"`
	PeerReaches bool   `json:"peerReaches"`
	Waiting     int    `json:"waiting"`
	QuietMillis int64  `json:"quietMillis"`
}

// DumpState returns the paths to all services, for the state dump.
func (m *Monitor) DumpState() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock()
	states := make([]pathState, 0, len(m.paths))
	for service, p := range m.paths {
		state := pathState{Service: service, Path: p.State().String(), PeerReaches: p.Confirmed(), Waiting: len(p.waiting)}
		if len(p.waiting) > 0 {
			state.QuietMillis = now.Sub(p.quietSince).Milliseconds()
		}
		states = append(states, state)
	}
	return states
}
