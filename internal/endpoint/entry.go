package endpoint

import (
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// entry is the registry's record of one endpoint. It is guarded by the
// registry's mutex.
type entry struct {
	config *apiv1.Endpoint
	client *client

	report     engineapi.Report
	reportedAt time.Time
	// lastResponse is when the endpoint last responded to a poll or an attempt.
	lastResponse time.Time
	// drainingAt is when the endpoint last rejected an attempt because it is
	// draining.
	drainingAt time.Time

	inFlight         int
	tokensInFlight   int64
	history          history
	inFlightAtReport int

	latencies latencies

	prefixes      *PrefixSet
	eventSequence int64
	// eventsRequestedAt is when cache events were last requested.
	eventsRequestedAt time.Time
	incarnation       string
}

// recordReport stores a report that was requested at the time sent. A report
// older than the last one of the same incarnation is ignored.
func (e *entry) recordReport(report engineapi.Report, sent, now time.Time) {
	e.lastResponse = now
	e.latencies.refresh(now)
	sameIncarnation := report.Incarnation == e.report.Incarnation
	if sameIncarnation && report.Sequence < e.report.Sequence {
		return
	}
	e.report = report
	e.reportedAt = sent
	takenAt := sent.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
	e.inFlightAtReport = e.history.at(takenAt)
}

// recordEvents applies cache events. A new incarnation starts with an empty
// cache. After a gap in the events no prefix is removed, because a stale entry
// costs only a cache miss.
func (e *entry) recordEvents(events engineapi.CacheEvents) {
	if events.Incarnation != e.incarnation {
		e.prefixes.clear()
		e.incarnation = events.Incarnation
		e.eventSequence = 0
	}
	for _, event := range events.Events {
		e.prefixes.apply(event)
		e.eventSequence = max(e.eventSequence, event.Sequence)
	}
}

// draining reports whether the endpoint accepts no new work: it reported so, it
// is configured so, or it rejected an attempt after the last report.
func (e *entry) draining() bool {
	if e.report.Draining || e.config.GetDraining() {
		return true
	}
	return !e.drainingAt.IsZero() && e.reportedAt.Before(e.drainingAt)
}

func (e *entry) state() State {
	return State{
		Config:            e.config,
		Report:            e.report,
		ReportedAt:        e.reportedAt,
		Draining:          e.draining(),
		InFlight:          e.inFlight,
		TokensInFlight:    e.tokensInFlight,
		InFlightDelta:     e.inFlight - e.inFlightAtReport,
		Prefixes:          e.prefixes,
		FirstTokenLatency: e.latencies.means,
	}
}
