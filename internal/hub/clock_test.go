package hub

import (
	"sync/atomic"
	"testing"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// jumpingClock is a monotonic clock that can jump forward, as after a pause of the
// host. Jumps of the wall clock aren't simulated, because hubs don't use it for
// decisions.
type jumpingClock struct{ offset atomic.Int64 }

var hostClock = serving.NewMonotonicClock()

// Now implements serving.Clock.
func (c *jumpingClock) Now() time.Duration { return hostClock.Now() + time.Duration(c.offset.Load()) }

func (c *jumpingClock) jump(d time.Duration) { c.offset.Add(int64(d)) }

// Guards against clock jumps of the leader, other hubs or all hubs that prevent later
// changes from being accepted, or make a hub return to an older configuration.
func TestChangesDespiteClockJumps(t *testing.T) {
	for _, tc := range []struct {
		name string
		// jumping lists the hubs whose clocks jump, as offsets from the leader.
		jumping []int
		by      time.Duration
	}{
		{"leader by seconds", []int{0}, 3 * time.Second},
		{"leader by a minute", []int{0}, time.Minute},
		{"two others by a minute", []int{1, 2}, time.Minute},
		{"all by an hour", []int{0, 1, 2, 3, 4}, time.Hour},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startHubs(t)
			c.put(1)
			first := c.leader()
			for _, n := range tc.jumping {
				c.clocks[(first+n)%len(c.hubs)].jump(tc.by)
			}
			c.put(2)
			c.expectConfig(2)
			c.expectEverywhere(2)
		})
	}
}
