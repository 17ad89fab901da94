package platformserver

import (
	"sync"
	"time"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

type hostsResponse struct {
	Hosts []objectstore.ListedHost `json:"hosts"`
}

type hostListSnapshot struct {
	takenAt time.Time
	hosts   []objectstore.ListedHost
}

// hostList is the list of hosts. Readers see each change after the lag.
type hostList struct {
	lag time.Duration

	mu        sync.Mutex
	snapshots []hostListSnapshot
}

func (l *hostList) set(now time.Time, hosts []objectstore.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, hostListSnapshot{takenAt: now, hosts: hosts})
}

func (l *hostList) visible(now time.Time) []objectstore.ListedHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := []objectstore.ListedHost{}
	for _, snapshot := range l.snapshots {
		if now.Sub(snapshot.takenAt) >= l.lag {
			hosts = snapshot.hosts
		}
	}
	return hosts
}
