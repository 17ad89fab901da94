package endpoint

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	attempts     *prometheus.CounterVec
	pollFailures prometheus.Counter
}

func newMetrics() *metrics {
	return &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_endpoint_attempts_total",
			Help: "Attempts at endpoints, by outcome.",
		}, []string{"outcome"}),
		pollFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberryslip_endpoint_poll_failures_total",
			Help: "Polls of endpoints that failed.",
		}),
	}
}

func (m *metrics) attempt(outcome Outcome) {
	m.attempts.WithLabelValues(outcome.String()).Inc()
}

// String returns the outcome's label value in metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeFailed:
		return "failed"
	default:
		return "cancelled"
	}
}

// Collectors returns the registry's metrics for registration.
func (r *Registry) Collectors() []prometheus.Collector {
	return []prometheus.Collector{r.metrics.attempts, r.metrics.pollFailures}
}

// Dump is the entry of one endpoint in the debug state dump.
type Dump struct {
	Name           string  `json:"name"`
	Zone           string  `json:"zone"`
	Reachable      bool    `json:"reachable"`
	Draining       bool    `json:"leaving"`
	Ejected        bool    `json:"ejected"`
	InFlight       int     `json:"inFlight"`
	TokensInFlight int64   `json:"tokensInFlight"`
	Load           float64 `json:"load"`
	Running        int     `json:"reportedRunning"`
	Queued         int     `json:"reportedQueued"`
	UsedBytes      int64   `json:"usedBytes"`
	MemoryBytes    int64   `json:"memoryBytes"`
	// ReportAgeMillis is -1 before the first report.
	ReportAgeMillis int64 `json:"reportAgeMillis"`
}

// DumpState returns a Dump for each endpoint, ordered by name.
func (r *Registry) DumpState() any {
	now := r.config.Clock()
	states := r.States()
	dumps := make([]Dump, 0, len(states))
	for i := range states {
		dumps = append(dumps, dump(&states[i], now))
	}
	return dumps
}

func dump(s *State, now time.Time) Dump {
	age := int64(-1)
	if !s.ReportedAt.IsZero() {
		age = now.Sub(s.ReportedAt).Milliseconds() + s.Report.AgeMillis
	}
	return Dump{
		Name:            s.Config.GetName(),
		Zone:            s.Config.GetZone(),
		Reachable:       s.Reachable,
		Draining:        s.Draining,
		Ejected:         s.Ejected,
		InFlight:        s.InFlight,
		TokensInFlight:  s.TokensInFlight,
		Load:            s.Load(),
		Running:         s.Report.Running,
		Queued:          s.Report.Queued,
		UsedBytes:       s.Report.UsedBytes,
		MemoryBytes:     s.Report.MemoryBytes,
		ReportAgeMillis: age,
	}
}
