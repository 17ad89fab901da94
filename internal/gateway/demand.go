package gateway

import (
	"sort"
	"sync"
	"time"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
	"bilberryslip.example/bilberryslip/internal/decay"
)

const (
	// demandWindow is the time constant of the exponential decay of the
	// reported demand.
	demandWindow = 10 * time.Second
	// negligibleDemand is the rate in tokens per second below which an entry
	// without queued requests is removed.
	negligibleDemand = 0.01
)

// demand measures the recent tokens per second requested of each model and
// adapter. It is safe for concurrent use.
type demand struct {
	mu    sync.Mutex
	rates map[string]*decay.Sum
}

func newDemand() *demand { return &demand{rates: make(map[string]*decay.Sum)} }

func (d *demand) add(now time.Time, name string, tokens int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rate, ok := d.rates[name]
	if !ok {
		rate = decay.NewSum(demandWindow)
		d.rates[name] = rate
	}
	rate.Add(now, float64(tokens))
}

func (d *demand) list(now time.Time, waiting map[string]int) []*peerv1.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*peerv1.Demand
	for name, rate := range d.rates {
		perSecond := rate.PerSecond(now)
		queued := waiting[name]
		if perSecond < negligibleDemand && queued == 0 {
			delete(d.rates, name)
			continue
		}
		list = append(list, &peerv1.Demand{Model: name, TokensPerSecond: perSecond, Queued: int32(queued)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetModel() < list[j].GetModel() })
	return list
}

// Demand returns the recent demand on this host for each model and adapter, by
// the names that callers use. It includes requests that were rejected because
// of overload.
func (g *Gateway) Demand() []*peerv1.Demand {
	return g.demand.list(g.config.Clock(), g.scheduler.waitingByResource())
}
