package forward

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/fleet"
)

var _ = Describe("The pace of a stream", func() {
	// Guards against counting the time to the first events, which is that of the queue and the
	// prompt, or the time after the last one.
	It("is that of the events after those that came first", func() {
		start := time.Unix(1_700_000_000, 0)
		var timer streamTimer
		for _, read := range []struct{ millis, events int }{{0, 0}, {400, 2}, {410, 2}, {430, 3}, {470, 5}, {900, 5}} {
			timer.recordEvents(start.Add(time.Duration(read.millis)*time.Millisecond), read.events)
			timer.blocked += time.Millisecond
		}
		Expect(timer.pace).To(Equal(fleet.StreamPace{Events: 3, Duration: 70 * time.Millisecond, Blocked: 4 * time.Millisecond}))
	})
})
