package managed

import (
	"time"

	"golang.org/x/sys/unix"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// now returns the time since boot. Unlike Go's monotonic clock, CLOCK_BOOTTIME keeps
// running while the VM is suspended, so a confirmed position
// does not look recent after a suspend.
func now() entity.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every supported kernel.
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return entity.Time(ts.Nano())
}

// wallTime converts a boot-time instant to a time.Time for use as a connection deadline.
func wallTime(at, current entity.Time) time.Time { return time.Now().Add(at.Sub(current)) }
