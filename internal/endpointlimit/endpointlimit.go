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
	// partTTL is how long a computed part is used; in a strict limit, for each
	// hostsPerPartTTL hosts.
	partTTL         = 100 * time.Millisecond
	hostsPerPartTTL = 64
	// strictOverage and strictReserve are what a strict limit may be exceeded by in a
	// second, as a fraction of the rate and in requests. They are those of the platform's
	// bounds for cold endpoints, and bound the number of members, of which each uses
	// strictMemberReserve of it. A member may save up strictBurst requests. With 7.2 a
	// second these allow 7 members and, in simulations, 15 requests in a second at most.
	strictOverage, strictReserve = 0.5, 5
	strictMemberReserve          = 1.2
	strictBurst                  = 1.5
	// strictFactor is the fraction of the rate of a strict limit that is divided. It makes
	// up for what members lose while they wait for requests and for their peers' reports.
	strictFactor = 1.25
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
	// strict is set for a limit that must not be exceeded for a second; see NewStrict.
	strict bool
	// sendFrom is the end of the time in which the hosts learn of the limit and of each
	// other's demand.
	sendFrom time.Time
	demand   *decay.Sum
	selfHash uint64
	// reported is this host's demand in its last two reports.
	reported reports
	// reportedAt is when the last of these was computed.
	reportedAt time.Time
	peers      map[string]peer
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
	// reported is its demand in its last two reports.
	reported reports
	hash     uint64
}

// reports are the last two reported demands of a host, in requests per second. Some hosts
// have received the last one, and others only the one before it.
type reports struct {
	last, before float64
	// count is the number of reports, up to two.
	count int
}

func (r *reports) add(perSecond float64) {
	r.before, r.last, r.count = r.last, perSecond, min(r.count+1, 2)
}

// lowest returns the lower demand; zero if there are fewer than two.
func (r *reports) lowest() float64 { return min(r.before, r.last) }

// highest returns the higher demand.
func (r *reports) highest() float64 { return max(r.before, r.last) }

// New returns the limit of an endpoint that takes perSecond requests a second. This
// host, self, sends none for the time settle.
func New(self, endpoint string, now time.Time, perSecond float64, settle time.Duration) *Limit {
	return &Limit{
		self: self, endpoint: endpoint, perSecond: max(perSecond, minPerSecond), sendFrom: now.Add(settle),
		demand: decay.NewSum(demandWindow), selfHash: hashOf(endpoint, self), peers: make(map[string]peer), tokensAt: now,
	}
}

// NewStrict returns a limit, as New does, that the endpoint may crash under if it is
// exceeded for a second, and that may last only a few rounds of reports. A host whose
// demand is unknown is assumed to have as much as this one. A host counts with the lower
// demand of its last two reports in its own division, and with the higher one in those of
// its peers. So the parts add up to the rate at most, whether the hosts know of each other
// and have received each other's last report or not.
func NewStrict(self, endpoint string, now time.Time, perSecond float64, settle time.Duration) *Limit {
	l := New(self, endpoint, now, perSecond, settle)
	l.strict = true
	return l
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
// new have no demand, or an unknown one in a strict limit.
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
		known.reported.add(perSecond)
		l.peers[name] = known
	}
}

// SetPeerUnknown makes the demand of another host unknown. It has an effect on strict
// limits only.
func (l *Limit) SetPeerUnknown(name string) {
	if known, ok := l.peers[name]; ok {
		known.reported = reports{}
		l.peers[name] = known
	}
}

// RecordDemand records that this host would send the endpoint a request now.
func (l *Limit) RecordDemand(now time.Time) { l.demand.Add(now, 1) }

// Demand returns this host's demand, in requests per second.
func (l *Limit) Demand(now time.Time) float64 { return l.demand.PerSecond(now) }

// ReportDemand returns this host's demand, in requests per second, to be reported to its
// peers. It changes once per interval, that in which each peer receives a report, so that
// a peer has received one of the last two.
func (l *Limit) ReportDemand(now time.Time, interval time.Duration) float64 {
	if l.reported.count == 0 || now.Sub(l.reportedAt) >= interval {
		l.reported.add(l.Demand(now))
		l.reportedAt = now
	}
	return l.reported.last
}

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
	if now.Sub(l.partAt) >= l.partTTL() {
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
	l.tokens = min(l.tokens, l.burst())
	if l.part == 0 {
		l.tokens = 0
	}
}

// partTTL returns how long a computed part is used. In a large fleet many endpoints may be
// cold at once, and reports are seldom.
func (l *Limit) partTTL() time.Duration {
	if l.strict {
		return partTTL * time.Duration(1+len(l.peers)/hostsPerPartTTL)
	}
	return partTTL
}

// burst returns the number of requests that this host may save up.
func (l *Limit) burst() float64 {
	if l.strict {
		return strictBurst
	}
	return max(minBurst, l.part*burstTime.Seconds())
}

// candidate is a host that may be a member.
type candidate struct {
	demand   float64
	eligible bool
	hash     uint64
}

// members returns the maximum number of members.
func (l *Limit) members() int {
	if l.strict {
		return max(1, int((l.perSecond*strictOverage+strictReserve)/strictMemberReserve))
	}
	return int(l.perSecond) + extraMembers
}

// computePart returns this host's part of the rate; zero if it is no member.
func (l *Limit) computePart(now time.Time) float64 {
	members := l.members()
	even := l.perSecond / float64(members)
	candidates := make([]candidate, 0, len(l.peers)+1)
	add := func(demand float64, hash uint64) {
		candidates = append(candidates, candidate{max(demand, idleFraction*even), demand >= eligibleFraction*even, hash})
	}
	self := l.Demand(now)
	if l.strict {
		self = l.reported.lowest()
	}
	add(self, l.selfHash)
	for _, p := range l.peers {
		switch {
		case l.strict && p.reported.count == 0:
			p.demand = self
		case l.strict:
			p.demand = p.reported.highest()
		}
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
	if l.strict {
		return strictFactor * l.perSecond * own / total
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
