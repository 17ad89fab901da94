package quota

import "time"

// peerProcess is the last reported state of one process of another host.
type peerProcess struct {
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
// then replaces the assumed use by the use in the window that it contains.
func (l *Limiter) RecordPeerUsage(now time.Time, r PeerUsage, joining bool) {
	p, known := l.peers[r.Incarnation]
	if !known {
		p = &peerProcess{lastSeen: now.Add(-r.Age), taken: make(map[string]float64)}
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
		switch {
		case reported || !joining || r.Age < l.length:
			// All use of a process that started less than a window ago lies in
			// the window.
			l.chargeOver(now, a, r.Host, u.Taken-last, period)
			a.othersUse.Add(now, u.Taken-last)
			l.recordUse(now, name, r.Host, u.Taken-last)
		case !l.firstStart:
			l.window(a, priorUse).fill(now, u.Used)
		}
		p.taken[name] = u.Taken
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
