package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bilberryslip.example/bilberryslip/internal/upstream"
)

type metrics struct {
	requests   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	responses  *prometheus.CounterVec
	oversized  *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstByte  *prometheus.HistogramVec
	unfinished *prometheus.CounterVec
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
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_routed_responses_total",
			Help: "Responses of endpoints whose bodies were read, by service, framing and end.",
		}, []string{"service", "framing", "end"}),
		oversized: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_routed_oversized_total",
			Help: "Responses of endpoints that exceeded a bound, by service and part of the response.",
		}, []string{"service", "part"}),
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
		unfinished: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_routed_unfinished_total",
			Help: "Requests that the end of a shutdown cut, by service.",
		}, []string{"service"}),
	}
}

// Values of the label end of bilberryslip_routed_responses_total. Responses that are
// too large to relay count as cut.
const (
	endComplete = "complete"
	endCut      = "cut"
)

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.retries, m.responses, m.oversized, m.duration, m.firstByte, m.unfinished}
}

func (m *metrics) recordRequest(service, outcome string, elapsed, firstByte time.Duration) {
	m.requests.WithLabelValues(service, outcome).Inc()
	m.duration.WithLabelValues(service).Observe(elapsed.Seconds())
	if firstByte > 0 {
		m.firstByte.WithLabelValues(service).Observe(firstByte.Seconds())
	}
}

// recordResponse counts a response of an endpoint by the end of its body.
func (m *metrics) recordResponse(service string, framing upstream.Framing, end string) {
	m.responses.WithLabelValues(service, string(framing), end).Inc()
}
