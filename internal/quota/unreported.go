package quota

import "time"

// ownGrant is the tokens that this host granted at a time.
type ownGrant struct {
	at     time.Time
	tokens float64
}

// unreportedUse returns the expected use of the other hosts since their last
// reports, which are half a report interval old on average. It is the larger
// of two estimates: the other hosts' recent rate continues, or their callers
// take as much as this host's own callers do now. With the first alone, all
// hosts would grant the same free tokens at the same moment.
func (l *Limiter) unreportedUse(now time.Time, a *account) float64 {
	extrapolated := a.othersUse.PerSecond(now) * l.reportInterval.Seconds() / 2
	return max(extrapolated, l.estimateFromOwn(now, a))
}

// estimateFromOwn returns the use of the other hosts since their last reports
// if their callers behave like those of this host.
func (l *Limiter) estimateFromOwn(now time.Time, a *account) float64 {
	for len(a.ownGrants) > 0 && now.Sub(a.ownGrants[0].at) >= l.reportInterval {
		a.ownGrants = a.ownGrants[1:]
	}
	sum := 0.0
	for _, g := range a.ownGrants {
		// Weighted by the fraction of the hosts that have not reported since.
		sum += g.tokens * (1 - now.Sub(g.at).Seconds()/l.reportInterval.Seconds())
	}
	if sum == 0 {
		return 0
	}
	share := l.ownShare(now, a.name)
	return sum * (1 - share) / share
}

// ownShare returns this host's share of the recent use of the reachable hosts.
func (l *Limiter) ownShare(now time.Time, organisation string) float64 {
	total := 0.0
	byHost := l.recentUse[organisation]
	for _, host := range l.reachable {
		if u := byHost[host]; u != nil {
			total += u.Value(now)
		}
	}
	even := 1 / float64(len(l.reachable))
	own := byHost[l.self]
	if own == nil || total <= 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*own.Value(now)/total
}
