package ratelimit

import (
	"sort"
	"time"
)

const (
	// minPull is the least part of a host's burst that is worth a message.
	minPull = 0.05
	// fullRoom is the part of a host's burst below which a peer counts as
	// full, so that it loses what its rate would bring.
	fullRoom = 0.1
)

// Pull is a transfer of tokens from a peer that has no room left to this
// host's bucket.
type Pull struct {
	Organisation string
	Question
}

// pull is a running transfer. Its grant reserves room in the bucket, so that
// what comes in never exceeds the burst.
type pull struct {
	grant *Grant
	until time.Time
}

// Pulls decides which tokens to move here. A host whose bucket is full loses
// what its rate would bring, while another has room; moving tokens keeps both
// filling.
func (b *Borrower) Pulls(now time.Time, own []Spare) []Pull {
	var pulls []Pull
	for _, mine := range own {
		best := Pull{Organisation: mine.Organisation}
		for key, peer := range b.hints {
			if key.organisation != mine.Organisation || now.Sub(peer.at) > hintLifetime {
				continue
			}
			burst := peer.tokens + peer.room
			tokens := min(mine.Room/2, peer.tokens/2)
			better := tokens > best.Tokens || tokens == best.Tokens && key.peer < best.Peer
			if peer.room < fullRoom*burst && tokens > minPull*burst && better {
				best.Question = Question{key.peer, tokens}
			}
		}
		if best.Tokens > 0 {
			pulls = append(pulls, best)
		}
	}
	sort.Slice(pulls, func(i, j int) bool { return pulls[i].Organisation < pulls[j].Organisation })
	return pulls
}

// Rooms returns what each organisation's bucket has, and has room for.
func (l *Limiter) Rooms(now time.Time) []Spare {
	l.advance(now)
	rooms := make([]Spare, 0, len(l.accounts))
	for organisation, a := range l.accounts {
		a.bucket.Advance(now)
		rooms = append(rooms, Spare{organisation, a.bucket.level, a.bucket.Room()})
	}
	return rooms
}

// BeginPull reserves room for tokens that a peer is about to be asked for. It
// must be followed by EndPull.
func (l *Limiter) BeginPull(now time.Time, id string, p Pull) bool {
	l.advance(now)
	a := l.accounts[p.Organisation]
	if a == nil || l.tenure.leaving || a.bucket.Room() < p.Tokens {
		return false
	}
	until := now.Add(l.config.Admit)
	l.pulled[id] = &pull{grant: a.bucket.reserveRoom(now, p.Tokens), until: until}
	l.next = earliest(l.next, until)
	return true
}

// EndPull takes in the tokens that the peer gave and returns the report for
// it. Tokens that come too late are returned.
func (l *Limiter) EndPull(now time.Time, id string, tokens float64) Settlement {
	l.advance(now)
	p, ok := l.pulled[id]
	if !ok {
		return Settlement{ID: id, Unused: tokens, Final: true}
	}
	taken := l.endPull(now, id, p, tokens)
	return Settlement{ID: id, Unused: tokens - taken, Used: taken, Final: true}
}

func (l *Limiter) endPull(now time.Time, id string, p *pull, tokens float64) (taken float64) {
	delete(l.pulled, id)
	taken = min(tokens, p.grant.refundable)
	p.grant.Consume(p.grant.remaining - taken)
	p.grant.Settle(now)
	return taken
}
