package fleet

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against models that stay below min_warm, versions that do not reach their
// share and loads above the rate, when some orders are lost.
func TestConverges(t *testing.T) {
	want := Want{
		Models: map[serving.ModelID]ModelWant{
			"a": wantModel(4, Share{"v1", 0.75}, Share{"v2", 0.25}),
			"b": wantModel(2, Share{"v1", 1}),
		},
		Engines: map[serving.EngineID]EngineWant{
			"e00": {Models: []ModelVersion{{"b", "v1"}}, Role: "decode", Adapters: []string{"lora"}},
		},
	}
	for seed := range uint64(20) {
		s := newSimulation(t, seed, 9, 1)
		s.run(newLeader(t, 0, 1), want, 200, nil)
		assert.DeepEqual(t, s.warm("a"), map[serving.Version]int{"v1": 3, "v2": 1})
		assert.DeepEqual(t, s.warm("b"), map[serving.Version]int{"v1": 2})
		e := s.engine("e00")
		assert.Assert(t, e.carries(ModelVersion{"b", "v1"}) && e.Role == "decode" && e.hasAdapter("lora"))
		assert.NilError(t, s.checkRate())
	}
}

// Guards against a version change during which fewer engines than min_warm carry the
// model, or after which more or fewer engines than before carry it.
func TestVersionChangeKeepsMinWarm(t *testing.T) {
	for _, maxModels := range []int{1, 2} {
		for seed := range uint64(20) {
			s := newSimulation(t, seed, 6, maxModels)
			r := newLeader(t, 0, 1)
			want := Want{Models: map[serving.ModelID]ModelWant{"a": wantModel(3, Share{"v1", 1})}}
			s.run(r, want, 100, nil)
			assert.DeepEqual(t, s.warm("a"), map[serving.Version]int{"v1": 3})
			want.Models["a"] = wantModel(3, Share{"v1", 0}, Share{"v2", 1})
			s.run(r, want, 300, func() {
				n := 0
				for _, e := range s.engines {
					if containsModel(e.Models, "a") {
						n++
					}
				}
				assert.Assert(t, n >= 3, "seed %d: %d warm engines", seed, n)
			})
			assert.DeepEqual(t, s.warm("a"), map[serving.Version]int{"v2": 3})
		}
	}
}

// Guards against the loss of a model whose only engine leaves, against more than one
// replacement while it leaves, and against a model that stays unloaded because the
// engine that operators want for it is gone.
func TestModelsOfLeavingEngineAreReplaced(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(t, seed, 5, 1)
		r := newLeader(t, 0, 1)
		s.engine("e03").Models = []ModelVersion{{"a", "v1"}}
		want := Want{Models: map[serving.ModelID]ModelWant{"a": wantModel(0, Share{"v1", 1})}}
		s.run(r, want, 5, nil)
		s.engine("e03").State = Leaving
		s.run(r, want, 100, nil)
		assert.Equal(t, total(s.warm("a")), 1)
		want.Engines = map[serving.EngineID]EngineWant{"gone": {Models: []ModelVersion{{"b", "v1"}}}}
		want.Models["b"] = wantModel(0, Share{"v1", 1})
		s.run(r, want, 100, nil)
		assert.Equal(t, total(s.warm("b")), 1)
	}
}

// Guards against an order that counts as done before a report requested after it
// shows its effect, and against a second order to the same engine while one is in
// flight.
func TestOrderIsDoneWhenReported(t *testing.T) {
	r := newLeader(t, 0, 1)
	e := Engine{ID: "e", Incarnation: 1, State: Ready, ChecksFencing: true}
	want := Want{Models: map[serving.ModelID]ModelWant{"a": wantModel(1, Share{"v1", 1})}}
	now := 10 * time.Second
	first := r.Reconcile(now, want, []Engine{e})
	assert.Equal(t, len(first), 1)
	loaded := e
	loaded.Models, loaded.ReportRequestedAt = []ModelVersion{{"a", "v1"}}, now
	assert.Equal(t, len(r.Reconcile(now, want, []Engine{loaded})), 0)
	assert.Equal(t, len(r.pending), 1)
	e.ReportRequestedAt = now + time.Second
	assert.Equal(t, len(r.Reconcile(now+time.Second, want, []Engine{e})), 0)
	again := r.Reconcile(now+testConfig.OrderTimeout, want, []Engine{e})
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Fencing > first[0].Fencing)
	assert.Equal(t, serving.KindOf(r.Check(now, first[0], true, &e)), serving.KindExpired)
	loaded.ReportRequestedAt = now + 2*testConfig.OrderTimeout
	r.Reconcile(loaded.ReportRequestedAt, want, []Engine{loaded})
	assert.Equal(t, len(r.pending), 0)
	e.Incarnation = 2
	assert.Equal(t, len(r.Reconcile(loaded.ReportRequestedAt, want, []Engine{e})), 1)
}

// Guards against orders that a leader sends after its lease ended or MaxFlight has
// passed, or to an engine that was restarted, is leaving or is gone.
func TestCheckBeforeSending(t *testing.T) {
	e := Engine{ID: "e", Incarnation: 1, State: Ready, ChecksFencing: true}
	want := Want{Models: map[serving.ModelID]ModelWant{"a": wantModel(1, Share{"v1", 1})}}
	now := 10 * time.Second
	restarted, leaving := e, e
	restarted.Incarnation, leaving.State = 2, Leaving
	tests := []struct {
		name  string
		at    time.Duration
		lease bool
		e     *Engine
		want  serving.Kind
	}{
		{"lease lost", now, false, &e, serving.KindNotLeader},
		{"too late", now + testConfig.MaxFlight, true, &e, serving.KindDeadline},
		{"restarted", now, true, &restarted, serving.KindNoEngine},
		{"leaving", now, true, &leaving, serving.KindNoEngine},
		{"gone", now, true, nil, serving.KindNoEngine},
	}
	r := newLeader(t, 0, 1)
	orders := r.Reconcile(now, want, []Engine{e})
	assert.Equal(t, len(orders), 1)
	for _, tt := range tests {
		assert.Equal(t, serving.KindOf(r.Check(tt.at, orders[0], tt.lease, tt.e)), tt.want, tt.name)
	}
	assert.NilError(t, r.Check(now, orders[0], true, &e))
	r.StepDown()
	assert.Equal(t, serving.KindOf(r.Check(now, orders[0], true, &e)), serving.KindNotLeader)
	assert.Equal(t, len(r.Reconcile(now, want, []Engine{e})), 0)
}

// changeLeader simulates an old leader that sends some orders immediately before its
// lease ends and is then paused, so that it tries to send the others after a new
// leader has started. It returns the number of orders that took effect after a newer
// one.
func changeLeader(t *testing.T, seed uint64, d defects) int {
	s := newSimulation(t, seed, 9, 2)
	oldWant, newWant := Want{Engines: map[serving.EngineID]EngineWant{}}, Want{Engines: map[serving.EngineID]EngineWant{}}
	for _, e := range s.engines {
		oldWant.Engines[e.ID] = EngineWant{Role: "prefill"}
		newWant.Engines[e.ID] = EngineWant{Role: "decode"}
	}
	old, err := New(testConfig)
	assert.NilError(t, err)
	// The quiet period of the old leader has ended.
	old.StartEpoch(-time.Hour, 1)
	var delayed []Order
	for _, o := range old.Reconcile(s.now, oldWant, s.report()) {
		if s.rng.IntN(2) == 0 {
			delayed = append(delayed, o)
			continue
		}
		s.send(o)
	}
	next := newLeader(t, s.now, 2)
	next.defects = d
	s.run(next, newWant, 3, nil)
	for _, o := range delayed {
		// The old leader resumes without a lease, so Check must reject its orders.
		assert.Equal(t, serving.KindOf(old.Check(s.now, o, false, s.engine(o.Engine))), serving.KindNotLeader)
	}
	s.run(next, newWant, 60, nil)
	return s.stale
}

// Guards against an order of a paused old leader that overrides one of the new
// leader at an engine that does not check fencing numbers. Without the quiet period
// the same check must fail.
func TestPausedLeaderResumes(t *testing.T) {
	staleOrders := 0
	for seed := range uint64(100) {
		assert.Equal(t, changeLeader(t, seed, defects{}), 0, "seed %d", seed)
		staleOrders += changeLeader(t, seed, defects{noQuietPeriod: true})
	}
	assert.Assert(t, staleOrders > 0, "no stale order took effect without the quiet period")
}

// Guards against a new leader that uses the load burst again after the previous
// leader did, and against fencing numbers that overlap between epochs.
func TestNewLeaderHasNoBurstAndLargerFencingNumbers(t *testing.T) {
	s := newSimulation(t, 1, 30, 1)
	want := Want{Models: map[serving.ModelID]ModelWant{"a": wantModel(30, Share{"v1", 1})}}
	last := uint64(0)
	for index := range uint64(10) {
		r := newLeader(t, s.now, index+1)
		for range 3 {
			for _, o := range r.Reconcile(s.now, want, s.report()) {
				assert.Assert(t, o.Fencing > last)
				last = o.Fencing
				s.send(o)
			}
			s.advance(time.Second)
		}
	}
	assert.NilError(t, s.checkRate())
}

// Guards against fencing numbers of one epoch that overflow into the next.
func TestEpochExhaustion(t *testing.T) {
	r := newLeader(t, 0, 1)
	r.sequence = 1<<sequenceBits - 1
	e := Engine{ID: "e", Incarnation: 1, State: Ready, ChecksFencing: true}
	want := Want{Models: map[serving.ModelID]ModelWant{"a": wantModel(2, Share{"v1", 1})}}
	assert.Assert(t, r.NeedsEpoch())
	assert.Equal(t, len(r.Reconcile(time.Minute, want, []Engine{e})), 0)
	r.StartEpoch(time.Minute, 7)
	orders := r.Reconcile(time.Minute, want, []Engine{e})
	assert.Equal(t, orders[0].Fencing, uint64(7<<sequenceBits|1))
	assert.DeepEqual(t, maps.Collect(maps.All(r.Shortfall())), map[serving.ModelID]int{"a": 1})
}

func ExampleReconciler() {
	r, err := New(Config{Rate: 0.5, Burst: 2})
	if err != nil {
		fmt.Println(err)
		return
	}
	r.StartEpoch(0, 40)
	want := Want{Models: map[serving.ModelID]ModelWant{"drafter": {Versions: []Share{{"v1", 1}}, MinWarm: 1}}}
	engines := []Engine{{ID: "norr-1", State: Ready, ChecksFencing: true}, {ID: "norr-2", State: Leaving, ChecksFencing: true}}
	for _, o := range r.Reconcile(time.Minute, want, engines) {
		fmt.Println(o.Engine, o.Command, o.Model.Model, o.Model.Version)
	}
	// Output: norr-1 load_model drafter v1
}
