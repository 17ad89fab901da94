package endpoint

import (
	"time"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/engineapi"
)

// entry is what the registry keeps of one endpoint. The registry's mutex
// guards it.
type entry struct {
	config *apiv1.Endpoint
	client *client

	report     engineapi.Report
	reportedAt time.Time
	// lastAnswer is when the endpoint last answered a poll or an attempt.
	lastAnswer time.Time
	// refusedAt is when the endpoint last said that it is leaving.
	refusedAt time.Time

	inFlight         int
	tokensInFlight   int64
	history          history
	inFlightAtReport int

	latencies latencies

	prefixes      *PrefixSet
	eventSequence int64
	// eventsAskedAt is when cache events were last asked for.
	eventsAskedAt time.Time
	incarnation   string
}

// learn takes account of a report, whose request was sent at the time given.
// A report older than the last one of the same incarnation is passed over.
func (e *entry) learn(report engineapi.Report, sent, now time.Time) {
	e.lastAnswer = now
	e.latencies.refresh(now)
	sameIncarnation := report.Incarnation == e.report.Incarnation
	if sameIncarnation && report.Sequence < e.report.Sequence {
		return
	}
	e.report = report
	e.reportedAt = sent
	taken := sent.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
	e.inFlightAtReport = e.history.at(taken)
}

// learnEvents takes account of cache events. A new incarnation has an empty
// cache. After a gap nothing is forgotten: a wrong guess costs only a hit.
func (e *entry) learnEvents(events engineapi.CacheEvents) {
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

func (e *entry) leaving() bool {
	if e.report.Draining || e.config.GetDraining() {
		return true
	}
	return !e.refusedAt.IsZero() && e.reportedAt.Before(e.refusedAt)
}

func (e *entry) state() State {
	return State{
		Config:          e.config,
		Report:          e.report,
		ReportedAt:      e.reportedAt,
		Leaving:         e.leaving(),
		InFlight:        e.inFlight,
		TokensInFlight:  e.tokensInFlight,
		SentSinceReport: e.inFlight - e.inFlightAtReport,
		Prefixes:        e.prefixes,
		FirstTokens:     e.latencies.means,
	}
}
