package placement

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// Pool is what one entry knows of all engines. Exported fields are set before
// the first use.
type Pool struct {
	Random     serving.Random
	DataCentre serving.DataCentreID
	RegionOf   map[serving.DataCentreID]serving.RegionID

	engines map[serving.EngineID]*engine
	out     map[serving.DataCentreID]bool
	entries int
}

// engine is what the pool knows of one engine.
type engine struct {
	presence.Entry
	region serving.RegionID
	health health
	// others is the work of the other entries, own that of this one.
	others, own usage.Use
	// load is what the engine told last.
	load   serving.EngineLoad
	loadAt time.Duration
	// parts are the parts of prompts that this entry sent there.
	parts partMemory
	// admitted counts this entry's calls in the present second of a cold start.
	admitted   float64
	admittedAt time.Duration
}

// Target is an engine chosen for a call.
type Target struct {
	Engine     serving.EngineID
	Address    string
	DataCentre serving.DataCentreID
	// Leaving tells that the engine takes no new work.
	Leaving bool
	// Started is the start of the engine's process.
	Started int64
}

func (e *engine) target() Target {
	return Target{Engine: e.Engine, Address: e.Address, DataCentre: e.DataCentre, Leaving: e.State != presence.Ready, Started: e.Started}
}

// SetOut sets the data centres that get no new work.
func (p *Pool) SetOut(out []string) {
	p.out = map[serving.DataCentreID]bool{}
	for _, dc := range out {
		p.out[serving.DataCentreID(dc)] = true
	}
}

// SetEngine takes in what a directory knows of an engine. It returns true if the
// engine has just begun to leave.
func (p *Pool) SetEngine(entry *presence.Entry) (left bool) {
	if p.engines == nil {
		p.engines = map[serving.EngineID]*engine{}
	}
	e := p.engines[entry.Engine]
	if e == nil || e.Started != entry.Started {
		// A restarted engine holds and knows nothing of before.
		fresh := &engine{}
		if e != nil {
			fresh.own = e.own
		}
		fresh.others.Engine, fresh.own.Engine = entry.Engine, entry.Engine
		e = fresh
		e.State = presence.Ready
		p.engines[entry.Engine] = e
	}
	left = e.State == presence.Ready && entry.State != presence.Ready
	e.Entry = *entry
	e.region = p.RegionOf[entry.DataCentre]
	return left
}

// Forget drops an engine.
func (p *Pool) Forget(id serving.EngineID) {
	if e := p.engines[id]; e != nil && e.own.Running == 0 {
		delete(p.engines, id)
	}
}

// SetOthers takes in the work of all other entries and the number of entries.
func (p *Pool) SetOthers(uses []usage.Use, entries int) {
	for _, e := range p.engines {
		e.others = usage.Use{Engine: e.Engine}
	}
	for i := range uses {
		if e := p.engines[uses[i].Engine]; e != nil {
			e.others = uses[i]
		}
	}
	p.entries = max(entries, 1)
}

// Entries returns the number of entries that share the engines, at least 1.
func (p *Pool) Entries() int { return max(p.entries, 1) }

// Own returns this entry's work at all engines.
func (p *Pool) Own(now time.Duration) []usage.Use {
	var out []usage.Use
	for _, e := range p.engines {
		u := e.own
		u.Broken = e.health.recentlyBroken(now)
		if u.Running != 0 || u.Expected != 0 || u.Broken != 0 {
			out = append(out, u)
		}
	}
	return out
}

// SetLoad takes in the load that an engine told in an answer.
func (p *Pool) SetLoad(now time.Duration, id serving.EngineID, load serving.EngineLoad) {
	if e := p.engines[id]; e != nil {
		e.load, e.loadAt = load, now
	}
}

// Lookup returns an engine.
func (p *Pool) Lookup(id serving.EngineID) (Target, bool) {
	e := p.engines[id]
	if e == nil {
		return Target{}, false
	}
	return e.target(), true
}

// total returns the work of all entries at an engine.
func (e *engine) total() usage.Use {
	sum := e.others
	sum.Add(&e.own)
	return sum
}

// Ticket is the claim of one call on an engine. It must be ended.
type Ticket struct {
	Target
	pool   *Pool
	engine *engine
	use    usage.Use
	before usage.Use
	// Fitting and Full count the engines with and without room at the choice.
	Fitting, Full int
	// KeepIdle is how many idle connections to the engine this entry may keep.
	KeepIdle int
	ended    bool
	trial    bool
}

// Use returns the work that the call adds to the engine.
func (t *Ticket) Use() usage.Use { return t.use }

// Before returns the work at the engine when it was chosen.
func (t *Ticket) Before() usage.Use { return t.before }

func (p *Pool) open(e *engine, n *Need) *Ticket {
	use := n.use(e.Engine)
	t := &Ticket{Target: e.target(), KeepIdle: p.keepIdle(n.Service), pool: p, engine: e, use: use, before: e.total()}
	if e.health.suspect {
		e.health.trial, t.trial = true, true
	}
	e.own.Add(&use)
	return t
}

// FirstEvent records that the prompt has been read.
func (t *Ticket) FirstEvent() {
	if t.ended {
		return
	}
	t.engine.own.Prefill -= t.use.Prefill
	t.use.Prefill = 0
}

// Progress records that n more tokens were generated; expected is the memory that
// the call is now expected to need in the end.
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

// End records the outcome of the call; latency is 0 if it was not measured.
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
	if t.trial || !t.engine.health.trial {
		t.engine.health.record(now, o, latency.Seconds())
	}
	if e := t.pool.engines[t.Engine]; e != nil && e != t.engine {
		// The engine was restarted; its successor took over the sum of the work.
		e.own.Running -= t.use.Running
		e.own.Held -= t.use.Held
		e.own.Expected -= t.use.Expected
		e.own.Prefill -= t.use.Prefill
	}
}

// Total returns the work of all entries at an engine.
func (p *Pool) Total(id serving.EngineID) usage.Use {
	if e := p.engines[id]; e != nil {
		return e.total()
	}
	return usage.Use{Engine: id}
}

// OwnAt returns this entry's work at an engine.
func (p *Pool) OwnAt(id serving.EngineID) usage.Use {
	if e := p.engines[id]; e != nil {
		return e.own
	}
	return usage.Use{Engine: id}
}
