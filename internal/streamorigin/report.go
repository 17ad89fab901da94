package streamorigin

import (
	"slices"
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

// FillReport implements exchange.Participant. It reports the services of which several
// versions were listed lately, and the streams of them that this host relays; to peers that
// have just started, the versions of all services.
func (o *Origins) FillReport(report *fleetv1.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	groups := make(map[[2]string]*fleetv1.SoftwareVersion)
	o.fillCurrency(report, now)
	full := now.Before(o.fullUntil) && o.history.source != SourceNone
	if full {
		report.SoftwareHistory = &fleetv1.SoftwareHistory{}
	}
	for service := range o.history.services {
		versions := o.history.counted(service, now)
		for software, v := range versions {
			describe := func() *fleetv1.SoftwareVersion {
				group := &fleetv1.SoftwareVersion{
					Service: service, Software: software, AgeMillis: now.Sub(v.seenAt).Milliseconds(), Recorded: v.recorded,
				}
				if !v.since.IsZero() {
					group.KnownMillis = max(now.Sub(v.since).Milliseconds(), 1)
				}
				return group
			}
			if full {
				report.SoftwareHistory.Versions = append(report.SoftwareHistory.Versions, describe())
			}
			if len(versions) > 1 {
				group := describe()
				groups[[2]string{service, software}] = group
				report.Software = append(report.Software, group)
			}
		}
	}
	if len(groups) == 0 {
		return
	}
	reported := 0
	for id, at := range o.toReport(now) {
		if group, mixed := groups[[2]string{at.service, at.software}]; mixed && reported < maxReported {
			group.Streams = append(group.Streams, uint64(id))
			reported++
		}
	}
}

// toReport returns the streams that this host relays, and those of all hosts while a peer
// lacks earlier reports. It must be called with the mutex held.
func (o *Origins) toReport(now time.Time) map[stream]origin {
	streams := make(map[stream]origin, len(o.own))
	for id, r := range o.own {
		streams[id] = r.origin
	}
	if now.After(o.fullUntil) {
		return streams
	}
	for _, id := range o.known.Keys() {
		if known, _ := o.known.Peek(id); now.Sub(known.at) <= resendAge {
			streams[id] = known
		}
	}
	return streams
}

// HandleReport implements exchange.Participant.
func (o *Origins) HandleReport(report *fleetv1.Report, _ bool) {
	age := time.Duration(report.GetAgeMillis()) * time.Millisecond
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if age >= memory && o.history.experiencedPeerAt.IsZero() {
		o.history.experiencedPeerAt = now
	}
	if age < newPeerAge || report.GetSoftwareWanted() {
		o.fullUntil = now.Add(resendFor)
	}
	if len(report.GetSoftware()) == 0 && report.GetSoftwareHistory() == nil {
		return
	}
	for _, group := range slices.Concat(report.GetSoftware(), report.GetSoftwareHistory().GetVersions()) {
		at := now.Add(-time.Duration(group.GetAgeMillis()) * time.Millisecond)
		v := o.history.note(group.GetService(), group.GetSoftware(), at, now)
		v.recorded = max(v.recorded, group.GetRecorded())
		v.confirmed[report.GetHost()] = struct{}{}
		if since := now.Add(-time.Duration(group.GetKnownMillis()) * time.Millisecond); group.GetKnownMillis() > 0 && since.Before(v.since) {
			v.since = since
		}
		for _, id := range group.GetStreams() {
			o.known.Add(stream(id), origin{group.GetService(), group.GetSoftware(), now})
		}
	}
	if report.GetSoftwareHistory() != nil {
		o.history.complete(SourcePeer)
	}
	o.notify()
}

// fillCurrency reports how recent this host's knowledge of versions is. It must be called
// with the mutex held.
func (o *Origins) fillCurrency(report *fleetv1.Report, now time.Time) {
	report.SoftwareDigest = o.history.digest(now)
	if o.currency.knownAt.IsZero() {
		report.SoftwareWanted = true
		return
	}
	age := now.Sub(o.currency.knownAt)
	report.SoftwareKnownMillis = 1 + age.Milliseconds()
	// Requested early, so that knowledge which differs from the peers' does not get outdated.
	report.SoftwareWanted = age > o.currency.maxAge()/2
}

// ObserveAge implements exchange.AgeObserver.
func (o *Origins) ObserveAge(report *fleetv1.Report, createdAt time.Time) {
	if report.GetHost() == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	wasCurrent := o.current(now)
	// Builds without digests report services with several versions only.
	included := report.GetSoftwareDigest() == o.history.digest(now) || report.GetSoftwareHistory() != nil || report.GetSoftwareDigest() == 0 && wasCurrent
	var peerKnownAt time.Time
	if known := report.GetSoftwareKnownMillis(); known > 0 {
		peerKnownAt = createdAt.Add(-time.Duration(known) * time.Millisecond)
	}
	o.currency.observePeer(report.GetHost(), createdAt, peerKnownAt, included, now)
	o.currency.advanceByPeers(now)
	if !wasCurrent && o.current(now) {
		o.notify()
	}
}
