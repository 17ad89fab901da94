// Package exchange keeps the hosts that forward routed requests in touch with
// each other: who there is, what each has used of the organisations' rates,
// what is asked for, and who places models.
package exchange

import (
	"slices"
	"strings"
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

const (
	// heardFor is how long a host counts as in reach after its last report, at
	// least; it is heardIntervals times the interval between reports.
	heardFor       = 1200 * time.Millisecond
	heardIntervals = 2
	// rememberedAlone is how long a silent host still counts as one that may be
	// serving out of reach, and rememberedTogether how long several do: hosts
	// die one by one, and a cut takes several away, or all from one.
	rememberedAlone    = 15 * time.Second
	rememberedTogether = 40 * time.Second
)

// peer is another host.
type peer struct {
	name, address string
	incarnation   string
	// listed is when the host's entry was first seen.
	listed time.Time
	// heard is when its last report was sent, by this host's clock.
	heard time.Time
	// leader tells until when it holds the placement lease.
	leader time.Time
	report *fleetv1.Report
}

// roster is the other hosts. It is not safe for concurrent use.
type roster struct {
	self  string
	peers map[string]*peer
}

func newRoster(self string) *roster { return &roster{self: self, peers: make(map[string]*peer)} }

// interval is the time between two rounds of reports.
func (r *roster) interval() time.Duration {
	return max(shortestInterval, perPeer*time.Duration(len(r.peers)))
}

// inReach reports whether a host has been heard lately.
func (r *roster) inReach(now time.Time, p *peer) bool {
	return now.Sub(p.heard) < max(heardFor, heardIntervals*r.interval())
}

// list takes over a host's entry in the store.
func (r *roster) list(now time.Time, name, address, incarnation string) {
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
	}
	p.address, p.incarnation = address, incarnation
}

func (r *roster) unlist(name string) { delete(r.peers, name) }

// hear takes a report that was asked for at the time given.
func (r *roster) hear(asked time.Time, report *fleetv1.Report) *peer {
	if report.GetHost() == r.self || report.GetHost() == "" {
		return nil
	}
	p, ok := r.peers[report.GetHost()]
	if !ok { // not read from the store yet
		p = &peer{name: report.GetHost(), listed: asked}
		r.peers[p.name] = p
	}
	p.address = report.GetAddress()
	p.incarnation = report.GetIncarnation()
	if asked.After(p.heard) {
		p.heard = asked
		p.report = report
		p.leader = asked.Add(time.Duration(report.GetLease().GetLeftMillis()) * time.Millisecond)
	}
	return p
}

// reach returns which hosts are in reach.
func (r *roster) reach(now time.Time) Reach {
	reach := Reach{Interval: r.interval()}
	for name, p := range r.peers {
		switch {
		case r.inReach(now, p):
			reach.Heard = append(reach.Heard, name)
		case now.Sub(p.lastSign()) < p.remembered():
			reach.Silent = append(reach.Silent, name)
		}
	}
	if len(reach.Silent) == 1 && len(reach.Heard) > 0 && now.Sub(r.peers[reach.Silent[0]].lastSign()) >= rememberedAlone {
		reach.Silent = nil
	}
	slices.Sort(reach.Heard)
	slices.Sort(reach.Silent)
	return reach
}

// remembered is how long the host is remembered at most. The entry of one that
// was never heard may be left of a host that is gone.
func (p *peer) remembered() time.Duration {
	if p.heard.IsZero() {
		return rememberedAlone
	}
	return rememberedTogether
}

func (p *peer) lastSign() time.Time {
	if p.heard.After(p.listed) {
		return p.heard
	}
	return p.listed
}

// leader returns the peer that says it holds the placement lease, or nil.
func (r *roster) leader(now time.Time) *peer {
	for _, p := range r.peers {
		if now.Before(p.leader) {
			return p
		}
	}
	return nil
}

// addresses returns the peers to report to, by name, with or without those that
// are silent.
func (r *roster) addresses(now time.Time, silent bool) []peer {
	var list []peer
	for _, p := range r.peers {
		if r.inReach(now, p) || silent && now.Sub(p.lastSign()) < p.remembered() {
			list = append(list, *p)
		}
	}
	slices.SortFunc(list, func(a, b peer) int { return strings.Compare(a.name, b.name) })
	return list
}
