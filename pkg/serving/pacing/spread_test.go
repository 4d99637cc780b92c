package pacing_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/pacing"
)

// Load pattern: a thousand callers wait for an entry that has just started, and are refused
// at one moment. Guards against a second wave as high as the first one.
func TestRefusedCallersReturnSpread(t *testing.T) {
	const callers, wait, window = 1000, time.Second, 25 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	returns := map[time.Duration]int{}
	for range callers {
		d := pacing.Spread(wait, random.Float64())
		assert.Assert(t, d >= wait && d <= wait+wait/4, "%v", d)
		returns[d/window]++
	}
	for at, n := range returns {
		assert.Assert(t, n < callers/6, "%d of %d callers return within %v of %v", n, callers, window, at*window)
	}
}

// Guards against waits that become negative or endless.
func TestSpreadBounds(t *testing.T) {
	tests := []struct {
		d        time.Duration
		position float64
		want     time.Duration
	}{
		{d: 0, position: 1, want: 0},
		{d: -time.Second, position: 1, want: -time.Second},
		{d: time.Second, position: 0, want: time.Second},
		{d: time.Second, position: 1, want: 1250 * time.Millisecond},
		{d: time.Second, position: 9, want: 1250 * time.Millisecond},
		{d: time.Second, position: math.Inf(-1), want: time.Second},
	}
	for _, tt := range tests {
		assert.Equal(t, pacing.Spread(tt.d, tt.position), tt.want)
	}
}
