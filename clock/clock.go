// Package clock tells steady time that goes on while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot is the time since the machine's boot, with the time in which it was suspended.
//
// The runtime's own steady clock stands still then: a process that wakes after seconds would go on with leases that have
// long run out, and one would notice by two holders of the same thing.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that this runs on has the clock; without it no lease may be trusted.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
