package dispatch

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// RoundRobin is a baseline placer that chooses the candidates in rotation.
type RoundRobin struct {
	next int
}

// Place returns the next candidate.
func (p *RoundRobin) Place(_ time.Duration, _ *serving.Request, candidates []serving.Candidate) (int, error) {
	if len(candidates) == 0 {
		return 0, noEngine()
	}
	p.next = (p.next + 1) % len(candidates)
	return p.next, nil
}

func noEngine() error {
	return serving.NewError(serving.KindNoEngine, "no engine in service for the model").WithRetryAfter(time.Second)
}
