package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that are ended before the last sixth of a short grace period, although
// their engines are at work, because the reserves don't shrink with it.
func TestShutdownTimes(t *testing.T) {
	for _, tc := range []struct{ grace, untilEnd, untilClose time.Duration }{
		{8 * time.Second, 7600 * time.Millisecond, 7700 * time.Millisecond},
		{6 * time.Second, 5600 * time.Millisecond, 5700 * time.Millisecond},
		{2 * time.Second, 1700 * time.Millisecond, 1800 * time.Millisecond},
		{time.Second, 850 * time.Millisecond, 900 * time.Millisecond},
	} {
		untilEnd, untilClose := shutdownTimes(tc.grace)
		assert.Equal(t, untilEnd, tc.untilEnd)
		assert.Equal(t, untilClose, tc.untilClose)
		assert.Assert(t, untilEnd >= tc.grace*5/6)
	}
}
