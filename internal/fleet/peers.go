package fleet

import (
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

// hostLoadFor is how long another host's report of its own requests counts.
// Reports come several times in it.
const hostLoadFor = 4 * time.Second

// hostWork is what one host, or several, have at one endpoint.
type hostWork struct {
	running      int
	unreadTokens int
	// failureTenths is recent failures, weighted by their host's zone.
	failureTenths int
}

// hostLoad is what another host has at all endpoints.
type hostLoad struct {
	at   time.Time
	work map[string]hostWork
}

const (
	// nearWeight and farWeight are what failures that hosts of this zone and of
	// others tell count against this host's own, in tenths: an endpoint may
	// fail some callers only, as behind a broken path from another zone.
	nearWeight = 5
	farWeight  = 2
	// mostTold bounds the failures counted by word of other hosts, so that an
	// endpoint that recovers is tried again soon.
	mostTold = 3
)

// told returns the failures that other hosts tell of, by their weight.
func (w hostWork) told() float64 { return min(float64(w.failureTenths)/10, mostTold) }

// FillReport implements exchange.Participant: it tells what this host has running and
// where its requests failed.
func (r *Registry) FillReport(report *fleetv1.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	for id, m := range r.members {
		tenths := int32(10 * r.ejector.Penalty(now, id))
		if m.running > 0 || tenths > 0 {
			report.Loads = append(report.Loads, &fleetv1.EndpointLoad{
				Endpoint: id, Running: int32(m.running), UnreadTokens: int64(m.unreadTokens), FailureTenths: tenths,
			})
		}
	}
}

// HandleReport implements exchange.Participant: it takes what another host has running.
func (r *Registry) HandleReport(report *fleetv1.Report, _ bool) {
	load := hostLoad{at: r.config.Clock(), work: make(map[string]hostWork, len(report.GetLoads()))}
	weight := farWeight
	if report.GetZone() == r.config.Zone {
		weight = nearWeight
	}
	for _, l := range report.GetLoads() {
		load.work[l.GetEndpoint()] = hostWork{
			running: int(l.GetRunning()), unreadTokens: int(l.GetUnreadTokens()),
			failureTenths: int(l.GetFailureTenths()) * weight / 10,
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(r.hosts[report.GetHost()], -1)
	r.hosts[report.GetHost()] = load
	r.count(load, 1)
}

// SetReachability implements exchange.Participant: it drops what silent hosts had running.
func (r *Registry) SetReachability(exchange.Reachability) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock()
	for host, load := range r.hosts {
		if now.Sub(load.at) > hostLoadFor {
			r.count(load, -1)
			delete(r.hosts, host)
		}
	}
}

// count adds a host's work to its endpoints, or takes it out. It must be
// called with the mutex held.
func (r *Registry) count(load hostLoad, sign int) {
	for id, work := range load.work {
		sum := r.others[id]
		sum.running += sign * work.running
		sum.unreadTokens += sign * work.unreadTokens
		sum.failureTenths += sign * work.failureTenths
		if sum == (hostWork{}) {
			delete(r.others, id)
			continue
		}
		r.others[id] = sum
	}
}
