package claims

import "github.com/prometheus/client_golang/prometheus"

type storeMetrics struct {
	begins  *prometheus.CounterVec
	pending prometheus.Gauge
	deleted prometheus.Counter
}

func newStoreMetrics() *storeMetrics {
	return &storeMetrics{
		begins: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_claims_begins_total",
			Help: "Requests that were to be claimed, by result.",
		}, []string{"result"}),
		pending: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bilberryslip_claims_pending_writes",
			Help: "Final states of claims that the platform has not confirmed yet.",
		}),
		deleted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberryslip_claims_deleted_total",
			Help: "Claims deleted by this host after their retention.",
		}),
	}
}

// observe counts one call of Begin by its result.
func (m *storeMetrics) observe(outcome Outcome, err error) {
	result := string(outcome.State)
	if err != nil {
		result = "unavailable"
	}
	m.begins.WithLabelValues(result).Inc()
}

// Collectors returns the Store's metrics, for registration.
func (s *Store) Collectors() []prometheus.Collector {
	return []prometheus.Collector{s.metrics.begins, s.metrics.pending, s.metrics.deleted}
}
