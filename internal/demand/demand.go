// Package demand exchanges the demand for each model between hosts, as part of
// the gossip messages, so that placement owners can plan. Demand is the requested
// tokens per second and the number of queued requests.
package demand

import (
	"sort"
	"sync"
	"time"

	peerv1 "bilberryslip.example/bilberryslip/api/peer/v1"
)

const (
	// maxPerMessage bounds the number of models in one message.
	maxPerMessage = 64
	// reportTTL is the age after which a host's report is dropped.
	reportTTL = 15 * time.Second
)

// Config configures a Tracker.
type Config struct {
	// Zone is this host's availability zone.
	Zone string
	// Local returns the demand at this host, by model.
	Local func() []*peerv1.Demand
	// OwnerURL returns the peer URL of the zone's placement owner, or "" if the
	// owner is unknown or is this host. Nil means that it is never known.
	OwnerURL func() string
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
}

// Total is the demand for a model, summed over hosts.
type Total struct {
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// Queued is the number of queued requests.
	Queued int32 `json:"queued"`
}

// report is the last report of one host and when it was received.
type report struct {
	zone   string
	at     time.Time
	demand []*peerv1.Demand
}

// Tracker collects the demand that hosts report and sends this host's own. It
// implements membership.Extension and is safe for concurrent use.
type Tracker struct {
	config  Config
	mu      sync.Mutex
	reports map[string]report
}

// New returns a Tracker without reports of other hosts.
func New(config Config) *Tracker {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Tracker{config: config, reports: make(map[string]report)}
}

// FillRequest implements membership.Extension.
func (t *Tracker) FillRequest(request *peerv1.GossipRequest) {
	request.Demand = t.topModels()
}

// HandleRequest implements membership.Extension.
func (t *Tracker) HandleRequest(request *peerv1.GossipRequest, response *peerv1.GossipResponse) {
	t.record(request.GetSelf(), request.GetDemand())
	response.Demand = t.topModels()
}

// HandleResponse implements membership.Extension.
func (t *Tracker) HandleResponse(response *peerv1.GossipResponse, _ time.Time) {
	t.record(response.GetSelf(), response.GetDemand())
}

// Targets implements membership.Extension. It returns the zone's placement owner,
// so that every host of the zone gossips with the owner in each round.
func (t *Tracker) Targets() []string {
	if t.config.OwnerURL == nil {
		return nil
	}
	if url := t.config.OwnerURL(); url != "" {
		return []string{url}
	}
	return nil
}

// ByModel returns the demand by model, summed over the hosts of this availability
// zone including this one.
func (t *Tracker) ByModel() map[string]Total {
	totals := make(map[string]Total)
	add(totals, t.config.Local())
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	for host, r := range t.reports {
		if now.Sub(r.at) > reportTTL {
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

// record replaces the last report of a peer.
func (t *Tracker) record(from *peerv1.HostDigest, demand []*peerv1.Demand) {
	if from.GetHost() == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[from.GetHost()] = report{zone: from.GetZone(), at: t.config.Now(), demand: demand}
}

// topModels returns the local demand of the models with the most tokens per
// second, at most maxPerMessage of them.
func (t *Tracker) topModels() []*peerv1.Demand {
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
