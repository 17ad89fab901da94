package fleet

import (
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

// peerLoadTTL is the age after which a peer's load is dropped. Peers report
// several times within it.
const peerLoadTTL = 4 * time.Second

// endpointWork is the work of one or several hosts at one endpoint.
type endpointWork struct {
	// running is the number of requests.
	running int
	// unreadTokens is the number of prompt tokens that the endpoint has yet to
	// process for them.
	unreadTokens int
	// failureTenths is the number of recent failures, in tenths, weighted by the
	// zone of the host that saw them.
	failureTenths int
	// speedSamples and speedSum are what peers measured of the endpoint's speed, as in
	// speed.Endpoint.
	speedSamples, speedSum int32
}

// peerLoad is the work of one peer, by endpoint ID.
type peerLoad struct {
	at   time.Time
	work map[string]endpointWork
}

const (
	// sameZoneWeight and otherZoneWeight are the weights, in tenths, of failures
	// that peers in this host's zone and in other zones report, where this host's
	// own failures have 10. An endpoint may fail for some hosts only, such as
	// those of a zone with a broken network path to it.
	sameZoneWeight  = 5
	otherZoneWeight = 2
	// maxPeerFailures bounds the failures reported by peers that count, so that
	// an endpoint is tried again soon after it recovers.
	maxPeerFailures = 3
)

// failures returns the weighted number of failures reported by peers.
func (w endpointWork) failures() float64 { return min(float64(w.failureTenths)/10, maxPeerFailures) }

// FillReport implements exchange.Participant. It adds this host's running requests
// and recent failures at each endpoint.
func (r *Registry) FillReport(report *fleetv1.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	r.refreshSpeeds(now)
	r.refreshCold(now)
	r.reportBrittle(report, now)
	for id, m := range r.members {
		if m.announcedLeaving {
			report.Leaving = append(report.Leaving, &fleetv1.LeavingEndpoint{Endpoint: id, StartedMillis: m.StartedMillis()})
		}
		if limit := m.reportLimit(now, r.reportInterval); limit != nil {
			report.Limits = append(report.Limits, limit)
		}
		tenths := int32(10 * r.ejector.Penalty(now, id))
		load := &fleetv1.EndpointLoad{Endpoint: id, Running: int32(m.running), UnreadTokens: int64(m.unreadTokens), FailureTenths: tenths}
		if r.fillSpeed(load) || m.running > 0 || tenths > 0 {
			report.Loads = append(report.Loads, load)
		}
	}
}

// HandleReport implements exchange.Participant. It replaces the peer's load by the
// reported one.
func (r *Registry) HandleReport(report *fleetv1.Report, _ bool) {
	load := peerLoad{at: r.config.Clock(), work: make(map[string]endpointWork, len(report.GetLoads()))}
	weight := otherZoneWeight
	if report.GetZone() == r.config.Zone {
		weight = sameZoneWeight
	}
	for _, l := range report.GetLoads() {
		work := endpointWork{
			running: int(l.GetRunning()), unreadTokens: int(l.GetUnreadTokens()),
			failureTenths: int(l.GetFailureTenths()) * weight / 10,
		}
		work.addSpeed(l)
		load.work[l.GetEndpoint()] = work
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addPeerLoad(r.peers[report.GetHost()], -1)
	r.peers[report.GetHost()] = load
	r.addPeerLoad(load, 1)
	r.handleLimits(report.GetHost(), report.GetLimits())
	r.handleBrittle(report.GetHost(), report.GetBrittle())
	for _, l := range report.GetLeaving() {
		r.markLeavingByID(l.GetEndpoint(), l.GetStartedMillis(), report.GetHost())
	}
}

// SetReachability implements exchange.Participant. It drops the load of peers whose
// last report is older than peerLoadTTL.
func (r *Registry) SetReachability(reachability exchange.Reachability) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setLimitPeers(reachability)
	now := r.config.Clock()
	for host, load := range r.peers {
		if now.Sub(load.at) > peerLoadTTL {
			r.addPeerLoad(load, -1)
			delete(r.peers, host)
		}
	}
}

// addPeerLoad adds a peer's load to the totals by endpoint, or subtracts it if
// sign is -1. It must be called with the mutex held.
func (r *Registry) addPeerLoad(load peerLoad, sign int) {
	for id, work := range load.work {
		sum := r.peerTotals[id]
		sum.running += sign * work.running
		sum.unreadTokens += sign * work.unreadTokens
		sum.failureTenths += sign * work.failureTenths
		sum.speedSamples += int32(sign) * work.speedSamples
		sum.speedSum += int32(sign) * work.speedSum
		if sum == (endpointWork{}) {
			delete(r.peerTotals, id)
			continue
		}
		r.peerTotals[id] = sum
	}
}
