package quota

import "time"

// process is what another process has reported.
type process struct {
	// heard is when it last did; before that, when it started.
	heard time.Time
	// taken is what it has taken since it started, by organisation.
	taken map[string]float64
}

// PeerUsage is what another host's process has used.
type PeerUsage struct {
	Host, Process string
	// Age is how long ago the process started.
	Age   time.Duration
	Usage map[string]Usage
}

// Heard charges what another host's process has used since its last report.
// Joining tells that this process has just started: what an older process saw
// used in the window takes the place of what was assumed.
func (l *Limiter) Heard(now time.Time, r PeerUsage, joining bool) {
	p, known := l.processes[r.Process]
	if !known {
		p = &process{heard: now.Add(-r.Age), taken: make(map[string]float64)}
		l.processes[r.Process] = p
	}
	over := l.outOfReach(now.Sub(p.heard))
	p.heard = now
	for name, u := range r.Usage {
		a, ok := l.accounts[name]
		if !ok {
			continue
		}
		l.advance(now, a)
		last, reported := p.taken[name]
		since := over
		if !reported {
			since = l.outOfReach(r.Age)
		}
		switch {
		case reported || !joining || r.Age < l.length:
			// All that a young process has used lies in the window.
			l.chargeOver(now, a, r.Host, u.Taken-last, since)
			a.others.Add(now, u.Taken-last)
			l.remember(now, name, r.Host, u.Taken-last)
		case !l.first:
			l.window(a, earlier).fill(now, u.Used)
		}
		p.taken[name] = u.Taken
	}
}

// longGap is how many lags without a report mean that the host was out of
// reach. What it used then is not taken for use of this moment.
const longGap = 3

// outOfReach returns the time since a process was last heard, or zero where
// that is the usual one between two reports.
func (l *Limiter) outOfReach(since time.Duration) time.Duration {
	if since < longGap*max(l.lag, l.length/slots) {
		return 0
	}
	return since
}

// chargeOver charges what a host used over a time.
func (l *Limiter) chargeOver(now time.Time, a *account, host string, tokens float64, over time.Duration) {
	if tokens <= 0 || over == 0 {
		l.charge(now, a, host, tokens)
		return
	}
	l.window(a, host).spread(now, over, tokens)
	l.lower(a, tokens*min(1, l.length.Seconds()/slots/over.Seconds()))
}
