package dispatch

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// LeastInFlight is a baseline placer that chooses the candidate with the fewest
// requests in flight from this entry. Ties are broken in rotation.
type LeastInFlight struct {
	next int
}

// Place returns the candidate with the fewest requests in flight.
func (p *LeastInFlight) Place(_ time.Duration, _ *serving.Request, candidates []serving.Candidate) (int, error) {
	n := len(candidates)
	if n == 0 {
		return 0, noEngine()
	}
	p.next = (p.next + 1) % n
	best := p.next
	for k := 1; k < n; k++ {
		i := (p.next + k) % n
		if candidates[i].InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best, nil
}
