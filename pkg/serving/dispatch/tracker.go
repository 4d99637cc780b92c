package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// EngineState is the state that an engine announces.
type EngineState string

// States of an engine. Only a ready one takes new work.
const (
	EngineStarting EngineState = "starting"
	EngineReady    EngineState = "ready"
	EngineLeaving  EngineState = "leaving"
)

// Carried is a model and version that an engine carries.
type Carried struct {
	Model   serving.ModelID
	Version serving.Version
}

// Announcement is what one entry learns of an engine at a time, from the engine
// itself or from its owner.
type Announcement struct {
	Engine      serving.EngineID
	DataCentre  serving.DataCentreID
	Region      serving.RegionID
	Incarnation serving.Incarnation
	Role        string
	State       EngineState
	Models      []Carried
	Capacity    serving.Capacity
	Load        serving.Load
	CacheEvents []CacheEvent
}

// Outcome says how a generation ended.
type Outcome int

// Outcomes of a generation.
const (
	// OutcomeComplete is an answer that ended by itself.
	OutcomeComplete Outcome = iota
	// OutcomeTruncated is an answer that reached max_tokens.
	OutcomeTruncated
	// OutcomeCanceled is an answer that the caller gave up.
	OutcomeCanceled
	// OutcomeFailed is a failure of the engine.
	OutcomeFailed
)

// TrackerConfig configures a tracker. Zero values mean the defaults.
type TrackerConfig struct {
	Lengths serving.LengthEstimator
	Random  serving.Random
	// Distance returns the one-way delay to a data centre; nil means 0.
	Distance func(serving.DataCentreID) time.Duration
	// InService tells whether the configuration permits new work; nil means always.
	InService func(serving.EngineID, serving.DataCentreID) bool
	// StaleAfter is the age of the last announcement after which an engine is no
	// candidate (default 2 s).
	StaleAfter time.Duration
	// Refresh is the age of a memory forecast that is computed again (default 100 ms).
	Refresh time.Duration
	// Sample is the number of candidates of one decision when there are more than
	// twice as many engines; otherwise all are candidates (default 12).

	Sample int
	// Prefixes bounds the prefix cache estimate of an engine (default 4096) and
	// PrefixHalfLife its trust (default 60 s).
	Prefixes       int
	PrefixHalfLife time.Duration
	Ramp           RampConfig
	Breaker        BreakerConfig
	Stall          StallConfig
}

// maxReferences bounds the engines that are looked at for a reference step time;
// without it, many cold engines cost a time that grows with their square.
const maxReferences = 64

// Tracker keeps the state of all engines as one entry sees it and produces the
// candidates of a decision.
type Tracker struct {
	cfg     TrackerConfig
	engines map[serving.EngineID]*engine
	// rings holds the engines of each model, ordered by hash.
	rings map[serving.ModelID][]*engine
	// prompts is the smoothed prompt length of each model.
	prompts map[serving.ModelID]float64
}

// engine is one entry's view of an engine.
type engine struct {
	Announcement
	hash      uint64
	distance  time.Duration
	heardAt   time.Duration
	asOf      time.Duration
	offset    time.Duration
	hasOffset bool
	limit     serving.Slots
	hasLimit  bool
	running   map[serving.GenerationID]*generation
	// order holds the same generations; sums over it have the same rounding in
	// every run with the same seed, those over a map do not.
	order []*generation

	// ended holds the generations that ended after the last report was made.
	ended      []generation
	forecast   serving.MemoryForecast
	forecastAt time.Duration
	dirty      bool
	others     serving.MemoryForecast
	othersAt   time.Duration
	hasOthers  bool
	sinceCount serving.Slots
	busyNow    serving.Slots
	// streaming counts the generations that have a token; lastProgress is the
	// time of the latest token of any of them.
	streaming    int
	lastProgress time.Duration

	usedNow    serving.Tokens
	step       time.Duration
	firstToken time.Duration
	prefixes   prefixCache
	ramp       *Ramp
	breaker    *Breaker
	stall      *StallDetector
}

type generation struct {
	key       serving.LengthKey
	prompt    serving.Tokens
	soFar     serving.Tokens
	most      serving.Tokens
	sentAt    time.Duration
	lastToken time.Duration
	cached    serving.Tokens
	// survival is that of survivalAt tokens.
	survival    [serving.ForecastPoints]float64
	survivalAt  serving.Tokens
	hasSurvival bool
}

// NewTracker returns a tracker without engines.
func NewTracker(cfg TrackerConfig) *Tracker {
	cfg.StaleAfter = orDefault(cfg.StaleAfter, 2*time.Second)
	cfg.Refresh = orDefault(cfg.Refresh, 100*time.Millisecond)
	cfg.Sample = orDefault(cfg.Sample, 12)
	cfg.Prefixes = orDefault(cfg.Prefixes, 4096)
	cfg.PrefixHalfLife = orDefault(cfg.PrefixHalfLife, time.Minute)
	if cfg.Lengths == nil {
		cfg.Lengths = NewLengths(LengthsConfig{})
	}
	return &Tracker{cfg: cfg, engines: map[serving.EngineID]*engine{}, rings: map[serving.ModelID][]*engine{}, prompts: map[serving.ModelID]float64{}}
}

// Announce takes in an announcement; one of an older incarnation is ignored.
func (t *Tracker) Announce(now time.Duration, a Announcement) {
	e := t.engines[a.Engine]
	if e != nil && a.Incarnation < e.Incarnation {
		return
	}
	if e == nil || a.Incarnation > e.Incarnation {
		e = t.renew(e, a)
	}
	// A leaving mark is never revoked within one incarnation.
	if e.State == EngineLeaving {
		a.State = EngineLeaving
	}
	moved := !slices.Equal(e.Models, a.Models)
	if moved {
		t.unlink(e)
	}
	e.Announcement = a
	e.CacheEvents = nil
	e.heardAt = now
	if moved {
		t.link(e)
	}
	e.ramp.Announce(now, a.Incarnation, a.Capacity)
	e.ramp.SetReference(t.referenceStep(e))
	e.prefixes.apply(now, a.CacheEvents)
	e.report(now, a.Load)
	e.ramp.Report(now, a.Load)

}

// renew creates the state of a new incarnation; what ran at the old one is gone.
func (t *Tracker) renew(old *engine, a Announcement) *engine {
	e := &engine{
		hash:     xxhash.Sum64String(string(a.Engine)),
		running:  map[serving.GenerationID]*generation{},
		prefixes: newPrefixCache(t.cfg.Prefixes, t.cfg.PrefixHalfLife),
		ramp:     NewRamp(t.cfg.Ramp),
		breaker:  NewBreaker(t.cfg.Breaker),
		stall:    NewStallDetector(t.cfg.Stall),
	}
	if t.cfg.Distance != nil {
		e.distance = t.cfg.Distance(a.DataCentre)
	}
	if old != nil {
		t.unlink(old)
		// The history of the engine's gaps and failures outlives a restart.
		e.breaker, e.stall = old.breaker, old.stall
		e.ramp.SetReference(old.ramp.Reference())
	}
	t.engines[a.Engine] = e
	return e
}

func (t *Tracker) link(e *engine) {
	for _, m := range e.Models {
		ring := t.rings[m.Model]
		i, _ := slices.BinarySearchFunc(ring, e.hash, compareHash)
		t.rings[m.Model] = slices.Insert(ring, i, e)
	}
}

func (t *Tracker) unlink(e *engine) {
	for _, m := range e.Models {
		t.rings[m.Model] = slices.DeleteFunc(t.rings[m.Model], func(x *engine) bool { return x == e })
	}
}

func compareHash(e *engine, h uint64) int {
	switch {
	case e.hash < h:
		return -1
	case e.hash > h:
		return 1
	default:
		return 0
	}
}

// referenceStep returns the step time of a warm engine that carries the same
// model, looked for among some of them; 0 if e has a history of its own.
func (t *Tracker) referenceStep(e *engine) time.Duration {
	if e.ramp.Reference() > 0 {
		return 0
	}
	for _, m := range e.Models {
		ring := t.rings[m.Model]
		for _, other := range ring[:min(len(ring), maxReferences)] {
			if other != e && !other.ramp.Cold() && other.ramp.Reference() > 0 {
				return other.ramp.Reference()
			}
		}
	}
	return 0
}

// report takes in a load report and estimates when it was made: the smallest
// difference between the receiver's and the engine's clock stands for no lag.
func (e *engine) report(now time.Duration, l serving.Load) {
	made := time.Duration(l.AsOfMS) * time.Millisecond
	if d := now - made; !e.hasOffset || d < e.offset {
		e.offset, e.hasOffset = d, true
	} else {
		// The offset creeps up so that a drifting clock can't freeze it.
		e.offset += (d - e.offset) / 1024
	}
	e.Load.ReceivedAt = now
	if asOf := min(now, made+e.offset) - e.distance; asOf > e.asOf {
		e.asOf = asOf
	}
	kept := e.ended[:0]
	for _, g := range e.ended {
		if g.lastToken > e.asOf {
			kept = append(kept, g)
		}
	}
	e.ended = kept
	e.dirty = true
}

// SetOthers sets the memory forecast of what the other entries run at an engine,
// as its owner says. While it is recent it replaces the estimate from reports.
func (t *Tracker) SetOthers(at time.Duration, id serving.EngineID, f serving.MemoryForecast) {
	if e := t.engines[id]; e != nil && at >= e.othersAt {
		e.others, e.othersAt, e.hasOthers, e.dirty = f, at, true, true
	}
}

// OwnForecast returns the memory forecast of what this entry runs at an engine.
func (t *Tracker) OwnForecast(id serving.EngineID) serving.MemoryForecast {
	var f serving.MemoryForecast
	if e := t.engines[id]; e != nil {
		for _, g := range e.order {
			e.addGeneration(&f, t.cfg.Lengths, g)
		}
	}
	return f
}

// Typical returns the memory forecast of one new generation of a model.
func (t *Tracker) Typical(model serving.ModelID) serving.MemoryForecast {
	var f serving.MemoryForecast
	var survival [serving.ForecastPoints]float64
	t.cfg.Lengths.Survival(serving.LengthKey{Model: model}, 0, &survival)
	prompt, ok := t.prompts[model]
	if !ok {
		prompt = 256
	}
	f.Add(serving.Tokens(prompt), 0, &survival, 1)

	return f
}

// Remove forgets an engine.
func (t *Tracker) Remove(id serving.EngineID) {
	if e := t.engines[id]; e != nil {
		t.unlink(e)
		delete(t.engines, id)
	}
}

// SetLimit sets the number of generations the engine may run, as its owner says.
// Without it the limit is that of the tracker's own ramp.
func (t *Tracker) SetLimit(id serving.EngineID, limit serving.Slots) {
	if e := t.engines[id]; e != nil {
		e.limit, e.hasLimit = limit, true
	}
}

// TurnCold starts the ramp of an engine anew, for example when its data centre returns.
func (t *Tracker) TurnCold(now time.Duration, id serving.EngineID) {
	if e := t.engines[id]; e != nil {
		e.ramp.TurnCold(now)
	}
}

// Slowed tells whether step times that this entry saw show that an engine turned cold.
func (t *Tracker) Slowed(id serving.EngineID) bool {
	e := t.engines[id]
	return e != nil && e.ramp.Slowed()
}

// Reference returns the step time of an engine when it is warm, by its own history
// or that of engines with the same model; 0 means unknown.
func (t *Tracker) Reference(id serving.EngineID) time.Duration {
	e := t.engines[id]
	if e == nil {
		return 0
	}
	return max(e.ramp.Reference(), t.referenceStep(e))
}

// Sent records that r was sent to an engine as generation g.
func (t *Tracker) Sent(now time.Duration, id serving.EngineID, g serving.GenerationID, r *serving.Request) {
	e := t.engines[id]
	if e == nil {
		return
	}
	n := &generation{key: lengthKey(r), prompt: r.PromptTokens, most: r.MaxTokens, sentAt: now, lastToken: now}
	n.cached = e.prefixes.cached(now, r.PrefixHashes, e.Capacity.BlockTokens)
	if old := e.running[g]; old != nil {
		e.forget(old)
	}
	e.running[g] = n
	e.order = append(e.order, n)

	for _, p := range r.PrefixHashes {
		e.prefixes.add(now, p)
	}
	if p, ok := t.prompts[r.Model]; ok {
		t.prompts[r.Model] = p + (float64(r.PromptTokens)-p)/64
	} else {
		t.prompts[r.Model] = float64(r.PromptTokens)
	}
	e.breaker.Begin(now)

	// The forecast grows at once, so that the next decision sees this request.
	e.addTo(t.cfg.Lengths, n)
	e.sinceCount++
	e.busyNow++
	e.usedNow += n.prompt
}

// FirstToken records the first token of a generation.
func (t *Tracker) FirstToken(now time.Duration, id serving.EngineID, g serving.GenerationID) {
	e, n := t.find(id, g)
	if n == nil {
		return
	}
	d := now - n.sentAt
	e.firstToken = smooth(e.firstToken, d, 8)
	e.ramp.FirstToken(now, d, n.prompt-n.cached)
	e.breaker.Record(now, true)
	n.soFar, n.lastToken = 1, now
	e.streaming++
	e.lastProgress = now

}

// Progress records that a generation has produced soFar tokens.
func (t *Tracker) Progress(now time.Duration, id serving.EngineID, g serving.GenerationID, soFar serving.Tokens) {
	e, n := t.find(id, g)
	if n == nil || soFar <= n.soFar {
		return
	}
	if n.soFar == 0 {
		e.streaming++
	}
	gap := (now - n.lastToken) / time.Duration(soFar-n.soFar)
	n.soFar, n.lastToken = soFar, now
	e.lastProgress = now

	e.step = smooth(e.step, gap, 16)
	e.stall.Observe(gap)
	e.ramp.Step(now, gap, e.busyNow)
}

// Done records the end of a generation.
func (t *Tracker) Done(now time.Duration, id serving.EngineID, g serving.GenerationID, o Outcome) {
	e, n := t.find(id, g)
	if n == nil {
		return
	}
	delete(e.running, g)
	e.forget(n)
	if n.soFar > 0 {
		e.streaming--
	}
	switch o {
	case OutcomeComplete:
		t.cfg.Lengths.Observe(n.key, n.soFar)
	case OutcomeFailed:
		e.breaker.Record(now, false)
		e.ramp.Failed(now)
	default:
		if n.soFar == 0 {
			e.breaker.Abandon()
		}
	}
	if n.sentAt <= e.asOf {
		n.lastToken = now
		e.ended = append(e.ended, *n)
	}
	e.dirty = true
}

// Slow records that a generation exceeded a time limit without failing.
func (t *Tracker) Slow(now time.Duration, id serving.EngineID) {
	if e := t.engines[id]; e != nil {
		e.breaker.Record(now, false)
	}
}

// Stalled tells whether a generation has stalled by the engine's own history.
func (t *Tracker) Stalled(now time.Duration, id serving.EngineID, g serving.GenerationID) bool {
	e, n := t.find(id, g)
	return n != nil && n.soFar > 0 && e.stall.Stalled(now, n.lastToken)
}

// StallThreshold returns the gap between tokens that counts as a stall.
func (t *Tracker) StallThreshold(id serving.EngineID) time.Duration {
	if e := t.engines[id]; e != nil {
		return e.stall.Threshold()
	}
	return t.cfg.Stall.Ceiling
}

func (t *Tracker) find(id serving.EngineID, g serving.GenerationID) (*engine, *generation) {
	e := t.engines[id]
	if e == nil {
		return nil, nil
	}
	return e, e.running[g]
}

func (e *engine) forget(n *generation) {
	e.order = slices.DeleteFunc(e.order, func(x *generation) bool { return x == n })
}

func smooth(old, v time.Duration, n int) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/time.Duration(n)
}
