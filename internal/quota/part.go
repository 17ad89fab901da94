package quota

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/decay"
)

const (
	// useWindow is the time constant with which the use of each host is
	// remembered; it is long against the bursts of one host.
	useWindow = 10 * time.Second
	// evenShare is the part of the limit that is divided evenly, so that a
	// host without recent use is not left with nothing.
	evenShare = 0.25
	// missedWithin is how long a host may have been silent before it is missed.
	missedWithin = 1500 * time.Millisecond
)

// division is how limits are divided among the hosts while some are out of
// reach: by each host's use before the first fell silent, of which all of them
// had heard alike.
type division struct {
	at time.Time
	// shares is each host's part, by organisation and host.
	shares map[string]map[string]float64
}

// divide returns the division by the use so far of this host and all others.
func divide(now time.Time, hosts []string, uses map[string]map[string]*decay.Sum) *division {
	d := &division{at: now, shares: make(map[string]map[string]float64)}
	for organisation, byHost := range uses {
		total := 0.0
		for _, host := range hosts {
			if u := byHost[host]; u != nil {
				total += u.Value(now)
			}
		}
		if total <= 0 {
			continue
		}
		shares := make(map[string]float64, len(hosts))
		for _, host := range hosts {
			shares[host] = evenShare / float64(len(hosts))
			if u := byHost[host]; u != nil {
				shares[host] += (1 - evenShare) * u.Value(now) / total
			}
		}
		d.shares[organisation] = shares
	}
	return d
}

// part returns the sum of the shares of the hosts in reach. Organisations
// without use, and hosts that came later, are divided evenly.
func (d *division) part(organisation string, reachable []string, even float64) float64 {
	shares, ok := d.shares[organisation]
	if !ok {
		return even
	}
	sum := 0.0
	for _, host := range reachable {
		sum += shares[host]
	}
	return sum
}
