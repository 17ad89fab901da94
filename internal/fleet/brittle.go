package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/decay"
	"bilberryslip.example/bilberryslip/internal/endpointlimit"
)

const (
	// rejectionHold is how long a slot for which the endpoint rejected a request counts
	// as in use by another host.
	rejectionHold = 500 * time.Millisecond
	// brittleDemandWindow is the time constant of a host's demand for a brittle service.
	brittleDemandWindow = 4 * time.Second
	// brittlePartTTL is how long a computed part of an endpoint's slots is used, if reports
	// are frequent; otherwise it is half of the time between two reports.
	brittlePartTTL = 200 * time.Millisecond
)

// BrittleStatement is what a response says of how its service's endpoints take overload.
type BrittleStatement struct {
	// Known is set if the response says whether they are brittle.
	Known bool
	// Rejections is the number of requests that an endpoint may reject in a second for
	// want of capacity. If it rejects more, it crashes. Zero means that the endpoints are
	// not brittle.
	Rejections int
}

// brittleService is what is known of a service that is brittle, or was.
type brittleService struct {
	// rejections is as in the newest statement to any host, made at newestAt.
	rejections int
	newestAt   time.Time
	// ownAt is when the last statement to this host was made, own; zero for none.
	own   BrittleStatement
	ownAt time.Time
	// demand is this host's demand, and reported its value in the report at reportedAt.
	demand     *decay.Sum
	reported   float64
	reportedAt time.Time
	// peers are the peers' demands, in requests per second.
	peers map[string]float64
}

// memberBrittle is an endpoint of a brittle service as seen by this host.
type memberBrittle struct {
	// part is this host's part of the slots, computed at partAt.
	part   int
	partAt time.Time
	// rejectedAt are the times of the last rejections.
	rejectedAt []time.Time
}

// RecordBrittle records what a response says of its service.
func (a *Attempt) RecordBrittle(statement BrittleStatement) {
	if !statement.Known {
		return
	}
	r := a.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.brittle[a.member.Service] == nil && statement.Rejections == 0 {
		return // as most services are
	}
	now := r.config.Clock()
	s := r.applyBrittle(a.member.Service, statement.Rejections, now, now, "")
	s.own, s.ownAt = statement, now
}

// RecordRejection must be called when the endpoint rejects the request for want of
// capacity.
func (a *Attempt) RecordRejection() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	m, now := a.member, a.registry.config.Clock()
	m.brittle.rejectedAt = append(since(m.brittle.rejectedAt, now.Add(-rejectionHold)), now)
}

// since returns those of the times, in order, that are after a time.
func since(times []time.Time, after time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(after) {
		times = times[1:]
	}
	return times
}

// applyBrittle puts a statement that was made at a time into force, unless a newer one is
// known. Peer is the host that received it, or empty for this host. It must be called
// with the mutex held.
func (r *Registry) applyBrittle(service string, rejections int, at, now time.Time, peer string) *brittleService {
	s := r.brittle[service]
	if s == nil {
		s = &brittleService{demand: decay.NewSum(brittleDemandWindow), peers: make(map[string]float64)}
		r.brittle[service] = s
	}
	if at.Before(s.newestAt) {
		return s
	}
	s.newestAt = at
	if s.rejections != rejections {
		event := "service is brittle"
		if rejections == 0 {
			event = "service is not brittle any more"
		}
		logrus.WithFields(logrus.Fields{"service": service, "rejections": rejections, "before": s.rejections, "peer": peer}).Info(event)
		s.rejections = rejections
	}
	return s
}

// recordBrittleDemand records that this host would send a request to a service.
func (r *Registry) recordBrittleDemand(service string, now time.Time) {
	if s := r.brittle[service]; s != nil {
		s.demand.Add(now, 1)
	}
}

// brittleOf returns the member's service if it is brittle, with this host's part of the
// member's slots up to date, or else nil. It must be called with the mutex held.
func (r *Registry) brittleOf(m *member, now time.Time) *brittleService {
	s := r.brittle[m.Service]
	if s == nil || s.rejections == 0 {
		return nil
	}
	if now.Sub(m.brittle.partAt) >= max(brittlePartTTL, r.reportInterval/2) {
		hosts := []endpointlimit.HostDemand{{Host: r.config.Host, PerSecond: s.reported}}
		for _, name := range r.hosts {
			demand, ok := s.peers[name]
			if !ok {
				demand = -1
			}
			hosts = append(hosts, endpointlimit.HostDemand{Host: name, PerSecond: demand})
		}
		m.brittle.part = endpointlimit.DivideSlots(m.ID, r.dividedSlots(m, len(hosts), now), r.config.Host, hosts)
		m.brittle.partAt = now
	}
	return s
}

// dividedSlots returns the number of slots of an endpoint to divide among so many hosts:
// its own, or more if the service has fewer slots than there are hosts, so that each host
// gets about one. Otherwise hosts without a slot would refuse all requests while the
// slots of the others are idle.
func (r *Registry) dividedSlots(m *member, hosts int, now time.Time) int {
	total := 0
	for _, other := range r.members {
		if other.Service == m.Service && r.usable(other, now) {
			total += other.Slots
		}
	}
	if total == 0 || total >= hosts {
		return m.Slots
	}
	return (m.Slots*hosts + total - 1) / total
}

// brittleFull reports whether a brittle endpoint gets no further request from this host
// now, because the host's part of the slots is in use. Slots that other hosts leave free
// stay free: in simulations, hosts that tried to use as many as the endpoint may reject
// got 0.57 of the requests served instead of 0.61, since the tries take the slots of the
// hosts that they belong to. It must be called with the mutex held.
func (r *Registry) brittleFull(m *member, now time.Time) bool {
	s := r.brittleOf(m, now)
	switch {
	case s == nil:
		return false
	case len(r.hosts) == 0 && now.Before(r.cold.sendFrom):
		return true // the peers aren't known yet
	}
	m.brittle.rejectedAt = since(m.brittle.rejectedAt, now.Add(-rejectionHold))
	return m.running+len(m.brittle.rejectedAt) >= m.brittle.part
}

// reportBrittle adds the brittle services to a report. It must be called with the mutex
// held.
func (r *Registry) reportBrittle(report *fleetv1.Report, now time.Time) {
	for service, s := range r.brittle {
		if s.rejections == 0 && now.Sub(s.newestAt) > droppedFor {
			continue
		}
		if now.Sub(s.reportedAt) >= r.reportInterval {
			s.reported, s.reportedAt = s.demand.PerSecond(now), now
		}
		sent := &fleetv1.BrittleService{Service: service, Demand: float32(s.reported)}
		if s.own.Known {
			sent.Stated, sent.Rejections, sent.AgeMillis = true, int32(s.own.Rejections), now.Sub(s.ownAt).Milliseconds()
		}
		report.Brittle = append(report.Brittle, sent)
	}
}

// forgetUnreachableDemand makes the demand of peers that don't report unknown: it may have
// moved since. It must be called with the mutex held.
func (r *Registry) forgetUnreachableDemand() {
	for _, s := range r.brittle {
		for _, name := range r.unreachable {
			delete(s.peers, name)
		}
	}
}

// handleBrittle processes what a peer reports of brittle services. It must be called with
// the mutex held.
func (r *Registry) handleBrittle(peer string, services []*fleetv1.BrittleService) {
	now := r.config.Clock()
	for _, s := range r.brittle {
		delete(s.peers, peer)
	}
	for _, reported := range services {
		known := r.brittle[reported.GetService()]
		if reported.GetStated() && (known != nil || reported.GetRejections() > 0) {
			at := now.Add(-time.Duration(reported.GetAgeMillis()) * time.Millisecond)
			known = r.applyBrittle(reported.GetService(), int(reported.GetRejections()), at, now, peer)
		}
		if known != nil {
			known.peers[peer] = float64(reported.GetDemand())
		}
	}
}
