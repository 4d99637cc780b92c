package machine

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// usualQuantile is the quantile of the measured steps that is taken for a step without a
	// prompt on a machine that isn't shared. With a machine that is shared for 15% of the
	// time and prompts that are read for 60% of it, a third of the steps are such.
	usualQuantile = 0.25
	// minWeight is the number of pauses between events from which the speed counts.
	minWeight = 16
	// updateEvery is the time between two updates of the speed.
	updateEvery = 500 * time.Millisecond
	// downRate and upRate are the shares by which an update moves the slowness to a lower
	// and to a higher measured one. Steps are longer than usual for many reasons and
	// never shorter, so a period in which all of them are longer changes little.
	downRate = 0.5
	upRate   = 0.03
	// reportTTL is how long a speed that others measured goes before the own measurements.
	reportTTL = 10 * time.Second
	// factorTTL is the age from which a factor tells nothing about the present.
	factorTTL = time.Second
	// factorResolution is the time between two factors that count as different. The same
	// one may be reported several times with slightly different ages.
	factorResolution = 100 * time.Millisecond
)

// Engine has what is known about one process of an engine. The zero value knows nothing.
type Engine struct {
	slowness   float64
	updatedAt  time.Duration
	reportedAt time.Duration
	reported   bool

	factor   serving.Percent
	factorAt time.Duration
}

// Update applies the recent measurements of all entries.
func (e *Engine) Update(now time.Duration, s *Steps) {
	if e.slowness > 0 && now-e.updatedAt < updateEvery || e.reported && now-e.reportedAt < reportTTL || s.Weight() < minWeight {
		return
	}
	e.updatedAt = now
	measured := s.Quantile(usualQuantile)
	switch {
	case e.slowness == 0:
		e.slowness = measured
	case measured < e.slowness:
		e.slowness += downRate * (measured - e.slowness)
	default:
		e.slowness += upRate * (measured - e.slowness)
	}
}

// SetSlowness sets the slowness that another process, which has more measurements, has
// found. 0 means that it has found none.
func (e *Engine) SetSlowness(now time.Duration, slowness float64) {
	if slowness > 0 {
		e.slowness, e.reported, e.reportedAt = slowness, true, now
	}
}

// Slowness returns the duration of the engine's steps relative to [Nominal], the inverse of
// its speed; 0 if it is unknown.
func (e *Engine) Slowness() float64 { return e.slowness }

// SetFactor sets the factor of the engine's machine at a time. It reports whether that is
// news.
func (e *Engine) SetFactor(at time.Duration, f serving.Percent) bool {
	if f < serving.MinFactor || f > serving.MaxFactor || e.factor > 0 && at < e.factorAt+factorResolution {
		return false
	}
	e.factor, e.factorAt = f, at
	return true
}

// Factor returns the last factor and its age; 0 if none is known.
func (e *Engine) Factor(now time.Duration) (f serving.Percent, age time.Duration) {
	if e.factor == 0 {
		return 0, 0
	}
	return e.factor, max(0, now-e.factorAt)
}

// Work is what a call needs from an engine, and what the engine does already.
type Work struct {
	// Prompt is the number of prompt tokens of the call, and Cached the number of those
	// that the engine has cached.
	Prompt, Cached serving.Tokens
	// Pending is the number of prompt tokens of other calls that are to be read before.
	Pending serving.Tokens
	// Running is the number of calls at the engine, with this one.
	Running serving.Slots
	// PerEvent is the number of tokens of an event.
	PerEvent serving.Tokens
	// Typical is the slowness of engines about which nothing is known.
	Typical float64
}

// Estimate is the expected speed of a call at an engine.
type Estimate struct {
	// FirstEvent is the expected time to the first event, and FirstEventBad that time if the
	// machine is shared meanwhile.
	FirstEvent, FirstEventBad time.Duration
	// Pause is the time between two events in the usual case: no prompt is read beside the
	// stream, and the machine isn't shared.
	Pause time.Duration
	// PausePrompts is the time between two events while prompts are read, PauseShared that
	// on a shared machine, and PauseBad that with both.
	PausePrompts, PauseShared, PauseBad time.Duration
	// PromptTime is how long the engine reads the prompt in the usual case, and PendingTime
	// the same for the prompts before it.
	PromptTime, PendingTime time.Duration
}

// Estimate estimates the times of a call.
func (e *Engine) Estimate(now time.Duration, w *Work, s *Sharing) Estimate {
	slowness := e.slowness
	if slowness <= 0 {
		slowness = w.Typical
	}
	if slowness <= 0 {
		slowness = 1
	}
	n := &Nominal
	step := float64(n.step(w.Running)) * slowness
	withPrompt := step + float64(n.ChunkTime)*slowness
	perEvent := float64(max(1, w.PerEvent))
	prompt := chunks(w.Prompt-w.Cached) * withPrompt
	pending := chunks(w.Pending) * withPrompt
	first := pending + prompt
	ratio := s.Ratio()
	return Estimate{
		FirstEvent: time.Duration(first + e.delay(now, first, s)), FirstEventBad: time.Duration(first + sharedDelay(first, ratio, Episode)),
		Pause: time.Duration(perEvent * step), PausePrompts: time.Duration(perEvent * withPrompt),
		PauseShared: time.Duration(perEvent * step * ratio), PauseBad: time.Duration(perEvent * withPrompt * ratio),
		PromptTime: time.Duration(prompt), PendingTime: time.Duration(pending),
	}
}

// delay returns by how much work is expected to take longer than usual. A recent factor
// counts for what is left of a typical episode, less the older it is; the long-run mean
// counts for the rest.
func (e *Engine) delay(now time.Duration, work float64, s *Sharing) float64 {
	longRun := work * (s.Mean() - 1)
	f, age := e.Factor(now)
	if f == 0 || age >= factorTTL {
		return longRun
	}
	weight := 1 - float64(age)/float64(factorTTL)
	return weight*sharedDelay(work, float64(f)/100, Episode) + (1-weight)*longRun
}

// sharedDelay returns by how much work takes longer on a machine that is shared for a time.
func sharedDelay(work, ratio float64, shared time.Duration) float64 {
	ratio = max(1, ratio)
	return min(work*(ratio-1), float64(shared)*(1-1/ratio))
}

// chunks returns the number of steps that read prompt tokens.
func chunks(t serving.Tokens) float64 {
	return float64((max(0, t) + Nominal.Chunk - 1) / Nominal.Chunk)
}
