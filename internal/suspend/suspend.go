// Package suspend measures how long the machine was suspended. The monotonic clock, and so the arithmetic of package time, does not
// count that time, although leases and confirmations run out during it.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns how long the machine has been suspended since it was booted.
func Total() time.Duration {
	// The monotonic clock is read first, so that a suspension between the two calls is counted.
	monotonic := readClock(unix.CLOCK_MONOTONIC)
	return readClock(unix.CLOCK_BOOTTIME) - monotonic
}

// readClock returns the time of a clock, or zero on a system without it, where both clocks are then zero.
func readClock(id int32) time.Duration {
	var value unix.Timespec
	if err := unix.ClockGettime(id, &value); err != nil {
		return 0
	}
	return time.Duration(value.Nano())
}
