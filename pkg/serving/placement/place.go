package placement

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// fillLimit is the share of an engine's memory that expected needs may fill.
	// The rest holds errors of the forecast and cached parts.
	fillLimit = 0.92
	// copyFillLimit is the share that the memory in use may fill after a copy.
	copyFillLimit = 0.95
	// prefillRate is the number of prompt tokens that an engine reads in a second
	// beside running generations: a chunk with each of their steps.
	prefillRate = 7000.0
	// prefillWeight is the cost of a second of waiting prompts, in shares of memory.
	prefillWeight = 0.5
	// farWeight and otherDCWeight are the costs of another region and of another
	// data centre of the region: the traffic between them is paid by volume.
	farWeight     = 0.10
	otherDCWeight = 0.02
	// copyFarWeight, copyOtherDCWeight and copyJitter replace them for copies of
	// memory. A copy to another region rarely ends within an engine's notice, and
	// holds up all other copies of its source; one to another data centre takes
	// twice as long; and copies to one engine wait for each other.
	copyFarWeight     = 2.0
	copyOtherDCWeight = 0.5
	copyJitter        = 0.2
	// ownerOtherDCWeight and ownerFarWeight replace them for the pool that chooses for
	// a data centre: its choices elsewhere meet those of others, of which it hears
	// late, so that they are worth it only where its own engines are much fuller.
	ownerOtherDCWeight = 0.20
	ownerFarWeight     = 0.35
	// silentWeight keeps work from engines that hubs no longer hear.
	silentWeight = 0.5
	// failureWeight is the cost of a failure rate of 1 above that of the peers, and
	// failureSlack the difference that counts as chance.
	failureWeight = 3.0
	failureSlack  = 0.12
	// slowWeight is the cost of each time by which an engine is slower than its
	// peers, beyond slowSlack.
	slowWeight = 0.3
	slowSlack  = 0.5
	// maxSlow bounds how much slower an engine counts.
	maxSlow = 10.0
	// avoidAbove is the cost of failures and slowness above which an entry tells its
	// hub not to choose an engine: that of a third of its memory.
	avoidAbove = 0.33
	// cachedWeight is the benefit of a prompt that is cached whole.
	cachedWeight = 0.1
	// jitter spreads the choices of entries that know the same.
	jitter = 0.06
	// sampleSize is the number of engines at which the cost of a generation is compared.
	sampleSize = 2
	// minWeight is the weight of an engine without room, and farShare the part of its
	// weight that an engine in another region keeps.
	minWeight = 0.02
	farShare  = 0.15
	// coldShare is the part of a cold engine's rate that the entries together use.
	coldShare = 0.8
	// fullLoadFresh is the age up to which an engine's own word that its queue is
	// not empty counts.
	fullLoadFresh = 300 * time.Millisecond
	// busyConnections is the part of an engine's connections that calls in progress may
	// take, and idleConnections the part that all entries may keep idle together. An
	// engine takes fewer connections while its queue is long.
	busyConnections = 0.5
	idleConnections = 0.3
	// maxIdle bounds the idle connections of one entry to an engine: more are rarely
	// used before they expire.
	maxIdle = 4
	// plainQueue is how many calls may wait at a plain engine for each of its slots.
	plainQueue = 1.0
)

// Need is what a call needs of an engine.
type Need struct {
	Service *routing.Service
	// Allows tells whether a region may run the call; nil means all.
	Allows func(serving.RegionID) bool
	// Prompt and Output are the tokens of a generation, Output as expected.
	Prompt, Output serving.Tokens
	Parts          []serving.PromptPart
	// Exclude are engines that were tried.
	Exclude []serving.EngineID
	// CopyFrom is the data centre of the engine from which the memory of a running
	// generation will be copied; empty for a call from the start.
	CopyFrom serving.DataCentreID
	// Near keeps a copy in its data centre.
	Near bool
	// Compare says at how many engines the cost is compared.
	Compare Comparison
}

// Comparison says at how many engines the cost of a generation is compared.
type Comparison int

const (
	// Few compares a few engines drawn by their room, for one of many pools that
	// choose by the same delayed sums.
	Few Comparison = iota
	// All compares all engines, for a pool that knows the choices of the others.
	All
)

// use returns the work that the call adds to an engine.
func (n *Need) use(id serving.EngineID) usage.Use {
	u := usage.Use{Engine: id, Running: 1, Held: n.Prompt, Expected: n.Prompt + n.Output, Prefill: n.Prompt}
	if n.CopyFrom != "" {
		u.Prefill = 0
	}
	return u
}

// Place chooses an engine and claims it. The error is of kind no_engine if no
// engine may run the call, and overloaded if none has room now.
func (p *Pool) Place(now time.Duration, n *Need) (*Ticket, error) {
	fitting, full := p.fitting(now, n)
	if len(fitting) == 0 && full == 0 {
		return nil, serving.NewError(serving.KindNoEngine, "no engine of service "+string(n.Service.ID)+" is in service").WithRetryAfter(time.Second)
	}
	if len(fitting) == 0 {
		return nil, serving.NewError(serving.KindOverloaded, "all engines of service "+string(n.Service.ID)+" are full").WithRetryAfter(time.Second)
	}
	best := p.cheapest(now, p.sample(fitting, n), n)
	t := p.open(best, n)
	t.Fitting, t.Full = len(fitting), full
	p.countCold(now, best)
	if len(n.Parts) > 0 {
		if best.parts == nil {
			best.parts = partMemory{}
		}
		best.parts.add(now, n.Parts)
	}
	return t, nil
}

// Claim claims an engine that was chosen elsewhere; nil if it takes no new work.
func (p *Pool) Claim(now time.Duration, id serving.EngineID, n *Need) *Ticket {
	e := p.engines[id]
	if e == nil || !p.candidate(e, n) || !e.health.allows(now) {
		return nil
	}
	p.countCold(now, e)
	return p.open(e, n)
}

// Avoid returns the engines that this pool has reason to keep a call from: they
// can't be reached, or fail more often than their peers or are slower by far.
func (p *Pool) Avoid(now time.Duration, n *Need) []serving.EngineID {
	var out []serving.EngineID
	a := p.peers(now, n)
	for _, e := range p.engines {
		if p.candidate(e, n) && (!e.health.allows(now) || p.illness(now, e, a) > avoidAbove) {
			out = append(out, e.Engine)
		}
	}
	return out
}

// fitting returns the engines that have room for the call, and the number of
// those that may run it but have none.
func (p *Pool) fitting(now time.Duration, n *Need) (fitting []*engine, full int) {
	for _, e := range p.engines {
		switch {
		case !p.candidate(e, n):
		case !e.health.allows(now) || n.Service.Model != nil && e.others.Broken >= shunAfter || !p.coldAllows(now, e, n) || !e.fits(now, n):
			full++
		default:
			fitting = append(fitting, e)
		}
	}
	return fitting, full
}

// sample draws a few engines for a generation from the start, those with more
// room more often. What entries know of each other's work is some hundred
// milliseconds old; if each took the best engine of all, everything that arrives
// in this time would go to the same one.
func (p *Pool) sample(fitting []*engine, n *Need) []*engine {
	if n.Compare == All || n.Service.Model == nil || n.CopyFrom != "" || len(fitting) <= sampleSize {
		return fitting
	}
	weights := make([]float64, len(fitting))
	sum := 0.0
	for i, e := range fitting {
		weights[i] = p.weight(e, n)
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

// weight is the relative frequency with which an engine is drawn: its room for
// further generations, less if it is far away.
func (p *Pool) weight(e *engine, n *Need) float64 {
	used := e.total()
	room := fillLimit - float64(used.Expected+n.Prompt+n.Output)/float64(max(n.Service.Model.MemoryTokens, 1))
	w := max(minWeight, room)
	if e.region != p.RegionOf[p.DataCentre] {
		w *= farShare
	}
	return w
}

// cheapest returns the engine with the lowest cost.
func (p *Pool) cheapest(now time.Duration, engines []*engine, n *Need) *engine {
	a := p.peers(now, n)
	best, bestCost := engines[0], p.cost(now, engines[0], n, a)
	for _, e := range engines[1:] {
		if cost := p.cost(now, e, n, a); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// candidate tells whether the engine may run the call at all.
func (p *Pool) candidate(e *engine, n *Need) bool {
	return e.Service == n.Service.ID && e.Usable() && !p.out[e.DataCentre] && (!n.Near || e.DataCentre == n.CopyFrom) &&
		(n.Allows == nil || n.Allows(e.region)) && !slices.Contains(n.Exclude, e.Engine)
}

// fits tells whether the engine has room for the call beside what it runs.
func (e *engine) fits(now time.Duration, n *Need) bool {
	sum := e.total()
	if most := n.Service.MaxConnections; most > 0 && float64(sum.Running) >= busyConnections*float64(most) {
		return false
	}
	m := n.Service.Model
	if m == nil {
		slots := float64(max(e.Slots, 1))
		return float64(sum.Running) < slots*(1+plainQueue)
	}
	if m.Slots > 0 && sum.Running >= m.Slots {
		return false
	}
	if now-e.loadAt < fullLoadFresh && e.load.Waiting > 0 && e.load.Running >= e.load.Slots {
		return false
	}
	if n.CopyFrom != "" {
		// Without a copy the generation is lost for certain; with one, memory may
		// become scarce later, unless others end first.
		return float64(sum.Held+n.Prompt) <= copyFillLimit*float64(m.MemoryTokens)
	}
	return sum.Running == 0 || float64(sum.Expected+n.Prompt+n.Output) <= fillLimit*float64(m.MemoryTokens)
}

// keepIdle returns how many idle connections this entry may keep to each engine of
// a service: its part of what all entries may keep.
func (p *Pool) keepIdle(s *routing.Service) int {
	if s.MaxConnections <= 0 {
		return maxIdle
	}
	return min(maxIdle, int(idleConnections*float64(s.MaxConnections)/float64(p.Entries())))
}

// averages describes the engines of a service together.
type averages struct {
	failures, latency float64
}

// peers returns the averages over the engines that may run the call. The
// failure rate is that of the better half, so that a few failing engines don't
// make failing look usual.
func (p *Pool) peers(now time.Duration, n *Need) averages {
	var rates, latencies []float64
	for _, e := range p.engines {
		if !p.candidate(e, n) || e.health.calls == 0 {
			continue
		}
		rates = append(rates, e.health.failureRate(now))
		if e.health.latency > 0 {
			latencies = append(latencies, e.health.latency)
		}
	}
	return averages{failures: lowerMedian(rates), latency: lowerMedian(latencies)}
}

func lowerMedian(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

// cost is what a call costs at an engine; about 1 is a full engine.
func (p *Pool) cost(now time.Duration, e *engine, n *Need, a averages) float64 {
	sum := e.total()
	cost := 0.0
	if m := n.Service.Model; m != nil {
		memory := float64(max(m.MemoryTokens, 1))
		cost += float64(sum.Expected+n.Prompt+n.Output) / memory
		cost += prefillWeight * float64(sum.Prefill+n.Prompt) / prefillRate
		if n.Prompt > 0 {
			cost -= cachedWeight * float64(e.parts.cached(now, n.Parts)) / float64(n.Prompt)
		}
	} else {
		cost += float64(sum.Running+1) / float64(max(e.Slots, 1))
	}
	cost += p.distance(e, n)
	if e.Silent {
		cost += silentWeight
	}
	return cost + p.illness(now, e, a)
}

// illness is the cost of an engine that fails more often or is slower than its peers.
func (p *Pool) illness(now time.Duration, e *engine, a averages) float64 {
	cost := failureWeight * max(0, e.health.failureRate(now)-a.failures-failureSlack)
	if a.latency > 0 {
		cost += slowWeight * min(maxSlow, max(0, e.health.latency/a.latency-1-slowSlack))
	}
	return cost
}

// distance is the cost of an engine's place, with a random part that spreads the
// choices of entries that know the same.
func (p *Pool) distance(e *engine, n *Need) float64 {
	near, other, far, spread := p.DataCentre, otherDCWeight, farWeight, jitter
	if n.Compare == All {
		other, far = ownerOtherDCWeight, ownerFarWeight
	}
	if n.CopyFrom != "" {
		near, other, far, spread = n.CopyFrom, copyOtherDCWeight, copyFarWeight, copyJitter
	}
	cost := spread * p.Random.Float64()
	switch {
	case e.DataCentre == near:
	case e.region == p.RegionOf[near]:
		cost += other
	default:
		cost += far
	}
	return cost
}

// coldAllows tells whether a cold engine may get one more call in this second.
// The rate that it carries is divided among the entries.
func (p *Pool) coldAllows(now time.Duration, e *engine, n *Need) bool {
	if now >= e.ColdUntil || n.Service.ColdPerSecond <= 0 {
		return true
	}
	share := max(1, coldShare*n.Service.ColdPerSecond/float64(p.Entries()))
	if now-e.admittedAt >= time.Second {
		return true
	}
	return e.admitted+1 <= share
}

func (p *Pool) countCold(now time.Duration, e *engine) {
	if now-e.admittedAt >= time.Second {
		e.admitted, e.admittedAt = 0, now
	}
	e.admitted++
}
