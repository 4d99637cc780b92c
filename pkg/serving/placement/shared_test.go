package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/machine"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// Load pattern: a step of three quarters of the engines takes 1.2 times as long as usual, of one
// quarter 0.55 times. Each machine is shared for 15% of the time, 600 ms at a time, and takes 2.5
// times as long then. With a prompt beside them, streams at a slow engine need 185 ms for an event
// then, and 180 ms are required. The fast engines are full.
func newMostlySlowPool(seed uint64, now time.Duration, slow ...usage.Use) *placement.Pool {
	p := newPool(seed, "a-1")
	var uses []usage.Use
	add := func(name string, slowness float64, u usage.Use) {
		p.SetEngine(engine(name, "model", "a-1"))
		u.Engine, u.Steps = serving.EngineID(name), mixedSteps(slowness)
		uses = append(uses, u)
	}
	for i, u := range slow {
		add(fmt.Sprint("slow-", i), 1.2, u)
	}
	for i := range 4 {
		add(fmt.Sprint("full-slow-", i), 1.2, usage.Use{Running: 24})
		add(fmt.Sprint("full-fast-", i), 0.55, usage.Use{Running: 24})
	}
	p.SetOtherUse(now, uses, 70)
	// Machines count as shared once enough factors are known.
	for i := range 40 {
		at := now - time.Duration(42-i)*time.Second
		p.SetLoad(at, "full-slow-1", serving.EngineLoad{Slots: 24, Factor: 100 + serving.Percent(150*(i%7/6))})
	}
	return p
}

// Guards against prompts that are read at slow engines while their machines are shared, which
// makes the streams there late.
func TestPromptsAvoidMachinesThatAreSharedNow(t *testing.T) {
	const now = 100 * time.Second
	tests := []struct {
		name   string
		stated serving.Percent
		age    time.Duration
		slow   []usage.Use
		avoids bool
	}{
		{name: "streams on a shared machine", stated: 250, slow: []usage.Use{streams(2), streams(2)}, avoids: true},
		{name: "shared machine without streams", stated: 250, slow: []usage.Use{{Running: 1}, {Running: 1}}, avoids: true},
		{name: "machine as usual", stated: 100, slow: []usage.Use{streams(2), streams(2)}},
		{name: "factor of an earlier time", stated: 250, age: 2 * time.Second, slow: []usage.Use{streams(2), streams(2)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const calls = 100
			shared := 0
			for seed := range uint64(calls) {
				p := newMostlySlowPool(seed, now, tt.slow...)
				p.SetFactor(now-tt.age, "slow-0", tt.stated)
				n := unevenShort()
				n.FirstEventBy += now
				ticket, err := p.Place(now, n)
				assert.NilError(t, err)
				if ticket.Engine == "slow-0" {
					shared++
				}
			}
			if tt.avoids {
				assert.Equal(t, shared, 0)
			} else {
				assert.Assert(t, shared > calls/4, "%d of %d calls at the engine", shared, calls)
			}
		})
	}
}

// Guards against load checks, each of which has a cost, of engines where they change nothing.
func TestSharedMachinesWorthChecking(t *testing.T) {
	const now = 100 * time.Second
	p := newMostlySlowPool(1, now, streams(2), usage.Use{Running: 1}, streams(1))
	_, err := p.Place(now, unevenShort())
	assert.NilError(t, err)
	var got []serving.EngineID
	for _, m := range p.SharedMachines(now, "a-1") {
		got = append(got, m.Engine)
	}
	assert.DeepEqual(t, got, []serving.EngineID{"slow-0", "slow-2"})
	assert.Equal(t, len(p.SharedMachines(now, "b-1")), 0)

	even := newPool(1, "a-1")
	even.SetEngine(engine("e", "model", "a-1"))
	even.SetOtherUse(now, []usage.Use{{Engine: "e", Running: 2, Paced: 2, MaxPause: 180 * time.Millisecond, Steps: &machine.Steps{}}}, 70)
	assert.Equal(t, len(even.SharedMachines(now, "a-1")), 0, "no factor was ever stated")
}

// Load pattern: a burst keeps some engines of equal speed reading prompts for seconds, so that the
// times between their events are 1.8 times those of the others. Guards against taking them for
// slow: in such a deployment, plays of a day with bursts lost up to a tenth of their value.
func TestBusyEnginesAreNotSlow(t *testing.T) {
	tests := []struct {
		name    string
		factors int
		uneven  bool
	}{
		{name: "engines that never state a factor"},
		{name: "engines that state factors", factors: 40, uneven: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const now = 100 * time.Second
			p := newPool(1, "a-1")
			var uses []usage.Use
			for i := range 12 {
				name, slowness := fmt.Sprint("e", i), 1.0
				if i < 6 {
					slowness = 1.8
				}
				p.SetEngine(engine(name, "model", "a-1"))
				uses = append(uses, usage.Use{Engine: serving.EngineID(name), Running: 4, Steps: mixedSteps(slowness)})
			}
			for i := range tt.factors {
				p.SetFactor(time.Duration(i)*time.Second, "e0", 100)
			}
			p.SetOtherUse(now, uses, 70)
			p.UpdateSpeeds(now)
			assert.Equal(t, p.IsUneven("e0"), tt.uneven)
		})
	}
}
