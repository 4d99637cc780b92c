package placement_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/machine"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

var unevenService = &routing.Service{ID: "model", Model: &routing.ModelService{Slots: 24, MemoryTokens: 26_958, TokensPerEvent: 4}}

// The engines of the load: a quarter has the speed 0.55, the others have 1.2.
const unevenEngines, slowEngines = 44, 11

// mixedSteps returns measured steps of an engine with this slowness: prompts are read beside
// half of them, and the machine takes 2.5 times as long for 15 in 100.
func mixedSteps(slowness float64) *machine.Steps {
	var s machine.Steps
	prompts := 15.84 / 7.84
	s.Record(slowness, 43)
	s.Record(slowness*prompts, 42)
	s.Record(slowness*2.5, 8)
	s.Record(slowness*prompts*2.5, 7)
	return &s
}

func unevenID(i int) serving.EngineID {
	if i < slowEngines {
		return serving.EngineID(fmt.Sprint("slow-", i))
	}
	return serving.EngineID(fmt.Sprint("fast-", i))
}

// newUnevenPool returns the pool of a hub at the load of the uneven deployment. slow and fast
// are the loads of the engines that other entries report.
func newUnevenPool(seed uint64, fast, slow usage.Use) *placement.Pool {
	p := newPool(seed, "a-1")
	p.SpeedsAlone = true
	uses := make([]usage.Use, 0, unevenEngines)
	for i := range unevenEngines {
		use, slowness := fast, 1/1.2
		if i < slowEngines {
			use, slowness = slow, 1/0.55
		}
		p.SetEngine(engine(string(unevenID(i)), "model", "a-1"))
		use.Engine, use.Steps = unevenID(i), mixedSteps(slowness)
		// What other entries measured of the pace, without the machine's factor.
		use.Pace = usage.Pace{Tokens: 400, Time: time.Duration(400 * 1.5 * slowness * float64(8*time.Millisecond))}
		uses = append(uses, use)
	}
	p.SetOtherUse(0, uses, 70)
	return p
}

func unevenLong() *placement.Need {
	return &placement.Need{Service: unevenService, Prompt: 3080, Output: 256, Length: 752, Compare: placement.CompareAll,
		MaxPause: 180 * time.Millisecond, FirstEventBy: 1800 * time.Millisecond}
}

func unevenShort() *placement.Need {
	return &placement.Need{Service: unevenService, Prompt: 2550, Output: 12, Length: 12, Compare: placement.CompareAll,
		MaxPause: 180 * time.Millisecond, FirstEventBy: 1500 * time.Millisecond}
}

func unevenCopy() *placement.Need {
	return &placement.Need{Service: unevenService, Prompt: 3400, Output: 256, CopyFrom: "a-1", MaxPause: 180 * time.Millisecond}
}

// streams returns the load of n long streams that need a pace, at half of their length.
func streams(n serving.Slots) usage.Use {
	held := serving.Tokens(n) * 3460
	return usage.Use{Running: n, Held: held, Expected: held + serving.Tokens(n)*256, Paced: n, MaxPause: 180 * time.Millisecond}
}

// Load pattern: 21.3 long streams a second with prompts of 3,080 tokens and 24 short ones with
// prompts of 2,550, at 44 engines of which a quarter has speed 0.55 and the rest 1.2. On a
// machine that is shared, a slow engine that reads a prompt needs 288 ms for an event, and
// 180 ms are required. Guards against long streams that are late for that reason.
func TestUnevenPlacement(t *testing.T) {
	pending := func(u usage.Use, prefill serving.Tokens) usage.Use {
		u.Running++
		u.Held, u.Expected, u.Prefill = u.Held+2550, u.Expected+2562, u.Prefill+prefill
		return u
	}
	tests := []struct {
		name       string
		need       func() *placement.Need
		fast, slow usage.Use
		calls      int
		// minSlow and maxSlow bound the calls at slow engines in any of the seeds.
		minSlow, maxSlow int
	}{
		{name: "long streams go to fast engines", need: unevenLong, calls: 33, maxSlow: 0},
		{name: "long streams go to fast engines while these have room", need: unevenLong, fast: streams(5), calls: 33, maxSlow: 0},
		{name: "long streams go to slow engines when fast ones are full", need: unevenLong, fast: streams(7), calls: 11, minSlow: 11, maxSlow: 11},
		{name: "long streams go to fast engines that read prompts", need: unevenLong, fast: pending(streams(4), 2550), calls: 11, maxSlow: 0},
		{name: "short answers go to slow engines when fast ones fill up", need: unevenShort, fast: streams(5), calls: 11, minSlow: 11, maxSlow: 11},
		{name: "short answers go to fast engines with much room", need: unevenShort, fast: streams(2), calls: 11, maxSlow: 0},
		{name: "short answers don't wait for each other at slow engines", need: unevenShort, fast: streams(4), slow: pending(usage.Use{}, 2550), calls: 11, maxSlow: 0},
		{name: "copies go to fast engines among those with room", need: unevenCopy, fast: streams(3), slow: streams(3), calls: 1, maxSlow: 0},
		{name: "copies go where there is much more room", need: unevenCopy, fast: streams(6), calls: 1, minSlow: 1, maxSlow: 1},
		{name: "prompts are kept from slow engines with long streams", need: unevenShort, fast: streams(5), slow: streams(2), calls: 11, maxSlow: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(30) {
				p := newUnevenPool(seed, tt.fast, tt.slow)
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

// constant is a source of random numbers that makes choices independent of the order in which
// engines are compared.
type constant struct{ *rand.Rand }

func (constant) Float64() float64 { return 0.5 }

// Guards against engines that are placed differently than before although they state no factor
// and their speeds differ by less than the factor from which the new terms apply.
func TestEvenEnginesArePlacedAsBefore(t *testing.T) {
	var pools [2]*placement.Pool
	for i := range pools {
		p := newPool(1, "a-1")
		p.Random = constant{}
		var uses []usage.Use
		for e := range 20 {
			id := fmt.Sprint("e", e)
			p.SetEngine(engine(id, "model", "a-1"))
			u := streams(serving.Slots(e % 4))
			u.Engine, u.Pace = serving.EngineID(id), usage.Pace{Tokens: 400, Time: 4*time.Second + time.Duration(e%4)*100*time.Millisecond}
			u.Held, u.Expected = u.Held+serving.Tokens(7*e), u.Expected+serving.Tokens(7*e)
			if i == 1 {
				u.Steps = mixedSteps(1 + float64(e%4)/10)
			} else {
				u.Paced, u.MaxPause = 0, 0
			}
			uses = append(uses, u)
		}
		p.SetOtherUse(0, uses, 70)
		pools[i] = p
	}
	for call := range 60 {
		var chosen [2]serving.EngineID
		for i, p := range pools {
			n := unevenLong()
			if call%2 == 0 {
				n = unevenShort()
			}
			if i == 0 {
				n.MaxPause, n.FirstEventBy = 0, 0
			}
			ticket, err := p.Place(0, n)
			assert.NilError(t, err)
			chosen[i] = ticket.Engine
		}
		assert.Equal(t, chosen[1], chosen[0], "call %d", call)
	}
	assert.Equal(t, len(pools[1].Uneven()), 0)
	assert.Assert(t, pools[1].Slowness("e0") > 0)
}

// Load pattern: engines of one speed whose memory is scarce, with 20 long streams and 38.5
// short answers a second, on shared machines. Guards against short answers that wait behind the
// prompts of others at engines with much room, although others could read theirs at once.
func TestSharedMachinesSwitchEstimatesOn(t *testing.T) {
	for _, tt := range []struct {
		name    string
		factors []serving.Percent
		want    bool
	}{
		{"no factor", nil, false}, {"never shared", []serving.Percent{100}, false}, {"shared at times", []serving.Percent{100, 100, 100, 250}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPool(1, "a-1")
			for i := range 8 {
				name := serving.EngineID(fmt.Sprint("e", i))
				p.SetEngine(engine(string(name), "model", "a-1"))
				for at := range 100 * len(tt.factors) {
					p.SetLoad(time.Duration(at)*time.Second, name, serving.EngineLoad{Factor: tt.factors[at%len(tt.factors)]})
				}
			}
			var uses []usage.Use
			for i := range 8 {
				// Half of the engines have little room and no prompt pending.
				u := streams(5)
				if i%2 == 0 {
					u = streams(1)
					u.Prefill = 5000
				}
				u.Engine, u.Steps = serving.EngineID(fmt.Sprint("e", i)), mixedSteps(1)
				uses = append(uses, u)
			}
			now := time.Hour
			p.SetOtherUse(now, uses, 70)
			n := unevenShort()
			n.FirstEventBy += now
			ticket, err := p.Place(now, n)
			assert.NilError(t, err)
			assert.Equal(t, p.Total(ticket.Engine).Prefill == n.Prompt, tt.want, "%s has %d", ticket.Engine, p.Total(ticket.Engine).Prefill)
			assert.Equal(t, len(p.Uneven()) == 1, tt.want)
		})
	}
}

// Load pattern: as above, with entries that reach no hub and compare two engines that they
// sample. Guards against long streams at slow engines, which have more room, because an entry
// has measured few engines itself.
func TestEntriesUseTheSpeedsOfHubs(t *testing.T) {
	hub := newUnevenPool(1, streams(4), usage.Use{})
	hub.UpdateSpeeds(0)
	slow := 0
	for seed := range uint64(1000) {
		p := newUnevenPool(seed, streams(4), usage.Use{})
		uses := make([]usage.Use, 0, unevenEngines)
		for i := range unevenEngines {
			id := unevenID(i)
			u := p.Total(id)
			u.Slowness = hub.Slowness(id)
			uses = append(uses, u)
		}
		p.SetOtherUse(0, usage.FromWire(wire(uses)), 70)
		p.SetSharing("model", 0.15, 2.5)
		n := unevenLong()
		n.Compare = placement.CompareSample
		ticket, err := p.Place(0, n)
		assert.NilError(t, err)
		if strings.HasPrefix(string(ticket.Engine), "slow") {
			slow++
		}
	}
	// Slow engines have 11% of the sampling weight, and both sampled engines must be slow.
	assert.Assert(t, slow <= 25, "%d of 1000 long streams at slow engines", slow)
}

func wire(uses []usage.Use) (out []*schema.EngineUse) {
	for i := range uses {
		out = append(out, uses[i].ToWire())
	}
	return out
}

// Load pattern: slow engines that had no long stream for minutes. Guards against a speed that
// is forgotten while nothing measures it, which would send the next long stream there, and
// against one that outlives the engine's process.
func TestSpeedIsRemembered(t *testing.T) {
	p := newUnevenPool(1, usage.Use{}, usage.Use{})
	_, err := p.Place(0, unevenLong())
	assert.NilError(t, err)
	uses := make([]usage.Use, 0, unevenEngines)
	for i := range unevenEngines {
		if i >= slowEngines {
			u := streams(5)
			u.Engine = serving.EngineID(fmt.Sprint("fast-", i))
			uses = append(uses, u)
		}
	}
	later := 5 * time.Minute
	p.SetOtherUse(later, uses, 70)
	n := unevenLong()
	n.FirstEventBy += later
	for range 10 {
		ticket, err := p.Place(later, n)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(ticket.Engine), "fast"), ticket.Engine)
	}
	assert.Assert(t, p.Slowness("slow-0") > 1.5)
	restarted := engine("slow-0", "model", "a-1")
	restarted.Started = 2
	p.SetEngine(restarted)
	assert.Equal(t, p.Slowness("slow-0"), 0.0)
}

// Guards against streams that are protected although they are late already, and against
// streams that count after they have ended.
func TestPacedStreamsAreCounted(t *testing.T) {
	p := newPool(1, "a-1")
	p.SetEngine(engine("e", "model", "a-1"))
	var tickets []*placement.Ticket
	for _, n := range []*placement.Need{unevenLong(), unevenLong(), unevenShort()} {
		ticket, err := p.Place(0, n)
		assert.NilError(t, err)
		tickets = append(tickets, ticket)
	}
	expect := func(n serving.Slots, pause time.Duration) {
		t.Helper()
		u := usage.FromWire(wire(p.OwnUse(0)))[0]
		assert.Equal(t, u.Paced, n)
		assert.Equal(t, u.MaxPause, pause)
	}
	expect(2, 180*time.Millisecond)
	tickets[0].Late()
	tickets[0].Late()
	tickets[0].End(0, placement.OK, 0)
	expect(1, 180*time.Millisecond)
	tickets[1].End(0, placement.OK, 0)
	tickets[1].Late()
	expect(0, 0)
}

// Guards against measurements that are lost on their way to the hub or come from a cold engine,
// and against a factor that counts once for each report of it.
func TestStepsAndFactorsAreReported(t *testing.T) {
	const took = 16 * 7120 * 2500 * time.Nanosecond
	for at, want := range map[time.Duration]float64{400 * time.Millisecond: 1, 2 * time.Second: 2.5} {
		p := newPool(1, "a-1")
		cold := engine("cold", "model", "a-1")
		cold.ColdUntil = time.Hour
		p.SetEngine(cold)
		p.SetEngine(engine("e", "model", "a-1"))
		p.SetLoad(300*time.Millisecond, "e", serving.EngineLoad{Factor: 250})
		for _, id := range []serving.EngineID{"e", "cold", "unknown"} {
			p.RecordSteps(at, id, 4, 4, 0)
			p.RecordSteps(at, id, 0, 4, took)
			p.RecordSteps(at, id, 4, 4, took)
		}
		got := usage.FromWire(wire(p.OwnUse(at)))
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Factor, serving.Percent(250))
		assert.Equal(t, got[0].FactorAge, at-300*time.Millisecond)
		// Steps right after a factor are divided by it, later ones are not.
		q := got[0].Steps.Quantile(0.5)
		assert.Assert(t, q > want/1.1 && q < want*1.1, "%v: %f", at, q)
		shares := map[float64]bool{}
		for i := range 20 {
			p.SetOtherUse(at+time.Duration(i)*time.Millisecond, got, 1)
			p.EachSharing(func(_ serving.ServiceID, share, _ float64) { shares[share] = true })
		}
		assert.Equal(t, len(shares), 1)
	}
	for _, m := range []*schema.EngineUse{{Factor: -5}, {Factor: 1 << 30}, {Factor: 100, FactorAgeMs: -9}, {Slowness: -3}, {PacedStreams: -3, MaxPauseMs: -1}} {
		assert.DeepEqual(t, usage.FromWire([]*schema.EngineUse{m})[0], usage.Use{})
	}
}

// Guards against reports that grow with the number of engines, and against engines whose steps
// are never reported: 40 engines, 16 of them in each report.
func TestReportedStepsAreBounded(t *testing.T) {
	p := newPool(1, "a-1")
	for i := range 40 {
		id := fmt.Sprint("e", i)
		p.SetEngine(engine(id, "model", "a-1"))
		p.RecordSteps(0, serving.EngineID(id), 40, 4, time.Second)
	}
	reported := map[serving.EngineID]bool{}
	for range 3 {
		uses := p.OwnUse(0)
		assert.Equal(t, len(uses), 16)
		for i := range uses {
			assert.Assert(t, uses[i].Steps != nil)
			reported[uses[i].Engine] = true
		}
	}
	assert.Equal(t, len(reported), 40)
}
