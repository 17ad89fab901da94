package orders

import (
	"math"
	"time"
)

// demandWindow is the time constant of measured demand: short against the
// seconds in which demand moves, long against the gaps between requests.
const demandWindow = 2500 * time.Millisecond

// subject is what demand is for. The adapter is empty for a model.
type subject struct{ service, model, adapter string }

// rate is demand in tokens per second.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time, tokens float64) {
	r.perSecond = r.now(now) + tokens/demandWindow.Seconds()
	r.at = now
}

func (r *rate) now(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/demandWindow.Seconds())
}

// demand is what is asked for, over all hosts. It is not safe for concurrent
// use.
type demand struct {
	rates map[subject]*rate
	// seen is what each process has reported since its start.
	seen map[string]map[subject]float64
}

func newDemand() *demand {
	return &demand{rates: make(map[subject]*rate), seen: make(map[string]map[subject]float64)}
}

// report takes the totals since a process's start. The first report of a
// process only sets the base.
func (d *demand) report(now time.Time, process string, totals map[subject]float64) {
	before, known := d.seen[process]
	if !known {
		d.seen[process] = totals
		return
	}
	for s, total := range totals {
		if more := total - before[s]; more > 0 {
			d.add(now, s, more)
		}
		before[s] = max(before[s], total)
	}
}

func (d *demand) add(now time.Time, s subject, tokens float64) {
	r, ok := d.rates[s]
	if !ok {
		r = &rate{at: now}
		d.rates[s] = r
	}
	r.add(now, tokens)
}

func (d *demand) of(now time.Time, s subject) float64 {
	if r, ok := d.rates[s]; ok {
		return r.now(now)
	}
	return 0
}
