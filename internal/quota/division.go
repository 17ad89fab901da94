package quota

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/decay"
)

const (
	// useWindow is the time constant of the recent use of each host. It is
	// long compared with the bursts of one host.
	useWindow = 10 * time.Second
	// evenShare is the part of the limit that is divided evenly, so that a
	// host without recent use still gets some of it.
	evenShare = 0.25
	// detectionDelay bounds the time from the last report of a host until the
	// other hosts list it as unreachable.
	detectionDelay = 1500 * time.Millisecond
)

// division divides the limits among the hosts while some are unreachable. It
// is based on each host's use before the first one became unreachable, when
// all hosts had received the same reports, so that all of them divide alike.
type division struct {
	at time.Time
	// shares is each host's fraction of the limit, by organisation and host.
	shares map[string]map[string]float64
}

// divide returns the division for the recent use of the hosts, by organisation
// and host.
func divide(now time.Time, hosts []string, recentUse map[string]map[string]*decay.Sum) *division {
	d := &division{at: now, shares: make(map[string]map[string]float64)}
	for organisation, byHost := range recentUse {
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

// fraction returns the sum of the reachable hosts' shares of an organisation's
// limit, or the argument even for an organisation without recent use. Hosts that
// joined after the division have no share.
func (d *division) fraction(organisation string, reachable []string, even float64) float64 {
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
