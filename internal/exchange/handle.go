package exchange

import (
	"time"

	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/clock"
)

// joinPeriod is how long after its start a process is treated as recently
// started.
const joinPeriod = 2 * time.Second

// handleReport records a peer's report and passes it to the participants. For asOf
// see recordReport. calledAt is when the call began that the report responds to, by
// clock.Boot; zero if the peer called.
func (s *Service) handleReport(asOf, calledAt time.Time, report *fleetv1.Report) {
	s.mu.Lock()
	wasReachable := false
	if previous, ok := s.roster.peers[report.GetHost()]; ok {
		wasReachable = s.roster.reachable(asOf, previous)
	}
	recorded := s.roster.recordReport(asOf, report)
	var createdAt time.Time
	if recorded {
		createdAt = s.roster.peers[report.GetHost()].ages.createdAt(report, calledAt, clock.Boot())
	}
	s.mu.Unlock()
	if !recorded {
		return
	}
	if !wasReachable {
		logrus.WithFields(logrus.Fields{"peer": report.GetHost(), "address": report.GetAddress()}).Info("peer in reach")
	}
	joining := s.joining()
	for _, participant := range s.participants {
		participant.HandleReport(report, joining)
		if observer, ok := participant.(AgeObserver); ok {
			observer.ObserveAge(report, createdAt)
		}
	}
}
