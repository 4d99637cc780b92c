package placement

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/machine"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// Where the memory of engines is scarce, calls with long answers fill it, and calls with brief
// answers, which need it for a moment only, find room only at engines that have just started.
// Their prompts pile up there until all of them are late. A call with a long answer that can
// still wait therefore leaves room for a brief one at each engine, and no prompt is queued
// behind others at an engine where its first event would be late, as long as it can wait for
// another engine. The design note memory-capacity.md gives the reasons.
const (
	// briefAnswer is the time to generate an answer up to which a call is brief: most of the
	// time that it holds memory is for its prompt.
	briefAnswer = 500 * time.Millisecond
	// briefTTL is how long a brief call is taken as a sign that others follow.
	briefTTL = 3 * time.Second
	// briefWeight is the weight of the newest call in the averages over brief calls.
	briefWeight = 0.1
	// firstEventShare is the share of the time to the first event that the prompts at an engine
	// may take. The rest is for the error of the estimate.
	firstEventShare = 0.9
	// briefShare is the share of the time to the first event of brief calls that the prompts of
	// other calls may take at an engine.
	briefShare = 0.4
)

// fadeOthers moves the load of other entries that this entry knows towards the mean of the
// service's engines while no report of them arrives. Engines that had room in the last report
// would otherwise get the calls of all entries that have the same old report.
func (p *Pool) fadeOthers(now time.Duration, s *routing.Service) {
	fadedAt := p.fadedAt[s.ID]
	if !p.ScarceMemory || s.Model == nil || now-p.othersAt < fadeAfter || now-fadedAt < fadeInterval {
		return
	}
	share := min(1, float64(now-max(fadedAt, p.othersAt+fadeAfter))/float64(fadeTime))
	if p.fadedAt == nil {
		p.fadedAt = map[serving.ServiceID]time.Duration{}
	}
	p.fadedAt[s.ID] = now
	var sum usage.Use
	n := 0
	for _, e := range p.engines {
		if e.Service == s.ID && e.Usable() {
			sum.Held += e.others.Held
			sum.Expected += e.others.Expected
			sum.Prefill += e.others.Prefill
			n++
		}
	}
	if n == 0 {
		return
	}
	for _, e := range p.engines {
		if e.Service != s.ID || !e.Usable() {
			continue
		}
		e.others.Held += serving.Tokens(share * float64(sum.Held/serving.Tokens(n)-e.others.Held))
		e.others.Expected += serving.Tokens(share * float64(sum.Expected/serving.Tokens(n)-e.others.Expected))
		e.others.Prefill += serving.Tokens(share * float64(sum.Prefill/serving.Tokens(n)-e.others.Prefill))
	}
}

const (
	// fadeAfter is the age of the last report from which the load of others fades, a few
	// intervals between reports, fadeTime how long that takes, and fadeInterval the time
	// between two steps.
	fadeAfter    = 300 * time.Millisecond
	fadeTime     = 300 * time.Millisecond
	fadeInterval = 50 * time.Millisecond
)

// DetailDeferred is the detail of the error of Place if engines have room for the call, and the
// call should wait because others need it more, or because it would be late there.
const DetailDeferred = "deferred"

// briefCalls describes the recent calls of a service with brief answers.
type briefCalls struct {
	// prompt is the mean number of prompt tokens, and left the mean time until the first event
	// is late.
	prompt float64
	left   time.Duration
	at     time.Duration
}

// recordBrief updates the averages over brief calls.
func (p *Pool) recordBrief(now time.Duration, n *Need) {
	if !p.ScarceMemory || !n.mayDefer() || !n.brief() {
		return
	}
	b := p.brief[n.Service.ID]
	if b == nil {
		if p.brief == nil {
			p.brief = map[serving.ServiceID]*briefCalls{}
		}
		b = &briefCalls{prompt: float64(n.Prompt), left: n.FirstEventBy - now}
		p.brief[n.Service.ID] = b
	}
	b.prompt += briefWeight * (float64(n.Prompt) - b.prompt)
	b.left += time.Duration(briefWeight * float64(n.FirstEventBy-now-b.left))
	b.at = now
}

// mayDefer reports whether a call can be told to wait: a hub places it, it starts from its prompt,
// and there is a time from which on its first event is late.
func (n *Need) mayDefer() bool {
	return n.Service.Model != nil && n.CopyFrom == "" && n.FirstEventBy > 0 && n.Compare == CompareAll
}

// brief reports whether the answer of a call is brief.
func (n *Need) brief() bool {
	return n.Length > 0 && time.Duration(n.Length)*machine.Nominal.Step <= briefAnswer
}

// defers reports whether a call should rather wait than go to an engine with a load, because it
// would be late there, or because calls that can't wait need the room.
func (p *Pool) defers(now time.Duration, e *engine, n *Need) bool {
	if !p.ScarceMemory || n.LastAttempt || !n.mayDefer() {
		return false
	}
	sum := e.total()
	if sum.Running == 0 {
		return false
	}
	est := e.estimate(now, n, &sum, p.speeds(now, n.Service.ID))
	if float64(est.FirstEvent) > firstEventShare*float64(n.FirstEventBy-now) {
		return true
	}
	if n.brief() {
		return false
	}
	b := p.brief[n.Service.ID]
	if b == nil || now-b.at > briefTTL {
		return false
	}
	return !leavesRoom(n.Service.Model, &sum, n, b) || sum.Prefill > 0 && float64(est.PendingTime+est.PromptTime) > briefShare*float64(b.left)
}

// leavesRoom reports whether an engine has room for a brief call beside a call.
func leavesRoom(m *routing.ModelService, sum *usage.Use, n *Need, b *briefCalls) bool {
	return float64(sum.Expected+n.Prompt+n.Output)+b.prompt <= fillLimit*float64(m.MemoryTokens)
}
