package edge

import (
	"fmt"
	"runtime/debug"
	"testing"
	"time"

	"bilberryslip.example/bilberryslip/internal/exchange"
)

// At 295 hosts, four times the live heap took 65 MB of a host with 184 MB.
func TestGCPercentFollowsTheSizeOfTheFleet(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(100))
	now := time.Unix(1_700_000_000, 0)
	tuner := newGCTuner(func() time.Time { return now })
	set := func(peers int) int {
		var r exchange.Reachability
		for i := range peers {
			r.Reachable = append(r.Reachable, fmt.Sprint("host-", i))
		}
		tuner.SetReachability(r)
		current := debug.SetGCPercent(100)
		debug.SetGCPercent(current)
		return current
	}
	for _, c := range []struct {
		after          time.Duration
		peers, percent int
	}{{0, 3, 100}, {discoveryTime, 84, 300}, {time.Second, 294, 100}, {time.Minute, 20, 100}} {
		now = now.Add(c.after)
		if got := set(c.peers); got != c.percent {
			t.Errorf("%d peers: %d per cent, want %d", c.peers, got, c.percent)
		}
	}
}
