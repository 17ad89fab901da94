package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryslip.example/bilberryslip/internal/traffic"
)

// Work is what a choice of endpoint depends on.
type Work struct {
	Service string
	// Model and Adapter are what an engine must hold. Empty for plain services.
	Model, Adapter string
	// Parts are the pieces of the prompt, PromptTokens their length together.
	Parts        []traffic.PromptSegment
	PromptTokens int
	// Tried lists the endpoints that the request was sent to before.
	Tried []string
}

// Reason tells why no endpoint was chosen.
type Reason string

// The reasons for which no endpoint is chosen.
const (
	ReasonNone Reason = ""
	// ReasonNoEndpoint means that the service has no endpoint that takes work.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonModelNotHeld means that no such endpoint holds the model.
	ReasonModelNotHeld Reason = "model_not_held"
	// ReasonAdapterNotHeld means that the model is held without the adapter.
	ReasonAdapterNotHeld Reason = "adapter_not_held"
	// ReasonFull means that all of them are at their limit.
	ReasonFull Reason = "endpoints_full"
)

// The weights of a choice, in prompt tokens that an engine would read in the
// time that a request loses.
const (
	// tokensPerRunning is by how much a running request delays another.
	tokensPerRunning = 250
	// tokensPerWaiting is by how much a waiting request delays another.
	tokensPerWaiting = 1500
	// tokensPerZone is what the way to another zone and its price count.
	tokensPerZone = 350
	// tokensPerFailure is what a recent failure counts.
	tokensPerFailure = 6000
	// agreedBonus is the part of a shared prompt that the endpoint on which
	// all hosts agree is taken to hold, although this host sent none there.
	agreedBonus = 0.5
)

// reportTrust is the time constant with which a load report loses its weight.
const reportTrust = 700 * time.Millisecond

// candidate is an endpoint as a choice sees it.
type candidate struct {
	member *member
	now    time.Time
	// others is what the other hosts reported to have there.
	others hostWork
}

// othersRunning estimates what other hosts have running there, by their
// reports and by what the endpoint told last, whichever is more.
func (c *candidate) othersRunning() float64 {
	m := c.member
	told := float64(m.load.Running+m.load.Waiting) - float64(m.runningAtLoad)
	return max(float64(c.others.running), told*c.trust())
}

func (c *candidate) waiting() float64 { return float64(c.member.load.Waiting) * c.trust() }

func (c *candidate) trust() float64 {
	return math.Exp(-c.now.Sub(c.member.loadAt).Seconds() / reportTrust.Seconds())
}

// cost returns the delay that the work is expected to see, in prompt tokens.
func (c *candidate) cost(work Work, zone string, agreed bool) float64 {
	m := c.member
	cost := float64(m.unreadTokens + c.others.unreadTokens)
	cost += tokensPerRunning * (float64(m.running) + c.othersRunning())
	cost += tokensPerWaiting * c.waiting()
	cost += float64(unread(work, m, agreed))
	cost += tokensPerFailure * (m.penalty + c.others.told())
	if m.Zone != zone {
		cost += tokensPerZone
	}
	return cost
}

// unread returns how many tokens of the prompt the endpoint has to read.
func unread(work Work, m *member, agreed bool) int {
	kept := 0
	for _, part := range work.Parts {
		if !m.parts.Contains(partKey(work, part)) {
			break
		}
		kept += part.Tokens
	}
	if agreed && kept == 0 {
		kept = int(agreedBonus * float64(sharedTokens(work)))
	}
	return max(0, work.PromptTokens-kept)
}

// sharedTokens returns the length of the parts that other requests share.
func sharedTokens(work Work) int {
	total := 0
	for _, part := range work.Parts[:max(0, len(work.Parts)-1)] {
		total += part.Tokens
	}
	return total
}

// partKey names a part as kept for a model and adapter.
func partKey(work Work, part traffic.PromptSegment) string {
	return work.Model + "/" + work.Adapter + "/" + part.ID
}

// agreedEndpoint returns the endpoint with the highest rendezvous hash for
// the last shared part, which is the same on all hosts of a zone; nil without
// one. It is in the zone if any is, so that not all hosts send to it at once.
func agreedEndpoint(candidates []candidate, work Work, zone string) *member {
	if len(work.Parts) < 2 {
		return nil
	}
	subject := partKey(work, work.Parts[len(work.Parts)-2])
	var best *member
	var highest uint64
	for _, c := range candidates {
		near, hash := c.member.Zone == zone, xxhash.Sum64String(subject+"@"+c.member.ID)
		if best == nil || near && best.Zone != zone || near == (best.Zone == zone) && hash > highest {
			best, highest = c.member, hash
		}
	}
	return best
}

// cheapest returns the candidate at which the work is delayed least.
func cheapest(candidates []candidate, work Work, zone string) *member {
	agreed := agreedEndpoint(candidates, work, zone)
	var best *member
	lowest := math.Inf(1)
	for i := range candidates {
		m := candidates[i].member
		if cost := candidates[i].cost(work, zone, m == agreed); cost < lowest {
			best, lowest = m, cost
		}
	}
	return best
}
