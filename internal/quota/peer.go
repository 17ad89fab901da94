package quota

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/decay"
)

// peerProcess is the last reported state of one process of another host.
type peerProcess struct {
	host    string
	started time.Time
	// lastSeen is the time of its last report; until the first one, the time
	// at which it started.
	lastSeen time.Time
	// taken is the number of tokens that it has taken since it started, by
	// organisation.
	taken map[string]float64
}

// PeerUsage is the usage report of another host's process.
type PeerUsage struct {
	// Incarnation identifies the process; it differs after a restart of Host.
	Host, Incarnation string
	// Age is the time since the process started.
	Age   time.Duration
	Usage map[string]Usage
}

// RecordPeerUsage charges the tokens that another host's process has used
// since its previous report. Joining means that the process of this limiter
// has just started: the first report of a process that is older than the window
// then replaces the assumed use by the use in the window that it contains; see adopt.
func (l *Limiter) RecordPeerUsage(now time.Time, r PeerUsage, joining bool) {
	p, known := l.peers[r.Incarnation]
	if !known {
		p = &peerProcess{host: r.Host, started: now.Add(-r.Age), lastSeen: now.Add(-r.Age), taken: make(map[string]float64)}
		l.peers[r.Incarnation] = p
	}
	gap := l.unreachableTime(now.Sub(p.lastSeen))
	p.lastSeen = now
	for name, u := range r.Usage {
		a, ok := l.accounts[name]
		if !ok {
			continue
		}
		l.advance(now, a)
		last, reported := p.taken[name]
		period := gap
		if !reported {
			period = l.unreachableTime(r.Age)
		}
		startedEarlier := joining && !reported && r.Age > now.Sub(l.started)
		switch {
		case startedEarlier && r.Age < l.length:
			l.chargeEarlier(now, a, r, u.Taken, period)
		case reported || !joining || r.Age < l.length:
			// All use of a process that started less than a window ago lies in
			// the window.
			l.chargeOver(now, a, r.Host, u.Taken-last, period)
			a.othersUse.Add(now, u.Taken-last)
			l.recordUse(now, name, r.Host, u.Taken-last)
		case !l.firstStart && !a.adoptedUse:
			l.window(a, priorUse).fill(now, u.Used)
		}
		p.taken[name] = u.Taken
		if joining && r.Age >= l.length && !l.firstStart {
			l.adopt(now, a, u)
		}
	}
}

// longGap is the number of report intervals without a report after which a
// host is assumed to have been unreachable. Its use is then spread over the gap
// instead of being charged at the current time.
const longGap = 3

// unreachableTime returns sinceLast, the time since the last report of a
// process, or zero if that is short enough to be an ordinary report interval.
func (l *Limiter) unreachableTime(sinceLast time.Duration) time.Duration {
	if sinceLast < longGap*max(l.reportInterval, l.length/slots) {
		return 0
	}
	return sinceLast
}

// chargeOver charges tokens that a host used evenly over the period up to now.
// A period of zero charges all of them at the current time.
func (l *Limiter) chargeOver(now time.Time, a *account, host string, tokens float64, period time.Duration) {
	if tokens <= 0 || period == 0 {
		l.charge(now, a, host, tokens)
		return
	}
	l.window(a, host).spread(now, period, tokens)
	l.lowerLevel(a, tokens*min(1, l.length.Seconds()/slots/period.Seconds()))
}

// chargeEarlier charges the tokens that a process took that started before this one,
// but less than a window ago, at its first report. What the report of an older process
// already contains is not charged again.
func (l *Limiter) chargeEarlier(now time.Time, a *account, r PeerUsage, tokens float64, period time.Duration) {
	contained := min(max(0, tokens), a.covered)
	a.covered -= contained
	l.chargeOver(now, a, r.Host, tokens-contained, period)
	if a.adoptedUse {
		// The shares of the hosts are compared by their use since this process started.
		return
	}
	a.earlier += tokens
	a.othersUse.Add(now, tokens)
	l.recordUse(now, a.name, r.Host, tokens)
}

// adopt takes over an account's use in the window and its level from a report of a process
// that is older than the window. The level bounds how late in the window that use may lie,
// so that this host may use as much at once as the hosts that ran all along. It is not
// adopted while the limit is divided for this host, which then has a part of it only.
func (l *Limiter) adopt(now time.Time, a *account, u Usage) {
	if u.Level == nil {
		return
	}
	if !a.adoptedUse {
		a.adoptedUse = true
		contained := min(a.earlier, u.Recent)
		l.window(a, priorUse).fill(now, max(0, u.Used-contained))
		a.covered = u.Recent - contained
		a.othersUse = decay.NewSum(othersWindow)
		for host := range l.recentUse[a.name] {
			if host != l.self {
				delete(l.recentUse[a.name], host)
			}
		}
	}
	if l.limitFraction(a.name) != 1 {
		return
	}
	// A host that was cut off for a moment reports too little use and too high a level, so
	// that the reports of the others correct it.
	if missing := u.Used - l.used(now, a); missing > 0 {
		l.window(a, priorUse).spread(now, l.length, missing)
	}
	if a.adoptedLevel {
		a.level = min(a.level, *u.Level)
		return
	}
	a.adoptedLevel = true
	// The reporting process may not know of this one's use.
	a.level = min(*u.Level-max(0, a.taken), l.maxLevel(a.policy))
}

// youngProcesses returns the other hosts' reachable processes that started less than a
// window ago. It returns false if no host is reachable or one has not reported for a while, as after
// a suspension of this host, whose own account is then out of date.
func (l *Limiter) youngProcesses(now time.Time) (young []*peerProcess, informed bool) {
	newest := make(map[string]*peerProcess, len(l.reachable))
	for _, p := range l.peers {
		if q := newest[p.host]; q == nil || p.started.After(q.started) {
			newest[p.host] = p
		}
	}
	for _, host := range l.reachable {
		if host == l.self {
			continue
		}
		p := newest[host]
		if p == nil || l.unreachableTime(now.Sub(p.lastSeen)) > 0 {
			return nil, false
		}
		if now.Sub(p.started) < l.length {
			young = append(young, p)
		}
	}
	return young, len(l.reachable) > 1
}
