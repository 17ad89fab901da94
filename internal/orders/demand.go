package orders

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/decay"
)

const (
	// demandWindow is the time constant of the demand average: short against the
	// seconds in which demand shifts, long against the gaps between requests.
	demandWindow = 2500 * time.Millisecond
	// minReportedDemand is the demand, in tokens per second, below which an item
	// is left out of reports to peers.
	minReportedDemand = 1
	// demandTTL is the age after which a peer's report is ignored.
	demandTTL = 4 * time.Second
)

// itemKey identifies a model of a service or, where adapter is set, an adapter
// of that model.
type itemKey struct{ service, model, adapter string }

// placement is a request to load an item.
type placement struct {
	itemKey
	// software is the only software version whose engines may load an adapter; empty
	// means any.
	software string
}

// demand tracks the requested tokens per second of each model and adapter,
// summed over all hosts. It is not safe for concurrent use.
type demand struct {
	// local is the demand of requests to this host.
	local map[itemKey]*decay.Sum
	// peers holds the last report of each other host.
	peers map[string]peerDemand
}

type peerDemand struct {
	at    time.Time
	rates map[itemKey]float64
}

func newDemand() *demand {
	return &demand{local: make(map[itemKey]*decay.Sum), peers: make(map[string]peerDemand)}
}

// add records tokens that a request to this host needs.
func (d *demand) add(now time.Time, item itemKey, tokens float64) {
	r, ok := d.local[item]
	if !ok {
		r = decay.NewSum(demandWindow)
		d.local[item] = r
	}
	r.Add(now, tokens)
}

// setPeer replaces the demand that a peer reported before.
func (d *demand) setPeer(now time.Time, host string, rates map[itemKey]float64) {
	d.peers[host] = peerDemand{at: now, rates: rates}
}

// localRates returns the demand at this host, for reports to peers. It drops
// items whose demand has decayed below minReportedDemand.
func (d *demand) localRates(now time.Time) map[itemKey]float64 {
	rates := make(map[itemKey]float64)
	for item, r := range d.local {
		if perSecond := r.PerSecond(now); perSecond >= minReportedDemand {
			rates[item] = perSecond
		} else {
			delete(d.local, item)
		}
	}
	return rates
}

// total returns an item's demand over all hosts.
func (d *demand) total(now time.Time, item itemKey) float64 {
	sum := 0.0
	if r, ok := d.local[item]; ok {
		sum = r.PerSecond(now)
	}
	for host, peer := range d.peers {
		if now.Sub(peer.at) > demandTTL {
			delete(d.peers, host)
			continue
		}
		sum += peer.rates[item]
	}
	return sum
}
