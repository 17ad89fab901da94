package edge

import (
	"runtime/debug"

	"github.com/sirupsen/logrus"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/exchange"
)

const (
	// smallFleetGCPercent trades memory for CPU time, which is affordable because
	// the heap is small. The connections to peers take most of it, so that in a
	// large fleet largeFleetGCPercent, Go's default, applies.
	smallFleetGCPercent = 300
	largeFleetGCPercent = 100
	// largeFleetPeers is the number of peers from which a fleet is large.
	largeFleetPeers = 128
)

// gcTuner sets the garbage collector's target percentage by the number of peers. It
// implements exchange.Participant.
type gcTuner struct{ percent int }

// newGCTuner returns a tuner that has set the percentage for a small fleet.
func newGCTuner() *gcTuner {
	debug.SetGCPercent(smallFleetGCPercent)
	return &gcTuner{percent: smallFleetGCPercent}
}

func gcPercent(peers int) int {
	if peers >= largeFleetPeers {
		return largeFleetGCPercent
	}
	return smallFleetGCPercent
}

// FillReport implements exchange.Participant.
func (t *gcTuner) FillReport(*fleetv1.Report) {}

// HandleReport implements exchange.Participant.
func (t *gcTuner) HandleReport(*fleetv1.Report, bool) {}

// SetReachability implements exchange.Participant. It does not return to the
// percentage of a small fleet, since unreachable peers come back.
func (t *gcTuner) SetReachability(reachability exchange.Reachability) {
	percent := gcPercent(len(reachability.Reachable) + len(reachability.Unreachable))
	if percent >= t.percent {
		return
	}
	t.percent = percent
	debug.SetGCPercent(percent)
	logrus.WithField("percent", percent).Info("garbage collection target lowered for a large fleet")
}
