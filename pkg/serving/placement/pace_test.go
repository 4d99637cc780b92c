package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	fastToken = 8500 * time.Microsecond
	slowToken = 11_300 * time.Microsecond
)

// newMixedPool returns the pool of a hub with fast engines and, as a third of all, slow ones.
// tokens is the number of tokens from which other entries measured each engine, and held the
// memory in use at the fast ones.
func newMixedPool(seed uint64, tokens, held serving.Tokens) *placement.Pool {
	p := newPool(seed, "a-1")
	var uses []usage.Use
	for i := range 12 {
		name, pace, used := fmt.Sprint("fast-", i), fastToken, held
		if i%3 == 0 {
			name, pace, used = fmt.Sprint("slow-", i), slowToken, 0
		}
		p.SetEngine(engine(name, "model", "a-1"))
		uses = append(uses, usage.Use{Engine: serving.EngineID(name), Held: used, Expected: used, Running: serving.Slots(used / 3000),
			Pace: usage.Pace{Tokens: tokens, Time: time.Duration(tokens) * pace}})
	}
	p.SetOtherUse(0, uses, 200)
	return p
}

// Load pattern: long answers beside short ones, with a long prompt each, at engines of which
// a third needs 1.3 times as long for a token. Guards against long answers that run a third
// longer than they need to, and are lost more often when their engine or entry ends.
func TestPlacementByPace(t *testing.T) {
	long := func() *placement.Need {
		return &placement.Need{Service: modelService, Prompt: 3000, Output: 256, Length: 950, Compare: placement.CompareAll}
	}
	tests := []struct {
		name   string
		need   func() *placement.Need
		tokens serving.Tokens
		held   serving.Tokens
		calls  int
		// minSlow and maxSlow bound the calls at slow engines in any of the seeds.
		minSlow, maxSlow int
	}{
		{name: "long answers go to fast engines", need: long, tokens: 400, calls: 8, maxSlow: 0},
		{name: "long answers go to fast engines that are fuller", need: long, tokens: 400, held: 4000, calls: 4, maxSlow: 0},
		{name: "long answers go to slow engines when the fast ones are much fuller", need: long, tokens: 400, held: 18_000, calls: 4, minSlow: 4, maxSlow: 4},
		{name: "engines with few tokens count as typical", need: long, tokens: 20, calls: 12, minSlow: 1, maxSlow: 11},
		{name: "without any measurement", need: long, calls: 12, minSlow: 1, maxSlow: 11},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(50) {
				p := newMixedPool(seed, tt.tokens, tt.held)
				slow := 0
				for range tt.calls {
					ticket, err := p.Place(0, tt.need())
					assert.NilError(t, err)
					if strings.HasPrefix(string(ticket.Engine), "slow") {
						slow++
					}
				}
				assert.Assert(t, slow >= tt.minSlow && slow <= tt.maxSlow, "seed %d: %d of %d calls at slow engines", seed, slow, tt.calls)
			}
		})
	}
}

// Load pattern: several fast engines are reclaimed at once, and the other fast ones hold the
// long answers. Guards against copies of running answers that are sent to fast engines, where
// there is little room, instead of slow ones with much, and come too late for it.
func TestCopiesGoWhereThereIsRoom(t *testing.T) {
	for seed := range uint64(50) {
		p := newMixedPool(seed, 400, 7000)
		ticket, err := p.Place(0, &placement.Need{Service: modelService, Prompt: 4000, Output: 250, Length: 900, CopyFrom: "a-1"})
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(ticket.Engine), "slow"), "seed %d: %s", seed, ticket.Engine)
	}
}

// Load pattern: as above. Guards against short answers that displace long ones from fast
// engines, and against short answers whose prompts wait for each other at slow engines while
// fast ones have nothing to do.
func TestShortAnswersPreferSlowEngines(t *testing.T) {
	const seeds, calls = 200, 12
	first, all := 0, 0
	for seed := range uint64(seeds) {
		p := newMixedPool(seed, 400, 0)
		for call := range calls {
			ticket, err := p.Place(0, &placement.Need{Service: modelService, Prompt: 2200, Output: 12, Length: 12, Compare: placement.CompareAll})
			assert.NilError(t, err)
			if strings.HasPrefix(string(ticket.Engine), "slow") {
				all++
				if call == 0 {
					first++
				}
			}
		}
	}
	// A third of the engines is slow.
	assert.Assert(t, first > seeds/2, "%d of %d first calls at slow engines", first, seeds)
	assert.Assert(t, all < seeds*calls/2, "%d of %d calls at slow engines", all, seeds*calls)
}

// Guards against a pace that is lost on its way to the hub, counted twice, or remembered for
// an engine that has started again.
func TestPaceIsReported(t *testing.T) {
	p := newPool(1, "a-1")
	p.SetEngine(engine("e", "model", "a-1"))
	p.RecordPace(0, "e", 32, 32*fastToken)
	p.RecordPace(0, "e", 32, 32*slowToken)
	reported := p.OwnUse(0)
	assert.Equal(t, len(reported), 1)
	assert.Equal(t, reported[0].Pace, usage.Pace{Tokens: 64, Time: 32 * (fastToken + slowToken)})
	wire := usage.FromWire([]*schema.EngineUse{reported[0].ToWire()})
	assert.Equal(t, wire[0].Pace, reported[0].Pace)
	// Half of it counts after the half-life, and nothing once it is too little.
	assert.Equal(t, p.OwnUse(6 * time.Second)[0].Pace.Tokens, serving.Tokens(32))
	assert.Equal(t, len(p.OwnUse(30*time.Second)), 0)
	p.RecordPace(31*time.Second, "e", 64, time.Second)
	restarted := engine("e", "model", "a-1")
	restarted.Started = 2
	p.SetEngine(restarted)
	assert.Equal(t, len(p.OwnUse(31*time.Second)), 0)
	// Values that can't be measured change nothing.
	p.RecordPace(31*time.Second, "e", 0, time.Second)
	p.RecordPace(31*time.Second, "e", 64, 0)
	p.RecordPace(31*time.Second, "unknown", 64, time.Second)
	assert.Equal(t, len(p.OwnUse(31*time.Second)), 0)
}
