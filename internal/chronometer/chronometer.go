// Package chronometer reads the clock that leases and deadlines are counted with.
package chronometer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time without a date. Unlike the monotonic
// reading of time.Now it goes on while the instance is suspended, and unlike the
// time of day it does not jump.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call can't fail with a valid clock and pointer; the monotonic
		// clock is the nearest one if a kernel lacks this one.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
