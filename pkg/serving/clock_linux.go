package serving

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the boot of the host, with the time during which it
// was suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return sinceProcessStart()
	}
	return time.Duration(ts.Nano())
}
