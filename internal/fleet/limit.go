package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/endpointlimit"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

// droppedFor is how long a host reports that an endpoint names no limit any more.
const droppedFor = 10 * time.Second

// LimitStatement is what a response says of the limit of its endpoint: the requests
// that the endpoint takes from all hosts together.
type LimitStatement struct {
	// Known is set if the response says whether there is a limit.
	Known bool
	// Named is set if there is one, of PerSecond requests a second.
	Named     bool
	PerSecond float64
	// Invalid is a limit that can't be understood; empty for none. Known is not set
	// then.
	Invalid string
}

// memberLimit is what is known of the limit of an endpoint.
type memberLimit struct {
	// inForce divides the limit; nil while none is named.
	inForce *endpointlimit.Limit
	// newestAt is when the newest statement was made to any host.
	newestAt time.Time
	// own is the last statement to this host, made at ownAt. droppedAt is when it last
	// changed from a limit to none, or when a peer reported an older limit.
	own              LimitStatement
	ownAt, droppedAt time.Time
}

// RecordLimit records what a response says of the endpoint's limit.
func (a *Attempt) RecordLimit(statement LimitStatement) {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	m := a.member
	if !statement.Known {
		if statement.Invalid != "" {
			logrus.WithFields(logrus.Fields{"endpoint": m.ID, "service": m.Service, "limit": statement.Invalid}).
				Warn("limit of an endpoint is not a number and is ignored; check the endpoint's version")
		}
		return
	}
	now := a.registry.config.Clock()
	if m.limit.inForce != nil && !statement.Named {
		m.limit.droppedAt = now
	}
	m.limit.own, m.limit.ownAt = statement, now
	a.registry.applyLimit(m, statement, now, "")
}

// applyLimit puts a statement that was made at a time into force, unless a newer one
// is known. Peer is the host that received it, or empty for this host. It must be
// called with the mutex held.
func (r *Registry) applyLimit(m *member, statement LimitStatement, at time.Time, peer string) {
	if at.Before(m.limit.newestAt) {
		if statement.Named && m.limit.own.Known && m.limit.inForce == nil {
			m.limit.droppedAt = r.config.Clock()
		}
		return
	}
	m.limit.newestAt = at
	now, limit := r.config.Clock(), m.limit.inForce
	before := 0.0
	if limit != nil {
		before = limit.PerSecond()
	}
	switch {
	case !statement.Named:
		m.limit.inForce = nil
	case limit == nil:
		m.limit.inForce = endpointlimit.New(r.config.Host, m.ID, now, statement.PerSecond, r.limitSettle)
		m.limit.inForce.SetPeers(now, r.hosts)
	default:
		limit.SetPerSecond(now, statement.PerSecond)
	}
	if after := m.limit.inForce; (after == nil) != (limit == nil) || after != nil && after.PerSecond() != before {
		logrus.WithFields(logrus.Fields{
			"endpoint": m.ID, "service": m.Service, "named": statement.Named, "per_second": statement.PerSecond, "before": before, "peer": peer,
		}).Info("endpoint changed its limit")
	}
}

// setLimitPeers sets the hosts that limits are divided among. It must be called with
// the mutex held.
func (r *Registry) setLimitPeers(reachability exchange.Reachability) {
	r.hosts = append(append([]string(nil), reachability.Reachable...), reachability.Unreachable...)
	r.unreachable = reachability.Unreachable
	r.reportInterval = reachability.Interval
	r.limitSettle = reachability.SettleTime()
	r.forgetUnreachableDemand()
	now := r.config.Clock()
	for _, m := range r.members {
		r.setColdPeers(m, now)
		if m.limit.inForce != nil {
			m.limit.inForce.SetPeers(now, r.hosts)
		}
	}
}

// takeLimit records demand for the endpoint and charges a request to its limit. It
// returns false if the limit allows none now.
func (m *member) takeLimit(now time.Time) bool {
	if m.cold.limit != nil {
		m.cold.limit.RecordDemand(now)
		if !m.cold.limit.Ready(now) {
			return false
		}
	}
	if limit := m.limit.inForce; limit != nil {
		limit.RecordDemand(now)
		if !limit.Ready(now) {
			return false
		}
		limit.Take(now)
	}
	if m.cold.limit != nil {
		m.cold.limit.Take(now)
	}
	return true
}

// limitWait returns the time until a request may be sent within the endpoint's limits;
// zero without one.
func (m *member) limitWait(now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, limit := range []*endpointlimit.Limit{m.limit.inForce, m.cold.limit} {
		if limit != nil && !limit.Ready(now) {
			wait = max(wait, limit.Wait(now))
		}
	}
	return wait
}

// reportLimit returns what to report of the endpoint's limits, or nil for nothing.
// Interval is the time between two reports to a peer.
func (m *member) reportLimit(now time.Time, interval time.Duration) *fleetv1.EndpointLimit {
	dropped := !m.limit.droppedAt.IsZero() && now.Sub(m.limit.droppedAt) < droppedFor
	if m.limit.inForce == nil && !dropped && m.cold.limit == nil {
		return nil
	}
	report := &fleetv1.EndpointLimit{Endpoint: m.ID, StartedMillis: m.StartedMillis()}
	if m.limit.own.Known {
		report.Stated, report.Named, report.PerSecond = true, m.limit.own.Named, m.limit.own.PerSecond
		report.AgeMillis = now.Sub(m.limit.ownAt).Milliseconds()
	}
	if m.limit.inForce != nil {
		report.Demand = m.limit.inForce.Demand(now)
	}
	m.reportCold(now, interval, report)
	return report
}

// handleLimits processes what a peer reports of limits. It must be called with the
// mutex held.
func (r *Registry) handleLimits(peer string, limits []*fleetv1.EndpointLimit) {
	now := r.config.Clock()
	demands, coldDemands := make(map[string]float64, len(limits)), make(map[string]float64)
	for _, l := range limits {
		m, ok := r.members[l.GetEndpoint()]
		if !ok || m.StartedMillis() != l.GetStartedMillis() {
			continue
		}
		if l.GetStated() {
			at := now.Add(-time.Duration(l.GetAgeMillis()) * time.Millisecond)
			r.applyLimit(m, LimitStatement{Known: true, Named: l.GetNamed(), PerSecond: l.GetPerSecond()}, at, peer)
		}
		demands[m.ID] = l.GetDemand()
		if l.GetCold() {
			r.handlePeerCold(m, now, l)
			coldDemands[m.ID] = float64(l.GetColdDemand())
		}
	}
	for _, m := range r.members {
		m.setPeerColdDemand(peer, coldDemands)
		if m.limit.inForce != nil {
			m.limit.inForce.SetPeerDemand(peer, demands[m.ID])
		}
	}
}
