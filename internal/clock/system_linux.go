package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspensionOffset returns how far CLOCK_BOOTTIME, which counts suspensions, is
// ahead of CLOCK_MONOTONIC, which Go uses. CLOCK_BOOTTIME is read first, so a pause
// between the readings makes the result too small.
func suspensionOffset() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0 // a kernel without CLOCK_BOOTTIME; suspensions are not counted
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
