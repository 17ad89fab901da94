package shares

import (
	"github.com/prometheus/client_golang/prometheus"

	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

// metrics are the Prometheus metrics of a Service.
type metrics struct {
	granted, borrowRequests, ledgerWrites prometheus.Counter
	borrowed, lent, excess                prometheus.Counter
	refusals                              *prometheus.CounterVec
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "bilberryslip_shares_" + name, Help: help})
	}
	return &metrics{
		granted:        counter("granted_total", "Requests granted tokens."),
		borrowRequests: counter("borrow_requests_total", "Requests for tokens sent to peers."),
		ledgerWrites:   counter("ledger_writes_total", "Writes to the share ledger, successful or not."),
		borrowed:       counter("borrowed_tokens_total", "Tokens received from peers."),
		lent:           counter("lent_tokens_total", "Tokens given to peers."),
		excess:         counter("excess_tokens_total", "Tokens used beyond a request's reservation."),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_shares_refusals_total", Help: "Requests refused for their rate, by reason.",
		}, []string{"reason"}),
	}
}

func (m *metrics) countRefusal(refusal *ratelimit.RefusedError) {
	m.refusals.WithLabelValues(string(refusal.Reason)).Inc()
}

// Collectors returns the service's metrics for registration with Prometheus.
func (s *Service) Collectors() []prometheus.Collector {
	m := s.metrics
	units := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bilberryslip_shares_usable_units", Help: "Units of the share ledger that this host may use now.",
	}, func() (units float64) {
		s.withShareLease(func(lease *ratelimit.ShareLease) { units = float64(lease.UsableUnitsAt(s.config.Now())) })
		return units
	})
	return []prometheus.Collector{m.granted, m.borrowRequests, m.ledgerWrites, m.borrowed, m.lent, m.excess, m.refusals, units}
}
