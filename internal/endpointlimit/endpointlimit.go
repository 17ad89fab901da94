// Package endpointlimit divides the rate that an endpoint takes from all hosts
// together among them. Each host computes its part from the demand that the hosts
// report, without a coordinator: some hosts, the members, share the rate in proportion
// to their demand. It does no I/O and reads no clock.
package endpointlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryslip.example/bilberryslip/internal/decay"
)

const (
	// minPerSecond is the lowest rate that is divided. Without any request, hosts
	// could not learn that the endpoint takes more again.
	minPerSecond = 0.2
	// extraMembers is the number of members beyond the rate. Each may send one request
	// at once, so that their number bounds the excess over the rate.
	extraMembers = 3
	// burstTime is the time for which a member may save up its part of the rate, unless
	// that is less than minBurst requests. What exceeds one request is kept towards the
	// next, so that waiting for a request loses little of the part.
	burstTime = 500 * time.Millisecond
	minBurst  = 1.5
	// demandWindow is the time constant of a host's demand.
	demandWindow = 4 * time.Second
	// partTTL is how long a computed part is used.
	partTTL = 100 * time.Millisecond
	// Hosts with at least eligibleFraction of an even part as their demand are members
	// before others. An idle member counts with idleFraction of an even part, so that
	// it can send a first request.
	eligibleFraction, idleFraction = 0.25, 0.125
)

// Limit is the limit of one endpoint as seen by one host. It is not safe for
// concurrent use. Times must not go backwards.
type Limit struct {
	self, endpoint string
	perSecond      float64
	// sendFrom is the end of the time in which the hosts learn of the limit and of each
	// other's demand.
	sendFrom time.Time
	demand   *decay.Sum
	selfHash uint64
	peers    map[string]peer
	// part is this host's part of the rate, computed at partAt.
	part   float64
	partAt time.Time
	// tokens is the number of requests that this host may send, at tokensAt.
	tokens   float64
	tokensAt time.Time
}

// peer is another host that may send requests.
type peer struct {
	// demand is its demand, in requests per second.
	demand float64
	hash   uint64
}

// New returns the limit of an endpoint that takes perSecond requests a second. This
// host, self, sends none for the time settle.
func New(self, endpoint string, now time.Time, perSecond float64, settle time.Duration) *Limit {
	return &Limit{
		self: self, endpoint: endpoint, perSecond: max(perSecond, minPerSecond), sendFrom: now.Add(settle),
		demand: decay.NewSum(demandWindow), selfHash: hashOf(endpoint, self), peers: make(map[string]peer), tokensAt: now,
	}
}

// SetPerSecond changes the rate.
func (l *Limit) SetPerSecond(now time.Time, perSecond float64) {
	l.advance(now)
	l.perSecond = max(perSecond, minPerSecond)
	l.partAt = time.Time{}
}

// PerSecond returns the rate that is divided.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// SetPeers sets the names of the other hosts that may send requests. Those that are
// new have no demand.
func (l *Limit) SetPeers(now time.Time, names []string) {
	l.advance(now)
	peers := make(map[string]peer, len(names))
	for _, name := range names {
		known, ok := l.peers[name]
		if !ok {
			known.hash = hashOf(l.endpoint, name)
		}
		peers[name] = known
	}
	l.peers = peers
}

// hashOf returns the hash by which hosts are preferred as members.
func hashOf(endpoint, host string) uint64 { return xxhash.Sum64String(endpoint + "\x00" + host) }

// SetPeerDemand sets the demand of another host, in requests per second. A host that
// was not set by SetPeers is ignored.
func (l *Limit) SetPeerDemand(name string, perSecond float64) {
	if known, ok := l.peers[name]; ok {
		known.demand = perSecond
		l.peers[name] = known
	}
}

// RecordDemand records that this host would send the endpoint a request now.
func (l *Limit) RecordDemand(now time.Time) { l.demand.Add(now, 1) }

// Demand returns this host's demand, in requests per second.
func (l *Limit) Demand(now time.Time) float64 { return l.demand.PerSecond(now) }

// Ready reports whether this host may send a request now.
func (l *Limit) Ready(now time.Time) bool {
	l.advance(now)
	return l.tokens >= 1
}

// Take records that this host sends a request now.
func (l *Limit) Take(now time.Time) {
	l.advance(now)
	l.tokens = max(0, l.tokens-1)
}

// Wait returns the time until a request may be sent, by this host or, if it is no
// member, by some host.
func (l *Limit) Wait(now time.Time) time.Duration {
	l.advance(now)
	rate := cmp.Or(l.part, l.perSecond)
	return max(l.sendFrom.Sub(now), 0) + time.Duration(max(0, 1-l.tokens)/rate*float64(time.Second))
}

// advance adds the tokens that have accrued. A host that is no member keeps none, so
// that a change of members allows no extra requests.
func (l *Limit) advance(now time.Time) {
	if now.Sub(l.partAt) >= partTTL {
		l.part, l.partAt = l.computePart(now), now
	}
	from := l.tokensAt
	if from.Before(l.sendFrom) {
		from = l.sendFrom
	}
	if elapsed := now.Sub(from).Seconds(); elapsed > 0 {
		l.tokens += l.part * elapsed
	}
	l.tokensAt = now
	l.tokens = min(l.tokens, max(minBurst, l.part*burstTime.Seconds()))
	if l.part == 0 {
		l.tokens = 0
	}
}

// candidate is a host that may be a member.
type candidate struct {
	demand   float64
	eligible bool
	hash     uint64
}

// computePart returns this host's part of the rate; zero if it is no member.
func (l *Limit) computePart(now time.Time) float64 {
	members := int(l.perSecond) + extraMembers
	even := l.perSecond / float64(members)
	candidates := make([]candidate, 0, len(l.peers)+1)
	add := func(demand float64, hash uint64) {
		candidates = append(candidates, candidate{max(demand, idleFraction*even), demand >= eligibleFraction*even, hash})
	}
	add(l.Demand(now), l.selfHash)
	for _, p := range l.peers {
		add(p.demand, p.hash)
	}
	if len(candidates) > members {
		slices.SortFunc(candidates, byPreference)
		candidates = candidates[:members]
	}
	own, total := 0.0, 0.0
	for _, c := range candidates {
		total += c.demand
		if c.hash == l.selfHash {
			own = c.demand
		}
	}
	return l.perSecond * own / total
}

// byPreference orders hosts: eligible ones first, then by hash, so that small changes
// of the demand don't change the members.
func byPreference(a, b candidate) int {
	if a.eligible != b.eligible {
		if a.eligible {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.hash, b.hash)
}
