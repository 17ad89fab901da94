package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	requests  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	firstByte *prometheus.HistogramVec
}

// latencyBuckets range from the latency of a lookup to that of the longest
// stream, in seconds.
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
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bilberryslip_routed_first_byte_seconds",
			Help:    "Time to the first byte of an answer passed on, by service.",
			Buckets: latencyBuckets,
		}, []string{"service"}),
	}
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.retries, m.duration, m.firstByte}
}

func (m *metrics) recordRequest(service, outcome string, elapsed, firstByte time.Duration) {
	m.requests.WithLabelValues(service, outcome).Inc()
	m.duration.WithLabelValues(service).Observe(elapsed.Seconds())
	if firstByte > 0 {
		m.firstByte.WithLabelValues(service).Observe(firstByte.Seconds())
	}
}
