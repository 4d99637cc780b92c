package fleet

import (
	"cmp"
	"slices"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// versionTargets returns how many of n engines should carry each version, by the
// largest remainder method.
func versionTargets(shares []Share, n int) map[serving.Version]int {
	out := map[serving.Version]int{}
	type remainder struct {
		version  serving.Version
		fraction float64
	}
	var remainders []remainder
	unassigned := n
	for _, s := range shares {
		exact := s.Share * float64(n)
		out[s.Version] = int(exact)
		unassigned -= int(exact)
		remainders = append(remainders, remainder{s.Version, exact - float64(int(exact))})
	}
	slices.SortStableFunc(remainders, func(a, b remainder) int { return cmp.Compare(b.fraction, a.fraction) })
	for i := 0; i < unassigned && i < len(remainders); i++ {
		out[remainders[i].version]++
	}
	return out
}

// versionCounts returns how many engines in service carry or will carry each version.
func (p *plan) versionCounts(model serving.ModelID) map[serving.Version]int {
	out := map[serving.Version]int{}
	for _, e := range p.active {
		for _, list := range [][]ModelVersion{e.Models, e.planned} {
			for _, m := range list {
				if m.Model == model {
					out[m.Version]++
				}
			}
		}
	}
	return out
}

// mostLackingVersion returns the version that would be furthest below its target if
// one more engine carried the model.
func (p *plan) mostLackingVersion(model serving.ModelID) serving.Version {
	shares := p.want.Models[model].Versions
	if len(shares) == 0 {
		return ""
	}
	target, have := versionTargets(shares, p.carriers(model)+1), p.versionCounts(model)
	return slices.MaxFunc(shares, func(a, b Share) int {
		return cmp.Compare(target[a.Version]-have[a.Version], target[b.Version]-have[b.Version])
	}).Version
}

// shiftVersions proposes one step towards the desired shares of a model's versions.
// It changes only engines for which operators have not pinned models. The version
// that lacks engines is loaded first, on the engine with the surplus version if it has
// room, or else on a free engine. The surplus version is unloaded afterwards, or first
// if no engine is free.
func (p *plan) shiftVersions(r *Reconciler, model serving.ModelID) {
	shares := p.want.Models[model].Versions
	if len(shares) == 0 {
		return
	}
	size, ok := r.rolloutSizes[model]
	if !ok {
		size = p.carriers(model)
	}
	size = max(size, p.needed(r, model))
	have, target := p.versionCounts(model), versionTargets(shares, size)
	e, surplus := p.surplus(model, have, target)
	if e == nil {
		delete(r.rolloutSizes, model)
		return
	}
	// build returns to this number of engines after a step that unloads a version
	// before it loads the other one.
	r.rolloutSizes[model] = size
	lacking := slices.IndexFunc(shares, func(s Share) bool { return have[s.Version] < target[s.Version] })
	if lacking < 0 || p.carriers(model) > size {
		p.proposeUnload(e, surplus)
		return
	}
	m := ModelVersion{model, shares[lacking].Version}
	if e.hasRoom() {
		p.proposeLoad(e, m)
		return
	}
	if free := p.freeEngine(model); free != nil {
		p.proposeLoad(free, m)
		return
	}
	p.proposeUnload(e, surplus)
}

// surplus returns an engine that is not pinned and carries a version that exceeds
// its target, preferably one that also carries another version of the model.
func (p *plan) surplus(model serving.ModelID, have, target map[serving.Version]int) (*engineState, ModelVersion) {
	var found *engineState
	var version ModelVersion
	for _, e := range p.active {
		if e.pinned {
			continue
		}
		for _, m := range e.Models {
			if m.Model != model || have[m.Version] <= target[m.Version] {
				continue
			}
			if e.hasOtherVersion(m) {
				return e, m
			}
			if found == nil {
				found, version = e, m
			}
		}
	}
	return found, version
}
