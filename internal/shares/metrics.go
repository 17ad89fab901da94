package shares

import (
	"github.com/prometheus/client_golang/prometheus"

	"bilberryslip.example/bilberryslip/internal/ratelimit"
)

type metrics struct {
	granted, asked, ledgerWrites prometheus.Counter
	borrowed, lent, excess       prometheus.Counter
	refusals                     *prometheus.CounterVec
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "bilberryslip_shares_" + name, Help: help})
	}
	return &metrics{
		granted:      counter("granted_total", "Requests granted tokens."),
		asked:        counter("borrow_requests_total", "Requests for tokens sent to peers."),
		ledgerWrites: counter("ledger_writes_total", "Writes to the share ledger, successful or not."),
		borrowed:     counter("borrowed_tokens_total", "Tokens received from peers."),
		lent:         counter("lent_tokens_total", "Tokens given to peers."),
		excess:       counter("excess_tokens_total", "Tokens used beyond a request's reservation."),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberryslip_shares_refusals_total", Help: "Requests refused for their rate, by reason.",
		}, []string{"reason"}),
	}
}

func (m *metrics) refused(refusal *ratelimit.RefusedError) {
	m.refusals.WithLabelValues(string(refusal.Reason)).Inc()
}

// Collectors returns the service's metrics, for registration.
func (s *Service) Collectors() []prometheus.Collector {
	m := s.metrics
	units := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bilberryslip_shares_usable_units", Help: "Units of the share ledger that this host may use now.",
	}, func() (units float64) {
		s.tenure(func(t *ratelimit.ShareLease) { units = float64(t.UsableUnitsAt(s.config.Now())) })
		return units
	})
	return []prometheus.Collector{m.granted, m.asked, m.ledgerWrites, m.borrowed, m.lent, m.excess, m.refusals, units}
}
