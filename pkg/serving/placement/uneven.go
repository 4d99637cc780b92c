package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/machine"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// Where the engines of a service differ in speed, or state that their machines are shared, and
// most of them sustain what callers need, a call is placed by whether its engine does: the time
// to the first event, and the pause between events also while prompts are read beside it and the
// machine is shared. A call whose prompt would make streams of others late is kept from their
// engine. The design notes engine-estimates.md and long-prompts.md give the reasons.
const (
	// unevenSpread is the ratio of the slowness of slow engines to that of fast ones, the
	// quantiles slowQuantile and fastQuantile, from which a service has uneven engines, and
	// evenSpread the one below which it has no longer. Engines that differ less than
	// unevenSpread are covered by paceCost.
	unevenSpread = 1.5
	evenSpread   = 1.35
	slowQuantile = 0.9
	fastQuantile = 0.1
	// minMeasured is the number of measured engines from which speeds are compared.
	minMeasured = 4
	// lateWeight is the cost of a stream that is late, which has a sixth of its value. It
	// exceeds the cost of a full engine in another region.
	lateWeight = 2.0
	// copyPaceWeight is the cost of a late stream for copies. It is below copyOtherDCCost and
	// the cost of half an engine's memory: a copy that comes too late, or that finds no room,
	// loses the stream.
	copyPaceWeight = 0.35
	// pauseMargin is the share of the required pause from which on an estimated pause may be
	// too long, because of the network and the error of the estimate. At the required pause,
	// it certainly is.
	pauseMargin = 0.85
	// pacedEvents is the number of further events from which a stream counts as one that
	// needs a pace.
	pacedEvents = 16
	// promptShare is the share of the time for which prompts are expected beside a stream at an
	// engine where none is pending now, and pendingPromptTime the time of pending prompts from
	// which on they are expected all the time.
	promptShare       = 0.5
	pendingPromptTime = time.Second
	// excessWeight is the additional cost of an engine with twice the required pause.
	excessWeight = 0.3
	// firstEventMargin is the share of the time to the first event from which on an engine
	// is avoided, and firstEventExcess the one at which the call is certainly late.
	firstEventMargin = 0.75
	firstEventExcess = 1.05
	// maxThreatened bounds the number of streams of others that a prompt is charged with.
	maxThreatened = 8
	// unevenSampleFactor multiplies the sampling weight of an engine where the risk of late
	// streams exceeds unsuitableRisk.
	unevenSampleFactor = 0.25
	unsuitableRisk     = 0.25
	// stepHalfLife is the half-life of measured steps, and minReportedSteps the weight below
	// which they aren't reported.
	stepHalfLife     = 6 * time.Second
	minReportedSteps = 1.0
	// maxReportedSteps is the number of engines whose steps are in one report, those first
	// whose steps were not reported for longest. It bounds the steps to 500 bytes of a report,
	// 5 KB/s at ten reports a second.
	maxReportedSteps = 16
	// minOwnSteps is the weight of the steps from which an entry relies on its own ones while
	// no hub tells it a speed. A few streams may all run beside prompts.
	minOwnSteps = 60.0
	// factorReportAge is the age from which a factor isn't reported, and factorUseAge the one
	// from which steps are no longer divided by it: half an episode of a shared machine.
	factorReportAge = 2 * time.Second
	factorUseAge    = machine.Episode / 2
)

// stepMeter measures the steps of one engine.
type stepMeter struct {
	steps machine.Steps
	at    time.Duration
}

func (m *stepMeter) decay(now time.Duration) {
	if now > m.at {
		m.steps.Scale(halfLifeDecay(now-m.at, stepHalfLife))
		m.at = now
	}
}

// report returns the recent steps, nil if there are too few.
func (m *stepMeter) report(now time.Duration) *machine.Steps {
	m.decay(now)
	if m.steps.Weight() < minReportedSteps {
		return nil
	}
	steps := m.steps
	return &steps
}

// chooseReportedSteps chooses the engines whose steps are in the next report.
func (p *Pool) chooseReportedSteps(now time.Duration) {
	p.withSteps = p.withSteps[:0]
	for _, e := range p.engines {
		e.reportsSteps = false
		e.steps.decay(now)
		if e.steps.steps.Weight() >= minReportedSteps {
			p.withSteps = append(p.withSteps, e)
		}
	}
	if len(p.withSteps) > maxReportedSteps {
		slices.SortFunc(p.withSteps, func(a, b *engine) int { return cmp.Compare(a.stepsReported, b.stepsReported) })
		p.withSteps = p.withSteps[:maxReportedSteps]
	}
	p.reports++
	for _, e := range p.withSteps {
		e.reportsSteps, e.stepsReported = true, p.reports
	}
}

// RecordSteps records that a generation at an engine made n events within a time. A cold
// engine isn't measured, because it is slow for another reason.
func (p *Pool) RecordSteps(now time.Duration, id serving.EngineID, n int64, perEvent serving.Tokens, took time.Duration) {
	e := p.engines[id]
	if e == nil || n <= 0 || took <= 0 || now < e.ColdUntil {
		return
	}
	slowness := machine.Nominal.Slowness(took, serving.Tokens(n)*perEvent, max(1, e.own.Running+e.others.Running))
	if f, age := e.machine.Factor(now); f > 0 && age+took/2 <= factorUseAge {
		slowness *= 100 / float64(f)
	}
	e.steps.decay(now)
	e.steps.steps.Record(slowness, n)
}

// SetFactor records the factor that an engine has stated in an answer that wasn't one to a call.
func (p *Pool) SetFactor(at time.Duration, id serving.EngineID, f serving.Percent) {
	if e := p.engines[id]; e != nil {
		p.setFactor(at, e, f)
	}
}

// SharedMachine is an engine whose machine is worth asking how long work takes there.
type SharedMachine struct {
	Engine  serving.EngineID
	Service serving.ServiceID
	Address string
}

// SharedMachines returns the engines of a data centre, sorted by id, whose streams miss their
// pace if a prompt is read while the machine is shared. There are none for services whose
// engines have never stated a factor, or differ little in speed.
func (p *Pool) SharedMachines(now time.Duration, dc serving.DataCentreID) []SharedMachine {
	var out []SharedMachine
	for _, e := range p.engines {
		if e.DataCentre != dc || !e.Usable() || e.saidLeaving || e.others.Paced+e.own.Paced == 0 {
			continue
		}
		s := p.speeds(now, e.Service)
		if !s.uneven || !s.sharing.Known() {
			continue
		}
		sum := e.total()
		if e.breaksPace(now, &sum, s) {
			out = append(out, SharedMachine{Engine: e.Engine, Service: e.Service, Address: e.Address})
		}
	}
	slices.SortFunc(out, func(a, b SharedMachine) int { return strings.Compare(string(a.Engine), string(b.Engine)) })
	return out
}

// breaksPace reports whether streams at the engine miss their pace if a prompt is read there
// while the machine is shared.
func (e *engine) breaksPace(now time.Duration, sum *usage.Use, s *serviceSpeeds) bool {
	if sum.Paced <= 0 || sum.MaxPause <= 0 {
		return false
	}
	est := e.machine.Estimate(now, &machine.Work{Running: sum.Running, PerEvent: s.perEvent, Typical: s.typical}, &s.sharing)
	return est.PauseBad > time.Duration(pauseMargin*float64(sum.MaxPause))
}

// setFactor records the factor that an engine has stated at a time.
func (p *Pool) setFactor(at time.Duration, e *engine, f serving.Percent) {
	if e.machine.SetFactor(at, f) {
		p.speedsOf(e.Service).sharing.Observe(f)
	}
}

// EachSharing calls f with how the machines of a service's engines are shared, for the
// services of which an engine has stated a factor.
func (p *Pool) EachSharing(f func(id serving.ServiceID, share, ratio float64)) {
	for id, s := range p.speed {
		if s.sharing.Known() {
			f(id, s.sharing.Share(), s.sharing.Ratio())
		}
	}
}

// SetSharing sets what a hub has found about the machines of a service's engines.
func (p *Pool) SetSharing(id serving.ServiceID, share, ratio float64) {
	p.speedsOf(id).sharing.Set(share, ratio)
}

// serviceSpeeds has what is known of the speeds of the engines of a service.
type serviceSpeeds struct {
	sharing machine.Sharing
	at      time.Duration
	// uneven is set while the speeds differ by more than unevenSpread, or machines are shared.
	uneven bool
	// fast and typical are the slowness of the fast engines and the median.
	fast, typical float64
	// perEvent is the number of tokens of an event of the service.
	perEvent serving.Tokens
	// known and ratios are reused by each computation.
	known, ratios []float64
}

func (p *Pool) speedsOf(id serving.ServiceID) *serviceSpeeds {
	s := p.speed[id]
	if s == nil {
		if p.speed == nil {
			p.speed = map[serving.ServiceID]*serviceSpeeds{}
		}
		s = &serviceSpeeds{at: -typicalPaceTTL}
		p.speed[id] = s
	}
	return s
}

// setPerEvent records the number of tokens of an event, for estimates that belong to no call.
func (s *serviceSpeeds) setPerEvent(n *Need) { s.perEvent = n.perEvent() }

// mostSustain reports whether most engines are about as fast as the fast ones. Streams that need
// a pace can then be kept from the others. Where most engines are slow, many streams must run
// there, and avoiding them would only fill the few fast ones with prompts.
func (s *serviceSpeeds) mostSustain() bool { return s.typical < unevenSpread*s.fast }

// updateSpeeds applies what other entries and hubs have reported.
func (p *Pool) updateSpeeds(now time.Duration) {
	for _, e := range p.engines {
		if e.others.Factor > 0 {
			p.setFactor(now-e.others.FactorAge, e, e.others.Factor)
		}
		e.machine.SetSlowness(now, e.others.Slowness)
	}
}

// UpdateSpeeds computes the speeds of the engines of all services for Slowness. Placing calls
// does the same for the service of the call.
func (p *Pool) UpdateSpeeds(now time.Duration) {
	for _, e := range p.engines {
		if e.others.Steps != nil || e.machine.Slowness() > 0 {
			p.speeds(now, e.Service)
		}
	}
}

// Uneven returns the services whose engines differ in speed, in order.
func (p *Pool) Uneven() (services []serving.ServiceID) {
	for id, s := range p.speed {
		if s.uneven {
			services = append(services, id)
		}
	}
	slices.Sort(services)
	return services
}

// speeds returns what is known of the speeds of the engines of a service.
func (p *Pool) speeds(now time.Duration, service serving.ServiceID) *serviceSpeeds {
	s := p.speedsOf(service)
	if now-s.at < typicalPaceTTL {
		return s
	}
	s.at = now
	s.known, s.ratios = s.known[:0], s.ratios[:0]
	for _, e := range p.engines {
		if e.Service != service || !e.Usable() {
			continue
		}
		steps := machine.Steps{}
		if e.others.Steps != nil {
			steps = *e.others.Steps
		}
		e.steps.decay(now)
		steps.Add(&e.steps.steps)
		if e.others.Steps != nil || steps.Weight() >= minOwnSteps {
			e.machine.Update(now, &steps)
		}
		slowness := e.machine.Slowness()
		if slowness <= 0 {
			continue
		}
		s.known = append(s.known, slowness)
		if steps.Weight() >= minBadSteps {
			s.ratios = append(s.ratios, steps.Quantile(badQuantile)/slowness)
		}
	}
	if len(s.known) < minMeasured {
		s.uneven = false
		return s
	}
	slices.Sort(s.known)
	s.fast, s.typical = quantile(s.known, fastQuantile), lowerMedian(s.known)
	limit := unevenSpread
	if s.uneven {
		limit = evenSpread
	}
	differ := quantile(s.known, slowQuantile) >= limit*s.fast
	s.uneven = s.sharing.Shared() || differ && (p.SpeedsAlone || s.sharing.Known())
	if len(s.ratios) >= minMeasured {
		s.sharing.SetRatio(lowerMedian(s.ratios))
	}
	return s
}

const (
	// badQuantile is the quantile of the measured steps that is taken for those with prompts
	// on a shared machine, and minBadSteps the weight of the steps from which it counts.
	badQuantile = 0.95
	minBadSteps = 60.0
)

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	return sorted[int(math.Round(q*float64(len(sorted)-1)))]
}

// IsUneven reports whether an engine belongs to a service whose engines differ in speed.
func (p *Pool) IsUneven(id serving.EngineID) bool {
	e := p.engines[id]
	return e != nil && p.speed[e.Service] != nil && p.speed[e.Service].uneven
}

// Slowness returns the duration of the steps of an engine relative to [machine.Nominal], 0
// if it is unknown.
func (p *Pool) Slowness(id serving.EngineID) float64 {
	if e := p.engines[id]; e != nil {
		return e.machine.Slowness()
	}
	return 0
}

// perEvent returns the number of tokens of an event.
func (n *Need) perEvent() serving.Tokens {
	if m := n.Service.Model; m != nil && m.TokensPerEvent > 0 {
		return m.TokensPerEvent
	}
	return 1
}

// needsPace reports whether the call needs a pace for more than a few events.
func (n *Need) needsPace() bool {
	return n.MaxPause > 0 && n.Output >= pacedEvents*n.perEvent()
}

// estimate estimates the times of a call at an engine with a load.
func (e *engine) estimate(now time.Duration, n *Need, sum *usage.Use, s *serviceSpeeds) machine.Estimate {
	return e.machine.Estimate(now, &machine.Work{Prompt: n.Prompt, Cached: e.parts.cachedTokens(now, n.Parts), Pending: sum.Prefill,
		Running: sum.Running + 1, PerEvent: n.perEvent(), Typical: s.typical}, &s.sharing)
}

// unevenCost returns the cost of an engine's speed for a call: of the time until its first
// event, of the risk that it or streams of others become late, less the bonus of slow engines
// for calls that need no fast one.
func (e *engine) unevenCost(now time.Duration, n *Need, sum *usage.Use, s *serviceSpeeds) float64 {
	est := e.estimate(now, n, sum, s)
	cost := prefillWeight * est.FirstEvent.Seconds()
	cost += lateWeight * firstEventRisk(now, n, &est, &s.sharing)
	cost += lateWeight * pauseRisk(n, &est, &s.sharing)
	cost += lateWeight * threat(sum, &est, &s.sharing)
	return cost
}

// copyPaceCost returns the cost of an engine that probably doesn't sustain the pace of the
// stream whose memory is copied there. s is nil if the terms for uneven engines don't apply.
func (e *engine) copyPaceCost(now time.Duration, n *Need, sum *usage.Use, s *serviceSpeeds) float64 {
	if s == nil {
		return 0
	}
	est := e.estimate(now, n, sum, s)
	return copyPaceWeight * min(1, pauseRisk(n, &est, &s.sharing))
}

// suitability returns the factor of an engine's sampling weight: its speed relative to the
// fast engines, further reduced if a call there would probably be late or make others late.
func (e *engine) suitability(now time.Duration, n *Need, s *serviceSpeeds) float64 {
	sum := e.total()
	est := e.estimate(now, n, &sum, s)
	w := 1.0
	if slowness := e.machine.Slowness(); slowness > 0 {
		w = min(1, s.fast/slowness)
	}
	if pauseRisk(n, &est, &s.sharing)+threat(&sum, &est, &s.sharing) > unsuitableRisk {
		w *= unevenSampleFactor
	}
	return w
}

// lateRisk returns the risk that a call at the engine is late.
func lateRisk(now time.Duration, n *Need, est *machine.Estimate, s *serviceSpeeds) float64 {
	return min(1, max(firstEventRisk(now, n, est, &s.sharing), pauseRisk(n, est, &s.sharing)))
}

// firstEventRisk returns the risk that the first event is late.
func firstEventRisk(now time.Duration, n *Need, est *machine.Estimate, s *machine.Sharing) float64 {
	if n.FirstEventBy <= 0 {
		return 0
	}
	left := float64(max(time.Millisecond, n.FirstEventBy-now))
	ramp := func(d time.Duration) float64 {
		return min(1, max(0, (float64(d)/left-firstEventMargin)/(firstEventExcess-firstEventMargin)))
	}
	shared := s.Within(est.FirstEvent)
	return shared*ramp(est.FirstEventBad) + (1-shared)*ramp(est.FirstEvent)
}

// pauseRisk returns the risk that the stream has a pause that is too long for its caller.
func pauseRisk(n *Need, est *machine.Estimate, s *machine.Sharing) float64 {
	pauses := max(n.Length, n.Output)/n.perEvent() - 1
	bad := tooLong(est.PauseBad, n.MaxPause)
	if pauses <= 0 || bad == 0 {
		return 0
	}
	prompts := promptShare + (1-promptShare)*min(1, float64(est.PendingTime)/float64(pendingPromptTime))
	shared := s.Share()
	// late is the share of the time in which pauses are too long.
	late := (1-shared)*((1-prompts)*tooLong(est.Pause, n.MaxPause)+prompts*tooLong(est.PausePrompts, n.MaxPause)) +
		shared*((1-prompts)*tooLong(est.PauseShared, n.MaxPause)+prompts*bad)
	// Prompts and shared machines both last about an episode.
	episodes := 1 + float64(pauses)*float64(est.Pause)/float64(machine.Episode)
	return (1 - math.Pow(1-late, episodes)) * (1 + excessWeight*min(1, max(0, float64(est.PauseBad)/float64(n.MaxPause)-1)))
}

const (
	// sharedFactor is the factor from which a machine counts as shared, and sharedTTL the age
	// up to which a factor tells that.
	sharedFactor = 150
	sharedTTL    = machine.Episode
	// sharedPromptCost is the cost of a prompt at an engine whose machine is shared, and
	// sharedStreamCost the cost for each stream there whose pace the prompt breaks.
	sharedPromptCost = 0.3
	sharedStreamCost = 0.5
	// maxSharedStreams bounds the number of such streams.
	maxSharedStreams = 4
)

// sharedCost returns the cost of reading a prompt while the machine of the engine is shared, as
// it has stated just now.
func (e *engine) sharedCost(now time.Duration, sum *usage.Use, s *serviceSpeeds) float64 {
	f, age := e.machine.Factor(now)
	if f < sharedFactor || age > sharedTTL {
		return 0
	}
	cost := sharedPromptCost
	if e.breaksPace(now, sum, s) {
		cost += sharedStreamCost * float64(min(sum.Paced, maxSharedStreams))
	}
	return cost
}

// threat returns the expected number of streams of others that the prompt makes late.
func threat(sum *usage.Use, est *machine.Estimate, s *machine.Sharing) float64 {
	bad := tooLong(est.PauseBad, sum.MaxPause)
	if sum.Paced <= 0 || bad == 0 {
		return 0
	}
	shared := s.Within(est.PromptTime)
	return (shared*bad + (1-shared)*tooLong(est.PausePrompts, sum.MaxPause)) * float64(min(sum.Paced, maxThreatened))
}

// tooLong returns the probability that a pause with this estimate is longer than required.
func tooLong(d, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	return min(1, max(0, (float64(d)/float64(limit)-pauseMargin)/(1-pauseMargin)))
}
