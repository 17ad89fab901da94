// Package exchange sends periodic reports between the hosts that forward routed
// requests. The reports carry heartbeats, usage of the organisations' rates,
// demand for models, and the holder of the placement lease.
package exchange

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

const (
	// reachableFor is the minimum time for which a host is considered reachable
	// after its last report. In large fleets the time is reachableIntervals times
	// the interval between reports.
	reachableFor       = 1200 * time.Millisecond
	reachableIntervals = 2
	// singleRetention is how long a single unreachable host is still treated as
	// possibly serving, and groupRetention how long several are. Hosts crash one
	// by one, whereas a network partition makes several unreachable, or all of
	// them as seen from one host.
	singleRetention = 15 * time.Second
	groupRetention  = 40 * time.Second
	// largeFleetSize is the minimum number of hosts of a large fleet.
	largeFleetSize = 24
	// maxLeaseLeft bounds the time for which a report says that its sender holds the lease.
	// Leases last for some seconds, and a longer time would overflow.
	maxLeaseLeft = time.Minute
	// roundsPerInterval is the number of rounds per interval in a large fleet.
	roundsPerInterval = 2
)

// peer is the state of another host.
type peer struct {
	name, address string
	incarnation   string
	// listed is when the host's entry was first seen.
	listed time.Time
	// reportedAt is when its last report was sent, by this host's clock; see
	// recordReport.
	reportedAt time.Time
	// sentAt is when this host last began to send it a report; zero if it has sent none to
	// this incarnation.
	sentAt time.Time
	// leaseUntil is when its hold on the placement lease expires.
	leaseUntil time.Time
	report     *fleetv1.Report
	ages       reportAges
}

// roster tracks the other hosts and their last reports. It is not safe for
// concurrent use.
type roster struct {
	self  string
	peers map[string]*peer
}

func newRoster(self string) *roster { return &roster{self: self, peers: make(map[string]*peer)} }

// interval returns the time between two rounds of reports.
func (r *roster) interval() time.Duration {
	return max(minInterval, intervalPerPeer*time.Duration(len(r.peers)))
}

// reachable reports whether a host has reported recently.
func (r *roster) reachable(now time.Time, p *peer) bool {
	return now.Sub(p.reportedAt) < max(reachableFor, reachableIntervals*r.interval())
}

// addEntry adds or updates a peer from its entry in the store.
func (r *roster) addEntry(now time.Time, name, address, incarnation string) {
	if name == r.self {
		return
	}
	p, ok := r.peers[name]
	if !ok {
		p = &peer{name: name, listed: now}
		r.peers[name] = p
	}
	if p.incarnation != incarnation {
		p.listed = now
		p.report = nil
		p.sentAt = time.Time{}
	}
	p.address, p.incarnation = address, incarnation
}

func (r *roster) removeEntry(name string) { delete(r.peers, name) }

// recordReport stores a peer's report. It returns false for a report of this host or
// without a host name, which is dropped. asOf is the local time that the report
// counts for: the start of the call for a response, the arrival for a request.
func (r *roster) recordReport(asOf time.Time, report *fleetv1.Report) bool {
	if report.GetHost() == r.self || report.GetHost() == "" {
		return false
	}
	p, ok := r.peers[report.GetHost()]
	if !ok { // its store entry is not read yet
		p = &peer{name: report.GetHost(), listed: asOf}
		r.peers[p.name] = p
	}
	p.address = report.GetAddress()
	p.incarnation = report.GetIncarnation()
	if asOf.After(p.reportedAt) {
		p.reportedAt = asOf
		p.report = report
		p.leaseUntil = asOf.Add(time.Duration(min(report.GetLease().GetLeftMillis(), maxLeaseLeft.Milliseconds())) * time.Millisecond)
	}
	return true
}

// reachability returns the reachable peers and those that may be serving though
// unreachable.
func (r *roster) reachability(now time.Time) Reachability {
	reachability := Reachability{Interval: r.interval()}
	for name, p := range r.peers {
		switch {
		case r.reachable(now, p):
			reachability.Reachable = append(reachability.Reachable, name)
		case now.Sub(p.lastSeen()) < p.retention():
			reachability.Unreachable = append(reachability.Unreachable, name)
		}
	}
	if len(reachability.Unreachable) == 1 && len(reachability.Reachable) > 0 && now.Sub(r.peers[reachability.Unreachable[0]].lastSeen()) >= singleRetention {
		reachability.Unreachable = nil
	}
	slices.Sort(reachability.Reachable)
	slices.Sort(reachability.Unreachable)
	return reachability
}

// retention returns the longest time for which the host is kept while it is
// unreachable. It is short for a host that never reported, whose entry may be
// left over from a removed host.
func (p *peer) retention() time.Duration {
	if p.reportedAt.IsZero() {
		return singleRetention
	}
	return groupRetention
}

func (p *peer) lastSeen() time.Time {
	if p.reportedAt.After(p.listed) {
		return p.reportedAt
	}
	return p.listed
}

// leader returns the peer that reported an unexpired hold on the placement
// lease, or nil.
func (r *roster) leader(now time.Time) *peer {
	for _, p := range r.peers {
		if now.Before(p.leaseUntil) {
			return p
		}
	}
	return nil
}

// large reports whether the fleet is so large that only one host of each pair calls the
// other.
func (r *roster) large() bool { return len(r.peers)+1 >= largeFleetSize }

// roundInterval returns the time between two rounds of reports. In a large fleet a
// round calls only some of the peers.
func (r *roster) roundInterval() time.Duration {
	if r.large() {
		return r.interval() / roundsPerInterval
	}
	return r.interval()
}

// roundTargets returns the peers to report to in a round, sorted by name, and records
// that they are sent a report. round counts the rounds from zero. Unreachable peers are
// called in few rounds, but a host that was just listed at once: after a restart of all
// hosts, each one knows the others by their entries alone.
func (r *roster) roundTargets(now time.Time, round int) []peer {
	perInterval, leader := 1, r.leader(now)
	if r.large() {
		perInterval = roundsPerInterval
	}
	callsUnreachable := round%(perInterval*unreachableEvery) == 0
	return slices.DeleteFunc(r.reportTargets(now, true), func(p peer) bool {
		if !callsUnreachable && !p.sentAt.IsZero() && !r.reachable(now, &p) || r.large() && !r.due(now, &p, leader) {
			return true
		}
		r.peers[p.name].sentAt = now
		return false
	})
}

// due reports whether to report to a peer now. A call exchanges the reports of both
// hosts, so that one host of each pair calls, and the other one only if no call has
// come for a round longer. The lease holder is called by all, since only reports to it
// carry demand; while none is known, any peer may become it.
func (r *roster) due(now time.Time, p, leader *peer) bool {
	last, wait := p.reportedAt, r.interval()-r.roundInterval()/2
	switch {
	case leader == nil || p.name == leader.name:
		last = p.sentAt
	case !callsFirst(r.self, p.name):
		wait += r.roundInterval()
	}
	return now.Sub(last) >= wait
}

// callsFirst reports whether the first of two hosts is the one that calls the other.
// Each host does so with about half of the others.
func callsFirst(host, other string) bool {
	return xxhash.Sum64String(host+"\x00"+other) < xxhash.Sum64String(other+"\x00"+host)
}

// reportTargets returns the peers to report to, sorted by name, with or without
// the unreachable ones.
func (r *roster) reportTargets(now time.Time, includeUnreachable bool) []peer {
	var list []peer
	for _, p := range r.peers {
		if r.reachable(now, p) || includeUnreachable && now.Sub(p.lastSeen()) < p.retention() {
			list = append(list, *p)
		}
	}
	slices.SortFunc(list, func(a, b peer) int { return strings.Compare(a.name, b.name) })
	return list
}
