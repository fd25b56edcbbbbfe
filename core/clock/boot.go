package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootMs returns milliseconds since the machine started, also those for which it was suspended.
// The steady clock of the runtime does not count a suspension, so leases are held against this one.
func BootMs() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().UnixMilli() // kernels without the clock: the time of day counts suspensions as well
	}
	return ts.Nano() / int64(time.Millisecond)
}
