// Package demand shares among hosts how much each model is asked for, on the
// back of gossip, so that placement owners can plan.
package demand

import (
	"sort"
	"sync"
	"time"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
)

const (
	// maxPerMessage bounds the models named in one message.
	maxPerMessage = 64
	// expiry is the age after which a host's report no longer counts.
	expiry = 15 * time.Second
)

// Config sets up a Tracker.
type Config struct {
	// Zone is this host's availability zone.
	Zone string
	// Local returns this host's own demand.
	Local func() []*peerv1.Demand
	// OwnerURL returns the peer URL of the zone's placement owner, or "" if
	// it is unknown or this host. Nil means never known.
	OwnerURL func() string
	// Now reads the clock. Nil means time.Now.
	Now func() time.Time
}

// Total is the demand for a model, summed over hosts.
type Total struct {
	TokensPerSecond float64 `json:"tokensPerSecond"`
	Queued          int32   `json:"queued"`
}

// report is what one host last told.
type report struct {
	zone   string
	at     time.Time
	demand []*peerv1.Demand
}

// Tracker gathers the demand that hosts report. It is a membership extension
// and safe for concurrent use.
type Tracker struct {
	config  Config
	mu      sync.Mutex
	reports map[string]report
}

// New returns a tracker that knows of no other host.
func New(config Config) *Tracker {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Tracker{config: config, reports: make(map[string]report)}
}

// FillRequest implements membership.Extension.
func (t *Tracker) FillRequest(request *peerv1.GossipRequest) {
	request.Demand = t.largest()
}

// HandleRequest implements membership.Extension.
func (t *Tracker) HandleRequest(request *peerv1.GossipRequest, response *peerv1.GossipResponse) {
	t.learn(request.GetSelf(), request.GetDemand())
	response.Demand = t.largest()
}

// HandleResponse implements membership.Extension.
func (t *Tracker) HandleResponse(response *peerv1.GossipResponse, _ time.Time) {
	t.learn(response.GetSelf(), response.GetDemand())
}

// Targets implements membership.Extension: the zone's owner hears from every
// host of its zone in each round.
func (t *Tracker) Targets() []string {
	if t.config.OwnerURL == nil {
		return nil
	}
	if url := t.config.OwnerURL(); url != "" {
		return []string{url}
	}
	return nil
}

// ByModel returns the demand of the hosts of this availability zone, the
// local one included.
func (t *Tracker) ByModel() map[string]Total {
	totals := make(map[string]Total)
	add(totals, t.config.Local())
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	for host, r := range t.reports {
		if now.Sub(r.at) > expiry {
			delete(t.reports, host)
			continue
		}
		if r.zone == t.config.Zone {
			add(totals, r.demand)
		}
	}
	return totals
}

// DumpState returns the demand by model for the state dump.
func (t *Tracker) DumpState() any { return t.ByModel() }

func (t *Tracker) learn(from *peerv1.HostDigest, demand []*peerv1.Demand) {
	if from.GetHost() == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[from.GetHost()] = report{zone: from.GetZone(), at: t.config.Now(), demand: demand}
}

// largest returns the models with the most demand, at most maxPerMessage.
func (t *Tracker) largest() []*peerv1.Demand {
	local := t.config.Local()
	sort.Slice(local, func(i, j int) bool { return local[i].TokensPerSecond > local[j].TokensPerSecond })
	return local[:min(len(local), maxPerMessage)]
}

func add(totals map[string]Total, demand []*peerv1.Demand) {
	for _, d := range demand {
		total := totals[d.GetModel()]
		total.TokensPerSecond += d.GetTokensPerSecond()
		total.Queued += d.GetQueued()
		totals[d.GetModel()] = total
	}
}
