package fleet

import (
	"cmp"
	"slices"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// targets returns how many of n engines should carry each version, by largest remainder.
func targets(shares []Share, n int) map[serving.Version]int {
	out := map[serving.Version]int{}
	type rest struct {
		version serving.Version
		part    float64
	}
	var rests []rest
	left := n
	for _, s := range shares {
		exact := s.Share * float64(n)
		out[s.Version] = int(exact)
		left -= int(exact)
		rests = append(rests, rest{s.Version, exact - float64(int(exact))})
	}
	slices.SortStableFunc(rests, func(a, b rest) int { return cmp.Compare(b.part, a.part) })
	for i := 0; i < left && i < len(rests); i++ {
		out[rests[i].version]++
	}
	return out
}

// counts returns how many engines in service carry or will carry each version.
func (p *plan) counts(model serving.ModelID) map[serving.Version]int {
	out := map[serving.Version]int{}
	for _, n := range p.serving {
		for _, list := range [][]ModelVersion{n.Models, n.coming} {
			for _, m := range list {
				if m.Model == model {
					out[m.Version]++
				}
			}
		}
	}
	return out
}

// scarceVersion returns the version that lacks most engines if one more carries the model.
func (p *plan) scarceVersion(model serving.ModelID) serving.Version {
	shares := p.want.Models[model].Versions
	if len(shares) == 0 {
		return ""
	}
	target, have := targets(shares, p.carriers(model)+1), p.counts(model)
	return slices.MaxFunc(shares, func(a, b Share) int {
		return cmp.Compare(target[a.Version]-have[a.Version], target[b.Version]-have[b.Version])
	}).Version
}

// shift moves one engine of a model that operators have not pinned towards the
// wanted shares of versions. The version that lacks engines is loaded first, on
// an engine with room or on a free one; then the surplus is unloaded.
func (p *plan) shift(r *Reconciler, model serving.ModelID) {
	shares := p.want.Models[model].Versions
	if len(shares) == 0 {
		return
	}
	size, ok := r.rollouts[model]
	if !ok {
		size = p.carriers(model)
	}
	size = max(size, p.needed(r, model))
	have, target := p.counts(model), targets(shares, size)
	e, surplus := p.surplus(model, have, target)
	if e == nil {
		delete(r.rollouts, model)
		return
	}
	// The number of engines before the first step, to which the last one returns.
	r.rollouts[model] = size
	lacking := slices.IndexFunc(shares, func(s Share) bool { return have[s.Version] < target[s.Version] })
	if lacking < 0 || p.carriers(model) > size {
		p.wishUnload(e, surplus)
		return
	}
	m := ModelVersion{model, shares[lacking].Version}
	if e.hasRoom() {
		p.wishLoad(e, m)
		return
	}
	if free := p.freeEngine(model); free != nil {
		p.wishLoad(free, m)
		return
	}
	p.wishUnload(e, surplus)
}

// surplus returns an engine that is not pinned and carries a version of which
// there are too many, preferably one that carries another version as well.
func (p *plan) surplus(model serving.ModelID, have, target map[serving.Version]int) (*node, ModelVersion) {
	var found *node
	var version ModelVersion
	for _, e := range p.serving {
		if e.pinned {
			continue
		}
		for _, m := range e.Models {
			if m.Model != model || have[m.Version] <= target[m.Version] {
				continue
			}
			if e.otherVersion(m) {
				return e, m
			}
			if found == nil {
				found, version = e, m
			}
		}
	}
	return found, version
}
