package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Affinity decorates a placer with hash affinity under a bounded load: requests
// of one session or common prefix go to the same engine, unless that engine has
// more than Bound times the mean load or its memory is under pressure.
type Affinity struct {
	Next serving.Placer
	// Bound is the largest permitted ratio to the mean load; it is greater than 1.
	Bound float64
	// Reach is the number of successors on the ring that are tried.
	Reach int
	// Admitter, when set, excludes engines that it would not admit.
	Admitter serving.Admitter
}

// NewAffinity returns an affinity decorator of next with the given load bound.
func NewAffinity(next serving.Placer, bound float64) *Affinity {
	return &Affinity{Next: next, Bound: bound, Reach: 2}
}

// Place returns the first engine after the request's hash on the ring that is
// within the bound, or else the choice of the decorated placer.
func (p *Affinity) Place(now time.Duration, r *serving.Request, candidates []serving.Candidate) (int, error) {
	h, ok := affinityHash(r)
	if !ok || len(candidates) < 2 {
		return p.Next.Place(now, r, candidates)
	}
	var total float64
	for i := range candidates {
		total += float64(candidates[i].Busy())
	}
	most := p.Bound * (total + 1) / float64(len(candidates))
	after := uint64(0)
	for range p.Reach {
		best, bestDist := -1, uint64(math.MaxUint64)
		for i := range candidates {
			// Affinity serves prefix reuse, which is not worth traffic between regions.
			if r.Region != "" && candidates[i].Region != r.Region {
				continue
			}
			// Unsigned wrap-around gives the clockwise distance on the ring.
			if d := candidates[i].Hash - h; d >= after && d < bestDist {
				best, bestDist = i, d
			}
		}
		if best < 0 {
			break
		}
		if p.permits(now, r, &candidates[best], most) {
			return best, nil
		}
		after = bestDist + 1
	}
	return p.Next.Place(now, r, candidates)
}

func (p *Affinity) permits(now time.Duration, r *serving.Request, c *serving.Candidate, most float64) bool {
	// An engine that is ramped up gets no more than half of its limit this way.
	if c.Room() <= 0 || c.Cold && 2*(c.Busy()+1) > c.Limit || float64(c.Busy()+1) > math.Ceil(most) {
		return false
	}
	return p.Admitter == nil || p.Admitter.Admit(now, r, c).Admitted
}

// affinityHash returns the point on the ring of a session, or else of the
// shortest prefix of the prompt.
func affinityHash(r *serving.Request) (uint64, bool) {
	if r.Session != "" {
		return xxhash.Sum64String(r.Session), true
	}
	if len(r.PrefixHashes) > 0 {
		return r.PrefixHashes[0], true
	}
	return 0, false
}
