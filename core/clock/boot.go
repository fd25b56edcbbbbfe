package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootMs returns the milliseconds since the machine started, including the time for which it was suspended.
// Leases use it because the monotonic clock of the Go runtime stops during a suspension.
func BootMs() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().UnixMilli() // kernel without this clock; the wall clock includes suspensions as well
	}
	return ts.Nano() / int64(time.Millisecond)
}
