package orders

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of measured demand: short against the
	// seconds in which demand moves, long against the gaps between requests.
	demandWindow = 2500 * time.Millisecond
	// leastDemand is the demand, in tokens per second, that is worth telling.
	leastDemand = 1
	// demandFor is how long another host's report counts.
	demandFor = 4 * time.Second
)

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
	// own is what is asked of this host.
	own map[subject]*rate
	// others are the other hosts' reports.
	others map[string]hostDemand
}

type hostDemand struct {
	at    time.Time
	rates map[subject]float64
}

func newDemand() *demand {
	return &demand{own: make(map[subject]*rate), others: make(map[string]hostDemand)}
}

// add notes work that is asked of this host.
func (d *demand) add(now time.Time, s subject, tokens float64) {
	r, ok := d.own[s]
	if !ok {
		r = &rate{at: now}
		d.own[s] = r
	}
	r.add(now, tokens)
}

// report takes what is asked of another host.
func (d *demand) report(now time.Time, host string, rates map[subject]float64) {
	d.others[host] = hostDemand{at: now, rates: rates}
}

// told returns what is asked of this host, for the others. What has faded away
// is forgotten.
func (d *demand) told(now time.Time) map[subject]float64 {
	rates := make(map[subject]float64)
	for s, r := range d.own {
		if perSecond := r.now(now); perSecond >= leastDemand {
			rates[s] = perSecond
		} else {
			delete(d.own, s)
		}
	}
	return rates
}

// of returns the demand over all hosts.
func (d *demand) of(now time.Time, s subject) float64 {
	sum := 0.0
	if r, ok := d.own[s]; ok {
		sum = r.now(now)
	}
	for host, other := range d.others {
		if now.Sub(other.at) > demandFor {
			delete(d.others, host)
			continue
		}
		sum += other.rates[s]
	}
	return sum
}
