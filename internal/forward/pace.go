package forward

import (
	"time"

	"bilberryslip.example/bilberryslip/internal/fleet"
)

// streamTimer measures the pace at which an endpoint sends the events of a stream.
type streamTimer struct {
	// firstEvents is the number of events that came first, at firstAt.
	firstEvents int
	firstAt     time.Time
	// pace is the pace of the events since.
	pace fleet.StreamPace
	// blocked is the time since firstAt in which the caller did not accept data.
	blocked time.Duration
}

// recordEvents records that the stream has had a number of complete events by now.
func (t *streamTimer) recordEvents(now time.Time, events int) {
	switch {
	case events == t.firstEvents+t.pace.Events:
	case t.firstEvents == 0:
		t.firstEvents, t.firstAt = events, now
	default:
		t.pace = fleet.StreamPace{Events: events - t.firstEvents, Duration: now.Sub(t.firstAt), Blocked: t.blocked}
	}
}
