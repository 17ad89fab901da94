package streamorigin

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

const (
	// memory is how long a version counts after it was last seen, and an origin after
	// it was last reported. Callers take streams up within their deadlines, which are
	// shorter.
	memory = time.Minute
	// retention is how long a version stays in the record after it was last seen. It
	// exceeds memory by more than the lag of reports, so that no host counts a version as
	// recorded that another one has removed from the record.
	retention = memory + 15*time.Second
	// maxHold bounds the time in which no stream begins at a new version that is not
	// recorded yet, while endpoints of a recorded version are listed; maxHoldAlone while
	// there are none. The first is longer than a change of the lease's holder, the second
	// shorter, since no resumable stream is served in it.
	maxHold, maxHoldAlone = 10 * time.Second, 2 * time.Second
	// maxObserveGap is the longest time between two observations of the list by a process
	// that runs. It observes the list in each round of reports.
	maxObserveGap = 5 * time.Second
)

// Source is what made a host's history of software versions complete.
type Source string

// The sources of a history.
const (
	// SourceNone means that versions may be missing.
	SourceNone Source = ""
	// SourceNotKept means that no record is kept.
	SourceNotKept Source = "not_kept"
	// SourceFirstStart means that there was no system before this one.
	SourceFirstStart Source = "first_start"
	SourceRecord     Source = "record"
	SourcePeer       Source = "peer"
	// SourceTime means that this process has run for longer than memory.
	SourceTime Source = "time"
)

// Record is what the store keeps: the software versions, by service, at which streams may
// have begun that can still be taken up. It has no times, so that it does not depend on
// the hosts' clocks: a process that reads it counts all of them for memory from then on.
type Record struct {
	// Era is the era of the store in which the record was written. A record of an earlier
	// era may lack versions.
	Era int64 `json:"era"`
	// Services are the versions by service, sorted.
	Services map[string][]string `json:"services"`
}

// version is the state of a software version.
type version struct {
	// seenAt is when it was last listed here or by a peer, or relayed from. since is when
	// a host first knew of it, as far as reported; zero if the record held it at the start.
	seenAt, since time.Time
	listed        bool
	// recorded is one more than the era of the store in which the record holds it; zero if
	// that is not known.
	recorded int64
	// confirmed are the names of the peers that have reported it.
	confirmed map[string]struct{}
	// first is set if it was the service's only version when the next one appeared, so that
	// streams have begun at it without being held.
	first bool
}

// history is the software versions that services had within retention. It has no lock and
// reads no clock.
type history struct {
	// startedAt is when this process started, or resumed after it had stood still, so that it
	// may have missed versions. resumedAt is when it last resumed, observedAt when it last
	// observed the list.
	startedAt, resumedAt, observedAt time.Time
	source                           Source
	// experiencedPeerAt is when a peer first reported that has run for longer than memory.
	experiencedPeerAt time.Time
	// era is the highest era of the store that was seen, first at eraAt.
	era      int64
	eraAt    time.Time
	services map[string]map[string]*version
}

func newHistory(now time.Time) history {
	return history{startedAt: now, services: make(map[string]map[string]*version)}
}

// note records that a version was seen, and returns its state.
func (h *history) note(service, software string, at, now time.Time) *version {
	versions, ok := h.services[service]
	if !ok {
		versions = make(map[string]*version)
		h.services[service] = versions
	}
	v, ok := versions[software]
	if !ok {
		if counted := h.counted(service, now); len(counted) == 1 && h.source != SourceNone {
			for _, only := range counted {
				only.first = true
			}
		}
		v = &version{since: now, confirmed: make(map[string]struct{})}
		versions[software] = v
		logrus.WithFields(logrus.Fields{"service": service, "software": software, "others": len(versions) - 1}).Info("software version appeared")
	}
	if at.Sub(v.seenAt) > memory && !v.seenAt.IsZero() { // returns; others may have forgotten it
		v.since, v.recorded, v.confirmed, v.first = now, 0, make(map[string]struct{}), false
	}
	if at.After(v.seenAt) {
		v.seenAt = at
	}
	return v
}

// observe notes the versions that are listed now, and forgets those not seen for
// retention.
func (h *history) observe(listed map[string][]string, now time.Time) {
	if !h.observedAt.IsZero() && now.Sub(h.observedAt) > maxObserveGap {
		h.startedAt, h.resumedAt, h.experiencedPeerAt = now, now, time.Time{}
	}
	h.observedAt = now
	for _, versions := range h.services {
		for _, v := range versions {
			v.listed = false
		}
	}
	for service, list := range listed {
		for _, software := range list {
			h.note(service, software, now, now).listed = true
		}
	}
	for service, versions := range h.services {
		maps.DeleteFunc(versions, func(software string, v *version) bool {
			expired := now.Sub(v.seenAt) > retention
			if expired {
				logrus.WithFields(logrus.Fields{"service": service, "software": software}).Info("software version forgotten")
			}
			return expired
		})
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
	switch {
	case now.Sub(h.startedAt) > memory:
		h.complete(SourceTime)
	// Peers of a build without records report the versions of services with several only.
	// Within newPeerAge, their list and this host's agree.
	case !h.experiencedPeerAt.IsZero() && now.Sub(h.experiencedPeerAt) >= newPeerAge:
		h.complete(SourcePeer)
	}
}

// complete records that no version is missing.
func (h *history) complete(source Source) {
	if h.source == SourceNone {
		h.source = source
		logrus.WithFields(logrus.Fields{"source": source, "services": len(h.services)}).Info("software versions of the last minute known")
	}
}

// restore adds the versions of a record. One of an earlier era, or none where there should
// be one, leaves the history incomplete.
func (h *history) restore(record *Record, era int64, now time.Time) {
	h.setEra(era, now)
	for service, versions := range record.Services {
		for _, software := range versions {
			v := h.note(service, software, now, now)
			if h.source == SourceNone { // the peers have known of it since before this process started
				v.since = time.Time{}
			}
			v.recorded = max(v.recorded, record.Era+1)
		}
	}
	if record.Era >= era {
		h.complete(SourceRecord)
	}
}

// setEra records the store's era. What was recorded in an earlier one may be lost.
func (h *history) setEra(era int64, now time.Time) {
	if era > h.era {
		h.era, h.eraAt = era, now
	}
}

// written records that the store holds a record.
func (h *history) written(record Record) {
	for service, versions := range record.Services {
		for _, software := range versions {
			if v, ok := h.services[service][software]; ok {
				v.recorded = max(v.recorded, record.Era+1)
			}
		}
	}
}

// record returns what the store should hold.
func (h *history) record() Record {
	r := Record{Era: h.era, Services: make(map[string][]string, len(h.services))}
	for service, versions := range h.services {
		r.Services[service] = slices.Sorted(maps.Keys(versions))
	}
	return r
}

// recorded reports whether the record of the store's present era holds a version.
func (h *history) recorded(v *version) bool { return v.recorded > h.era }

// counted returns the versions of a service at which streams may have begun that can
// still be taken up.
func (h *history) counted(service string, now time.Time) map[string]*version {
	counted := make(map[string]*version)
	for software, v := range h.services[service] {
		if now.Sub(v.seenAt) <= memory {
			counted[software] = v
		}
	}
	return counted
}

// mixed reports whether a service had several versions within memory.
func (h *history) mixed(service string, now time.Time) bool { return len(h.counted(service, now)) > 1 }

// mayBegin returns the versions of a service at which new streams may begin; nil if none is
// known, for any. A version beside others is held until it is recorded and settled, that is
// known to the peers: a host that does not know of a version would take its streams for
// another one's.
func (h *history) mayBegin(service string, now time.Time, settled func(v *version) bool) []string {
	counted := h.counted(service, now)
	recordedListed := false
	for _, v := range counted {
		recordedListed = recordedListed || v.listed && h.recorded(v)
	}
	hold := maxHoldAlone
	if recordedListed {
		hold = maxHold
	}
	if len(counted) == 0 {
		return nil
	}
	allowed := []string{}
	for software, v := range counted {
		if len(counted) == 1 && h.source != SourceNone || h.source == SourceNotKept || settled(v) && (h.recorded(v) || now.Sub(v.since) >= hold) {
			allowed = append(allowed, software)
		}
	}
	return allowed
}

// digest returns a hash of the versions by service that count; never zero.
func (h *history) digest(now time.Time) uint64 {
	hash := xxhash.New()
	for _, service := range slices.Sorted(maps.Keys(h.services)) {
		for _, software := range slices.Sorted(maps.Keys(h.counted(service, now))) {
			_, _ = hash.WriteString(service + "\x00" + software + "\x00")
		}
	}
	return max(hash.Sum64(), 1)
}

// unrecordedFor returns how long a version of a mixed service has been known without being
// recorded; zero if none is.
func (h *history) unrecordedFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	for service := range h.services {
		if !h.mixed(service, now) {
			continue
		}
		for _, v := range h.counted(service, now) {
			if !h.recorded(v) {
				longest = max(longest, min(now.Sub(v.since), now.Sub(h.eraAt)))
			}
		}
	}
	return longest
}
