package placement

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/machine"
	"turmericdrum.org/turmericdrum/pkg/serving/pacing"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// Pool tracks the state of all engines as seen by one entry, or by a hub that
// chooses for a data centre. Exported fields must be set before the first use.
type Pool struct {
	Random     serving.Random
	DataCentre serving.DataCentreID
	RegionOf   map[serving.DataCentreID]serving.RegionID
	// Choosers is the number of pools that choose engines at the same time, in the pool of a
	// hub: the number of hubs. It may be changed at any time; 0 means the number of entries.
	Choosers int
	// ScarceMemory means that the deployment's settings state that the memory of engines is
	// scarce. Calls that can wait then leave it to others.
	ScarceMemory bool

	// SpeedsAlone means that engines also count as different in speed if they never state how long
	// work takes on their machines. Under high load, prompts make equal engines seem different for
	// seconds.
	SpeedsAlone bool

	engines      map[serving.EngineID]*engine
	outOfService map[serving.DataCentreID]bool
	entries      int
	demand       map[serving.ServiceID]*pacing.Demand
	pace         map[serving.ServiceID]typicalPace
	speed        map[serving.ServiceID]*serviceSpeeds
	brief        map[serving.ServiceID]*briefCalls
	// deferring counts the engines that had room for the last call but were left to others.
	deferring int
	// othersAt is when the load of the other entries was last set, and fadedAt when that at the
	// engines of a service was last changed because no report had arrived.
	othersAt time.Duration
	fadedAt  map[serving.ServiceID]time.Duration
	// fit, rates and latencies are reused by each choice.
	fit              []*engine
	rates, latencies []float64
	// reports counts the reports of OwnUse, and withSteps is reused by each of them.
	reports   uint64
	withSteps []*engine
}

// engine is the state of one engine as seen by the pool.
type engine struct {
	presence.EngineStatus
	region serving.RegionID
	health health
	// others is the load from the other entries, own the load from this one.
	others, own usage.Use
	// load is the last load that the engine reported in a response, and loadAt the
	// time of that response.
	load   serving.EngineLoad
	loadAt time.Duration
	// parts are the prompt parts that this entry sent to the engine.
	parts sentParts
	// cold keeps the maximum rate of calls while the engine is cold.
	cold pacing.Pacer
	// pacer keeps the limit that the engine has named, and heard is what it named in its
	// newest answer to this entry; nil if it never named a limit.
	pacer pacing.Pacer
	heard *pacing.Limit
	// pace is how fast the engine generates tokens for this entry.
	pace paceMeter
	// steps has the durations of the engine's steps as this entry measured them, and machine
	// what all entries know of its speed.
	steps   stepMeter
	machine machine.Engine
	// reportsSteps is set if the next report has the steps, and stepsReported is the number
	// of the last report that had them.
	reportsSteps  bool
	stepsReported uint64
	// saidLeaving is set once the engine has said in an answer that it leaves. It goes
	// before the state in the directory, which may be older.
	saidLeaving bool
	// pausedUntil is the end of the time for which the engine wants no requests from this
	// entry.
	pausedUntil time.Duration
}

// Target is an engine chosen for a call.
type Target struct {
	Engine     serving.EngineID
	Address    string
	DataCentre serving.DataCentreID
	// Leaving means that the engine accepts no new calls.
	Leaving bool
	// Started is the start time of the engine's process in Unix milliseconds; 0 if
	// unknown.
	Started int64
	// Version is that of the engine's software; empty if unknown.
	Version rollout.Version
	// ColdUntil is when the cold start of the engine ends.
	ColdUntil time.Duration
}

func (e *engine) target() Target {
	return Target{Engine: e.Engine, Address: e.Address, DataCentre: e.DataCentre, Leaving: e.State != presence.Ready || e.saidLeaving, Started: e.Started,
		Version: e.Version, ColdUntil: e.ColdUntil}
}

// SetOutOfService replaces the list of data centres that get no new calls.
func (p *Pool) SetOutOfService(outOfService []string) {
	p.outOfService = map[serving.DataCentreID]bool{}
	for _, dc := range outOfService {
		p.outOfService[serving.DataCentreID(dc)] = true
	}
}

// SetEngine updates an engine from its status in the directory. It returns true if the
// engine is not ready, and was ready or unknown before.
func (p *Pool) SetEngine(status *presence.EngineStatus) (startsLeaving bool) {
	if p.engines == nil {
		p.engines = map[serving.EngineID]*engine{}
	}
	e := p.engines[status.Engine]
	if e == nil || e.Started != status.Started {
		// A restarted engine has no cached prompt parts and a new health record. This
		// entry's calls are still counted until they end.
		fresh := &engine{}
		if e != nil {
			fresh.own = e.own
		}
		fresh.others.Engine, fresh.own.Engine = status.Engine, status.Engine
		fresh.pacer.Phase, fresh.cold.Phase = p.Random.Float64(), p.Random.Float64()
		e = fresh
		e.State = presence.Ready
		p.engines[status.Engine] = e
	}
	startsLeaving = e.State == presence.Ready && status.State != presence.Ready
	e.EngineStatus = *status
	e.region = p.RegionOf[status.DataCentre]
	return startsLeaving
}

// Remove removes an engine, unless this entry still has calls there.
func (p *Pool) Remove(id serving.EngineID) {
	if e := p.engines[id]; e != nil && e.own.Running == 0 {
		delete(p.engines, id)
	}
}

// SetOtherUse replaces the load from all other entries, and sets the number of
// entries.
func (p *Pool) SetOtherUse(now time.Duration, uses []usage.Use, entries int) {
	for _, e := range p.engines {
		e.others = usage.Use{Engine: e.Engine}
	}
	p.entries = max(entries, 1)
	p.othersAt = now
	for i := range uses {
		e := p.engines[uses[i].Engine]
		if e == nil {
			continue
		}
		e.others = uses[i]
		if l := uses[i].Limit; l != nil {
			e.pacer.Hear(now, pacing.Limit{PerSecond: l.PerSecond, Limited: l.Limited, HeardAt: now - max(0, l.Age)})
		}
	}
	p.updateSpeeds(now)
	for _, e := range p.engines {
		e.pacer.SetOthers(now, e.others.Demand, p.entries)
	}
}

// Entries returns the number of entries that share the engines, at least 1.
func (p *Pool) Entries() int { return max(p.entries, 1) }

// OwnUse returns this entry's load at each engine, without engines that have none.
func (p *Pool) OwnUse(now time.Duration) []usage.Use {
	var out []usage.Use
	p.chooseReportedSteps(now)
	for _, e := range p.engines {
		u := e.own
		u.Broken = e.health.recentBroken(now)
		if e.pacer.Limited(now) {
			u.Demand = p.demandRate(now, e.Service)
		}
		if e.heard != nil {
			u.Limit = &usage.Limit{PerSecond: e.heard.PerSecond, Limited: e.heard.Limited, Age: now - e.heard.HeardAt}
		}
		u.Pace = e.pace.report(now)
		u.Calls, u.Failures = e.health.recent.report(now)
		if e.reportsSteps {
			u.Steps = e.steps.report(now)
		}
		if f, age := e.machine.Factor(now); f > 0 && age < factorReportAge {
			u.Factor, u.FactorAge = f, age
		}
		if u.Demand > 0 || u.Limit != nil || u.Running != 0 || u.Expected != 0 || u.Broken != 0 || u.Pace.Tokens > 0 || u.Calls > 0 || u.Steps != nil || u.Factor > 0 {
			out = append(out, u)
		}
	}
	return out
}

// SetLoad stores the load that an engine reported in a response.
func (p *Pool) SetLoad(now time.Duration, id serving.EngineID, load serving.EngineLoad) {
	if e := p.engines[id]; e != nil {
		e.load, e.loadAt = load, now
		p.setFactor(now, e, load.Factor)
	}
}

// Lookup returns an engine by its id, and whether the pool contains it.
func (p *Pool) Lookup(id serving.EngineID) (Target, bool) {
	e := p.engines[id]
	if e == nil {
		return Target{}, false
	}
	return e.target(), true
}

// InService reports whether an engine may get further calls, regardless of its load: it doesn't
// leave, and its data centre is in service.
func (p *Pool) InService(id serving.EngineID) bool {
	e := p.engines[id]
	return e != nil && p.inService(e)
}

func (p *Pool) inService(e *engine) bool {
	return e.Usable() && !e.saidLeaving && !p.outOfService[e.DataCentre]
}

// total returns the load from all entries at an engine.
func (e *engine) total() usage.Use {
	sum := e.others
	sum.Add(&e.own)
	return sum
}

// Ticket accounts for one call at the engine chosen for it. End must be called to
// subtract the call from the engine's load.
type Ticket struct {
	Target
	pool   *Pool
	engine *engine
	use    usage.Use
	before usage.Use
	// Fitting and Full count the eligible engines that could and could not take the
	// call when this one was chosen. Both are 0 after Claim.
	Fitting, Full int
	// Estimate is what was expected of the engine when it was chosen, the zero value if
	// nothing is known of the speeds of the service's engines.
	Estimate machine.Estimate
	// LateRisk is the risk that the call is late according to Estimate.
	LateRisk float64
	// MaxIdleConns is the maximum number of idle connections from this entry to the
	// engine.
	MaxIdleConns int
	ended        bool
	// probe marks the single call that tests an engine after a backoff.
	probe bool
}

// Use returns the load that the call adds to the engine.
func (t *Ticket) Use() usage.Use { return t.use }

// Before returns the load at the engine before the call was added.
func (t *Ticket) Before() usage.Use { return t.before }

func (p *Pool) newTicket(now time.Duration, e *engine, n *Need) *Ticket {
	use := n.use(e.Engine)
	t := &Ticket{Target: e.target(), MaxIdleConns: p.maxIdleConns(n.Service), pool: p, engine: e, use: use, before: e.total()}
	if s := p.speed[n.Service.ID]; s != nil && s.typical > 0 {
		t.Estimate = e.estimate(now, n, &t.before, s)
		t.LateRisk = lateRisk(now, n, &t.Estimate, s)
	}
	if e.health.probeNext {
		e.health.probe, t.probe = true, true
	}
	e.own.Add(&use)
	return t
}

// FirstEvent records that the first event of the output has arrived, which means that
// the engine has processed the prompt.
func (t *Ticket) FirstEvent() {
	if t.ended {
		return
	}
	t.engine.own.Prefill -= t.use.Prefill
	t.use.Prefill = 0
}

// Progress records that n more tokens were generated. expected is the updated
// estimate of the memory that the call needs when it ends, in tokens.
func (t *Ticket) Progress(n, expected serving.Tokens) {
	if t.ended {
		return
	}
	t.engine.own.Held += n
	t.use.Held += n
	expected = max(expected, t.use.Held)
	t.engine.own.Expected += expected - t.use.Expected
	t.use.Expected = expected
}

// End records the outcome of the call and subtracts it from the engine's load.
// latency is 0 if it was not measured. Further calls of End have no effect.
func (t *Ticket) End(now time.Duration, o Outcome, latency time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	own := &t.engine.own
	own.Running -= t.use.Running
	own.Held -= t.use.Held
	own.Expected -= t.use.Expected
	own.Prefill -= t.use.Prefill
	removePaced(own, t.use.Paced)
	// While a probe is in progress, only its own outcome counts. The other calls in
	// progress began before the backoff.
	if t.probe || !t.engine.health.probe {
		t.engine.health.record(now, o, latency.Seconds())
	}
	if e := t.pool.engines[t.Engine]; e != nil && e != t.engine {
		// The engine was restarted, and the load of this call was copied to its new
		// state.
		e.own.Running -= t.use.Running
		e.own.Held -= t.use.Held
		e.own.Expected -= t.use.Expected
		e.own.Prefill -= t.use.Prefill
		removePaced(&e.own, t.use.Paced)
	}
}

// Late records that the answer was late, so that its pace matters no more.
func (t *Ticket) Late() {
	if t.ended {
		return
	}
	removePaced(&t.engine.own, t.use.Paced)
	t.use.Paced = 0
}

// removePaced subtracts streams that need a pace. The shortest required pause is kept until
// none is left.
func removePaced(u *usage.Use, n serving.Slots) {
	if u.Paced -= n; u.Paced <= 0 {
		u.Paced, u.MaxPause = 0, 0
	}
}

// Total returns the load from all entries at an engine.
func (p *Pool) Total(id serving.EngineID) usage.Use {
	if e := p.engines[id]; e != nil {
		return e.total()
	}
	return usage.Use{Engine: id}
}

// OwnUseAt returns this entry's load at an engine.
func (p *Pool) OwnUseAt(id serving.EngineID) usage.Use {
	if e := p.engines[id]; e != nil {
		return e.own
	}
	return usage.Use{Engine: id}
}
