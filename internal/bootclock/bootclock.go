// Package bootclock reads the clock that leases and deadlines use.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, as a time.Time that is no calendar date. Unlike the
// monotonic reading of time.Now it includes the time while the instance is suspended,
// and unlike the wall clock it does not jump.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call can't fail with a valid clock and pointer; the monotonic clock
		// is the closest substitute if a kernel lacks CLOCK_BOOTTIME.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
