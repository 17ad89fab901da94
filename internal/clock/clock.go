// Package clock provides a monotonic clock that keeps running while the machine
// is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since boot, including time suspended. Only differences
// between two results are meaningful. Unlike time.Now, it does not jump with the
// time of day, and unlike its monotonic reading it does not stop while the
// machine is suspended, so that a lease holder detects after a suspension that
// its lease has expired.
func Boot() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Unix(now.Unix())
}
