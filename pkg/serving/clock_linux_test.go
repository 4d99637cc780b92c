package serving

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against a clock that stands still while the host is suspended: a leader that
// resumes would answer reads under a lease that ended long ago.
func TestMonotonicClockCountsSuspension(t *testing.T) {
	boot := func() time.Duration {
		var ts unix.Timespec
		assert.NilError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts))
		return time.Duration(ts.Nano())
	}
	before := boot()
	c := NewMonotonicClock()
	for range 1000 {
		now := c.origin + c.Now()
		after := boot()
		assert.Assert(t, before <= now && now <= after, "%v is not between %v and %v since boot", now, before, after)
		before = now
	}
}
