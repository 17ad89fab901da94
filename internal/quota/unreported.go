package quota

import "time"

// ownGrant is what this host granted at a time.
type ownGrant struct {
	at     time.Time
	tokens float64
}

// unreported returns what the other hosts are expected to have used since
// their last reports, which are half a lag old in the mean: what they used
// lately goes on, or has turned into as much as this host's own callers take
// now. Without the latter all hosts would grant at the same moment what is
// free once.
func (l *Limiter) unreported(now time.Time, a *account) float64 {
	goesOn := a.others.PerSecond(now) * l.lag.Seconds() / 2
	return max(goesOn, l.likeOwn(now, a))
}

// likeOwn returns what the other hosts have used since their last reports if
// their callers do as those of this host.
func (l *Limiter) likeOwn(now time.Time, a *account) float64 {
	for len(a.own) > 0 && now.Sub(a.own[0].at) >= l.lag {
		a.own = a.own[1:]
	}
	sum := 0.0
	for _, g := range a.own {
		// The part of the hosts that have not reported since.
		sum += g.tokens * (1 - now.Sub(g.at).Seconds()/l.lag.Seconds())
	}
	if sum == 0 {
		return 0
	}
	share := l.share(now, a.name)
	return sum * (1 - share) / share
}

// share returns this host's share of the use by the hosts in reach.
func (l *Limiter) share(now time.Time, organisation string) float64 {
	total := 0.0
	byHost := l.uses[organisation]
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
