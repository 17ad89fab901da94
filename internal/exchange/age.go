package exchange

import (
	"time"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
)

const (
	// agesKnownAfter is the time from the first report of a process to the first one that
	// shows when its reports are made. The reports that arrived while this host was
	// suspended or stopped are handled within milliseconds of each other.
	agesKnownAfter = time.Second
	// clockDrift is the assumed bound on the drift between the clocks of two hosts, as a
	// fraction.
	clockDrift = 0.001
)

// AgeObserver may be implemented by a Participant that needs to know how old what peers
// report is.
type AgeObserver interface {
	// ObserveAge is called after HandleReport with the same report and when the peer made
	// it, by clock.Boot; zero if that is unknown.
	ObserveAge(report *fleetv1.Report, createdAt time.Time)
}

// reportAges determines when the reports of a peer were made. A report may be handled long
// after it arrived, if this host was stopped in between, or arrive late after a cut of the
// network. Reports carry the age of their process, so that the reports that took least time
// show when it started, and each one when it was made.
type reportAges struct {
	incarnation string
	// startedAt is when the process started, as shown by the fastest report; firstAt and
	// lastAt are when the first and the last one were handled.
	startedAt, firstAt, lastAt time.Time
}

// createdAt returns when a report was made that is handled now; zero if that is unknown.
// calledAt is when the call began that it responds to, zero if the peer called. All times
// are by clock.Boot.
func (a *reportAges) createdAt(report *fleetv1.Report, calledAt, now time.Time) time.Time {
	age := time.Duration(report.GetAgeMillis()) * time.Millisecond
	started := now.Add(-age)
	if a.firstAt.IsZero() || a.incarnation != report.GetIncarnation() {
		*a = reportAges{incarnation: report.GetIncarnation(), startedAt: started, firstAt: now, lastAt: now}
	}
	a.startedAt = a.startedAt.Add(time.Duration(clockDrift * float64(now.Sub(a.lastAt))))
	a.lastAt = now
	if started.Before(a.startedAt) {
		a.startedAt = started
	}
	switch {
	case now.Sub(a.firstAt) >= agesKnownAfter:
		return a.startedAt.Add(age)
	case calledAt.IsZero():
		return time.Time{}
	}
	return calledAt.Add(-responseCacheTTL)
}
