// Package ratelimit implements distributed token-bucket rate limits: it divides
// each organisation's rate and burst among the hosts and decides what one host
// may grant. It reads no clock and does no I/O; callers pass the current time
// and exchange the messages with peers and the platform.
//
// A Bucket is the token bucket of one organisation on one host. The Ledger
// divides a constant number of units among the hosts. The ShareLease tracks how
// many of its units a host may use and until when. The Limiter combines them
// and lends tokens to peers; the Borrower chooses the peers to borrow from.
package ratelimit

import "time"

// Bucket is one host's token bucket for one organisation. Each token is either
// available or refundable in a grant; the sum of both never exceeds the burst.
// The zero value grants no tokens. It is not safe for concurrent use.
type Bucket struct {
	// rate is in tokens per second, burst in tokens.
	rate, burst float64
	// level is the number of available tokens. It is negative after a request
	// used more than its grant.
	level float64
	// refundable is the sum of the grants' refundable tokens.
	refundable float64
	updated    time.Time
	grants     map[*Grant]struct{}
}

// Grant is a set of tokens taken from a Bucket for one request. Unused tokens
// return to the bucket when the grant is released or settled.
type Grant struct {
	bucket *Bucket
	// remaining is the number of tokens that the request may still use.
	remaining float64
	// refundable is the number of tokens that return to the bucket if unused.
	// It is less than remaining if the bucket's burst shrank after the grant.
	refundable float64
}

// Level returns the available tokens as of the last Advance. It may be
// negative.
func (b *Bucket) Level() float64 { return b.level }

// Rate returns the rate at which the bucket fills, in tokens per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Burst returns the limit on the sum of available and refundable tokens.
func (b *Bucket) Burst() float64 { return b.burst }

// Room returns how many tokens can be added before the burst is reached.
func (b *Bucket) Room() float64 { return max(0, b.burst-b.level-b.refundable) }

// Advance refills the bucket for the time up to now. A time before the last
// one is ignored.
func (b *Bucket) Advance(now time.Time) {
	if b.updated.IsZero() {
		b.updated = now
	}
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.level += min(b.Room(), b.rate*elapsed.Seconds())
}

// SetLimits changes rate and burst from now on. The change never raises the
// level. If the burst shrinks, the refundable tokens of all grants are scaled
// down before the level is reduced; the level is reduced only to the new burst.
func (b *Bucket) SetLimits(now time.Time, rate, burst float64) {
	b.Advance(now)
	b.rate = max(0, rate)
	b.burst = max(0, burst)
	b.level = min(b.level, b.burst)
	if room := b.burst - max(0, b.level); b.refundable > room {
		b.scaleRefunds(room / b.refundable)
	}
}

func (b *Bucket) scaleRefunds(factor float64) {
	b.refundable = 0
	for grant := range b.grants {
		grant.refundable *= factor
		b.refundable += grant.refundable
	}
}

// Take grants the tokens if that many are available, and reports whether they
// were.
func (b *Bucket) Take(now time.Time, tokens float64) (*Grant, bool) {
	b.Advance(now)
	if tokens > b.level {
		return nil, false
	}
	grant := &Grant{bucket: b, remaining: tokens, refundable: tokens}
	b.level -= tokens
	b.add(grant)
	return grant, true
}

func (b *Bucket) add(grant *Grant) {
	b.refundable += grant.refundable
	if b.grants == nil {
		b.grants = make(map[*Grant]struct{})
	}
	b.grants[grant] = struct{}{}
}

// TakeUpTo grants the available tokens, up to the number given.
func (b *Bucket) TakeUpTo(now time.Time, tokens float64) *Grant {
	grant := &Grant{bucket: b}
	b.add(grant)
	grant.Extend(now, tokens)
	return grant
}

// reserveRoom returns a grant for tokens that the bucket has not received yet:
// they count towards the burst, but are not taken from the level.
func (b *Bucket) reserveRoom(now time.Time, tokens float64) *Grant {
	b.Advance(now)
	grant := &Grant{bucket: b, remaining: tokens, refundable: tokens}
	b.add(grant)
	return grant
}

// Consume uses tokens of the grant. Tokens in excess of the grant are charged
// to the bucket, whose level may become negative; Consume returns their number.
func (g *Grant) Consume(tokens float64) (excess float64) {
	within := min(tokens, g.remaining)
	excess = tokens - within
	g.remaining -= within
	if lost := g.refundable - g.remaining; lost > 0 {
		g.refundable -= lost
		g.bucket.refundable -= lost
	}
	g.bucket.level -= excess
	return excess
}

// Extend adds available tokens of the bucket to the grant, up to the number
// given, and returns how many it added. A settled grant is not extended.
func (g *Grant) Extend(now time.Time, tokens float64) (added float64) {
	b := g.bucket
	b.Advance(now)
	added = max(0, min(tokens, b.level))
	if _, active := b.grants[g]; !active || added == 0 {
		return 0
	}
	b.level -= added
	b.refundable += added
	g.remaining += added
	g.refundable += added
	return added
}

// Release returns tokens of the grant that will not be used to the bucket.
func (g *Grant) Release(now time.Time, tokens float64) {
	g.bucket.Advance(now)
	released := min(max(0, tokens), g.remaining)
	g.remaining -= released
	credit := min(released, g.refundable)
	g.refundable -= credit
	g.bucket.refundable -= credit
	g.bucket.level += credit
}

// Settle ends the grant, releases its remaining tokens to the bucket and
// returns their number. Repeated calls have no effect.
func (g *Grant) Settle(now time.Time) (unused float64) {
	unused = g.remaining
	g.Release(now, unused)
	delete(g.bucket.grants, g)
	return unused
}
