package fleet

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/endpointlimit"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

const (
	// warmUp is how long the rate of an endpoint that has turned warm stays limited. The
	// limit doubles each warmUpDoubling, so that the hosts don't all choose the endpoint
	// at once because it has little to do.
	warmUp         = 2 * time.Second
	warmUpDoubling = 500 * time.Millisecond
	// coldRefresh is how often the endpoints are checked for having turned warm.
	coldRefresh = 50 * time.Millisecond
)

// ColdStart describes the cold start of a service's endpoints.
type ColdStart struct {
	// Duration is how long an endpoint that has started stays cold.
	Duration time.Duration
	// PerSecond is the number of requests a second that a cold endpoint takes from all
	// hosts together. Zero means that the service has no cold endpoints.
	PerSecond float64
}

// ColdStatement is what a response says of the cold start of its endpoint.
type ColdStatement struct {
	// Known is set if the response says whether the endpoint is cold.
	Known bool
	// Remaining is how much longer it stays cold; zero if it is warm.
	Remaining time.Duration
}

// memberCold is what is known of the cold start of an endpoint.
type memberCold struct {
	// limit divides the rate of the cold endpoint; nil once it is warm and warmUp is
	// over.
	limit *endpointlimit.Limit
	// until is the end of the cold start by the newest statement of the endpoint.
	until time.Time
	// appearedAt is when the entry appeared, unless the endpoint has stated since that
	// it is warm. Until then its state is unknown, and it counts as cold.
	appearedAt time.Time
	// entryVersion is the version of the entry that until is from.
	entryVersion int64
	// warmAt is when the endpoint turned warm; zero while it is cold.
	warmAt time.Time
}

// coldRegistry is the part of the Registry that concerns all cold endpoints.
type coldRegistry struct {
	// sendFrom is until when a process that has just started does not know its peers and
	// sends nothing to cold endpoints.
	sendFrom time.Time
	// listed is set after the first listing, whose endpoints are as their entries say.
	listed      bool
	refreshedAt time.Time
	passedOver  prometheus.Counter
}

func newColdRegistry(now time.Time) coldRegistry {
	return coldRegistry{
		sendFrom: now.Add(exchange.MaxSettleTime),
		passedOver: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberryslip_cold_passed_over_total", Help: "Choices of an endpoint that would have fallen on a cold one, whose limit allowed none.",
		}),
	}
}

// Collectors returns the registry's metrics: of slow and cold endpoints and brittle services.
func (r *Registry) Collectors() []prometheus.Collector {
	cold := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bilberryslip_cold_endpoints", Help: "Endpoints that count as cold.",
	}, func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		count := 0
		for _, m := range r.members {
			if m.cold.limit != nil && m.cold.warmAt.IsZero() && m.removedAt.IsZero() {
				count++
			}
		}
		return float64(count)
	})
	brittle := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bilberryslip_brittle_services", Help: "Services whose endpoints say that they crash if they reject too many requests.",
	}, func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		count := 0
		for _, s := range r.brittle {
			if s.rejections > 0 {
				count++
			}
		}
		return float64(count)
	})
	return []prometheus.Collector{r.speeds.gauge, cold, r.cold.passedOver, brittle}
}

// handleColdEntry records what an endpoint's entry says of its cold start. Appeared is
// set if the entry was not there before. An entry from a listing may be of an older
// copy of the store and does not end a cold start. It must be called with the mutex held.
func (r *Registry) handleColdEntry(m *member, now time.Time, appeared, listed bool) {
	until := now.Add(m.ColdRemaining)
	switch {
	case appeared:
		m.cold.until, m.cold.entryVersion, m.cold.appearedAt = until, m.EntryVersion, time.Time{}
		if r.cold.listed {
			m.cold.appearedAt = now
		}
	case m.EntryVersion <= m.cold.entryVersion:
		return
	case listed:
		m.cold.until, m.cold.entryVersion = later(m.cold.until, until), m.EntryVersion
	default:
		m.cold.entryVersion = m.EntryVersion
		m.state(now, ColdStatement{Known: true, Remaining: m.ColdRemaining})
	}
	r.updateCold(m, now)
}

// state records a statement of the endpoint.
func (m *member) state(now time.Time, statement ColdStatement) {
	m.cold.until = now.Add(statement.Remaining)
	if statement.Remaining == 0 {
		m.cold.appearedAt = time.Time{}
	}
}

// RecordCold records what a response says of the endpoint's cold start.
func (a *Attempt) RecordCold(statement ColdStatement) {
	if !statement.Known {
		return
	}
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	now := a.registry.config.Clock()
	a.member.state(now, statement)
	a.registry.updateCold(a.member, now)
}

// handlePeerCold records that an endpoint is cold to a peer that has read a newer entry.
// It must be called with the mutex held.
func (r *Registry) handlePeerCold(m *member, now time.Time, l *fleetv1.EndpointLimit) {
	if l.GetColdMillis() > 0 && l.GetEntryVersion() > m.cold.entryVersion {
		m.cold.until = later(m.cold.until, now.Add(time.Duration(l.GetColdMillis())*time.Millisecond))
		r.updateCold(m, now)
	}
}

// coldUntil returns the end of the endpoint's cold start.
func (m *member) coldUntil(duration time.Duration) time.Time {
	if m.cold.appearedAt.IsZero() {
		return m.cold.until
	}
	return later(m.cold.until, m.cold.appearedAt.Add(duration))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// refreshCold updates all endpoints, at most each coldRefresh. It must be called with
// the mutex held.
func (r *Registry) refreshCold(now time.Time) {
	if now.Sub(r.cold.refreshedAt) < coldRefresh {
		return
	}
	r.cold.refreshedAt = now
	for _, m := range r.members {
		r.updateCold(m, now)
	}
}

// updateCold starts, changes or ends the limit of a cold endpoint. It must be called
// with the mutex held.
func (r *Registry) updateCold(m *member, now time.Time) {
	start := r.config.ColdStart(m.Service)
	if start.PerSecond <= 0 {
		m.cold.limit = nil
		return
	}
	cold := now.Before(m.coldUntil(start.Duration))
	if cold && (m.cold.limit == nil || !m.cold.warmAt.IsZero()) {
		r.logCold("endpoint is cold", m, now, start)
		m.cold.warmAt = time.Time{}
	}
	rate := start.PerSecond
	switch {
	case m.cold.limit == nil && !cold:
		return
	case m.cold.limit == nil:
		m.cold.limit = endpointlimit.NewStrict(r.config.Host, m.ID, now, rate, max(0, r.cold.sendFrom.Sub(now)))
		r.setColdPeers(m, now)
		return
	case !cold && m.cold.warmAt.IsZero():
		m.cold.warmAt = now
		r.logCold("endpoint is warm", m, now, start)
	case !cold && now.Sub(m.cold.warmAt) >= warmUp:
		m.cold.limit = nil
		return
	case !cold:
		rate *= math.Exp2(now.Sub(m.cold.warmAt).Seconds() / warmUpDoubling.Seconds())
	}
	if m.cold.limit.PerSecond() != rate {
		m.cold.limit.SetPerSecond(now, rate)
	}
}

func (r *Registry) logCold(event string, m *member, now time.Time, start ColdStart) {
	logrus.WithFields(logrus.Fields{
		"endpoint": m.ID, "service": m.Service, "zone": m.Zone, "per_second": start.PerSecond,
		"remaining_ms": max(0, m.coldUntil(start.Duration).Sub(now)).Milliseconds(), "state_unknown": !m.cold.appearedAt.IsZero(),
	}).Info(event)
}

// setColdPeers sets the hosts among which the limit of a cold endpoint is divided. The
// demand of hosts that don't report is unknown. It must be called with the mutex held.
func (r *Registry) setColdPeers(m *member, now time.Time) {
	if m.cold.limit == nil {
		return
	}
	m.cold.limit.SetPeers(now, r.hosts)
	for _, name := range r.unreachable {
		m.cold.limit.SetPeerUnknown(name)
	}
}

// setPeerColdDemand sets a peer's demand for the endpoint. A peer that does not report
// the endpoint as cold may not know that it is, so that its demand is unknown.
func (m *member) setPeerColdDemand(peer string, demands map[string]float64) {
	if m.cold.limit == nil {
		return
	}
	if demand, ok := demands[m.ID]; ok {
		m.cold.limit.SetPeerDemand(peer, demand)
	} else {
		m.cold.limit.SetPeerUnknown(peer)
	}
}

// reportCold adds the endpoint's cold start to a report.
func (m *member) reportCold(now time.Time, interval time.Duration, report *fleetv1.EndpointLimit) {
	if m.cold.limit == nil {
		return
	}
	report.Cold, report.EntryVersion, report.ColdDemand = true, m.cold.entryVersion, float32(m.cold.limit.ReportDemand(now, interval))
	report.ColdMillis = max(0, m.cold.until.Sub(now)).Milliseconds()
}

// splitLimited separates the cold endpoints whose limit allows no request now, and the
// brittle ones of whose slots this host's part is in use.
func (r *Registry) splitLimited(candidates []candidate, now time.Time) (ready, passed []candidate) {
	isPassed := func(c candidate) bool {
		limit := c.member.cold.limit
		return limit != nil && !limit.Ready(now) || r.brittleFull(c.member, now)
	}
	for i, c := range candidates {
		if isPassed(c) {
			if passed == nil { // copies only if there is one
				ready = append(make([]candidate, 0, len(candidates)), candidates[:i]...)
			}
			passed = append(passed, c)
		} else if passed != nil {
			ready = append(ready, c)
		}
	}
	if passed == nil {
		return candidates, nil
	}
	return ready, passed
}

// passOver records demand for those cold endpoints that would have cost less than the
// one that was chosen, and returns all that were passed over. It must be called with the
// mutex held.
func (r *Registry) passOver(passed []candidate, chosenCost float64, work Work, now time.Time) []*member {
	members := make([]*member, 0, len(passed))
	cheaper := false
	for i := range passed {
		members = append(members, passed[i].member)
		if limit := passed[i].member.cold.limit; limit != nil && r.cost(&passed[i], &work) < chosenCost {
			limit.RecordDemand(now)
			cheaper = true
		}
	}
	if cheaper {
		r.cold.passedOver.Inc()
	}
	return members
}
