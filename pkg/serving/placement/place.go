package placement

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/pacing"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// fillLimit is the share of an engine's memory that its calls may be expected to
	// need. The rest allows for forecast errors and cached prompt parts.
	fillLimit = 0.92
	// copyFillLimit is the share of an engine's memory that may be in use after a
	// running generation was copied to it.
	copyFillLimit = 0.95
	// prefillTokensPerSecond is the number of prompt tokens that an engine processes
	// per second while generations run: it prefills one chunk with each decode step.
	prefillTokensPerSecond = 7000.0
	// prefillWeight is the cost of one second of pending prefill. A cost of 1
	// corresponds to the whole memory of an engine.
	prefillWeight = 0.5
	// otherRegionCost and otherDCCost are the costs of an engine in another
	// region and in another data centre of the same region. Traffic between regions
	// is billed by volume.
	otherRegionCost = 0.10
	otherDCCost     = 0.02
	// copyOtherRegionCost, copyOtherDCCost and copyJitter replace otherRegionCost,
	// otherDCCost and jitter for copies of KV cache memory. A copy to another region
	// rarely completes between the shutdown notice of its source and the shutdown, and
	// it delays all other copies from there. A copy to another data centre takes twice
	// as long as a local one. Copies to the same engine wait for each other, so the
	// jitter is larger.
	copyOtherRegionCost = 2.0
	copyOtherDCCost     = 0.5
	copyJitter          = 0.2
	// hubOtherDCCost and hubOtherRegionCost replace otherDCCost and otherRegionCost for
	// the pool of a hub, which chooses for a whole data centre. A hub receives the
	// choices of other hubs late, so it may choose the same engine in another data
	// centre as they do. An engine in another data centre is worth choosing only if
	// those of the hub's own data centre are much fuller.
	hubOtherDCCost     = 0.20
	hubOtherRegionCost = 0.35
	// silentCost is the cost of an engine whose heartbeats no longer reach the
	// hubs.
	silentCost = 0.5
	// failureWeight is the cost of a failure rate that is higher than that of the
	// peers by 1. Differences up to failureSlack are attributed to chance.
	failureWeight = 3.0
	failureSlack  = 0.12
	// slowWeight is the cost of an engine with twice the latency of its peers, before
	// slowSlack is subtracted. The cost is proportional to the relative excess over the
	// peers' latency. Excesses up to slowSlack are ignored.
	slowWeight = 0.3
	slowSlack  = 0.5
	// maxSlowdown bounds the relative excess that is multiplied by slowWeight.
	maxSlowdown = 10.0
	// avoidThreshold is the cost of failures and slowness above which an entry asks
	// its hub not to choose an engine. It equals the cost of a third of the engine's
	// memory.
	avoidThreshold = 0.33
	// cachedWeight is the reduction of the cost if the whole prompt is cached.
	cachedWeight = 0.1
	// jitter is the random part of the cost. It spreads the choices of entries that
	// have the same information.
	jitter = 0.06
	// sampleSize is the number of engines whose costs are compared under
	// CompareSample.
	sampleSize = 2
	// minSampleWeight is the sampling weight of an engine without room. The sampling
	// weight of an engine in another region is multiplied by otherRegionSampleFactor.
	minSampleWeight         = 0.02
	otherRegionSampleFactor = 0.15
	// coldShare is the share of a cold engine's maximum call rate that the hubs together
	// use, and the same again the entries, which choose only while they reach no hub.
	coldShare = 0.75
	// fullLoadMaxAge is how long an engine counts as full after it has reported that
	// all its slots are in use and calls wait in its queue.
	fullLoadMaxAge = 300 * time.Millisecond
	// busyConnectionShare is the share of an engine's connection limit that calls in
	// progress may use, and idleConnectionShare the share that the idle connections
	// of all entries may use. The rest is left free because an engine accepts fewer
	// connections while its queue is long.
	busyConnectionShare = 0.5
	idleConnectionShare = 0.3
	// maxIdleConnsPerEntry bounds the idle connections of one entry to an engine. More
	// are rarely reused before they expire.
	maxIdleConnsPerEntry = 4
	// plainQueuePerSlot is the number of calls per slot that may wait at an engine of
	// a service without a model.
	plainQueuePerSlot = 1.0
)

// Need describes the requirements of a call.
type Need struct {
	Service *routing.Service
	// Allows reports whether the call may run in a region; nil allows all.
	Allows func(serving.RegionID) bool
	// Prompt is the number of prompt tokens of a generation, and Output the expected
	// number of output tokens. For a copy, Prompt includes the tokens generated so
	// far, and Output counts only the further ones.
	Prompt, Output serving.Tokens
	Parts          []serving.PromptPart
	// Length is the expected length of the whole output; 0 if unknown. It is not set for a
	// copy: where there is room goes before where it is fast.
	Length serving.Tokens
	// MaxPause is the longest pause between two events that the caller needs; 0 if it needs
	// none.
	MaxPause time.Duration
	// FirstEventBy is the time from which on the first event is late; 0 if it never is.
	FirstEventBy time.Duration
	// Home is the data centre of the entry that has the call; empty means that of the pool.
	Home serving.DataCentreID
	// LastAttempt means that the call can't wait any longer for an engine.
	LastAttempt bool
	// Exclude lists engines that must not be chosen, such as those already tried.
	Exclude []serving.EngineID
	// CopyFrom is the data centre of the engine from which the memory of a running
	// generation is copied; empty if the call starts from its prompt.
	CopyFrom serving.DataCentreID
	// SameDataCentre restricts a copy to engines in the data centre CopyFrom.
	SameDataCentre bool
	// Compare selects the engines whose costs are compared.
	Compare Comparison
	// Software restricts the versions of the engines' software; nil allows all.
	Software *Software
}

// Comparison selects the engines whose costs are compared when a generation is
// placed.
type Comparison int

const (
	// CompareSample compares a few engines, drawn at random with weights by their
	// free memory. It suits many pools that choose independently, based on the same
	// delayed load reports.
	CompareSample Comparison = iota
	// CompareAll compares all engines, with the costs of a hub for other locations. It
	// suits the pool of a hub, which makes the choices for all entries of its data
	// centre.
	CompareAll
)

// use returns the load that the call adds to an engine.
func (n *Need) use(id serving.EngineID) usage.Use {
	u := usage.Use{Engine: id, Running: 1, Held: n.Prompt, Expected: n.Prompt + n.Output, Prefill: n.Prompt}
	if n.CopyFrom != "" {
		u.Prefill = 0
	}
	if n.needsPace() {
		u.Paced, u.MaxPause = 1, n.MaxPause
	}
	return u
}

// Place chooses an engine for a call and adds the call to its load. The error is of
// kind no_engine if no engine may run the call, and overloaded if none has room now.
func (p *Pool) Place(now time.Duration, n *Need) (*Ticket, error) {
	p.recordBrief(now, n)
	p.fadeOthers(now, n.Service)
	fitting, full := p.fitting(now, n)
	if len(fitting) == 0 && full > 0 {
		if wait, ok := p.paceWait(now, n); ok {
			return nil, serving.NewError(serving.KindOverloaded, "all engines of service "+string(n.Service.ID)+" take no more calls for now").
				WithDetail(DetailEngineLimit).WithRetryAfter(wait)
		}
	}
	if len(fitting) == 0 && full == 0 {
		return nil, serving.NewError(serving.KindNoEngine, "no engine of service "+string(n.Service.ID)+" is in service").WithRetryAfter(time.Second)
	}
	if len(fitting) == 0 {
		err := serving.NewError(serving.KindOverloaded, "all engines of service "+string(n.Service.ID)+" are full").WithRetryAfter(time.Second)
		if p.deferring > 0 {
			return nil, err.WithDetail(DetailDeferred)
		}
		return nil, err
	}
	t := p.admit(now, p.cheapest(now, p.sample(now, fitting, n), n), n)
	t.Fitting, t.Full = len(fitting), full
	return t, nil
}

// admit adds a call to an engine.
func (p *Pool) admit(now time.Duration, e *engine, n *Need) *Ticket {
	p.countAdmitted(now, e)
	if len(n.Parts) > 0 {
		if e.parts == nil {
			e.parts = sentParts{}
		}
		e.parts.add(now, n.Parts)
	}
	return p.newTicket(now, e, n)
}

// Claim adds a call to the load of an engine that was chosen elsewhere. It returns
// nil if the engine can't take the call.
func (p *Pool) Claim(now time.Duration, id serving.EngineID, n *Need) *Ticket {
	e := p.engines[id]
	if e == nil || !p.eligible(e, n) || !e.health.available(now) || !p.takesCalls(now, e) {
		return nil
	}
	p.countAdmitted(now, e)
	return p.newTicket(now, e, n)
}

// Avoid returns the engines that should not be chosen for a call because they are in
// backoff, because they have named a limit or want no calls, or because they fail more
// often or are much slower than their peers.
func (p *Pool) Avoid(now time.Duration, n *Need) []serving.EngineID {
	var out []serving.EngineID
	peers := p.peerMedians(now, n)
	for _, e := range p.engines {
		if p.eligible(e, n) && (!e.health.available(now) || now < e.pausedUntil || e.pacer.Limited(now) || p.healthCost(now, e, peers) > avoidThreshold) {
			out = append(out, e.Engine)
		}
	}
	return out
}

// fitting returns the engines that can take the call now, and the number of eligible
// ones that can't. The result is valid until the next call.
func (p *Pool) fitting(now time.Duration, n *Need) (fitting []*engine, full int) {
	p.deferring = 0
	fitting = p.fit[:0]
	defer func() { p.fit = fitting }()
	for _, e := range p.engines {
		switch {
		case !p.eligible(e, n):
		case !e.health.available(now) || n.Service.Model != nil && e.others.Broken >= brokenLimit || !p.withinColdRate(now, e, n) || !p.takesCalls(now, e) || !e.fits(now, n):
			full++
		case p.defers(now, e, n):
			full++
			p.deferring++
		default:
			fitting = append(fitting, e)
		}
	}
	return fitting, full
}

// sample draws a few engines for a generation that starts from its prompt, with
// weights by their room. The load reported by other entries is a few hundred
// milliseconds old. If each entry took the best engine of all, all generations that
// arrive in this time would go to the same one.
func (p *Pool) sample(now time.Duration, fitting []*engine, n *Need) []*engine {
	if n.Compare == CompareAll || n.Service.Model == nil || n.CopyFrom != "" || len(fitting) <= sampleSize {
		return fitting
	}
	weights := make([]float64, len(fitting))
	sum := 0.0
	speeds := p.speeds(now, n.Service.ID)
	for i, e := range fitting {
		weights[i] = p.sampleWeight(e, n)
		if speeds.uneven && (p.ScarceMemory || speeds.mostSustain()) {
			weights[i] *= e.suitability(now, n, speeds)
		}
		sum += weights[i]
	}
	out := make([]*engine, 0, sampleSize)
	for range sampleSize {
		at, draw := 0, p.Random.Float64()*sum
		for ; at < len(weights)-1 && draw >= weights[at]; at++ {
			draw -= weights[at]
		}
		out = append(out, fitting[at])
		sum -= weights[at]
		weights[at] = 0
	}
	return out
}

// sampleWeight returns the sampling weight of an engine: its room for further
// generations, reduced if it is in another region.
func (p *Pool) sampleWeight(e *engine, n *Need) float64 {
	used := e.total()
	room := fillLimit - float64(used.Expected+n.Prompt+n.Output)/float64(max(n.Service.Model.MemoryTokens, 1))
	w := max(minSampleWeight, room)
	if e.region != p.RegionOf[p.DataCentre] {
		w *= otherRegionSampleFactor
	}
	return w
}

// cheapest returns the engine with the lowest cost.
func (p *Pool) cheapest(now time.Duration, engines []*engine, n *Need) *engine {
	peers := p.peerMedians(now, n)
	peers.pace = p.typicalPace(now, n.Service)
	if n.Service.Model != nil {
		s := p.speeds(now, n.Service.ID)
		s.setPerEvent(n)
		switch {
		case p.ScarceMemory || s.uneven && s.mostSustain():
			peers.uneven = s
		case s.uneven:
			peers.shared = s
		}
	}
	best, bestCost := engines[0], p.cost(now, engines[0], n, peers)
	for _, e := range engines[1:] {
		if cost := p.cost(now, e, n, peers); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// eligible reports whether the engine may run the call, regardless of its load.
func (p *Pool) eligible(e *engine, n *Need) bool {
	return e.Service == n.Service.ID && p.inService(e) && (!n.SameDataCentre || e.DataCentre == n.CopyFrom) &&
		(n.Allows == nil || n.Allows(e.region)) && !slices.Contains(n.Exclude, e.Engine) &&
		n.Software.allows(e)
}

// fits reports whether the engine has room for the call in addition to its current
// load.
func (e *engine) fits(now time.Duration, n *Need) bool {
	sum := e.total()
	if limit := n.Service.MaxConnections; limit > 0 && float64(sum.Running) >= busyConnectionShare*float64(limit) {
		return false
	}
	m := n.Service.Model
	if m == nil {
		slots := float64(max(e.Slots, 1))
		return float64(sum.Running) < slots*(1+plainQueuePerSlot)
	}
	if m.Slots > 0 && sum.Running >= m.Slots {
		return false
	}
	if now-e.loadAt < fullLoadMaxAge && e.load.Waiting > 0 && e.load.Running >= e.load.Slots {
		return false
	}
	if n.CopyFrom != "" {
		// A copy needs only memory that is free now, whatever the calls are expected to
		// need. Without a copy the generation is certainly lost. With one, memory
		// becomes scarce only if other generations don't end in time.
		return float64(sum.Held+n.Prompt) <= copyFillLimit*float64(m.MemoryTokens)
	}
	return sum.Running == 0 || float64(sum.Expected+n.Prompt+n.Output) <= fillLimit*float64(m.MemoryTokens)
}

// maxIdleConns returns the maximum number of idle connections from this entry to each
// engine of a service: its share of the number that all entries together may keep.
func (p *Pool) maxIdleConns(s *routing.Service) int {
	if s.MaxConnections <= 0 {
		return maxIdleConnsPerEntry
	}
	return min(maxIdleConnsPerEntry, int(idleConnectionShare*float64(s.MaxConnections)/float64(p.Entries())))
}

// medians holds the median failure rate and latency of the engines of a service.
type medians struct {
	failures, latency float64
	// pace is the typical time per token of the engines in seconds, 0 if unknown.
	pace float64
	// uneven describes the engines if their speeds differ; nil if not.
	uneven *serviceSpeeds
	// shared describes them if the factors of their machines count; nil if not.
	shared *serviceSpeeds
}

// peerMedians returns the medians over the eligible engines. Both are lower
// medians, so that a few failing or slow engines don't raise the level that counts
// as normal.
func (p *Pool) peerMedians(now time.Duration, n *Need) medians {
	rates, latencies := p.rates[:0], p.latencies[:0]
	for _, e := range p.engines {
		if !p.eligible(e, n) || e.health.calls == 0 && e.others.Calls == 0 {
			continue
		}
		rates = append(rates, e.failureRate(now))
		if e.health.latency > 0 {
			latencies = append(latencies, e.health.latency)
		}
	}
	p.rates, p.latencies = rates, latencies
	return medians{failures: lowerMedian(rates), latency: lowerMedian(latencies)}
}

// lowerMedian returns the median of v, the lower middle value if the length is
// even, and 0 if v is empty.
func lowerMedian(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

// cost returns the cost of a call at an engine. A full engine costs about 1.
func (p *Pool) cost(now time.Duration, e *engine, n *Need, peers medians) float64 {
	sum := e.total()
	cost := 0.0
	if m := n.Service.Model; m != nil {
		memory := float64(max(m.MemoryTokens, 1))
		full := float64(sum.Expected+n.Prompt+n.Output) / memory
		if peers.uneven != nil && n.CopyFrom == "" {
			// Room that isn't needed soon is worth less than a stream on time.
			full = full * full * full
		}
		cost += full
		switch {
		case n.CopyFrom != "":
			cost += prefillWeight*float64(sum.Prefill+n.Prompt)/prefillTokensPerSecond + e.copyPaceCost(now, n, &sum, peers.uneven)
		case peers.uneven != nil:
			cost += e.unevenCost(now, n, &sum, peers.uneven)
		default:
			cost += prefillWeight*float64(sum.Prefill+n.Prompt)/prefillTokensPerSecond + e.paceCost(now, n.Length, peers.pace)
			if peers.shared != nil {
				cost += e.sharedCost(now, &sum, peers.shared)
			}
		}
		if n.Prompt > 0 {
			cost -= cachedWeight * float64(e.parts.cachedTokens(now, n.Parts)) / float64(n.Prompt)
		}
	} else {
		cost += float64(sum.Running+1) / float64(max(e.Slots, 1))
	}
	cost += p.distanceCost(e, n)
	if e.Silent {
		cost += silentCost
	}
	return cost + p.healthCost(now, e, peers)
}

// healthCost returns the cost of an engine that fails more often or is slower than
// its peers.
func (p *Pool) healthCost(now time.Duration, e *engine, peers medians) float64 {
	cost := failureWeight * max(0, e.failureRate(now)-peers.failures-failureSlack)
	if peers.latency > 0 {
		cost += slowWeight * min(maxSlowdown, max(0, e.health.latency/peers.latency-1-slowSlack))
	}
	return cost
}

// distanceCost returns the cost of an engine's location, with a random part that
// spreads the choices of entries that have the same information.
func (p *Pool) distanceCost(e *engine, n *Need) float64 {
	home, otherDC, otherRegion, spread := p.DataCentre, otherDCCost, otherRegionCost, jitter
	if n.Compare == CompareAll {
		otherDC, otherRegion = hubOtherDCCost, hubOtherRegionCost
	}
	if n.CopyFrom != "" {
		home, otherDC, otherRegion, spread = n.CopyFrom, copyOtherDCCost, copyOtherRegionCost, copyJitter
	}
	if n.Home != "" && n.CopyFrom == "" {
		home = n.Home
	}
	cost := spread * p.Random.Float64()
	switch {
	case e.DataCentre == home:
	case e.region == p.RegionOf[home]:
		cost += otherDC
	default:
		cost += otherRegion
	}
	return cost
}

// withinColdRate reports whether a cold engine may get one more call now. The pools that
// choose engines have equal shares of its maximum rate: a cold start is too short for shares
// that follow the demand.
func (p *Pool) withinColdRate(now time.Duration, e *engine, n *Need) bool {
	if now >= e.ColdUntil || n.Service.ColdPerSecond <= 0 {
		return true
	}
	e.cold.SetOthers(0, 0, p.choosers())
	e.cold.Hear(now, pacing.Limit{PerSecond: coldShare * n.Service.ColdPerSecond, Limited: true, HeardAt: now})
	return e.cold.Allows(now, p.demandRate(now, n.Service.ID))
}

// choosers returns the number of pools that may choose the engine of a call.
func (p *Pool) choosers() int {
	if p.Choosers > 0 {
		return p.Choosers
	}
	return p.Entries()
}

// countAdmitted counts a call towards the rates that withinColdRate and takesCalls limit.
func (p *Pool) countAdmitted(now time.Duration, e *engine) {
	e.pacer.Take(now)
	if now < e.ColdUntil {
		e.cold.Take(now)
	}
}
