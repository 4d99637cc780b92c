package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// Load pattern: lookups at hundreds of entries, one or two a second at each, while one of six
// engines fails a part of its calls and reports that it is healthy. Guards against entries
// that each have to find that out by calls of their own.
func TestGreyEngineOfManyEntries(t *testing.T) {
	const engines, rate, length, pollInterval = 6, 110, 10 * time.Second, 100 * time.Millisecond
	tests := []struct {
		name    string
		entries int
		// failing is the share of its calls that the grey engine fails from the third second
		// on, and background that of all engines.
		failing, background float64
		// most bounds the calls that the grey engine gets in the last five seconds, relative
		// to an equal part of all calls.
		most float64
	}{
		{name: "195 entries, half of the calls fail", entries: 195, failing: 0.5, most: 0.35},
		{name: "195 entries, all calls fail", entries: 195, failing: 1, most: 0.25},
		{name: "7 entries, half of the calls fail", entries: 7, failing: 0.5, most: 0.35},
		{name: "195 entries, all engines fail some calls", entries: 195, background: 0.14, most: 1.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 6))
			pools := make([]*placement.Pool, tt.entries)
			for i := range pools {
				pools[i] = newPool(uint64(i), "a-1")
				for n := range engines {
					e := engine(fmt.Sprint("w", n), "web", "a-1")
					pools[i].SetEngine(e)
				}
			}
			calls := map[serving.EngineID]int{}
			total := 0
			nextPoll := time.Duration(0)
			for now := time.Duration(0); now < length; now += time.Second / rate {
				if now >= nextPoll {
					shareOutcomes(now, pools)
					nextPoll += pollInterval
				}
				ticket, err := pools[random.IntN(len(pools))].Place(now, &placement.Need{Service: webService})
				assert.NilError(t, err)
				share := tt.background
				if ticket.Engine == "w0" && now > 3*time.Second {
					share += tt.failing
				}
				outcome := placement.OK
				if random.Float64() < share {
					outcome = placement.Failed
				}
				ticket.End(now, outcome, 15*time.Millisecond)
				if now > length/2 {
					calls[ticket.Engine]++
					total++
				}
			}
			got := float64(calls["w0"]) / (float64(total) / engines)
			assert.Assert(t, got <= tt.most, "the grey engine got %.2f of an equal part: %v", got, calls)
		})
	}
}

// shareOutcomes does what hubs do with the reports of entries.
func shareOutcomes(now time.Duration, pools []*placement.Pool) {
	sums := map[serving.EngineID]*usage.Use{}
	own := make([]map[serving.EngineID]usage.Use, len(pools))
	for i, p := range pools {
		own[i] = map[serving.EngineID]usage.Use{}
		for _, u := range p.OwnUse(now) {
			own[i][u.Engine] = u
			if sums[u.Engine] == nil {
				sums[u.Engine] = &usage.Use{Engine: u.Engine}
			}
			sums[u.Engine].Add(&u)
		}
	}
	for i, p := range pools {
		var others []usage.Use
		for id, sum := range sums {
			u := *sum
			u.Calls, u.Failures, u.Running = u.Calls-own[i][id].Calls, u.Failures-own[i][id].Failures, u.Running-own[i][id].Running
			others = append(others, u)
		}
		p.SetOtherUse(now, others, len(pools))
	}
}

// Guards against an engine that is judged by impossible counts of another process.
func TestImpossibleOutcomesCountAsNone(t *testing.T) {
	for _, n := range []float32{-1, float32(math.Inf(-1)), float32(math.Inf(1)), float32(math.NaN()), 1e30} {
		u := usage.FromWire([]*schema.EngineUse{{Engine: "e", RecentCalls: n, RecentFailures: n}})
		assert.Equal(t, u[0].Calls, 0.0)
		assert.Equal(t, u[0].Failures, 0.0)
	}
	p := newPool(1, "a-1")
	p.SetEngine(&presence.EngineStatus{Record: engine("e", "web", "a-1").Record})
	p.SetOtherUse(0, usage.FromWire([]*schema.EngineUse{{Engine: "e", RecentFailures: 5}}), 2)
	_, err := p.Place(0, &placement.Need{Service: webService})
	assert.NilError(t, err)
}
