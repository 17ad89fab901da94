package platformserver

import (
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

type hostsAnswer struct {
	Hosts []objectstore.ListedHost `json:"hosts"`
}

type hostListVersion struct {
	at    time.Time
	hosts []objectstore.ListedHost
}

// hostList shows each change only after its lag.
type hostList struct {
	lag time.Duration

	mu       sync.Mutex
	versions []hostListVersion
}

func (l *hostList) set(now time.Time, hosts []objectstore.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, hostListVersion{at: now, hosts: hosts})
}

func (l *hostList) visible(now time.Time) []objectstore.ListedHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := []objectstore.ListedHost{}
	for _, version := range l.versions {
		if now.Sub(version.at) >= l.lag {
			hosts = version.hosts
		}
	}
	return hosts
}
