package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Urgencies of orders. Loads share one rate, so that the order decides.
const (
	urgentNoneWarm = iota
	urgentBelowMin
	urgentWanted
	urgentRest
)

// wish is an order that would bring the engines closer to the wanted state.
type wish struct {
	order   Order
	urgency int
}

// plan is the state of one Reconcile call.
type plan struct {
	want    Want
	engines map[serving.EngineID]*Engine
	ids     []serving.EngineID
	// coming are the models that engines will carry by orders in flight and wishes.
	coming map[serving.EngineID][]ModelVersion
	// warm counts the ready engines in service that carry a model.
	warm   map[serving.ModelID]int
	wishes []wish
	// failures counts the attempts of orders that had no effect in time.
	failures map[serving.EngineID]int
}

func newPlan(want Want, engines []Engine) *plan {
	p := &plan{
		want:    want,
		engines: make(map[serving.EngineID]*Engine, len(engines)),
		coming:  map[serving.EngineID][]ModelVersion{},
		warm:    map[serving.ModelID]int{},

		failures: map[serving.EngineID]int{},
	}
	for i := range engines {
		p.engines[engines[i].ID] = &engines[i]
	}
	p.ids = slices.Sorted(maps.Keys(p.engines))
	for _, id := range p.ids {
		e := p.engines[id]
		if e.inService() {
			for model := range modelsOf(e.Models) {
				p.warm[model]++
			}
		}
	}
	return p
}

// addPending adds the models of orders in flight. An order past its time-out no
// longer counts; its engine is chosen after the others.
func (p *plan) addPending(now time.Duration, r *Reconciler) {
	for id, pend := range r.pending {
		switch o := pend.order; {
		case now >= pend.deadline(r.cfg.OrderTimeout):
			p.failures[id] = pend.attempts + 1
		case o.Command == LoadModel && !p.engines[id].carries(o.Model):
			p.coming[id] = append(p.coming[id], o.Model)
		}
	}
}

func has(list []ModelVersion, model serving.ModelID) bool {
	return slices.ContainsFunc(list, func(m ModelVersion) bool { return m.Model == model })
}

func modelsOf(list []ModelVersion) map[serving.ModelID]bool {
	set := map[serving.ModelID]bool{}
	for _, m := range list {
		set[m.Model] = true
	}
	return set
}

// build collects the wishes.
func (p *plan) build(r *Reconciler) {
	for _, id := range p.ids {
		if want, ok := p.want.Engines[id]; ok && p.engines[id].inService() {
			p.pinned(p.engines[id], want)
		}
	}
	p.noteLeaving(r)
	for _, model := range slices.Sorted(maps.Keys(p.want.Models)) {
		p.fill(r, model)
		p.shift(r, model)
	}
}

// pinned brings an engine to what operators want of it. A model that is not
// wanted makes room for one that is, unless too few engines would stay warm.
func (p *plan) pinned(e *Engine, want EngineWant) {
	if want.Role != "" && e.Role != want.Role {
		p.wish(urgentWanted, Order{Engine: e.ID, Command: SetRole, Role: want.Role})
	}
	missing := slices.DeleteFunc(slices.Clone(want.Models), e.carries)
	for _, m := range missing {
		if p.load(e) < e.maxModels() {
			p.wishLoad(e, m)
		}
	}
	for _, m := range e.Models {
		if len(want.Models) > 0 && !slices.Contains(want.Models, m) && (p.load(e) >= e.maxModels() || len(missing) == 0) {
			p.wishUnload(e, m)
		}
	}
	for _, a := range want.Adapters {
		if !e.hasAdapter(a) {
			p.wish(urgentWanted, Order{Engine: e.ID, Command: LoadAdapter, Adapter: a})
		}
	}
}

// noteLeaving raises the number of engines that should carry the models of an
// engine when it starts to leave, so that they move elsewhere before it is gone.
func (p *plan) noteLeaving(r *Reconciler) {
	leaving := map[serving.ModelID]int{}
	for _, id := range p.ids {
		e := p.engines[id]
		if e.State != Leaving {
			continue
		}
		for model := range modelsOf(e.Models) {
			if m := (move{id, e.Incarnation, model}); !r.moved[m] {
				r.moved[m] = true
				leaving[model]++
			}
		}
	}
	for model, n := range leaving {
		r.floors[model] = max(r.floors[model], p.carriers(model)) + n
	}
	maps.DeleteFunc(r.moved, func(m move, _ bool) bool { return p.engines[m.engine] == nil })
}

// fill loads a model on free engines until enough carry it.
func (p *plan) fill(r *Reconciler, model serving.ModelID) {
	need := max(p.want.Models[model].MinWarm, p.pins(model), r.floors[model], r.rollouts[model])
	have := p.carriers(model)
	if have >= r.floors[model] && p.warm[model] >= r.floors[model] {
		delete(r.floors, model)
	}
	for ; have < need; have++ {
		e := p.freeEngine(model)
		if e == nil {
			r.shortfall[model] = need - have
			return
		}
		p.wishLoad(e, ModelVersion{model, p.scarceVersion(model)})
	}
}

// pins counts the engines that operators want to carry a model, including those
// that are gone or out, whose part others take over.
func (p *plan) pins(model serving.ModelID) int {
	n := 0
	for _, want := range p.want.Engines {
		if has(want.Models, model) {
			n++
		}
	}
	return n
}

// carriers counts the engines in service that carry a model or will.
func (p *plan) carriers(model serving.ModelID) int {
	n := 0
	for _, id := range p.ids {
		if e := p.engines[id]; e.inService() && (has(e.Models, model) || has(p.coming[id], model)) {
			n++
		}
	}
	return n
}

// load is the number of models that an engine carries or will.
func (p *plan) load(e *Engine) int { return len(e.Models) + len(p.coming[e.ID]) }

// freeEngine chooses an engine with room for a model: in the data centre with
// the fewest carriers, then the least loaded one. One that ignored an order
// comes last.
func (p *plan) freeEngine(model serving.ModelID) *Engine {
	inDC := map[serving.DataCentreID]int{}
	var free []*Engine
	for _, id := range p.ids {
		e := p.engines[id]
		if !e.inService() {
			continue
		}
		if has(e.Models, model) || has(p.coming[id], model) {
			inDC[e.DataCentre]++
			continue
		}
		if len(p.want.Engines[id].Models) == 0 && p.load(e) < e.maxModels() {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return slices.MinFunc(free, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(p.failures[a.ID], p.failures[b.ID]), cmp.Compare(inDC[a.DataCentre], inDC[b.DataCentre]), cmp.Compare(p.load(a), p.load(b)), cmp.Compare(a.ID, b.ID))
	})
}

func (p *plan) wish(urgency int, o Order) { p.wishes = append(p.wishes, wish{o, urgency}) }

func (p *plan) wishLoad(e *Engine, m ModelVersion) {
	urgency := urgentWanted
	if minWarm := p.want.Models[m.Model].MinWarm; p.warm[m.Model] < minWarm {
		urgency = urgentBelowMin
		if p.warm[m.Model] == 0 {
			urgency = urgentNoneWarm
		}
	}
	if !slices.Contains(p.coming[e.ID], m) {
		p.coming[e.ID] = append(p.coming[e.ID], m)
	}
	p.wish(urgency, Order{Engine: e.ID, Command: LoadModel, Model: m})
}

// wishUnload unloads a version unless fewer engines than min_warm would be left.
func (p *plan) wishUnload(e *Engine, m ModelVersion) {
	if !e.otherVersion(m) {
		if p.warm[m.Model] <= p.want.Models[m.Model].MinWarm {
			return
		}
		p.warm[m.Model]--
	}
	p.wish(urgentRest, Order{Engine: e.ID, Command: UnloadModel, Model: m})
}
