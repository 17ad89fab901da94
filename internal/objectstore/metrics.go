package objectstore

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts and times the calls of one client of the platform's object API.
type Metrics struct {
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	watches prometheus.Gauge
}

// NewMetrics returns Metrics. The caller registers their Collectors.
func NewMetrics() *Metrics {
	return &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_platform_calls_total",
			Help: "Calls to the platform's object API, by call, kind of object and result.",
		}, []string{"call", "kind", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bilberryslip_platform_call_seconds",
			Help:    "Duration of calls to the platform's object API, by call.",
			Buckets: []float64{0.001, 0.005, 0.02, 0.1, 0.5, 2},
		}, []string{"call"}),
		watches: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bilberryslip_platform_watches",
			Help: "Watches that are waiting at the platform.",
		}),
	}
}

// Observe records one call by its name, the kind of object, its result and its
// duration.
func (m *Metrics) Observe(name string, kind Kind, err error, took time.Duration) {
	m.calls.WithLabelValues(name, string(kind), resultOf(err)).Inc()
	m.seconds.WithLabelValues(name).Observe(took.Seconds())
}

// resultOf returns the value of the label "result" for an error.
func resultOf(err error) string {
	var (
		unavailable *UnavailableError
		conflict    *ConflictError
		notFound    *NotFoundError
		compacted   *CompactedError
	)
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &notFound):
		return "not_found"
	case errors.As(err, &compacted):
		return "gone"
	case errors.As(err, &unavailable) && unavailable.Outcome == OutcomeNotSent:
		return "not_sent"
	case errors.As(err, &unavailable):
		return "unknown"
	default:
		return "rejected"
	}
}

// Collectors returns the metrics, for registration.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.calls, m.seconds, m.watches}
}

// Collectors returns the client's metrics, for registration.
func (c *Client) Collectors() []prometheus.Collector { return c.metrics.Collectors() }
