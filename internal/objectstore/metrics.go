package objectstore

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type clientMetrics struct {
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	watches prometheus.Gauge
}

func newClientMetrics() *clientMetrics {
	return &clientMetrics{
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

func (m *clientMetrics) observe(name string, kind Kind, err error, took time.Duration) {
	m.calls.WithLabelValues(name, string(kind), resultOf(err)).Inc()
	m.seconds.WithLabelValues(name).Observe(took.Seconds())
}

func resultOf(err error) string {
	var (
		unavailable *UnavailableError
		conflict    *ConflictError
		notFound    *NotFoundError
		gone        *GoneError
	)
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &notFound):
		return "not_found"
	case errors.As(err, &gone):
		return "gone"
	case errors.As(err, &unavailable) && unavailable.Outcome == OutcomeNotSent:
		return "not_sent"
	case errors.As(err, &unavailable):
		return "unknown"
	default:
		return "rejected"
	}
}

// Collectors returns the client's metrics, for registration.
func (c *Client) Collectors() []prometheus.Collector {
	return []prometheus.Collector{c.metrics.calls, c.metrics.seconds, c.metrics.watches}
}
