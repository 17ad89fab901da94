package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	requests *prometheus.CounterVec
	retries  *prometheus.CounterVec
	duration *prometheus.HistogramVec
	first    *prometheus.HistogramVec
}

// latencyBuckets spans from a plain lookup to the longest stream, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.01, 2, 12)

func newMetrics() *metrics {
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_routed_requests_total",
			Help: "Routed requests, by service and outcome.",
		}, []string{"service", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_routed_retries_total",
			Help: "Sends beyond a request's first, by service.",
		}, []string{"service"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bilberryslip_routed_duration_seconds",
			Help:    "Time to the end of a routed request, by service.",
			Buckets: latencyBuckets,
		}, []string{"service"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bilberryslip_routed_first_byte_seconds",
			Help:    "Time to the first byte of an answer passed on, by service.",
			Buckets: latencyBuckets,
		}, []string{"service"}),
	}
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.retries, m.duration, m.first}
}

func (m *metrics) finished(service, outcome string, elapsed, first time.Duration) {
	m.requests.WithLabelValues(service, outcome).Inc()
	m.duration.WithLabelValues(service).Observe(elapsed.Seconds())
	if first > 0 {
		m.first.WithLabelValues(service).Observe(first.Seconds())
	}
}
