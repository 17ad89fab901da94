// Package quota holds organisations to one limit over all hosts together. The
// limit is the tokens that may run in a sliding window: the rate over the
// window and the burst. Each host keeps its own copy of each organisation's
// account and charges it with what it takes itself and with what the other
// hosts report. While some hosts are out of reach it uses only the part of the
// limit that falls to the hosts in reach, by what each host used before. It
// does no I/O and reads no clock.
package quota

import (
	"slices"
	"time"

	"bilberryslip.example/bilberryslip/internal/decay"
)

const (
	// slots divides the window; use is forgotten by whole slots.
	slots = 32
	// assumedUse is the part of the limit that a process takes to be used,
	// evenly over the window, when it starts into a running fleet and has
	// heard from no other host. More would refuse organisations that stay
	// within their rates.
	assumedUse = 0.98
	// levelShare is the part of the limit that may be used at once.
	levelShare = 0.2
	// othersWindow is the time constant of the other hosts' rate of use.
	othersWindow = 2 * time.Second
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
	name   string
	policy Policy
	// windows hold each host's use; that under no name is what was used before
	// this process started, by whichever host.
	windows map[string]*window
	// level spreads what a busy organisation uses over the window, so that the
	// limit isn't used twice around a restart of all hosts. It fills at the
	// limit's mean rate, up to a part of the limit.
	level   float64
	updated time.Time
	// taken is what this host has taken since it started.
	taken float64
	// others is the recent use of all other hosts.
	others *decay.Sum
	// promised is up to when what becomes free is promised to callers that
	// were told to come back.
	promised time.Time
	// own are this host's grants within the last lag, oldest first.
	own []ownGrant
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
	// lag is the time between two reports of a host.
	lag  time.Duration
	self string
	// first tells that the whole fleet starts and nothing was used before.
	first bool
	// reach is the part of the hosts in reach, reachable those hosts, this one
	// included.
	reach     float64
	reachable []string
	// division is set while some hosts are out of reach; history holds those
	// that would have been set lately, oldest first.
	division *division
	history  []*division
	// uses is each host's recent use, by organisation and host.
	uses     map[string]map[string]*decay.Sum
	accounts map[string]*account
	// processes is what each other process has reported.
	processes map[string]*process
}

// NewLimiter returns the limiter of a host, without policies, for windows of a
// length. First is for the first start of a whole fleet.
func NewLimiter(self string, length time.Duration, first bool) *Limiter {
	return &Limiter{
		length: length, self: self, first: first, reach: 1, reachable: []string{self}, uses: make(map[string]map[string]*decay.Sum),
		accounts: make(map[string]*account), processes: make(map[string]*process),
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
			a = &account{name: name, windows: make(map[string]*window), others: decay.NewSum(othersWindow), level: l.highest(policy), updated: now}
			if !l.first {
				l.window(a, earlier).fill(now, assumedUse*l.limit(policy))
				a.level *= 1 - assumedUse
			}
			l.accounts[name] = a
		}
		l.advance(now, a)
		a.policy = policy
		a.level = min(a.level, l.highest(policy))
	}
}

// SetReach tells which other hosts are heard, and which are silent and may be
// serving all the same.
func (l *Limiter) SetReach(now time.Time, heard, silent []string) {
	for _, a := range l.accounts {
		l.advance(now, a)
	}
	before := make(map[string]float64, len(l.accounts))
	for name := range l.accounts {
		before[name] = l.part(name)
	}
	l.reachable = append([]string{l.self}, heard...)
	l.reach = float64(len(l.reachable)) / float64(len(l.reachable)+len(silent))
	switch {
	case len(silent) == 0:
		l.division = nil
		l.history = append(l.history, divide(now, l.reachable, l.uses))
		for len(l.history) > 1 && now.Sub(l.history[1].at) >= missedWithin {
			l.history = l.history[1:]
		}
	case l.division == nil:
		l.division = l.lastShared(now)
	}
	for name, a := range l.accounts {
		if part := l.part(name); part < before[name] && a.level > 0 {
			// The others may use their part of what is left.
			a.level *= part / before[name]
		}
	}
}

// SetLag sets the time between two reports of a host.
func (l *Limiter) SetLag(lag time.Duration) { l.lag = lag }

// lastShared returns the division of a time at which the hosts that are silent
// now were certainly heard, so that all hosts come to the same one. Without
// any, limits are divided evenly.
func (l *Limiter) lastShared(now time.Time) *division {
	if len(l.history) == 0 || now.Sub(l.history[0].at) < missedWithin {
		return &division{at: now}
	}
	return l.history[0]
}

// part returns the part of an organisation's limit that falls to the hosts in
// reach.
func (l *Limiter) part(organisation string) float64 {
	if l.division == nil {
		return l.reach
	}
	return l.division.part(organisation, l.reachable, l.reach)
}

// remember takes a host's use into account for a later division.
func (l *Limiter) remember(now time.Time, organisation, host string, tokens float64) {
	byHost := l.uses[organisation]
	if byHost == nil {
		byHost = make(map[string]*decay.Sum)
		l.uses[organisation] = byHost
	}
	u := byHost[host]
	if u == nil {
		u = decay.NewSum(useWindow)
		byHost[host] = u
	}
	u.Add(now, tokens)
}

// earlier names the use before this process started.
const earlier = ""

// window returns a host's window of an account.
func (l *Limiter) window(a *account, host string) *window {
	w, ok := a.windows[host]
	if !ok {
		w = newWindow(l.length)
		a.windows[host] = w
	}
	return w
}

// counts reports whether a host's use counts against this host's part of the
// limit: that of the hosts in reach, or of all where the limit isn't divided.
func (l *Limiter) counts(host string) bool {
	return l.division == nil || host == earlier || slices.Contains(l.reachable, host)
}

// used returns what the hosts that share this host's part of the limit have
// used in the window: those in reach, or all where the limit isn't divided.
func (l *Limiter) used(now time.Time, a *account) float64 {
	total := 0.0
	for host, w := range a.windows {
		if l.counts(host) {
			total += w.sum(now)
		}
	}
	return total
}

// freeIn returns how long it takes until as many tokens have left the window.
func (l *Limiter) freeIn(now time.Time, a *account, tokens float64) time.Duration {
	sum := newWindow(l.length)
	sum.advance(now)
	for host, w := range a.windows {
		if l.counts(host) {
			sum.merge(now, w)
		}
	}
	return sum.freeIn(now, tokens)
}

func (l *Limiter) advance(now time.Time, a *account) {
	elapsed := now.Sub(a.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updated = now
	a.level = min(a.level+elapsed*l.meanRate(a), l.highest(a.policy))
}

// highest is the level of an organisation that was quiet.
func (l *Limiter) highest(p Policy) float64 { return max(p.Burst, levelShare*l.limit(p)) }

// meanRate is the limit spread over the window, for the hosts in reach.
func (l *Limiter) meanRate(a *account) float64 {
	return l.part(a.name) * l.limit(a.policy) / l.length.Seconds()
}

// charge takes tokens into account, or gives them back where they are
// negative.
func (l *Limiter) charge(now time.Time, a *account, host string, tokens float64) {
	if tokens < 0 {
		l.window(a, host).credit(now, -tokens)
	} else {
		l.window(a, host).add(now, tokens)
	}
	l.lower(a, tokens)
}

// lower takes tokens out of what may be used at once.
func (l *Limiter) lower(a *account, tokens float64) {
	highest := l.highest(a.policy)
	a.level = min(max(a.level-tokens, -highest), highest)
}

// Decision is the answer to a request for tokens with what it depended on.
type Decision struct {
	Granted bool
	// RetryAfter is when as many tokens are expected to be free.
	RetryAfter time.Duration
	// Used is what all hosts have taken in the window, Limit what the hosts in
	// reach may take, Level what may be used at once.
	Used, Limit, Level float64
	// Unreported is what the other hosts are expected to have taken since
	// their last reports.
	Unreported float64
	// Part is that of the limit which falls to the hosts in reach.
	Part float64
}

// Take takes tokens. A request that is larger than the highest level is let in
// where nothing of that is used.
func (l *Limiter) Take(now time.Time, organisation string, tokens float64) Decision {
	a, ok := l.accounts[organisation]
	if !ok {
		return Decision{Granted: true, Part: 1} // without a limit
	}
	l.advance(now, a)
	part, unreported := l.part(organisation), l.unreported(now, a)
	d := Decision{Used: l.used(now, a), Limit: part * l.limit(a.policy), Level: a.level, Unreported: unreported, Part: part}
	behind := min(tokens, part*l.highest(a.policy)) - d.Level + unreported
	over := d.Used + unreported + tokens - d.Limit
	if behind > 0 || over > 0 {
		wait := time.Duration(max(0, behind) / l.meanRate(a) * float64(time.Second))
		if over > 0 {
			wait = max(wait, l.freeIn(now, a, over))
		}
		d.RetryAfter = l.turn(now, a, tokens, max(shortestPause, wait))
		return d
	}
	d.Granted = true
	l.charge(now, a, l.self, tokens)
	l.remember(now, organisation, l.self, tokens)
	a.own = append(a.own, ownGrant{now, tokens})
	a.taken += tokens
	return d
}

// turn returns when a refused caller is to come back at the earliest after a
// wait: callers that all came at the same moment would be refused again but
// for the first.
func (l *Limiter) turn(now time.Time, a *account, tokens float64, wait time.Duration) time.Duration {
	at := now.Add(wait)
	if a.promised.After(at) {
		at = a.promised
	}
	if pause := at.Sub(now); pause < longestPause {
		takes := tokens / (l.meanRate(a) * l.share(now, a.name))
		a.promised = at.Add(time.Duration(takes * float64(time.Second)))
		return pause
	}
	return longestPause
}

// GiveBack returns tokens of a request that did not run.
func (l *Limiter) GiveBack(now time.Time, organisation string, tokens float64) {
	if a, ok := l.accounts[organisation]; ok {
		a.taken -= tokens
		l.remember(now, organisation, l.self, -tokens)
		l.charge(now, a, l.self, -tokens)
	}
}

// Usage returns this host's own use, for the others.
func (l *Limiter) Usage(now time.Time) map[string]Usage {
	usage := make(map[string]Usage, len(l.accounts))
	for name, a := range l.accounts {
		usage[name] = Usage{Taken: a.taken, Used: l.used(now, a)}
	}
	return usage
}
