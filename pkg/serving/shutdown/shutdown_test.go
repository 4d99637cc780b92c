package shutdown_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/shutdown"
)

// Load pattern: rolling restarts of all entries with a grace period of 8 s, beside long
// generations of about 10 s, short ones and plain calls. Guards against calls that are
// taken although they can't be answered in time, or only if no engine stalls, and against
// refusing those that can.
func TestFits(t *testing.T) {
	const ms = time.Millisecond
	long := shutdown.Call{TimeLeft: 39 * time.Second, Objective: 1800 * ms, Stream: true, MaxTokens: 4000, TokenTime: 9 * ms}
	short := shutdown.Call{TimeLeft: 6 * time.Second, Objective: 1500 * ms, Stream: true, MaxTokens: 48}
	plain := shutdown.Call{TimeLeft: 5 * time.Second, Objective: 300 * ms}
	for _, tc := range []struct {
		name      string
		call      shutdown.Call
		graceLeft time.Duration
		noticed   bool
		want      bool
	}{
		{"long generation at the signal", long, 7700 * ms, false, false},
		{"long generation with a short maximum", shutdown.Call{TimeLeft: long.TimeLeft, Objective: long.Objective, Stream: true, MaxTokens: 500, TokenTime: long.TokenTime}, 7700 * ms, false, true},
		{"generation without a maximum", shutdown.Call{TimeLeft: long.TimeLeft, Objective: long.Objective, Stream: true, TokenTime: long.TokenTime}, 7700 * ms, false, false},
		{"generation that is far longer than its route's usual ones", shutdown.Call{TimeLeft: long.TimeLeft, Objective: long.Objective, Stream: true, MaxTokens: 2000, TokenTime: 6 * ms}, 4300 * ms, true, false},
		{"long generation, grace for its deadline", long, 39 * time.Second, false, true},
		{"short generation at the signal", short, 7700 * ms, false, true},
		{"short generation at the end", short, 1500 * ms, true, false},
		{"plain call after the load balancer's notice", plain, 5200 * ms, true, true},
		{"plain call at the end", plain, 500 * ms, true, false},
		{"plain call at the end with little time left", shutdown.Call{TimeLeft: 400 * ms, Objective: 300 * ms}, 500 * ms, true, true},
		{"plain call without an objective", shutdown.Call{TimeLeft: 5 * time.Second}, 4900 * ms, false, false},
		{"short generation after the load balancer's notice", short, 4 * time.Second, true, true},
		{"short generation after the notice, less than twice its time left", short, 3900 * ms, true, false},
		{"short generation after the notice, recent ones began late", shutdown.Call{TimeLeft: 6 * time.Second, Objective: short.Objective, Stream: true, MaxTokens: 48, Slowness: 1.3}, 4600 * ms, true, false},
		{"short generation after the notice, recent ones were slow", shutdown.Call{TimeLeft: 6 * time.Second, Objective: short.Objective, Stream: true, MaxTokens: 48, TokenTime: 30 * ms}, 5 * time.Second, true, false},
		{"short generation at the signal, recent ones began late", shutdown.Call{TimeLeft: 30 * time.Second, Objective: short.Objective, Stream: true, MaxTokens: 48, Slowness: 5}, 7700 * ms, false, false},
		{"short generation whose deadline is near", shutdown.Call{TimeLeft: 3 * time.Second, Objective: short.Objective, Stream: true, MaxTokens: 48}, 4 * time.Second, true, true},
		{"plain call of 2 s before its end", shutdown.Call{TimeLeft: 2 * time.Second, Objective: 300 * ms}, 1700 * ms, true, false},
		{"plain call of 5 s with twice its time left", shutdown.Call{TimeLeft: 5 * time.Second, Objective: 300 * ms}, 1900 * ms, true, true},
		{"plain call of 5 s, recent ones took 2 s", shutdown.Call{TimeLeft: 5 * time.Second, Objective: 300 * ms, Slowness: 6.7}, 3900 * ms, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.call.Fits(shutdown.Period{Left: tc.graceLeft, Noticed: tc.noticed}), tc.want)
		})
	}
}

// Load pattern: many quick calls and now and then one that an engine has stalled. Guards against
// refusing all calls for the one, and against taking calls as if all were quick.
func TestRecent(t *testing.T) {
	var r shutdown.Recent
	assert.Equal(t, r.High(), 0.0)
	r.Observe(0.3)
	assert.Equal(t, r.High(), 0.3)
	r.Observe(9)
	assert.Equal(t, r.High(), 9.0)
	for range 62 {
		r.Observe(0.4)
	}
	assert.Equal(t, r.High(), 0.4)
	for range 8 {
		r.Observe(5)
	}
	assert.Equal(t, r.High(), 5.0)
	for range 64 {
		r.Observe(0.2)
	}
	assert.Equal(t, r.High(), 0.2)
}
