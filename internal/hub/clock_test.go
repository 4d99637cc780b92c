package hub

import (
	"sync/atomic"
	"testing"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// leapingClock is a monotonic clock that leaps forward, as after a pause of the
// host. Wall clocks may leap in both ways, and no hub decides by them.
type leapingClock struct{ ahead atomic.Int64 }

var hostClock = serving.NewMonotonicClock()

// Now implements serving.Clock.
func (c *leapingClock) Now() time.Duration { return hostClock.Now() + time.Duration(c.ahead.Load()) }

func (c *leapingClock) leap(d time.Duration) { c.ahead.Add(int64(d)) }

// Changes are accepted after clocks have leapt, those of the leader, of others or
// of all, and no hub serves an older configuration afterwards.
func TestChangesDespiteLeapingClocks(t *testing.T) {
	for _, tc := range []struct {
		name string
		// leaping are the hubs whose clock leaps, counted from the leader.
		leaping []int
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
			for _, n := range tc.leaping {
				c.clocks[(first+n)%len(c.hubs)].leap(tc.by)
			}
			c.put(2)
			c.expectConfig(2)
			c.eachApplies(2)
		})
	}
}
