package ratelimit

import (
	"math"
	"time"
)

const (
	centralInterval = 2 * time.Second
	centralLease    = 10 * time.Second
)

// central is the baseline scheme: a central allocator divides each
// organisation's rate by the hosts' demand every two seconds. Each share is
// valid for the duration of a lease.
type central struct {
	sim    *sim
	shares map[*simHost]map[string]*centralShare
}

type centralShare struct {
	bucket   Bucket
	demand   meter
	fraction float64
	until    time.Time
}

func newCentral(s *sim) *central {
	c := &central{sim: s, shares: make(map[*simHost]map[string]*centralShare)}
	s.after(centralInterval, c.tick)
	return c
}

// serve grants or refuses the job from the share of its host.
func (c *central) serve(j *job) {
	now := c.sim.now
	share := c.share(j.host, j.organisation)
	share.demand.add(now, j.tokens)
	c.expire(share)
	grant, ok := share.bucket.Take(now, j.tokens)
	if !ok {
		j.refuse()
		return
	}
	j.run(grant.Consume, func() { share.demand.add(c.sim.now, -grant.Settle(c.sim.now)) })
}

func (c *central) share(h *simHost, organisation string) *centralShare {
	if c.shares[h] == nil {
		c.shares[h] = make(map[string]*centralShare)
	}
	if c.shares[h][organisation] == nil {
		c.shares[h][organisation] = &centralShare{}
	}
	return c.shares[h][organisation]
}

// expire removes the share if its lease has expired.
func (c *central) expire(share *centralShare) {
	if !c.sim.now.Before(share.until) {
		share.bucket.SetLimits(share.until, 0, 0)
		share.fraction = 0
	}
}

func (c *central) tick() {
	s := c.sim
	s.after(centralInterval, c.tick)
	if s.down {
		return
	}
	s.writes++
	for organisation, policy := range s.policies {
		c.divide(organisation, policy)
	}
}

// divide allocates the part of the rate that unreachable hosts do not hold to the
// reachable ones: a tenth in equal shares and the rest in proportion to demand.
// Unreachable hosts keep their shares until their leases expire.
func (c *central) divide(organisation string, policy Policy) {
	s := c.sim
	held, total := 0.0, 1.0
	var reachable []*simHost
	for h, shares := range c.shares {
		if share := shares[organisation]; share != nil && (!h.up || s.cutPlatform[h.self.Zone] || s.now.Before(h.pausedUntil)) {
			c.expire(share)
			held += share.fraction
		}
	}
	for _, h := range s.hosts {
		if h.up && !s.cutPlatform[h.self.Zone] && !s.now.Before(h.pausedUntil) {
			reachable = append(reachable, h)
			s.reads++
			total += c.share(h, organisation).demand.rate(s.now)
		}
	}
	for _, h := range reachable {
		share := c.share(h, organisation)
		share.until = s.now.Add(centralLease)
		share.fraction = max(0, 1-held) * (0.1/float64(len(reachable)) + 0.9*(share.demand.rate(s.now)+1/float64(len(reachable)))/total)
		share.bucket.SetLimits(s.now, share.fraction*policy.Rate, share.fraction*policy.Burst)
	}
}

// demandWindow is the time constant of the demand estimate.
const demandWindow = 5 * time.Second

// meter estimates a rate by an exponentially decaying average.
type meter struct {
	value   float64
	updated time.Time
}

func (m *meter) rate(now time.Time) float64 {
	return m.value * math.Exp(-now.Sub(m.updated).Seconds()/demandWindow.Seconds())
}

func (m *meter) add(now time.Time, tokens float64) {
	m.value = max(0, m.rate(now)+tokens/demandWindow.Seconds())
	m.updated = now
}
