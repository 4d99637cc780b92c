package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Priorities of proposals, highest first. Loads share one rate limit, so the
// priority decides which of them are issued first.
const (
	priorityNoneWarm = iota
	priorityBelowMin
	priorityWanted
	priorityUnload
)

// proposal is a candidate order that would bring the engines closer to the desired
// state.
type proposal struct {
	order    Order
	priority int
}

// plan holds the state of one Reconcile call.
type plan struct {
	want    Want
	engines map[serving.EngineID]*engineState
	// sorted has all engines, sorted by id.
	sorted []*engineState
	// active has the engines in service, sorted by id.
	active []*engineState
	// pins counts the engines that operators want to carry a model. It includes
	// engines that are gone or out of service, which other engines replace.
	pins map[serving.ModelID]int
	// warm counts the ready engines in service that carry a model.
	warm      map[serving.ModelID]int
	proposals []proposal
}

// engineState is an engine with the planned changes to it.
type engineState struct {
	*Engine
	// pinned is true if operators want specific models on the engine.
	pinned bool
	// planned has the models that orders in flight and proposals load on the engine.
	planned []ModelVersion
	// failures counts the attempts of an order that timed out without effect.
	failures int
}

// willCarry reports whether the engine carries a model or is planned to.
func (e *engineState) willCarry(model serving.ModelID) bool {
	return containsModel(e.Models, model) || containsModel(e.planned, model)
}

// modelCount returns the number of models that the engine carries or is planned to.
func (e *engineState) modelCount() int { return len(e.Models) + len(e.planned) }

func (e *engineState) hasRoom() bool { return e.modelCount() < e.maxModels() }

func newPlan(want Want, engines []Engine) *plan {
	p := &plan{
		want:    want,
		engines: make(map[serving.EngineID]*engineState, len(engines)),
		sorted:  make([]*engineState, 0, len(engines)),
		pins:    map[serving.ModelID]int{},
		warm:    map[serving.ModelID]int{},
	}
	for i := range engines {
		e := &engines[i]
		state := &engineState{Engine: e, pinned: len(want.Engines[e.ID].Models) > 0}
		p.engines[e.ID] = state
		p.sorted = append(p.sorted, state)
	}
	slices.SortFunc(p.sorted, func(a, b *engineState) int { return cmp.Compare(a.ID, b.ID) })
	for _, state := range p.sorted {
		if state.inService() {
			p.active = append(p.active, state)
			countModels(p.warm, state.Models)
		}
	}
	for _, w := range want.Engines {
		countModels(p.pins, w.Models)
	}
	return p
}

// countModels counts each model of a list once.
func countModels(counts map[serving.ModelID]int, list []ModelVersion) {
	for i, m := range list {
		if !containsModel(list[:i], m.Model) {
			counts[m.Model]++
		}
	}
}

// addPending adds the models of orders in flight to the planned models. An order
// past its time-out is not added but counts as a failure of its engine, which is
// then chosen after the others.
func (p *plan) addPending(now time.Duration, r *Reconciler) {
	for id, pend := range r.pending {
		if pend.done {
			continue
		}
		switch o := pend.order; {
		case now >= pend.deadline(r.cfg.OrderTimeout):
			p.engines[id].failures = pend.attempts + 1
		case o.Command == LoadModel && !p.engines[id].carries(o.Model):
			p.engines[id].planned = append(p.engines[id].planned, o.Model)
		}
	}
}

// build collects the proposals.
func (p *plan) build(r *Reconciler) {
	for _, e := range p.active {
		if want, ok := p.want.Engines[e.ID]; ok {
			p.reconcileEngine(e, want)
		}
	}
	p.replaceLeaving(r)
	models := slices.Sorted(maps.Keys(p.want.Models))
	for _, model := range models {
		// Other models are unloaded to reach the number of engines that operators want
		// for this model, but not to replace leaving engines or to shift versions.
		if n := p.scaleUp(model, max(p.want.Models[model].MinWarm, p.pins[model])); n > 0 {
			r.shortfall[model] = n
			p.makeRoom(r, model)
		}
	}
	for _, model := range models {
		p.scaleUp(model, max(r.minCarriers[model], r.rolloutSizes[model]))
		p.clearMinCarriers(r, model)
		p.shiftVersions(r, model)
	}
}

// reconcileEngine proposes the orders that bring an engine to its desired state. A
// model that is not wanted is unloaded to make room for one that is, unless fewer
// engines than min_warm would carry it.
func (p *plan) reconcileEngine(e *engineState, want EngineWant) {
	if want.Role != "" && e.Role != want.Role {
		p.propose(priorityWanted, Order{Engine: e.ID, Command: SetRole, Role: want.Role})
	}
	missing := slices.DeleteFunc(slices.Clone(want.Models), e.carries)
	for _, m := range missing {
		if e.hasRoom() {
			p.proposeLoad(e, m)
		}
	}
	for _, m := range e.Models {
		if len(want.Models) > 0 && !slices.Contains(want.Models, m) && (!e.hasRoom() || len(missing) == 0) {
			p.proposeUnload(e, m)
		}
	}
	for _, a := range want.Adapters {
		if !e.hasAdapter(a) {
			p.propose(priorityWanted, Order{Engine: e.ID, Command: LoadAdapter, Adapter: a})
		}
	}
}

// replaceLeaving raises the number of engines that should carry the models of an
// engine when it starts to leave, so that other engines load them before it is gone.
func (p *plan) replaceLeaving(r *Reconciler) {
	leaving := map[serving.ModelID]int{}
	for _, e := range p.sorted {
		if e.State != Leaving {
			continue
		}
		for _, v := range e.Models {
			if m := (leavingModel{e.ID, e.Incarnation, v.Model}); !r.replaced[m] {
				r.replaced[m] = true
				leaving[v.Model]++
			}
		}
	}
	for model, n := range leaving {
		r.minCarriers[model] = max(r.minCarriers[model], p.carriers(model)) + n
	}
	maps.DeleteFunc(r.replaced, func(m leavingModel, _ bool) bool { return p.engines[m.engine] == nil })
}

// scaleUp proposes to load a model on free engines until need engines carry it. It
// returns how many are missing because no engine is free.
func (p *plan) scaleUp(model serving.ModelID, need int) int {
	for have := p.carriers(model); have < need; have++ {
		e := p.freeEngine(model)
		if e == nil {
			return need - have
		}
		p.proposeLoad(e, ModelVersion{model, p.mostLackingVersion(model)})
	}
	return 0
}

// clearMinCarriers removes the raised number of carriers once it is reached.
func (p *plan) clearMinCarriers(r *Reconciler, model serving.ModelID) {
	if minimum := r.minCarriers[model]; p.carriers(model) >= minimum && p.warm[model] >= minimum {
		delete(r.minCarriers, model)
	}
}

// makeRoom proposes to unload, from an engine without pinned models, the model that
// has the most engines beyond the number it needs. Surplus copies can accumulate over
// changes of leader.
func (p *plan) makeRoom(r *Reconciler, starved serving.ModelID) {
	var victim *engineState
	var version ModelVersion
	maxSpare := 0
	for _, e := range p.active {
		if e.pinned || e.willCarry(starved) {
			continue
		}
		for _, m := range e.Models {
			if spare := p.warm[m.Model] - p.needed(r, m.Model); spare > maxSpare {
				victim, version, maxSpare = e, m, spare
			}
		}
	}
	if victim != nil {
		p.proposeUnload(victim, version)
	}
}

// needed returns how many engines should carry a model, not counting a rollout.
func (p *plan) needed(r *Reconciler, model serving.ModelID) int {
	return max(p.want.Models[model].MinWarm, p.pins[model], r.minCarriers[model])
}

// carriers counts the engines in service that carry a model or are planned to.
func (p *plan) carriers(model serving.ModelID) int {
	count := 0
	for _, e := range p.active {
		if e.willCarry(model) {
			count++
		}
	}
	return count
}

// freeEngine chooses an engine with room for a model, or returns nil. Engines with
// the fewest timed-out orders come first, then those in the data centre with the
// fewest carriers, then those with the fewest models.
func (p *plan) freeEngine(model serving.ModelID) *engineState {
	inDC := map[serving.DataCentreID]int{}
	var free []*engineState
	for _, e := range p.active {
		switch {
		case e.willCarry(model):
			inDC[e.DataCentre]++
		case !e.pinned && e.hasRoom():
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return slices.MinFunc(free, func(a, b *engineState) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), cmp.Compare(inDC[a.DataCentre], inDC[b.DataCentre]),
			cmp.Compare(a.modelCount(), b.modelCount()), cmp.Compare(a.ID, b.ID))
	})
}

func (p *plan) propose(priority int, o Order) {
	p.proposals = append(p.proposals, proposal{o, priority})
}

func (p *plan) proposeLoad(e *engineState, m ModelVersion) {
	priority := priorityWanted
	if minWarm := p.want.Models[m.Model].MinWarm; p.warm[m.Model] < minWarm {
		priority = priorityBelowMin
		if p.warm[m.Model] == 0 {
			priority = priorityNoneWarm
		}
	}
	if !slices.Contains(e.planned, m) {
		e.planned = append(e.planned, m)
	}
	p.propose(priority, Order{Engine: e.ID, Command: LoadModel, Model: m})
}

// proposeUnload proposes to unload a version, unless fewer engines than min_warm
// would then carry the model.
func (p *plan) proposeUnload(e *engineState, m ModelVersion) {
	if !e.hasOtherVersion(m) {
		if p.warm[m.Model] <= p.want.Models[m.Model].MinWarm {
			return
		}
		p.warm[m.Model]--
	}
	p.propose(priorityUnload, Order{Engine: e.ID, Command: UnloadModel, Model: m})
}
