package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// testConfig has an order time-out longer than any load in the simulation.
var testConfig = Config{Rate: 1, Burst: 3, MaxFlight: 2 * time.Second, QuietPeriod: 4 * time.Second, OrderTimeout: 20 * time.Second}

// simulation simulates engines that apply orders after a delay.
type simulation struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	engines []Engine
	// inFlight has orders that were sent, with the time of their arrival.
	inFlight []timedOrder
	// loading has accepted load orders, with the time at which the load ends.
	loading []timedOrder
	// fencing has the largest fencing number that each engine received.
	fencing map[serving.EngineID]uint64
	// loads has the times at which load orders were sent.
	loads []time.Duration
	// stale counts orders that took effect after one with a larger fencing number.
	stale int
}

type timedOrder struct {
	at    time.Duration
	order Order
}

func newSimulation(t testing.TB, seed uint64, n, maxModels int) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), fencing: map[serving.EngineID]uint64{}}
	for i := range n {
		s.engines = append(s.engines, Engine{
			ID: serving.EngineID(fmt.Sprintf("e%02d", i)), DataCentre: serving.DataCentreID(fmt.Sprint("dc", i%3)),
			Incarnation: 1, State: Ready, ChecksFencing: i%2 == 0, MaxModels: maxModels,
		})
	}
	return s
}

func (s *simulation) engine(id serving.EngineID) *Engine {
	i := slices.IndexFunc(s.engines, func(e Engine) bool { return e.ID == id })
	if i < 0 {
		return nil
	}
	return &s.engines[i]
}

// send sends an order, which arrives within MaxFlight or is lost.
func (s *simulation) send(o Order) {
	if o.Command == LoadModel {
		s.loads = append(s.loads, s.now)
	}
	if s.rng.IntN(10) > 0 {
		s.inFlight = append(s.inFlight, timedOrder{s.now + time.Duration(s.rng.Int64N(int64(testConfig.MaxFlight))), o})
	}
}

func (s *simulation) advance(d time.Duration) {
	s.now += d
	due := func(list *[]timedOrder) (out []Order) {
		slices.SortStableFunc(*list, func(a, b timedOrder) int { return int(a.at - b.at) })
		for len(*list) > 0 && (*list)[0].at <= s.now {
			out = append(out, (*list)[0].order)
			*list = (*list)[1:]
		}
		return out
	}
	for _, o := range due(&s.inFlight) {
		s.arrive(o)
	}
	for _, o := range due(&s.loading) {
		if e := s.engine(o.Engine); e != nil && !e.carries(o.Model) && len(e.Models) < e.maxModels() {
			e.Models = append(e.Models, o.Model)
		}
	}
}

func (s *simulation) arrive(o Order) {
	e := s.engine(o.Engine)
	if e == nil || e.Incarnation != o.Incarnation {
		return
	}
	if o.Fencing <= s.fencing[e.ID] {
		if e.ChecksFencing {
			return
		}
		s.stale++
	}
	s.fencing[e.ID] = max(s.fencing[e.ID], o.Fencing)
	switch o.Command {
	case LoadModel:
		s.loading = append(s.loading, timedOrder{s.now + time.Duration(s.rng.Int64N(int64(8*time.Second))), o})
	case UnloadModel:
		e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m ModelVersion) bool { return m == o.Model })
	case LoadAdapter:
		e.Adapters = append(e.Adapters, o.Adapter)
	case SetRole:
		e.Role = o.Role
	}
}

// report returns the current state of all engines.
func (s *simulation) report() []Engine {
	out := slices.Clone(s.engines)
	for i := range out {
		out[i].ReportRequestedAt = s.now
		out[i].Models = slices.Clone(out[i].Models)
	}
	return out
}

// run reconciles once a second and calls check after each step.
func (s *simulation) run(r *Reconciler, want Want, steps int, check func()) {
	for range steps {
		for _, o := range r.Reconcile(s.now, want, s.report()) {
			assert.NilError(s.t, r.Check(s.now, o, true, s.engine(o.Engine)))
			s.send(o)
		}
		s.advance(time.Second)
		if check != nil {
			check()
		}
	}
}

func (s *simulation) warm(model serving.ModelID) map[serving.Version]int {
	out := map[serving.Version]int{}
	for _, e := range s.engines {
		for _, m := range e.Models {
			if m.Model == model && e.inService() {
				out[m.Version]++
			}
		}
	}
	return out
}

func total(versions map[serving.Version]int) int {
	n := 0
	for _, c := range versions {
		n += c
	}
	return n
}

func wantModel(minWarm int, shares ...Share) ModelWant {
	return ModelWant{Versions: shares, MinWarm: minWarm}
}

func newLeader(t testing.TB, now time.Duration, index uint64) *Reconciler {
	r, err := New(testConfig)
	assert.NilError(t, err)
	r.StartEpoch(now, index)
	return r
}

// checkRate returns an error if the loads in any time window exceed rate and burst.
func (s *simulation) checkRate() error {
	for i := range s.loads {
		for j := i; j < len(s.loads); j++ {
			if n, span := float64(j-i+1), (s.loads[j] - s.loads[i]).Seconds(); n > testConfig.Rate*span+float64(testConfig.Burst)+1e-9 {
				return fmt.Errorf("%g loads within %g s", n, span)
			}
		}
	}
	return nil
}

func BenchmarkReconcile(b *testing.B) {
	s := newSimulation(b, 1, 10_000, 2)
	want := Want{Models: map[serving.ModelID]ModelWant{}}
	for i := range 37 {
		id := serving.ModelID(fmt.Sprintf("model-%02d", i))
		want.Models[id] = wantModel(200, Share{"v1", 0.9}, Share{"v2", 0.1})
		for j := i; j < len(s.engines); j += 37 {
			s.engines[j].Models = []ModelVersion{{id, "v1"}}
		}
	}
	r := newLeader(b, 0, 1)
	for b.Loop() {
		s.now += time.Second
		r.Reconcile(s.now, want, s.engines)
	}
}
