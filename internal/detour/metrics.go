package detour

import "github.com/prometheus/client_golang/prometheus"

type serverMetrics struct {
	relayed *prometheus.CounterVec
	bytes   *prometheus.CounterVec
}

func newServerMetrics() *serverMetrics {
	return &serverMetrics{
		relayed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_relayed_connections_total",
			Help: "Connections of peers to endpoints, by result: relayed, or why not.",
		}, []string{"result"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_relayed_bytes_total",
			Help: "Bytes relayed between peers and endpoints, by direction.",
		}, []string{"direction"}),
	}
}

func (m *serverMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.relayed, m.bytes}
}
