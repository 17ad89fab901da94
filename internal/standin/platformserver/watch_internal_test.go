package platformserver

import (
	"context"
	"testing"
)

// A watch may not be scheduled between the two changes of the switch.
func TestWatchStaysSilentWhereTheSwitchWasSetInBetween(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := New(ctx, Options{})
	running := s.newStream(nil, 0)
	s.applied(Faults{SilentWatches: true})
	s.applied(Faults{})
	if !running.isSilent(Faults{}) {
		t.Error("a watch that ran when the switch was set goes on")
	}
	if s.newStream(nil, 0).isSilent(Faults{}) {
		t.Error("a watch that began afterwards is silent")
	}
}
