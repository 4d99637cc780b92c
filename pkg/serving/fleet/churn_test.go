package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// churn makes engines leave, return, restart and go out of service, and changes
// leaders and desired versions. It returns the last leader; earlier ones issue no
// further orders.
func churn(s *simulation, want Want, steps int) *Reconciler {
	index := uint64(1)
	r := newLeader(s.t, s.now, index)
	for range steps {
		e := &s.engines[s.rng.IntN(len(s.engines))]
		switch s.rng.IntN(12) {
		case 0:
			e.State = Leaving
		case 1:
			e.Incarnation, e.State, e.Models = e.Incarnation+1, Ready, nil
		case 2:
			e.Out = !e.Out
		case 3:
			index++
			r = newLeader(s.t, s.now, index)
		case 4:
			want.Models["a"] = wantModel(2, Share{"v1", 0.5}, Share{"v2", 0.5})
		case 5:
			want.Models["a"] = wantModel(3, Share{"v2", 1})
		}
		s.run(r, want, 1+s.rng.IntN(5), nil)
	}
	return r
}

// Guards against a reconciler that does not converge after failures of engines and
// changes of leader: a model stays below min_warm, a version keeps a wrong share,
// the load rate is exceeded, or loads continue in the desired state.
func TestConvergesAfterChurn(t *testing.T) {
	for seed := range uint64(100) {
		s := newSimulation(t, seed, 12, 1+int(seed%2))
		want := Want{
			Models: map[serving.ModelID]ModelWant{
				"a": wantModel(2, Share{"v1", 1}),
				"b": wantModel(2, Share{"v1", 1}),
			},
			Engines: map[serving.EngineID]EngineWant{"e01": {Models: []ModelVersion{{"b", "v1"}}, Role: "decode"}},
		}
		r := churn(s, want, 60)
		for i := range s.engines {
			if e := &s.engines[i]; e.State == Leaving || e.Out {
				e.Incarnation, e.State, e.Out, e.Models, e.Role = e.Incarnation+1, Ready, false, nil, ""
			}
		}
		want.Models["a"] = wantModel(3, Share{"v2", 1})
		s.run(r, want, 600, nil)
		a, b := s.warm("a"), s.warm("b")
		assert.Assert(t, a["v2"] >= 3 && a["v1"] == 0, "seed %d: a %v", seed, a)
		assert.Assert(t, b["v1"] >= 2, "seed %d: b %v", seed, b)
		e := s.engine("e01")
		assert.Assert(t, e.carries(ModelVersion{"b", "v1"}) && e.Role == "decode", "seed %d: e01 %v", seed, e)
		assert.NilError(t, s.checkRate())
		assert.Equal(t, s.stale, 0, "seed %d", seed)
		loads := len(s.loads)
		s.run(r, want, 120, nil)
		assert.Equal(t, len(s.loads), loads, "seed %d: loads continue in the desired state", seed)
	}
}

// Guards against a second order to an engine that does not check fencing numbers
// while the first can still arrive. The effect of the first can be visible earlier,
// because an earlier order had the same effect.
func TestOrderStaysInFlightAfterVisibleEffect(t *testing.T) {
	r := newLeader(t, 0, 1)
	e := Engine{ID: "e", Incarnation: 1, State: Ready, MaxModels: 2}
	want := Want{Engines: map[serving.EngineID]EngineWant{"e": {Role: "decode"}}}
	now := testConfig.QuietPeriod
	assert.Equal(t, len(r.Reconcile(now, want, []Engine{e})), 1)
	e.Role, e.ReportRequestedAt = "decode", now+1
	want.Engines["e"] = EngineWant{Role: "prefill"}
	assert.Equal(t, len(r.Reconcile(now+1, want, []Engine{e})), 0)
	assert.Equal(t, len(r.Reconcile(now+testConfig.MaxFlight, want, []Engine{e})), 1)
}

// Guards against a model that stays below min_warm because copies of another model
// occupy all engines, and against unloading the other model below its min_warm.
func TestStarvedModelGetsRoom(t *testing.T) {
	s := newSimulation(t, 1, 4, 1)
	for i := range s.engines {
		s.engines[i].Models = []ModelVersion{{"a", "v1"}}
	}
	want := Want{Models: map[serving.ModelID]ModelWant{"a": wantModel(3, Share{"v1", 1}), "b": wantModel(2, Share{"v1", 1})}}
	r := newLeader(t, 0, 1)
	s.run(r, want, 100, nil)
	assert.Equal(t, total(s.warm("a")), 3)
	assert.Equal(t, total(s.warm("b")), 1)
	assert.DeepEqual(t, r.Shortfall(), map[serving.ModelID]int{"b": 1})
}

// Guards against a rollout that stalls when min_warm is raised while it runs.
func TestMinWarmRaisedDuringRollout(t *testing.T) {
	s := newSimulation(t, 1, 6, 1)
	s.engines[0].Models = []ModelVersion{{"a", "v1"}}
	s.engines[1].Models = []ModelVersion{{"a", "v1"}}
	want := Want{Models: map[serving.ModelID]ModelWant{"a": wantModel(2, Share{"v2", 1})}}
	r := newLeader(t, 0, 1)
	for range 100 {
		s.run(r, want, 1, nil)
		if s.warm("a")["v2"] > 0 {
			break
		}
	}
	want.Models["a"] = wantModel(3, Share{"v2", 1})
	s.run(r, want, 200, nil)
	assert.DeepEqual(t, s.warm("a"), map[serving.Version]int{"v2": 3})
}
