// Package quota limits the tokens of each organisation over all hosts
// together. The limit applies to the tokens taken in a sliding window: the
// rate times the window plus the burst. Each host keeps its own copy of each
// organisation's account and charges it with the tokens that it takes itself
// and with those that the other hosts report. While some hosts are
// unreachable, it uses only the reachable hosts' fraction of the limit, which
// depends on the earlier use of each host. Limiter does no I/O and reads no
// clock; Service connects it to the reports between hosts.
package quota

import (
	"slices"
	"time"

	"bilberryslip.example/bilberryslip/internal/decay"
)

const (
	// slots is the number of slots in a window; use expires by whole slots.
	slots = 32
	// assumedUse is the part of the limit that a process assumes to be used,
	// evenly over the window, when it starts into a running fleet and has
	// received no report yet. More would refuse organisations that stay within
	// their rates.
	assumedUse = 0.98
	// levelShare is the part of the limit that may be used at once.
	levelShare = 0.2
	// othersWindow is the time constant of the other hosts' rate of use.
	othersWindow = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 8 * time.Second
)

// Policy is an organisation's limit over all hosts.
type Policy struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64
}

// account is this host's copy of one organisation's use over all hosts.
type account struct {
	name   string
	policy Policy
	// windows holds the use of each host, and under priorUse the use of all
	// hosts before this process started.
	windows map[string]*window
	// level is a token bucket that spreads the use of a busy organisation over
	// the window, so that the limit isn't used twice around a restart of all
	// hosts. It refills at the limit's mean rate up to maxLevel and may be
	// negative.
	level   float64
	updated time.Time
	// taken is the number of tokens that this host has taken since it started.
	taken float64
	// othersUse is the recent use of all other hosts.
	othersUse *decay.Sum
	// promisedUntil is the time up to which the tokens that become free are
	// promised to callers that were refused with a RetryAfter.
	promisedUntil time.Time
	// ownGrants are this host's grants within the last report interval, oldest
	// first.
	ownGrants []ownGrant
	// adoptedUse and adoptedLevel are set once the report of a process older than the window
	// has replaced the assumed use and level.
	adoptedUse, adoptedLevel bool
	// covered is the part of the adopted use that processes have taken whose own reports are
	// still to come.
	covered float64
	// earlier is the charged use of other processes from before this one started.
	earlier float64
}

// Usage is a host's use of one organisation's limit, in tokens.
type Usage struct {
	// Taken counts from the start of the host's process.
	Taken float64
	// Used is the use of all hosts in the window, according to this host.
	Used float64
	// Level may be used at once, according to this host. It is nil unless the host
	// has recent reports of all others and the limit is not divided.
	Level *float64
	// Recent is the part of Used that running processes of other hosts have taken
	// that started less than a window ago. It is set with Level.
	Recent float64
}

// Limiter decides which requests one host may admit. It is not safe for
// concurrent use.
type Limiter struct {
	length time.Duration
	// reportInterval is the time between two reports of a host.
	reportInterval time.Duration
	self           string
	// firstStart means that the whole fleet starts for the first time, so that
	// nothing was used before.
	firstStart bool
	// started is when the first policies were set; zero before.
	started time.Time
	// reachableFraction is the fraction of the hosts that are reachable,
	// reachable are their names; both include this host.
	reachableFraction float64
	reachable         []string
	// division is set while some hosts are unreachable. history holds the
	// divisions that were computed recently while all were reachable, oldest
	// first.
	division *division
	history  []*division
	// recentUse is the recent use, by organisation and host.
	recentUse map[string]map[string]*decay.Sum
	accounts  map[string]*account
	// peers holds the last report of each other process, by incarnation.
	peers map[string]*peerProcess
}

// NewLimiter returns the limiter of the host self, without policies, for
// windows of the given length. FirstStart means that the whole fleet starts
// for the first time.
func NewLimiter(self string, length time.Duration, firstStart bool) *Limiter {
	return &Limiter{
		length: length, self: self, firstStart: firstStart, reachableFraction: 1, reachable: []string{self}, recentUse: make(map[string]map[string]*decay.Sum),
		accounts: make(map[string]*account), peers: make(map[string]*peerProcess),
	}
}

// limit returns the most tokens in a window.
func (l *Limiter) limit(p Policy) float64 { return p.Rate*l.length.Seconds() + p.Burst }

// SetPolicies replaces the policies. Organisations without a policy have no
// limit. An organisation that is new to a process that started into a running
// fleet begins with an assumed use.
func (l *Limiter) SetPolicies(now time.Time, policies map[string]Policy) {
	if l.started.IsZero() {
		l.started = now
	}
	for name := range l.accounts {
		if _, ok := policies[name]; !ok {
			delete(l.accounts, name)
		}
	}
	for name, policy := range policies {
		a, ok := l.accounts[name]
		if !ok {
			a = &account{name: name, windows: make(map[string]*window), othersUse: decay.NewSum(othersWindow), level: l.maxLevel(policy), updated: now}
			if !l.firstStart {
				l.window(a, priorUse).fill(now, assumedUse*l.limit(policy))
				a.level *= 1 - assumedUse
			}
			l.accounts[name] = a
		}
		l.advance(now, a)
		a.policy = policy
		a.level = min(a.level, l.maxLevel(policy))
	}
}

// SetReachability sets which of the other hosts are reachable, and which are
// not but may still be serving.
func (l *Limiter) SetReachability(now time.Time, reachable, unreachable []string) {
	for _, a := range l.accounts {
		l.advance(now, a)
	}
	before := make(map[string]float64, len(l.accounts))
	for name := range l.accounts {
		before[name] = l.limitFraction(name)
	}
	l.reachable = append([]string{l.self}, reachable...)
	l.reachableFraction = float64(len(l.reachable)) / float64(len(l.reachable)+len(unreachable))
	switch {
	case len(unreachable) == 0:
		l.division = nil
		l.history = append(l.history, divide(now, l.reachable, l.recentUse))
		for len(l.history) > 1 && now.Sub(l.history[1].at) >= detectionDelay {
			l.history = l.history[1:]
		}
	case l.division == nil:
		l.division = l.lastCommonDivision(now)
	}
	for name, a := range l.accounts {
		if fraction := l.limitFraction(name); fraction < before[name] && a.level > 0 {
			// The unreachable hosts may use their fraction of the level.
			a.level *= fraction / before[name]
		}
	}
}

// SetReportInterval sets the time between two reports of a host.
func (l *Limiter) SetReportInterval(interval time.Duration) { l.reportInterval = interval }

// lastCommonDivision returns a division from a time at which the hosts that
// are unreachable now were certainly reachable, so that all hosts use the same
// one. Without any, limits are divided evenly.
func (l *Limiter) lastCommonDivision(now time.Time) *division {
	if len(l.history) == 0 || now.Sub(l.history[0].at) < detectionDelay {
		return &division{at: now}
	}
	return l.history[0]
}

// limitFraction returns the fraction of an organisation's limit that the
// reachable hosts may use.
func (l *Limiter) limitFraction(organisation string) float64 {
	if l.division == nil {
		return l.reachableFraction
	}
	return l.division.fraction(organisation, l.reachable, l.reachableFraction)
}

// recordUse adds a host's use to the recent use, on which later divisions
// depend. Tokens may be negative.
func (l *Limiter) recordUse(now time.Time, organisation, host string, tokens float64) {
	byHost := l.recentUse[organisation]
	if byHost == nil {
		byHost = make(map[string]*decay.Sum)
		l.recentUse[organisation] = byHost
	}
	u := byHost[host]
	if u == nil {
		u = decay.NewSum(useWindow)
		byHost[host] = u
	}
	u.Add(now, tokens)
}

// priorUse is the key in account.windows of the use of all hosts before this
// process started.
const priorUse = ""

// window returns a host's window of an account.
func (l *Limiter) window(a *account, host string) *window {
	w, ok := a.windows[host]
	if !ok {
		w = newWindow(l.length)
		a.windows[host] = w
	}
	return w
}

// countsAgainstLimit reports whether a host's use counts against the limit of
// this host: that of all hosts, or of the reachable ones while the limit is
// divided.
func (l *Limiter) countsAgainstLimit(host string) bool {
	return l.division == nil || host == priorUse || slices.Contains(l.reachable, host)
}

// countedPart returns the part of a host's use that counts against the limit of this host.
// While the limit is divided, each side counts its fraction of the use of all hosts before
// this process started, as it has the same fraction of the limit.
func (l *Limiter) countedPart(a *account, host string) float64 {
	switch {
	case !l.countsAgainstLimit(host):
		return 0
	case host == priorUse:
		return l.limitFraction(a.name)
	default:
		return 1
	}
}

// used returns the use in the window that counts against this host's limit.
func (l *Limiter) used(now time.Time, a *account) float64 {
	total := 0.0
	for host, w := range a.windows {
		if part := l.countedPart(a, host); part > 0 {
			total += part * w.sum(now)
		}
	}
	return total
}

// freeIn returns the time until the given number of tokens has left the
// window.
func (l *Limiter) freeIn(now time.Time, a *account, tokens float64) time.Duration {
	sum := newWindow(l.length)
	sum.advance(now)
	for host, w := range a.windows {
		if part := l.countedPart(a, host); part > 0 {
			sum.merge(now, w, part)
		}
	}
	return sum.freeIn(now, tokens)
}

// advance refills the account's level up to now.
func (l *Limiter) advance(now time.Time, a *account) {
	elapsed := now.Sub(a.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updated = now
	a.level = min(a.level+elapsed*l.meanRate(a), l.maxLevel(a.policy))
}

// maxLevel is the level of an organisation that has used nothing for a while.
func (l *Limiter) maxLevel(p Policy) float64 { return max(p.Burst, levelShare*l.limit(p)) }

// meanRate is the reachable hosts' fraction of the limit, spread over the
// window, in tokens per second.
func (l *Limiter) meanRate(a *account) float64 {
	return l.limitFraction(a.name) * l.limit(a.policy) / l.length.Seconds()
}

// charge charges a host's tokens to the account, or credits them if they are
// negative.
func (l *Limiter) charge(now time.Time, a *account, host string, tokens float64) {
	if tokens < 0 {
		l.window(a, host).credit(now, -tokens)
	} else {
		l.window(a, host).add(now, tokens)
	}
	l.lowerLevel(a, tokens)
}

// lowerLevel takes tokens from the account's level, or adds them if they are
// negative.
func (l *Limiter) lowerLevel(a *account, tokens float64) {
	bound := l.maxLevel(a.policy)
	a.level = min(max(a.level-tokens, -bound), bound)
}

// Decision is the result of Take, with the figures that it is based on.
type Decision struct {
	Granted bool
	// RetryAfter is the time until the tokens are expected to be free. It is
	// zero if Granted.
	RetryAfter time.Duration
	// Used is the use in the window that counts against Limit, Limit the most
	// that the reachable hosts may use, Level what may be used at once; all in
	// tokens.
	Used, Limit, Level float64
	// Unreported is the expected use of the other hosts since their last
	// reports, in tokens.
	Unreported float64
	// LimitFraction is the fraction of the whole limit that the reachable
	// hosts may use.
	LimitFraction float64
}

// Take takes tokens for a request of an organisation if its limit allows. A
// request for more than the largest level is admitted when the level is full.
func (l *Limiter) Take(now time.Time, organisation string, tokens float64) Decision {
	a, ok := l.accounts[organisation]
	if !ok {
		return Decision{Granted: true, LimitFraction: 1} // without a limit
	}
	l.advance(now, a)
	fraction, unreported := l.limitFraction(organisation), l.unreportedUse(now, a)
	d := Decision{Used: l.used(now, a), Limit: fraction * l.limit(a.policy), Level: a.level, Unreported: unreported, LimitFraction: fraction}
	deficit := min(tokens, fraction*l.maxLevel(a.policy)) - d.Level + unreported
	excess := d.Used + unreported + tokens - d.Limit
	if deficit > 0 || excess > 0 {
		wait := time.Duration(max(0, deficit) / l.meanRate(a) * float64(time.Second))
		if excess > 0 {
			wait = max(wait, l.freeIn(now, a, excess))
		}
		d.RetryAfter = l.scheduleRetry(now, a, tokens, max(minRetryAfter, wait))
		return d
	}
	d.Granted = true
	l.charge(now, a, l.self, tokens)
	l.recordUse(now, organisation, l.self, tokens)
	a.ownGrants = append(a.ownGrants, ownGrant{now, tokens})
	a.taken += tokens
	return d
}

// scheduleRetry returns the RetryAfter of a refused request: at least wait,
// and after the retries of the requests refused before it. If callers that
// were refused at the same moment all retried together, all but the first
// would be refused again.
func (l *Limiter) scheduleRetry(now time.Time, a *account, tokens float64, wait time.Duration) time.Duration {
	at := now.Add(wait)
	if a.promisedUntil.After(at) {
		at = a.promisedUntil
	}
	if retryAfter := at.Sub(now); retryAfter < maxRetryAfter {
		refillSeconds := tokens / (l.meanRate(a) * l.ownShare(now, a.name))
		a.promisedUntil = at.Add(time.Duration(refillSeconds * float64(time.Second)))
		return retryAfter
	}
	return maxRetryAfter
}

// Refund credits the account with the tokens of a granted request that did
// not run.
func (l *Limiter) Refund(now time.Time, organisation string, tokens float64) {
	if a, ok := l.accounts[organisation]; ok {
		a.taken -= tokens
		l.recordUse(now, organisation, l.self, -tokens)
		l.charge(now, a, l.self, -tokens)
	}
}

// Usage returns this host's usage by organisation, for its reports to the
// other hosts.
func (l *Limiter) Usage(now time.Time) map[string]Usage {
	usage := make(map[string]Usage, len(l.accounts))
	young, informed := l.youngProcesses(now)
	for name, a := range l.accounts {
		u := Usage{Taken: a.taken, Used: l.used(now, a)}
		if informed && l.limitFraction(name) == 1 {
			l.advance(now, a)
			level := a.level
			u.Level = &level
			for _, p := range young {
				u.Recent += p.taken[name]
			}
		}
		usage[name] = u
	}
	return usage
}
