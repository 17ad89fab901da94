package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the gateway's Prometheus metrics.
type metrics struct {
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	duration   prometheus.Histogram
	firstToken prometheus.Histogram
	queueWait  prometheus.Histogram
	retries    *prometheus.CounterVec
	tokens     prometheus.Counter
}

func newMetrics() *metrics {
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_gateway_requests_total",
			Help: "Callers' requests that ended, by how.",
		}, []string{"end"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_gateway_refusals_total",
			Help: "Requests that were not served, by error code and run.",
		}, []string{"code", "run"}),
		duration: newSecondsHistogram("bilberryslip_gateway_request_duration_seconds",
			"Time from a request's arrival to its end."),
		firstToken: newSecondsHistogram("bilberryslip_gateway_first_token_seconds",
			"Time from a request's arrival to the first event of its answer."),
		queueWait: newSecondsHistogram("bilberryslip_gateway_queue_wait_seconds",
			"Time in the admission queue of requests that started."),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_gateway_retries_total",
			Help: "Further attempts of a request, by kind.",
		}, []string{"kind"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberryslip_gateway_tokens_total",
			Help: "Tokens of prompts and answers that passed.",
		}),
	}
}

func newSecondsHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    name,
		Help:    help,
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 17),
	})
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.refusals, m.duration, m.firstToken, m.queueWait, m.retries, m.tokens}
}

// finished counts a request that ended as the event "served", "refused" or
// "cut".
func (m *metrics) finished(end string, elapsed time.Duration) {
	m.requests.WithLabelValues(end).Inc()
	m.duration.Observe(elapsed.Seconds())
}

func (m *metrics) refused(failure *Error) {
	m.refusals.WithLabelValues(string(failure.Code), string(failure.Run)).Inc()
}
