package placement

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// Engines of one service generate tokens at different rates: their hardware differs, and
// prompts that are processed between the tokens of other generations delay these. A long
// answer gains from a fast engine for as long as it runs; a short one hardly does, because
// most of its time is its own prompt. Long answers are therefore placed at fast engines
// until these are much fuller than the others, and short ones rather at slow engines, which
// also keeps their prompts away from long answers.

const (
	// paceHalfLife is the half-life of the tokens that a pace is measured from. It covers
	// several generations of one entry, and forgets the load of the past.
	paceHalfLife = 6 * time.Second
	// minPaceTokens is the number of tokens from which the pace of an engine counts, and
	// priorPaceTokens the number of tokens at the typical pace that is added to it.
	minPaceTokens   = 48
	priorPaceTokens = 48
	// reportedPaceTokens is the number of tokens below which a pace isn't reported.
	reportedPaceTokens = 16
	// longAnswer is the time to generate an answer from which on the pace counts fully.
	longAnswer = 2 * time.Second
	// longPaceWeight is the cost of an engine of half the typical pace for a long answer.
	// An engine at three quarters of the pace is then chosen only if the others are fuller
	// by a third of their memory.
	longPaceWeight = 1.0
	// shortPaceWeight is the reduction of that cost for a call without an output.
	shortPaceWeight = 0.1
	// maxPaceExcess bounds the relative excess of the time per token.
	maxPaceExcess = 0.6
)

// paceMeter measures the rate at which one engine generates tokens.
type paceMeter struct {
	tokens float64
	time   float64
	at     time.Duration
}

// record adds tokens that took a time in seconds to generate.
func (m *paceMeter) record(now time.Duration, tokens serving.Tokens, took time.Duration) {
	m.decay(now)
	m.tokens += float64(tokens)
	m.time += took.Seconds()
}

func (m *paceMeter) decay(now time.Duration) {
	if now > m.at {
		f := halfLifeDecay(now-m.at, paceHalfLife)
		m.tokens *= f
		m.time *= f
		m.at = now
	}
}

// report returns the measured pace, or the zero value if it is from too few tokens.
func (m *paceMeter) report(now time.Duration) usage.Pace {
	m.decay(now)
	if m.tokens < reportedPaceTokens {
		return usage.Pace{}
	}
	return usage.Pace{Tokens: serving.Tokens(m.tokens), Time: time.Duration(m.time * float64(time.Second))}
}

// RecordPace records that an engine generated n tokens of one generation in a time.
func (p *Pool) RecordPace(now time.Duration, id serving.EngineID, n serving.Tokens, took time.Duration) {
	if e := p.engines[id]; e != nil && n > 0 && took > 0 {
		e.pace.record(now, n, took)
	}
}

// tokenTime returns the time per token of an engine in seconds as measured by all entries;
// ok is false if too few tokens were measured. prior is the typical time per token, 0 if
// unknown.
func (e *engine) tokenTime(now time.Duration, prior float64) (seconds float64, ok bool) {
	own := e.pace.report(now)
	tokens, took := float64(own.Tokens+e.others.Pace.Tokens), (own.Time + e.others.Pace.Time).Seconds()
	if tokens < minPaceTokens || took <= 0 {
		return 0, false
	}
	if prior <= 0 {
		return took / tokens, true
	}
	return (took + priorPaceTokens*prior) / (tokens + priorPaceTokens), true
}

// typicalPace is the median time per token of the engines of a service in seconds, 0 if it
// is unknown, as computed at a time.
type typicalPace struct {
	seconds float64
	at      time.Duration
}

// typicalPaceTTL is how long a median is used before it is computed again.
const typicalPaceTTL = 200 * time.Millisecond

// typicalPace returns the median time per token of the engines of a service in seconds, 0 if
// it is unknown or the service has no model.
func (p *Pool) typicalPace(now time.Duration, s *routing.Service) float64 {
	if s.Model == nil {
		return 0
	}
	if last, ok := p.pace[s.ID]; ok && now-last.at < typicalPaceTTL {
		return last.seconds
	}
	var times []float64
	for _, e := range p.engines {
		if e.Service != s.ID || !e.Usable() {
			continue
		}
		if t, ok := e.tokenTime(now, 0); ok {
			times = append(times, t)
		}
	}
	if p.pace == nil {
		p.pace = map[serving.ServiceID]typicalPace{}
	}
	p.pace[s.ID] = typicalPace{seconds: lowerMedian(times), at: now}
	return p.pace[s.ID].seconds
}

// paceCost returns the cost of an engine that generates tokens slower than its peers, for an
// answer of an expected length. It is negative for short answers, and for engines that are
// faster.
func (e *engine) paceCost(now time.Duration, length serving.Tokens, typical float64) float64 {
	if typical <= 0 || length <= 0 {
		return 0
	}
	t, ok := e.tokenTime(now, typical)
	if !ok {
		return 0
	}
	excess := min(maxPaceExcess, max(-maxPaceExcess, t/typical-1))
	long := min(1, float64(length)*typical/longAnswer.Seconds())
	return excess * (longPaceWeight*long - shortPaceWeight*(1-long))
}
