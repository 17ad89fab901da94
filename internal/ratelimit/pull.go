package ratelimit

import (
	"sort"
	"time"
)

const (
	// minPullFraction is the least fraction of the peer's burst that is worth a
	// message.
	minPullFraction = 0.05
	// A peer whose room is below fullRoomFraction of its burst is considered
	// full: it is about to lose tokens that its rate adds.
	fullRoomFraction = 0.1
)

// Pull is a transfer of tokens to this host's bucket from a peer whose bucket is
// nearly full.
type Pull struct {
	Organisation string
	PeerRequest
}

// activePull is a pull in progress. Its grant reserves room in the bucket, so
// that the received tokens never exceed the burst.
type activePull struct {
	grant *Grant
	until time.Time
}

// PlanPulls chooses the tokens to move to this host, given the state of its own
// buckets. A host whose bucket is full loses the tokens that its rate adds;
// moving tokens to a host with room lets both buckets refill.
func (b *Borrower) PlanPulls(now time.Time, own []Spare) []Pull {
	var pulls []Pull
	for _, local := range own {
		best := Pull{Organisation: local.Organisation}
		for key, peer := range b.hints {
			if key.organisation != local.Organisation || now.Sub(peer.at) > hintLifetime {
				continue
			}
			burst := peer.tokens + peer.room
			tokens := min(local.Room/2, peer.tokens/2)
			better := tokens > best.Tokens || tokens == best.Tokens && key.peer < best.Peer
			if peer.room < fullRoomFraction*burst && tokens > minPullFraction*burst && better {
				best.PeerRequest = PeerRequest{key.peer, tokens}
			}
		}
		if best.Tokens > 0 {
			pulls = append(pulls, best)
		}
	}
	sort.Slice(pulls, func(i, j int) bool { return pulls[i].Organisation < pulls[j].Organisation })
	return pulls
}

// BucketLevels returns the available tokens and the room of every organisation's
// bucket, in no particular order.
func (l *Limiter) BucketLevels(now time.Time) []Spare {
	l.advance(now)
	levels := make([]Spare, 0, len(l.accounts))
	for organisation, a := range l.accounts {
		a.bucket.Advance(now)
		levels = append(levels, Spare{organisation, a.bucket.level, a.bucket.Room()})
	}
	return levels
}

// BeginPull reserves room for the tokens of a pull and reports whether there
// was enough. It must be called before the request is sent and, if it reports
// true, be followed by EndPull.
func (l *Limiter) BeginPull(now time.Time, id string, p Pull) bool {
	l.advance(now)
	a := l.accounts[p.Organisation]
	if a == nil || l.shareLease.draining || a.bucket.Room() < p.Tokens {
		return false
	}
	until := now.Add(l.config.Admit)
	l.activePulls[id] = &activePull{grant: a.bucket.reserveRoom(now, p.Tokens), until: until}
	l.nextExpiry = earliest(l.nextExpiry, until)
	return true
}

// EndPull adds the tokens that the peer granted to the bucket and returns the
// settlement for the peer. Tokens that arrive after the pull expired are
// returned.
func (l *Limiter) EndPull(now time.Time, id string, tokens float64) Settlement {
	l.advance(now)
	p, ok := l.activePulls[id]
	if !ok {
		return Settlement{ID: id, Unused: tokens, Final: true}
	}
	accepted := l.endPull(now, id, p, tokens)
	return Settlement{ID: id, Unused: tokens - accepted, Used: accepted, Final: true}
}

func (l *Limiter) endPull(now time.Time, id string, p *activePull, tokens float64) (accepted float64) {
	delete(l.activePulls, id)
	accepted = min(tokens, p.grant.refundable)
	p.grant.Consume(p.grant.remaining - accepted)
	p.grant.Settle(now)
	return accepted
}
