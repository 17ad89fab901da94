package platformserver

import (
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/internal/platform"
)

type hostsAnswer struct {
	Hosts []platform.ListedHost `json:"hosts"`
}

type hostListVersion struct {
	at    time.Time
	hosts []platform.ListedHost
}

// hostList shows each change only after its lag.
type hostList struct {
	lag time.Duration

	mu       sync.Mutex
	versions []hostListVersion
}

func (l *hostList) set(now time.Time, hosts []platform.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, hostListVersion{at: now, hosts: hosts})
}

func (l *hostList) visible(now time.Time) []platform.ListedHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := []platform.ListedHost{}
	for _, version := range l.versions {
		if now.Sub(version.at) >= l.lag {
			hosts = version.hosts
		}
	}
	return hosts
}
