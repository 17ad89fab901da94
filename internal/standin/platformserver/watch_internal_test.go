package platformserver

import (
	"context"
	"testing"
)

// A watch must stay silent after SilentWatches was set and cleared again, also if
// its goroutine was not scheduled in between.
func TestWatchStaysSilentAfterSwitchWasSetAndCleared(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := New(ctx, Options{})
	running := s.newStream(nil, 0)
	s.applyFaults(Faults{SilentWatches: true})
	s.applyFaults(Faults{})
	if !running.isSilent(Faults{}) {
		t.Error("a watch that was running when the switch was set is not silent")
	}
	if s.newStream(nil, 0).isSilent(Faults{}) {
		t.Error("a watch that was started after the switch was cleared is silent")
	}
}
