// Package ratelimit divides each organisation's rate and burst among hosts
// and decides what one host may grant. It holds no clock and does no I/O.
//
// The parts are a token Bucket for one organisation on one host, the Ledger
// that divides a constant number of units among hosts, the Tenure that says
// how much of its units a host may still use, and the Limiter that joins them
// and lends and borrows.
package ratelimit

import "time"

// Bucket is one host's token bucket for one organisation. Tokens are either
// available, or refundable in a grant, and their sum never exceeds the burst.
// The zero value grants nothing.
type Bucket struct {
	// rate is in tokens per second, burst in tokens.
	rate, burst float64
	// level is negative after a request used more than its grant.
	level float64
	// refundable is the sum of the grants' refundable tokens.
	refundable float64
	updated    time.Time
	grants     map[*Grant]struct{}
}

// Grant is the right of one request to use tokens.
type Grant struct {
	bucket *Bucket
	// remaining is what the request may still use.
	remaining float64
	// refundable is what returns to the bucket if it is not used. It is less
	// than remaining where the bucket's burst shrank in the meantime.
	refundable float64
}

// Level returns the available tokens.
func (b *Bucket) Level() float64 { return b.level }

// Rate returns the rate at which the bucket fills, in tokens per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Burst returns the most tokens, available and refundable, of the bucket.
func (b *Bucket) Burst() float64 { return b.burst }

// Room returns how many tokens the bucket could still take in.
func (b *Bucket) Room() float64 { return max(0, b.burst-b.level-b.refundable) }

// Advance fills the bucket up to now. A time before the last one is ignored.
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

// SetLimits changes rate and burst from now on. The level never rises. Where
// the burst shrinks, grants lose their refund before the level is cut.
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

// Take grants tokens if that many are available.
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

// TakeUpTo grants as many of the tokens as are available.
func (b *Bucket) TakeUpTo(now time.Time, tokens float64) *Grant {
	grant := &Grant{bucket: b}
	b.add(grant)
	grant.Extend(now, tokens)
	return grant
}

// reserveRoom grants tokens that are yet to come in: they count under the
// burst, but are not taken from the level.
func (b *Bucket) reserveRoom(now time.Time, tokens float64) *Grant {
	b.Advance(now)
	grant := &Grant{bucket: b, remaining: tokens, refundable: tokens}
	b.add(grant)
	return grant
}

// Consume uses tokens of the grant. What exceeds the grant is charged to the
// bucket, whose level may become negative; it is returned.
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

// Extend adds as many of the tokens as are available, and returns how many.
func (g *Grant) Extend(now time.Time, tokens float64) (added float64) {
	b := g.bucket
	b.Advance(now)
	added = max(0, min(tokens, b.level))
	if _, open := b.grants[g]; !open || added == 0 {
		return 0
	}
	b.level -= added
	b.refundable += added
	g.remaining += added
	g.refundable += added
	return added
}

// Release returns tokens that will not be used to the bucket.
func (g *Grant) Release(now time.Time, tokens float64) {
	g.bucket.Advance(now)
	released := min(max(0, tokens), g.remaining)
	g.remaining -= released
	credit := min(released, g.refundable)
	g.refundable -= credit
	g.bucket.refundable -= credit
	g.bucket.level += credit
}

// Settle ends the grant and returns the unused tokens to the bucket. It
// returns how many were unused. Repeated calls have no effect.
func (g *Grant) Settle(now time.Time) (unused float64) {
	unused = g.remaining
	g.Release(now, unused)
	delete(g.bucket.grants, g)
	return unused
}
