package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

var scarceService = &routing.Service{ID: "model", Model: &routing.ModelService{Slots: 24, MemoryTokens: 26_893, TokensPerEvent: 4}}

// newScarcePool returns the pool of a hub in whose deployment memory is scarce. uses are the
// loads that the entries report.
func newScarcePool(seed uint64, scarce bool, uses ...usage.Use) *placement.Pool {
	p := newPool(seed, "a-1")
	p.ScarceMemory = scarce
	for i := range uses {
		uses[i].Engine = serving.EngineID(fmt.Sprint("e", i))
		p.SetEngine(engine(string(uses[i].Engine), "model", "a-1"))
	}
	p.SetOtherUse(0, uses, 70)
	return p
}

// scarceLong is a call with a long answer whose first event may take 4 s, and scarceBrief one
// with two events whose first may take 1.5 s.
func scarceLong() *placement.Need {
	return &placement.Need{Service: scarceService, Prompt: 3080, Output: 256, Length: 744, Compare: placement.CompareAll, FirstEventBy: 4 * time.Second}
}

func scarceBrief() *placement.Need {
	return &placement.Need{Service: scarceService, Prompt: 2550, Output: 8, Length: 8, Compare: placement.CompareAll, FirstEventBy: 1500 * time.Millisecond}
}

func longStreams(n int) usage.Use {
	held := serving.Tokens(n) * 3100
	return usage.Use{Running: serving.Slots(n), Held: held, Expected: held + serving.Tokens(n)*256}
}

// Load pattern: 20 long answers a second hold 3,400 tokens for seconds each and fill the engines,
// while 38 brief calls a second need 2,550 tokens for half a second. Guards against brief calls
// that find no room but at the engine that has just started, where the prompts of all of them
// pile up, and against long answers that take the last room although they could wait.
func TestBriefCallsFindRoomWhereMemoryIsScarce(t *testing.T) {
	pendingPrompts := usage.Use{Running: 6, Held: 16_000, Expected: 16_100, Prefill: 16_000}
	tests := []struct {
		name        string
		scarce      bool
		uses        []usage.Use
		briefBefore bool
		need        *placement.Need
		last        bool
		placed      bool
	}{
		{name: "brief call waits rather than join the prompts at a new engine", scarce: true, uses: []usage.Use{longStreams(8), pendingPrompts}, need: scarceBrief()},
		{name: "brief call that can't wait joins them", scarce: true, uses: []usage.Use{longStreams(8), pendingPrompts}, need: scarceBrief(), last: true, placed: true},
		{name: "brief call takes the room that is left", scarce: true, uses: []usage.Use{longStreams(6)}, need: scarceBrief(), placed: true},
		{name: "long answer leaves that room", scarce: true, briefBefore: true, uses: []usage.Use{longStreams(6)}, need: scarceLong()},
		{name: "long answer that can't wait takes it", scarce: true, briefBefore: true, uses: []usage.Use{longStreams(6)}, need: scarceLong(), last: true, placed: true},
		{name: "long answer takes it where no brief calls come", scarce: true, uses: []usage.Use{longStreams(6)}, need: scarceLong(), placed: true},
		{name: "long prompt isn't read before those of brief calls", scarce: true, briefBefore: true, uses: []usage.Use{{Running: 2, Held: 6000, Expected: 6100, Prefill: 5500}}, need: scarceLong()},
		{name: "idle engine takes every call", scarce: true, briefBefore: true, uses: []usage.Use{{}}, need: scarceLong(), placed: true},
		{name: "deployment without the setting", uses: []usage.Use{longStreams(8), pendingPrompts}, need: scarceBrief(), placed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newScarcePool(1, tt.scarce, tt.uses...)
			if tt.briefBefore {
				// The call before has ended.
				if ticket, err := p.Place(0, scarceBrief()); err == nil {
					ticket.End(0, placement.OK, 0)
				}
			}
			tt.need.LastAttempt = tt.last
			_, err := p.Place(0, tt.need)
			assert.Equal(t, err == nil, tt.placed, "%v", err)
			if err != nil {
				assert.Equal(t, serving.KindOf(err), serving.KindOverloaded)
			}
		})
	}
}

// Load pattern: 13 entries of a region reach no hub for two seconds and place 39 calls, 13 at a time, by the
// report that all of them got before, in which two engines had room. Guards against prompts that
// all go to these two.
func TestOldReportsDoNotGatherCalls(t *testing.T) {
	const engines, entries, callsPerEntry = 24, 13, 3
	busiest := func(scarce bool, seed uint64) int {
		type moment struct {
			engine serving.EngineID
			at     int
		}
		calls := map[moment]int{}
		for entry := range entries {
			uses := make([]usage.Use, engines)
			for i := range uses {
				uses[i] = longStreams(6)
			}
			uses[0], uses[1] = usage.Use{}, usage.Use{}
			p := newScarcePool(seed+uint64(entry), scarce, uses...)
			for i := range callsPerEntry {
				n := scarceBrief()
				n.Compare = placement.CompareSample
				ticket, err := p.Place(time.Duration(i+1)*700*time.Millisecond, n)
				assert.NilError(t, err)
				calls[moment{ticket.Engine, i}]++
			}
		}
		most := 0
		for _, n := range calls {
			most = max(most, n)
		}
		return most
	}
	before, after := max(busiest(false, 0), busiest(false, 100), busiest(false, 200)), busiest(true, 0)
	t.Logf("calls at one engine at the same time: %d with the old report as it is, %d with one that fades", before, after)
	// An engine reads four of these prompts in the time to the first event, 1.5 s.
	assert.Assert(t, after <= 4, "%d calls at one engine", after)
	assert.Assert(t, before > 4, "the load shows no fault: %d calls at one engine", before)
}

// Guards against the choice of an engine near the hub for a call of an entry in another region.
func TestRemoteHubPrefersTheEntrysDataCentre(t *testing.T) {
	p := newPool(1, "a-1")
	p.SetEngine(engine("near-hub", "model", "a-1"))
	p.SetEngine(engine("near-entry", "model", "b-1"))
	p.SetOtherUse(0, nil, 70)
	n := scarceBrief()
	n.Home = "b-1"
	ticket, err := p.Place(0, n)
	assert.NilError(t, err)
	assert.Equal(t, ticket.Engine, serving.EngineID("near-entry"))
}
