package upstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stream that is given up while its engine is only cut off, and against
// silent connections that are kept for good. Callers bear a pause of four times the latency
// objective, 7.2 s on the users' platform.
func TestKeepAliveBearsAPause(t *testing.T) {
	for _, silence := range []time.Duration{10 * time.Second, 20 * time.Second, time.Minute} {
		c := keepAlive(silence)
		assert.Assert(t, c.Enable && c.Idle >= time.Second && c.Interval >= time.Second, "%+v", c)
		assert.Equal(t, c.Idle+time.Duration(c.Count)*c.Interval, silence)
	}
	c := dialer.KeepAliveConfig
	assert.Assert(t, c.Idle+time.Duration(c.Count)*c.Interval > 7200*time.Millisecond)
}
