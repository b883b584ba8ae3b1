package loop

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns a clock for Config.Clock that starts at zero and, unlike
// CLOCK_MONOTONIC, also advances while the whole host is suspended.
func BootClock() func() time.Duration {
	origin := readBootTime()
	return func() time.Duration { return readBootTime() - origin }
}

func readBootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("reading CLOCK_BOOTTIME failed: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
