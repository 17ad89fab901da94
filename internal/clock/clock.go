// Package clock reads the clock that goes on while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since boot, suspension included, as a time whose
// differences are durations. Unlike time.Now it neither jumps with the time of
// day nor stands still while the machine is suspended, so that a holder that
// slept notices that its lease has lapsed.
func Boot() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock is part of every supported kernel.
		panic(err)
	}
	return time.Unix(now.Unix())
}
