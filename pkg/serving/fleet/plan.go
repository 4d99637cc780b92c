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
	engines map[serving.EngineID]*node
	// nodes are the engines in the order of their ids.
	nodes []*node
	// serving are the nodes in service.
	serving []*node
	// pins count the engines that operators want to carry a model, including
	// those that are gone or out, whose part others take over.
	pins map[serving.ModelID]int
	// warm counts the ready engines in service that carry a model.
	warm   map[serving.ModelID]int
	wishes []wish
}

// node is an engine and what will become of it.
type node struct {
	*Engine
	// pinned is true if operators want certain models there.
	pinned bool
	// coming are the models that the engine will carry by orders in flight and wishes.
	coming []ModelVersion
	// failures counts the attempts of an order that had no effect in time.
	failures int
}

// willCarry reports whether the engine carries a model or will.
func (n *node) willCarry(model serving.ModelID) bool {
	return has(n.Models, model) || has(n.coming, model)
}

// load is the number of models that the engine carries or will.
func (n *node) load() int { return len(n.Models) + len(n.coming) }

func (n *node) hasRoom() bool { return n.load() < n.maxModels() }

func newPlan(want Want, engines []Engine) *plan {
	p := &plan{
		want:    want,
		engines: make(map[serving.EngineID]*node, len(engines)),
		nodes:   make([]*node, 0, len(engines)),
		pins:    map[serving.ModelID]int{},
		warm:    map[serving.ModelID]int{},
	}
	for i := range engines {
		e := &engines[i]
		n := &node{Engine: e, pinned: len(want.Engines[e.ID].Models) > 0}
		p.engines[e.ID] = n
		p.nodes = append(p.nodes, n)
	}
	slices.SortFunc(p.nodes, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	for _, n := range p.nodes {
		if n.inService() {
			p.serving = append(p.serving, n)
			countModels(p.warm, n.Models)
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
		if !has(list[:i], m.Model) {
			counts[m.Model]++
		}
	}
}

// addPending adds the models of orders in flight. An order past its time-out no
// longer counts; its engine is chosen after the others.
func (p *plan) addPending(now time.Duration, r *Reconciler) {
	for id, pend := range r.pending {
		if pend.done {
			continue
		}
		switch o := pend.order; {
		case now >= pend.deadline(r.cfg.OrderTimeout):
			p.engines[id].failures = pend.attempts + 1
		case o.Command == LoadModel && !p.engines[id].carries(o.Model):
			p.engines[id].coming = append(p.engines[id].coming, o.Model)
		}
	}
}

// build collects the wishes.
func (p *plan) build(r *Reconciler) {
	for _, n := range p.serving {
		if want, ok := p.want.Engines[n.ID]; ok {
			p.pin(n, want)
		}
	}
	p.noteLeaving(r)
	models := slices.Sorted(maps.Keys(p.want.Models))
	for _, model := range models {
		// Only what operators ask for takes room from other models.
		if n := p.fill(model, max(p.want.Models[model].MinWarm, p.pins[model])); n > 0 {
			r.shortfall[model] = n
			p.makeRoom(r, model)
		}
	}
	for _, model := range models {
		p.fill(model, max(r.floors[model], r.rollouts[model]))
		p.endFloor(r, model)
		p.shift(r, model)
	}
}

// pin brings an engine to what operators want of it. A model that is not
// wanted makes room for one that is, unless too few engines would stay warm.
func (p *plan) pin(e *node, want EngineWant) {
	if want.Role != "" && e.Role != want.Role {
		p.wish(urgentWanted, Order{Engine: e.ID, Command: SetRole, Role: want.Role})
	}
	missing := slices.DeleteFunc(slices.Clone(want.Models), e.carries)
	for _, m := range missing {
		if e.hasRoom() {
			p.wishLoad(e, m)
		}
	}
	for _, m := range e.Models {
		if len(want.Models) > 0 && !slices.Contains(want.Models, m) && (!e.hasRoom() || len(missing) == 0) {
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
	for _, e := range p.nodes {
		if e.State != Leaving {
			continue
		}
		for _, v := range e.Models {
			if m := (move{e.ID, e.Incarnation, v.Model}); !r.moved[m] {
				r.moved[m] = true
				leaving[v.Model]++
			}
		}
	}
	for model, n := range leaving {
		r.floors[model] = max(r.floors[model], p.carriers(model)) + n
	}
	maps.DeleteFunc(r.moved, func(m move, _ bool) bool { return p.engines[m.engine] == nil })
}

// fill loads a model on free engines until need engines carry it. It reports
// how many had no room.
func (p *plan) fill(model serving.ModelID, need int) int {
	for have := p.carriers(model); have < need; have++ {
		e := p.freeEngine(model)
		if e == nil {
			return need - have
		}
		p.wishLoad(e, ModelVersion{model, p.scarceVersion(model)})
	}
	return 0
}

// endFloor forgets the raised number of carriers once it is reached.
func (p *plan) endFloor(r *Reconciler, model serving.ModelID) {
	if floor := r.floors[model]; p.carriers(model) >= floor && p.warm[model] >= floor {
		delete(r.floors, model)
	}
}

// makeRoom unloads a model that has most engines above its need from an engine
// without pins. Copies can pile up over changes of leaders.
func (p *plan) makeRoom(r *Reconciler, starved serving.ModelID) {
	var victim *node
	var version ModelVersion
	most := 0
	for _, n := range p.serving {
		if n.pinned || n.willCarry(starved) {
			continue
		}
		for _, m := range n.Models {
			if spare := p.warm[m.Model] - p.needed(r, m.Model); spare > most {
				victim, version, most = n, m, spare
			}
		}
	}
	if victim != nil {
		p.wishUnload(victim, version)
	}
}

// needed returns how many engines should carry a model apart from a rollout.
func (p *plan) needed(r *Reconciler, model serving.ModelID) int {
	return max(p.want.Models[model].MinWarm, p.pins[model], r.floors[model])
}

// carriers counts the engines in service that carry a model or will.
func (p *plan) carriers(model serving.ModelID) int {
	count := 0
	for _, n := range p.serving {
		if n.willCarry(model) {
			count++
		}
	}
	return count
}

// freeEngine chooses an engine with room for a model: in the data centre with
// the fewest carriers, then the least loaded one. One that ignored an order
// comes last.
func (p *plan) freeEngine(model serving.ModelID) *node {
	inDC := map[serving.DataCentreID]int{}
	var free []*node
	for _, n := range p.serving {
		switch {
		case n.willCarry(model):
			inDC[n.DataCentre]++
		case !n.pinned && n.hasRoom():
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return slices.MinFunc(free, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), cmp.Compare(inDC[a.DataCentre], inDC[b.DataCentre]),
			cmp.Compare(a.load(), b.load()), cmp.Compare(a.ID, b.ID))
	})
}

func (p *plan) wish(urgency int, o Order) { p.wishes = append(p.wishes, wish{o, urgency}) }

func (p *plan) wishLoad(e *node, m ModelVersion) {
	urgency := urgentWanted
	if minWarm := p.want.Models[m.Model].MinWarm; p.warm[m.Model] < minWarm {
		urgency = urgentBelowMin
		if p.warm[m.Model] == 0 {
			urgency = urgentNoneWarm
		}
	}
	if !slices.Contains(e.coming, m) {
		e.coming = append(e.coming, m)
	}
	p.wish(urgency, Order{Engine: e.ID, Command: LoadModel, Model: m})
}

// wishUnload unloads a version unless fewer engines than min_warm would be left.
func (p *plan) wishUnload(e *node, m ModelVersion) {
	if !e.otherVersion(m) {
		if p.warm[m.Model] <= p.want.Models[m.Model].MinWarm {
			return
		}
		p.warm[m.Model]--
	}
	p.wish(urgentRest, Order{Engine: e.ID, Command: UnloadModel, Model: m})
}
