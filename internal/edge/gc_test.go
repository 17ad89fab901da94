package edge

import (
	"fmt"
	"runtime/debug"
	"testing"

	"bilberryslip.example/bilberryslip/internal/exchange"
)

// At 295 hosts, four times the live heap took 65 MB of a host with 184 MB.
func TestGCPercentFallsOnceWithTheNumberOfPeers(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(100))
	tuner := newGCTuner()
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
	for _, c := range []struct{ peers, percent int }{{0, 300}, {84, 300}, {294, 100}, {20, 100}} {
		if got := set(c.peers); got != c.percent {
			t.Errorf("%d peers: %d per cent, want %d", c.peers, got, c.percent)
		}
	}
}
