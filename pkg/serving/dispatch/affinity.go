package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Affinity wraps a placer and applies consistent hashing with bounded loads: requests of the
// same session or with the same prefix go to the same engine, unless that engine has
// more than Bound times the mean load or Admitter refuses the request there.
type Affinity struct {
	Next serving.Placer
	// Bound is the highest permitted ratio of an engine's load to the mean load; it
	// must be greater than 1.
	Bound float64
	// MaxSuccessors is the maximum number of engines tried, starting at the request's
	// position on the hash ring.
	MaxSuccessors int
	// Admitter, if set, excludes engines at which it does not admit the request.
	Admitter serving.Admitter
}

// NewAffinity wraps next with hash affinity under the given load bound. It tries two
// engines on the hash ring.
func NewAffinity(next serving.Placer, bound float64) *Affinity {
	return &Affinity{Next: next, Bound: bound, MaxSuccessors: 2}
}

// Place returns the first engine after the request's position on the hash ring that is
// within the bound, or the choice of Next if there is none.
func (p *Affinity) Place(now time.Duration, r *serving.Request, candidates []serving.Candidate) (int, error) {
	h, ok := affinityHash(r)
	if !ok || len(candidates) < 2 {
		return p.Next.Place(now, r, candidates)
	}
	var total float64
	for i := range candidates {
		total += float64(candidates[i].Busy())
	}
	maxBusy := p.Bound * (total + 1) / float64(len(candidates))
	minDist := uint64(0)
	for range p.MaxSuccessors {
		best, bestDist := -1, uint64(math.MaxUint64)
		for i := range candidates {
			// Prefix reuse does not justify traffic between regions.
			if r.Region != "" && candidates[i].Region != r.Region {
				continue
			}
			// Unsigned wrap-around gives the clockwise distance on the ring.
			if d := candidates[i].Hash - h; d >= minDist && d < bestDist {
				best, bestDist = i, d
			}
		}
		if best < 0 {
			break
		}
		if p.permits(now, r, &candidates[best], maxBusy) {
			return best, nil
		}
		minDist = bestDist + 1
	}
	return p.Next.Place(now, r, candidates)
}

func (p *Affinity) permits(now time.Duration, r *serving.Request, c *serving.Candidate, maxBusy float64) bool {
	// While an engine is ramping up, affinity uses at most half of its limit.
	if c.FreeSlots() <= 0 || c.Cold && 2*(c.Busy()+1) > c.Limit || float64(c.Busy()+1) > math.Ceil(maxBusy) {
		return false
	}
	return p.Admitter == nil || p.Admitter.Admit(now, r, c).Admitted
}

// affinityHash returns the position on the hash ring of the request's session or,
// without a session, of its shortest prompt prefix. It returns false if the request has neither.
func affinityHash(r *serving.Request) (uint64, bool) {
	if r.Session != "" {
		return xxhash.Sum64String(r.Session), true
	}
	if len(r.PrefixHashes) > 0 {
		return r.PrefixHashes[0], true
	}
	return 0, false
}
