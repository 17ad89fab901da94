package edge

import (
	"runtime/debug"
	"time"

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
	// discoveryTime is the time in which a process that has started discovers its
	// peers. Until then, the fleet counts as large.
	discoveryTime = 5 * time.Second
)

// gcTuner sets the garbage collector's target percentage by the number of peers. It
// implements exchange.Participant.
type gcTuner struct {
	now     func() time.Time
	started time.Time
	percent int
	// large is set once the fleet was large. It stays set, since unreachable peers
	// come back.
	large bool
}

// newGCTuner returns a tuner that has set the percentage for a large fleet.
func newGCTuner(now func() time.Time) *gcTuner {
	debug.SetGCPercent(largeFleetGCPercent)
	return &gcTuner{now: now, started: now(), percent: largeFleetGCPercent}
}

// FillReport implements exchange.Participant.
func (t *gcTuner) FillReport(*fleetv1.Report) {}

// HandleReport implements exchange.Participant.
func (t *gcTuner) HandleReport(*fleetv1.Report, bool) {}

// SetReachability implements exchange.Participant.
func (t *gcTuner) SetReachability(reachability exchange.Reachability) {
	peers := len(reachability.Reachable) + len(reachability.Unreachable)
	t.large = t.large || peers >= largeFleetPeers
	percent := largeFleetGCPercent
	if !t.large && t.now().Sub(t.started) >= discoveryTime {
		percent = smallFleetGCPercent
	}
	if percent == t.percent {
		return
	}
	t.percent = percent
	debug.SetGCPercent(percent)
	logrus.WithFields(logrus.Fields{"percent": percent, "peers": peers}).Info("garbage collection target set for the size of the fleet")
}
