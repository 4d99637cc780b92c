package machine_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/machine"
)

// within asserts that a value differs from the wanted one by at most a share.
func within(t *testing.T, got, want, share float64, what string) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= share*want, "%s: %.3f instead of %.3f", what, got, want)
}

// Load pattern: engines of speed 0.55 and 1.2 with long streams and prompts beside them, on
// machines that take 2.5 times as long for a part of the time. Guards against a speed that
// follows the prompts or the machine.
func TestSpeedIsSeparatedFromLoad(t *testing.T) {
	for _, slowness := range []float64{1 / 0.55, 1 / 1.2} {
		for _, tc := range []struct {
			prompts, shared float64
		}{{0, 0}, {0.3, 0.15}, {0.6, 0.15}, {0.7, 0.05}, {0.4, 0.4}} {
			t.Run(fmt.Sprint(slowness, tc), func(t *testing.T) {
				var s machine.Steps
				const beside = 15.84 / 7.84
				record := func(factor, share float64) { s.Record(slowness*factor, int64(1000*share)) }
				record(1, (1-tc.prompts)*(1-tc.shared))
				record(beside, tc.prompts*(1-tc.shared))
				record(2.5, (1-tc.prompts)*tc.shared)
				record(2.5*beside, tc.prompts*tc.shared)
				var e machine.Engine
				e.Update(0, &s)
				within(t, e.Slowness(), slowness, 0.16, "slowness")
				// A period in which every step has a prompt beside it changes little.
				var busy machine.Steps
				busy.Record(slowness*beside, 100)
				for i := range 10 {
					e.Update(time.Duration(i)*500*time.Millisecond, &busy)
				}
				within(t, e.Slowness(), slowness, 0.5, "slowness when busy")
			})
		}
	}
}

// Guards against estimates that differ from the step model that operators state.
func TestEstimate(t *testing.T) {
	var sharing machine.Sharing
	for i := range 2000 {
		f := serving.Percent(100)
		if i%20 < 3 {
			f = 250
		}
		sharing.Observe(f)
	}
	within(t, sharing.Share(), 0.15, 0.1, "share")
	within(t, sharing.Ratio(), 2.5, 0.05, "ratio")
	for _, tc := range []struct {
		speed                                float64
		pause, prompts, bad, first, firstBad time.Duration
	}{
		{0.55, 57 * time.Millisecond, 115 * time.Millisecond, 288 * time.Millisecond, 810 * time.Millisecond, 1170 * time.Millisecond},
		{1.2, 26 * time.Millisecond, 53 * time.Millisecond, 132 * time.Millisecond, 370 * time.Millisecond, 730 * time.Millisecond},
	} {
		var e machine.Engine
		e.SetSlowness(0, 1/tc.speed)
		w := &machine.Work{Prompt: 3080, Running: 7, PerEvent: 4}
		est := e.Estimate(0, w, &sharing)
		within(t, est.Pause.Seconds(), tc.pause.Seconds(), 0.05, "pause")
		within(t, est.PausePrompts.Seconds(), tc.prompts.Seconds(), 0.05, "pause beside prompts")
		within(t, est.PauseBad.Seconds(), tc.bad.Seconds(), 0.05, "pause in the bad case")
		within(t, est.PromptTime.Seconds(), tc.first.Seconds(), 0.05, "time of the prompt")
		within(t, est.FirstEventBad.Seconds(), tc.firstBad.Seconds(), 0.05, "first event in the bad case")
		// A factor counts while it is new; then the long-run distribution does.
		usual := est.FirstEvent
		assert.Assert(t, e.SetFactor(time.Second, 250))
		now := e.Estimate(time.Second, w, &sharing).FirstEvent
		later := e.Estimate(1500*time.Millisecond, w, &sharing).FirstEvent
		assert.Assert(t, now > later && later > usual, "%v, %v, %v", now, later, usual)
		assert.Equal(t, e.Estimate(2*time.Second, w, &sharing).FirstEvent, usual)
	}
}

// Guards against a few factors that decide on all engines, and against values of other
// processes that can't be true.
func TestSharingIsBounded(t *testing.T) {
	var s machine.Sharing
	unknown := s.Ratio()
	assert.Assert(t, unknown > 1)
	for _, bad := range []float64{math.NaN(), 0, 1.1, 8, 1e9} {
		s.SetRatio(bad)
		assert.Assert(t, s.Ratio() >= unknown && s.Ratio() <= 5, "%f: %f", bad, s.Ratio())
	}
	observe := func(n int, factors ...serving.Percent) {
		for i := range n {
			s.Observe(factors[i%len(factors)])
		}
	}
	observe(4, -100, 0, 9, 10_001)
	assert.Assert(t, !s.Known())
	observe(3, 100)
	assert.Assert(t, s.Ratio() > 1, "three factors show that machines are never shared")
	observe(10_000, 100)
	assert.Equal(t, s.Ratio(), 1.0)
	observe(10_000, serving.MaxFactor)
	assert.Equal(t, s.Ratio(), 5.0)
	for _, v := range [][2]float64{{math.NaN(), 2}, {0.1, math.NaN()}, {-0.1, 2}, {1.1, 2}, {0.1, 0.5}, {0.1, math.Inf(1)}} {
		s.Set(v[0], v[1])
		assert.Equal(t, s.Ratio(), 5.0)
	}
	s.Set(0.15, 2.5)
	assert.Equal(t, s.Ratio(), 2.5)
}

// Guards against a histogram that changes on its way to a hub, and against messages that
// end the hub's process.
func TestStepsOnTheWire(t *testing.T) {
	var s machine.Steps
	for _, v := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		s.Record(v, 10)
	}
	s.Record(1, 0)
	s.Record(1, -5)
	assert.Equal(t, s.Weight(), 0.0)
	assert.Equal(t, len(s.ToWire()), 0)
	s.Record(1e-9, 1)
	s.Record(0.83, 900)
	s.Record(1.8, 300)
	s.Record(1e9, 50)
	b := s.ToWire()
	assert.Assert(t, len(b) <= 29)
	got := machine.StepsFromWire(b)
	within(t, got.Quantile(0.2), s.Quantile(0.2), 0.02, "quantile")
	within(t, got.Quantile(0.9), s.Quantile(0.9), 0.02, "quantile")
	for _, b := range [][]byte{nil, {0}, {200, 1}, {27, 1, 1}, make([]byte, 1000)} {
		got := machine.StepsFromWire(b)
		assert.Equal(t, got.Weight(), 0.0, "%v", b)
	}
}
