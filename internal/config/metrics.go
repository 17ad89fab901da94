package config

import "github.com/prometheus/client_golang/prometheus"

type logMetrics struct {
	revision prometheus.GaugeFunc
	proofAge prometheus.GaugeFunc
	applies  *prometheus.CounterVec
}

func newLogMetrics(l *Log) *logMetrics {
	return &logMetrics{
		revision: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bilberryslip_config_revision",
			Help: "Revision of the configuration in force on this host.",
		}, func() float64 { return float64(l.Current().Revision()) }),
		proofAge: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bilberryslip_config_proof_age_seconds",
			Help: "Time since the configuration in force was proved to be the latest; -1 where it never was.",
		}, l.proofAgeSeconds),
		applies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_config_applies_total",
			Help: "Changes that operators asked this host to apply, by result.",
		}, []string{"result"}),
	}
}

func (l *Log) proofAgeSeconds() float64 {
	provenAt := l.ProvenAt()
	if provenAt.IsZero() {
		return -1
	}
	return l.config.Clock().Sub(provenAt).Seconds()
}

// Collectors returns the log's metrics for registration with Prometheus.
func (l *Log) Collectors() []prometheus.Collector {
	return []prometheus.Collector{l.metrics.revision, l.metrics.proofAge, l.metrics.applies}
}
