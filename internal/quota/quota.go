// Package quota holds organisations to one rate over all hosts together. Each
// host keeps its own copy of each organisation's token bucket and charges it
// with what it takes itself and with what the other hosts report. While some
// hosts are out of reach it uses only the part of the rate that falls to the
// hosts in reach. It does no I/O and reads no clock.
package quota

import (
	"math"
	"time"
)

const (
	// firstLevel is the part of the burst that a process begins with that
	// starts into a running fleet, where others may have used it already.
	firstLevel = 0.25
	// debtLimit bounds the debt of a bucket, in bursts.
	debtLimit = 1
	// shortestPause and longestPause bound the advice when to come back.
	shortestPause = 50 * time.Millisecond
	longestPause  = 2 * time.Second
)

// Policy is an organisation's limit over all hosts.
type Policy struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64
}

// bucket is one organisation's tokens over all hosts, as this host sees them.
type bucket struct {
	policy  Policy
	level   float64
	updated time.Time
	// taken is what this host has taken since it started.
	taken float64
}

// Usage is a host's use of one organisation's rate.
type Usage struct {
	// Taken is since the host's process started.
	Taken float64
	// Level is what the host takes to be left.
	Level float64
}

// Limiter decides what one host may grant. It is not safe for concurrent use.
type Limiter struct {
	// full tells that the buckets begin full, since the whole fleet starts.
	full    bool
	reach   float64
	buckets map[string]*bucket
	// seen is what each process has reported, by organisation.
	seen map[string]map[string]float64
}

// NewLimiter returns a limiter without policies. Full buckets are for the
// first start of a whole fleet.
func NewLimiter(full bool) *Limiter {
	return &Limiter{full: full, reach: 1, buckets: make(map[string]*bucket), seen: make(map[string]map[string]float64)}
}

// SetPolicies replaces the policies.
func (l *Limiter) SetPolicies(now time.Time, policies map[string]Policy) {
	for name := range l.buckets {
		if _, ok := policies[name]; !ok {
			delete(l.buckets, name)
		}
	}
	for name, policy := range policies {
		b, ok := l.buckets[name]
		if !ok {
			b = &bucket{level: policy.Burst, updated: now}
			if !l.full {
				b.level *= firstLevel
			}
			l.buckets[name] = b
		}
		b.advance(now, l.reach)
		b.policy = policy
		b.level = min(b.level, policy.Burst)
	}
}

// SetReach sets the part of the hosts, 0 to 1, whose use this host hears of,
// itself included.
func (l *Limiter) SetReach(now time.Time, reach float64) {
	for _, b := range l.buckets {
		b.advance(now, l.reach)
		if reach < l.reach && b.level > 0 {
			// The others may use their part of what is left.
			b.level *= reach / l.reach
		}
	}
	l.reach = reach
}

func (b *bucket) advance(now time.Time, reach float64) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.level = min(b.level+reach*b.policy.Rate*elapsed, b.policy.Burst)
}

func (b *bucket) charge(tokens float64) {
	b.level = max(b.level-tokens, -debtLimit*b.policy.Burst)
}

// Take takes tokens, or tells when as many are expected. A request that is
// larger than the burst is let in by a full bucket.
func (l *Limiter) Take(now time.Time, organisation string, tokens float64) (time.Duration, bool) {
	b, ok := l.buckets[organisation]
	if !ok {
		return 0, true // without a limit
	}
	b.advance(now, l.reach)
	needed := min(tokens, b.policy.Burst*l.reach)
	if b.level < needed {
		return pause((needed - b.level) / (b.policy.Rate * l.reach)), false
	}
	b.charge(tokens)
	b.taken += tokens
	return 0, true
}

func pause(seconds float64) time.Duration {
	if math.IsNaN(seconds) || seconds > longestPause.Seconds() {
		return longestPause
	}
	return max(shortestPause, time.Duration(seconds*float64(time.Second)))
}

// GiveBack returns tokens of a request that did not run.
func (l *Limiter) GiveBack(organisation string, tokens float64) {
	if b, ok := l.buckets[organisation]; ok {
		b.taken -= tokens
		b.level = min(b.level+tokens, b.policy.Burst)
	}
}

// Usage returns this host's own use, for the others.
func (l *Limiter) Usage(now time.Time) map[string]Usage {
	usage := make(map[string]Usage, len(l.buckets))
	for name, b := range l.buckets {
		b.advance(now, l.reach)
		usage[name] = Usage{Taken: b.taken, Level: b.level}
	}
	return usage
}

// Heard charges what another process has used since its last report. Joining
// tells that this process has just started: it takes over the level then, in
// which earlier use is counted already.
func (l *Limiter) Heard(now time.Time, process string, usage map[string]Usage, joining bool) {
	before, known := l.seen[process]
	if before == nil {
		before = make(map[string]float64)
		l.seen[process] = before
	}
	for name, u := range usage {
		b, ok := l.buckets[name]
		if !ok {
			continue
		}
		b.advance(now, l.reach)
		last, reported := before[name]
		if !known && joining || !reported && joining {
			b.level = min(b.level, u.Level)
		} else {
			b.charge(u.Taken - last)
			b.level = min(b.level, b.policy.Burst)
		}
		before[name] = u.Taken
	}
}

// Forget drops what a process has reported, once it is gone for good.
func (l *Limiter) Forget(process string) { delete(l.seen, process) }
