package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryslip.example/bilberryslip/internal/traffic"
)

// Work describes a request as far as the choice of its endpoint depends on it.
type Work struct {
	Service string
	// Model and Adapter are what an engine must hold. They are empty for plain
	// services.
	Model, Adapter string
	// PromptSegments are the segments of the prompt in order, PromptTokens its
	// total length.
	PromptSegments []traffic.PromptSegment
	PromptTokens   int
	// Software is the only software version whose endpoints may be chosen; empty means
	// any.
	Software string
	// BeginAt are the software versions whose endpoints may be chosen if Software is empty;
	// nil means any.
	BeginAt []string
	// Tried lists the IDs of the endpoints of earlier attempts.
	Tried []string
}

// Reason is the reason why no endpoint was chosen.
type Reason string

// The reasons why no endpoint is chosen.
const (
	// ReasonNone means that an endpoint was chosen.
	ReasonNone Reason = ""
	// ReasonNoEndpoint means that no endpoint of the service accepts requests.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonOtherSoftware means that the endpoints that accept requests run other
	// software versions than the required one.
	ReasonOtherSoftware Reason = "other_software"
	// ReasonSoftwareUnsettled means that the endpoints that could serve the request run
	// software versions that are not in Work.BeginAt.
	ReasonSoftwareUnsettled Reason = "software_unsettled"
	// ReasonModelNotHeld means that no such endpoint holds the model.
	ReasonModelNotHeld Reason = "model_not_held"
	// ReasonAdapterNotHeld means that an endpoint holds the model, but none the
	// adapter.
	ReasonAdapterNotHeld Reason = "adapter_not_held"
	// ReasonBackoff means that all endpoints that could serve the request asked
	// this host for a backoff, or that its part of their limits is used. See
	// Registry.RemainingBackoff.
	ReasonBackoff Reason = "backoff"
	// ReasonZoneEvacuated means that all endpoints of the required software that accept
	// requests are in evacuated zones.
	ReasonZoneEvacuated Reason = "zone_emptied"
)

// The weights of the cost function. The unit is prompt tokens: a delay costs as
// many as an engine processes in that time.
const (
	// tokensPerRunning is the delay caused by each running request.
	tokensPerRunning = 250
	// tokensPerWaiting is the delay caused by each waiting request.
	tokensPerWaiting = 1500
	// tokensCrossZone is the latency and price of a request to another zone.
	tokensCrossZone = 350
	// tokensPerFailure is the cost of each recent failure.
	tokensPerFailure = 6000
	// assumedCached is the fraction of a shared prompt that the endpoint with the
	// highest rendezvous hash is assumed to have cached by requests of other
	// hosts, if this host sent none there.
	assumedCached = 0.5
	// tokensPlainWork and tokensEngineWork are the work of a request at a plain service and
	// an engine, besides its prompt, of which an endpoint's slowness makes more. They are
	// weighed against the other weights: of 2,500 to 12,000, these gave the lowest latency
	// in the simulation of speed_simulation_test.go.
	tokensPlainWork  = 6000
	tokensEngineWork = 12_000
)

// loadDecay is the time constant with which an endpoint's reported load loses
// its weight.
const loadDecay = 700 * time.Millisecond

// candidate is an endpoint that may be chosen for a request.
type candidate struct {
	member *member
	now    time.Time
	// peers is the work at the endpoint that peers have reported.
	peers endpointWork
}

// ratedCandidate is a candidate with its cost.
type ratedCandidate struct {
	member   *member
	expected float64
	// baseline is the lasting part of the slowness.
	baseline float64
	// cached is set if this host has sent the endpoint a part of the prompt.
	cached bool
}

// peersRunning estimates the requests of other hosts at the endpoint: the
// greater of the peers' own reports and the endpoint's last reported load without
// this host's requests, weighted by its age.
func (c *candidate) peersRunning() float64 {
	m := c.member
	reported := float64(m.load.Running+m.load.Waiting) - float64(m.runningAtLoad)
	return max(float64(c.peers.running), reported*c.loadWeight())
}

func (c *candidate) waiting() float64 { return float64(c.member.load.Waiting) * c.loadWeight() }

// loadWeight returns the weight of the endpoint's last reported load, which
// decays from 1 with its age.
func (c *candidate) loadWeight() float64 {
	return math.Exp(-c.now.Sub(c.member.loadAt).Seconds() / loadDecay.Seconds())
}

// cost returns the expected time at the endpoint, in prompt tokens at median speed and
// without the time that is the same at all endpoints of that speed. Uncached is the number
// of prompt tokens that are not cached there, slowness the expected processing time
// relative to the service's median.
func (c *candidate) cost(work *Work, zone string, uncached int, slowness float64) float64 {
	m := c.member
	cost := float64(m.unreadTokens + c.peers.unreadTokens)
	cost += tokensPerRunning * (float64(m.running) + c.peersRunning())
	cost += tokensPerWaiting * c.waiting()
	cost += float64(uncached)
	cost += (slowness - 1) * (cost + work.ownTokens())
	cost += tokensPerFailure * (m.penalty + c.peers.failures())
	if m.Zone != zone {
		cost += tokensCrossZone
	}
	return cost
}

// uncachedTokens estimates how many tokens of the prompt the endpoint has to
// process, because they are not in its prefix cache. Preferred is set for the
// endpoint with the highest rendezvous hash.
func uncachedTokens(work Work, m *member, preferred bool) int {
	cached := 0
	for _, segment := range work.PromptSegments {
		if !m.segments.Contains(segmentKey(work, segment)) {
			break
		}
		cached += segment.Tokens
	}
	if preferred && cached == 0 {
		cached = int(assumedCached * float64(sharedTokens(work)))
	}
	return max(0, work.PromptTokens-cached)
}

// sharedTokens returns the length of the segments that other requests may share:
// all but the last.
func sharedTokens(work Work) int {
	total := 0
	for _, segment := range work.PromptSegments[:max(0, len(work.PromptSegments)-1)] {
		total += segment.Tokens
	}
	return total
}

// segmentKey returns the cache key of a prompt segment. Caches are separate for
// each model and adapter.
func segmentKey(work Work, segment traffic.PromptSegment) string {
	return work.Model + "/" + work.Adapter + "/" + segment.ID
}

// preferredEndpoint returns the endpoint with the highest rendezvous hash for
// the last shared segment, or nil if the prompt has no shared segment. All hosts
// of a zone choose the same one. An endpoint in the host's zone takes precedence,
// so that the hosts of different zones don't all send to one endpoint.
func preferredEndpoint(candidates []candidate, work Work, zone string) *member {
	if len(work.PromptSegments) < 2 {
		return nil
	}
	key := segmentKey(work, work.PromptSegments[len(work.PromptSegments)-2])
	var best *member
	var highest uint64
	for _, c := range candidates {
		local, hash := c.member.Zone == zone, xxhash.Sum64String(key+"@"+c.member.ID)
		if best == nil || local && best.Zone != zone || local == (best.Zone == zone) && hash > highest {
			best, highest = c.member, hash
		}
	}
	return best
}

// ownTokens returns the work of the request besides its prompt, in prompt tokens.
func (w *Work) ownTokens() float64 {
	if w.Model == "" {
		return tokensPlainWork
	}
	return tokensEngineWork
}

// cost returns the cost of a candidate that is not the preferred endpoint.
func (r *Registry) cost(c *candidate, work *Work) float64 {
	m := c.member
	slowness := r.speeds.estimator.Slowness(m.ID) * m.currentSlowdown(c.now)
	return c.cost(work, r.config.Zone, uncachedTokens(*work, m, false), slowness)
}

// cheapest returns the candidate with the lowest cost; among endpoints of different
// speeds, that of a sample.
func (r *Registry) cheapest(candidates []candidate, work Work) *member {
	preferred := preferredEndpoint(candidates, work, r.config.Zone)
	rated, uneven := r.sampler.rated[:0], false
	var best *member
	lowest := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		m := c.member
		baseline := r.speeds.estimator.Slowness(m.ID)
		slowness := baseline * m.currentSlowdown(c.now)
		uneven = uneven || baseline != 1 || m.load.ProcessingTimePercent > 0
		uncached := uncachedTokens(work, m, m == preferred)
		cost := c.cost(&work, r.config.Zone, uncached, slowness)
		if cost < lowest {
			best, lowest = m, cost
		}
		rated = append(rated, ratedCandidate{m, cost, baseline, m != preferred && uncached < work.PromptTokens})
	}
	r.sampler.rated = rated
	if uneven {
		return r.cheapestOfSample(preferred)
	}
	return best
}
