package reach

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// network is the endpoints of one service as a host reaches them.
type network struct {
	mu     sync.Mutex
	silent bool
	// pings is the number of endpoints called.
	pings int
}

func (n *network) setSilent(silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = silent
}

func (n *network) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pings
}

func (n *network) ping(ctx context.Context, _ string) error {
	n.mu.Lock()
	silent := n.silent
	n.pings++
	n.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// startMonitor runs a monitor of nine endpoints in three zones in a synctest bubble.
func startMonitor(t *testing.T, n *network) *Monitor {
	var targets []Target
	for i := range 9 {
		targets = append(targets, Target{ID: fmt.Sprint("e", i), Address: fmt.Sprint("address-", i), Zone: fmt.Sprint("z", i%3)})
	}
	m := New(Config{Targets: func(string) []Target { return targets }, Ping: n.ping})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := m.Serve(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("Serve: %v", err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		time.Sleep(checkTimeout) // until the last check has ended
	})
	return m
}

// Guards against a host with few requests that never notices that nothing arrives any more.
func TestSilenceHasEndpointsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{silent: true}
		m := startMonitor(t, n)
		time.Sleep(10 * time.Second)
		if n.count() != 0 {
			t.Fatalf("%d endpoints called without any traffic", n.count())
		}
		m.Begin("app", nil)
		time.Sleep(silenceBeforeCheck + tickInterval + checkTimeout)
		if got := m.State("app"); got != Suspect {
			t.Fatalf("state %v after silence", got)
		}
		time.Sleep(silentFor)
		if got := m.State("app"); got != Cut {
			t.Fatalf("state %v after a long silence", got)
		}
	})
}

// Guards against checks that cost endpoints more than the requests do.
func TestLongRequestsHaveFewEndpointsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		m := startMonitor(t, n)
		m.Begin("app", nil)
		time.Sleep(20 * time.Second)
		if most := checkedAtOnce * int(20*time.Second/checkPause); n.count() > most {
			t.Fatalf("%d endpoints called, at most %d wanted", n.count(), most)
		}
		if got := m.State("app"); got != Direct {
			t.Fatalf("state %v", got)
		}
	})
}

// Guards against requests that wait for their deadline on a path that is known to be cut,
// and against ending those for which something arrives.
func TestRequestsThatHangOnACutPathAreEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		m := startMonitor(t, n)
		ended := make(map[string]bool)
		var mu sync.Mutex
		onCut := func(name string) func() {
			return func() {
				mu.Lock()
				defer mu.Unlock()
				ended[name] = true
			}
		}
		m.Begin("app", onCut("hangs"))
		over := m.Begin("app", onCut("over"))
		n.setSilent(true)
		time.Sleep(silenceBeforeCheck + tickInterval + checkTimeout)
		m.Begin("app", onCut("began late"))
		over.End()
		m.RecordViaPeer("app")
		time.Sleep(2 * (tickInterval + checkTimeout)) // until a check that began later has ended
		if !m.CutOff("app") {
			t.Fatalf("state %v, not confirmed", m.State("app"))
		}
		mu.Lock()
		defer mu.Unlock()
		if !ended["hangs"] || !ended["began late"] || ended["over"] {
			t.Fatalf("ended: %v", ended)
		}
	})
}

// Guards against taking a refused connection for a crash while this host's path is cut.
func TestResultOfACheckTellsWhetherThePathWorks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		m := startMonitor(t, n)
		results := make(chan bool, 2)
		m.RecordFailure(t.Context(), "app", func(works bool) { results <- works })
		if !<-results {
			t.Error("the path works, and the result says that it does not")
		}
		n.setSilent(true)
		m.RecordFailure(t.Context(), "app", func(works bool) { results <- works })
		if <-results {
			t.Error("no endpoint answers, and the result says that the path works")
		}
	})
}

func TestEndpointsOfDifferentZonesAreChecked(t *testing.T) {
	var targets []Target
	for i := range 12 {
		targets = append(targets, Target{ID: fmt.Sprint(i), Zone: fmt.Sprint("z", min(i/4, 2))})
	}
	for range 100 {
		zones := make(map[string]bool)
		for _, target := range pickTargets(targets, checkedAtOnce) {
			zones[target.Zone] = true
		}
		if len(zones) != 3 {
			t.Fatalf("zones %v", zones)
		}
	}
}
