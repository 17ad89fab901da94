// Package quota holds organisations to one limit over all hosts together. The
// limit is the tokens that may run in a sliding window: the rate over the
// window and the burst. Each host keeps its own copy of each organisation's
// account and charges it with what it takes itself and with what the other
// hosts report. While some hosts are out of reach it uses only the part of the
// limit that falls to the hosts in reach. It does no I/O and reads no clock.
package quota

import "time"

const (
	// slots divides the window; use is forgotten by whole slots.
	slots = 32
	// assumedUse is the part of the limit that a process takes to be used,
	// evenly over the window, when it starts into a running fleet and has
	// heard from no other host. More would refuse organisations that stay
	// within their rates.
	assumedUse = 0.85
	// levelShare is the part of the limit that may be used at once.
	levelShare = 0.5
	// shortestPause and longestPause bound the advice when to come back.
	shortestPause = 50 * time.Millisecond
	longestPause  = 8 * time.Second
)

// Policy is an organisation's limit over all hosts.
type Policy struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64
}

// account is one organisation's use over all hosts, as this host sees it.
type account struct {
	policy Policy
	window window
	// level spreads what a busy organisation uses over the window, so that the
	// limit isn't used twice around a restart of all hosts. It fills at the
	// limit's mean rate, up to a part of the limit.
	level   float64
	updated time.Time
	// taken is what this host has taken since it started.
	taken float64
}

// Usage is a host's use of one organisation's limit.
type Usage struct {
	// Taken is since the host's process started.
	Taken float64
	// Used is what all hosts have taken in the window, as the host sees it.
	Used float64
}

// Limiter decides what one host may grant. It is not safe for concurrent use.
type Limiter struct {
	length time.Duration
	// first tells that the whole fleet starts and nothing was used before.
	first    bool
	reach    float64
	accounts map[string]*account
	// seen is what each process has reported, by organisation.
	seen map[string]map[string]float64
}

// NewLimiter returns a limiter without policies, for windows of a length.
// First is for the first start of a whole fleet.
func NewLimiter(length time.Duration, first bool) *Limiter {
	return &Limiter{
		length: length, first: first, reach: 1,
		accounts: make(map[string]*account), seen: make(map[string]map[string]float64),
	}
}

// limit returns the most tokens in a window.
func (l *Limiter) limit(p Policy) float64 { return p.Rate*l.length.Seconds() + p.Burst }

// SetPolicies replaces the policies.
func (l *Limiter) SetPolicies(now time.Time, policies map[string]Policy) {
	for name := range l.accounts {
		if _, ok := policies[name]; !ok {
			delete(l.accounts, name)
		}
	}
	for name, policy := range policies {
		a, ok := l.accounts[name]
		if !ok {
			a = &account{window: newWindow(l.length), level: l.highest(policy), updated: now}
			if !l.first {
				a.window.fill(now, assumedUse*l.limit(policy))
				a.level *= 1 - assumedUse
			}
			l.accounts[name] = a
		}
		l.advance(now, a)
		a.policy = policy
		a.level = min(a.level, l.highest(policy))
	}
}

// SetReach sets the part of the hosts, 0 to 1, whose use this host hears of,
// itself included.
func (l *Limiter) SetReach(now time.Time, reach float64) {
	for _, a := range l.accounts {
		l.advance(now, a)
		if reach < l.reach && a.level > 0 {
			// The others may use their part of what is left.
			a.level *= reach / l.reach
		}
	}
	l.reach = reach
}

func (l *Limiter) advance(now time.Time, a *account) {
	elapsed := now.Sub(a.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updated = now
	a.level = min(a.level+elapsed*l.meanRate(a.policy), l.highest(a.policy))
}

// highest is the level of an organisation that was quiet.
func (l *Limiter) highest(p Policy) float64 { return max(p.Burst, levelShare*l.limit(p)) }

// meanRate is the limit spread over the window, for the hosts in reach.
func (l *Limiter) meanRate(p Policy) float64 { return l.reach * l.limit(p) / l.length.Seconds() }

// charge takes tokens into account, or gives them back where they are
// negative.
func (l *Limiter) charge(now time.Time, a *account, tokens float64) {
	if tokens < 0 {
		a.window.credit(now, -tokens)
	} else {
		a.window.add(now, tokens)
	}
	a.level = max(a.level-tokens, -l.highest(a.policy))
}

// Decision is the answer to a request for tokens with what it depended on.
type Decision struct {
	Granted bool
	// RetryAfter is when as many tokens are expected to be free.
	RetryAfter time.Duration
	// Used is what all hosts have taken in the window, Limit what the hosts in
	// reach may take, Level what may be used at once.
	Used, Limit, Level float64
	// Reach is the part of the hosts in reach.
	Reach float64
}

// Take takes tokens. A request that is larger than the highest level is let in
// where nothing of that is used.
func (l *Limiter) Take(now time.Time, organisation string, tokens float64) Decision {
	a, ok := l.accounts[organisation]
	if !ok {
		return Decision{Granted: true, Reach: l.reach} // without a limit
	}
	l.advance(now, a)
	d := Decision{Used: a.window.sum(now), Limit: l.reach * l.limit(a.policy), Level: a.level, Reach: l.reach}
	behind := min(tokens, l.reach*l.highest(a.policy)) - d.Level
	over := d.Used + tokens - d.Limit
	if behind > 0 || over > 0 {
		wait := time.Duration(max(0, behind) / l.meanRate(a.policy) * float64(time.Second))
		if over > 0 {
			wait = max(wait, a.window.freeIn(now, over))
		}
		d.RetryAfter = min(max(shortestPause, wait), longestPause)
		return d
	}
	d.Granted = true
	l.charge(now, a, tokens)
	a.taken += tokens
	return d
}

// GiveBack returns tokens of a request that did not run.
func (l *Limiter) GiveBack(now time.Time, organisation string, tokens float64) {
	if a, ok := l.accounts[organisation]; ok {
		a.taken -= tokens
		a.window.credit(now, tokens)
		a.level = min(a.level+tokens, l.highest(a.policy))
	}
}

// Usage returns this host's own use, for the others.
func (l *Limiter) Usage(now time.Time) map[string]Usage {
	usage := make(map[string]Usage, len(l.accounts))
	for name, a := range l.accounts {
		usage[name] = Usage{Taken: a.taken, Used: a.window.sum(now)}
	}
	return usage
}

// Heard charges what another process has used since its last report. Joining
// tells that this process has just started: what the other saw used in the
// window takes the place of what was assumed.
func (l *Limiter) Heard(now time.Time, process string, usage map[string]Usage, joining bool) {
	before, known := l.seen[process]
	if !known {
		before = make(map[string]float64)
		l.seen[process] = before
	}
	for name, u := range usage {
		a, ok := l.accounts[name]
		if !ok {
			continue
		}
		l.advance(now, a)
		last, reported := before[name]
		switch {
		case reported || !joining:
			l.charge(now, a, u.Taken-last)
			a.level = min(a.level, l.highest(a.policy))
		case !l.first && a.taken == 0:
			a.window.fill(now, u.Used)
		}
		before[name] = u.Taken
	}
}

// Forget drops what a process has reported, once it is gone for good.
func (l *Limiter) Forget(process string) { delete(l.seen, process) }
