package orders

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/decay"
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

// demand is what is asked for, over all hosts. It is not safe for concurrent
// use.
type demand struct {
	// own is what is asked of this host.
	own map[subject]*decay.Sum
	// others are the other hosts' reports.
	others map[string]hostDemand
}

type hostDemand struct {
	at    time.Time
	rates map[subject]float64
}

func newDemand() *demand {
	return &demand{own: make(map[subject]*decay.Sum), others: make(map[string]hostDemand)}
}

// add notes work that is asked of this host.
func (d *demand) add(now time.Time, s subject, tokens float64) {
	r, ok := d.own[s]
	if !ok {
		r = decay.NewSum(demandWindow)
		d.own[s] = r
	}
	r.Add(now, tokens)
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
		if perSecond := r.PerSecond(now); perSecond >= leastDemand {
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
		sum = r.PerSecond(now)
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
