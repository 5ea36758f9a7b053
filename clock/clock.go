// Package clock provides a monotonic clock that includes the time in which the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted (CLOCK_BOOTTIME), including the time in which it was suspended. It
// never decreases. It panics if the kernel doesn't provide that clock.
//
// The Go runtime's monotonic clock stops while the machine is suspended. With that clock, a process that resumes after
// several seconds would still treat its expired leases as valid, and two processes would hold the same lease at a time.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// All supported kernels have CLOCK_BOOTTIME. Without it, lease expiry can't be determined.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
