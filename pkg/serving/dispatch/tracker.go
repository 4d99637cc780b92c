package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// EngineState is the state that an engine announces.
type EngineState string

// States of an engine. Only a ready engine takes new requests.
const (
	EngineStarting EngineState = "starting"
	EngineReady    EngineState = "ready"
	EngineLeaving  EngineState = "leaving"
)

// ServedModel is a model version that an engine serves.
type ServedModel struct {
	Model   serving.ModelID
	Version serving.Version
}

// Announcement is the state of an engine at one point in time, received from the engine
// itself or from its owner.
type Announcement struct {
	Engine      serving.EngineID
	DataCentre  serving.DataCentreID
	Region      serving.RegionID
	Incarnation serving.Incarnation
	// Uptime is how long the incarnation has run, as the engine reports it; 0 means unknown.
	Uptime time.Duration
	// Role is copied to the candidates; the package does not interpret it.
	Role        string
	State       EngineState
	Models      []ServedModel
	Capacity    serving.Capacity
	Load        serving.Load
	CacheEvents []CacheEvent
}

// Outcome is the way in which a generation ended.
type Outcome int

// Outcomes of a generation.
const (
	// OutcomeComplete means that the answer ended by itself.
	OutcomeComplete Outcome = iota
	// OutcomeTruncated means that the answer reached max_tokens.
	OutcomeTruncated
	// OutcomeCanceled means that the caller cancelled the request.
	OutcomeCanceled
	// OutcomeFailed means that the engine failed.
	OutcomeFailed
)

// TrackerConfig configures a tracker. Zero values mean the defaults.
type TrackerConfig struct {
	Lengths serving.LengthEstimator
	Random  serving.Random
	// NetworkDelay returns the one-way network delay to a data centre; nil means 0.
	NetworkDelay func(serving.DataCentreID) time.Duration
	// InService reports whether the configuration permits new requests at an engine;
	// nil means always.
	InService func(serving.EngineID, serving.DataCentreID) bool
	// StaleAfter is the age of the last announcement after which an engine is not a
	// candidate (default 2 s).
	StaleAfter time.Duration
	// ForecastRefresh is the age at which a memory forecast is recomputed (default 100 ms).
	ForecastRefresh time.Duration
	// SampleSize is the number of candidates of a decision if more than twice as many
	// engines serve the model; otherwise all engines are candidates (default 12).
	SampleSize int
	// MaxPrefixes limits the prefix cache estimate of an engine (default 4096).
	// PrefixHalfLife is the half-life of the probability that a prefix is still cached
	// (default 60 s).
	MaxPrefixes    int
	PrefixHalfLife time.Duration
	Ramp           RampConfig
	Breaker        BreakerConfig
	Stall          StallConfig
}

// maxReferences limits the number of engines searched for a reference step time.
// Without it, the cost of many cold engines grows with the square of their number.
const maxReferences = 64

// Tracker keeps the state of all engines as seen by one entry and produces the
// candidates of a decision.
type Tracker struct {
	cfg     TrackerConfig
	engines map[serving.EngineID]*engine
	// rings holds the engines of each model, ordered by hash.
	rings map[serving.ModelID][]*engine
	// promptLengths holds the smoothed prompt length of each model.
	promptLengths map[serving.ModelID]float64
}

// engine is one entry's view of an engine.
type engine struct {
	Announcement
	hash         uint64
	networkDelay time.Duration
	announcedAt  time.Duration
	// asOf is the estimated time at which the last load report was made.
	asOf time.Duration
	// clockOffset is the estimated difference between this entry's clock and the engine's.
	clockOffset    time.Duration
	hasClockOffset bool
	limit          serving.Slots
	hasLimit       bool
	running        map[serving.GenerationID]*generation
	// runningInOrder holds the same generations in the order in which they were sent.
	// Sums over it are rounded identically in every run with the same seed; sums over a
	// map are not.
	runningInOrder []*generation

	// ended holds the generations that ended after the last report was made. Their
	// lastToken is the time at which they ended.
	ended      []generation
	forecast   serving.MemoryForecast
	forecastAt time.Duration
	dirty      bool
	others     serving.MemoryForecast
	othersAt   time.Duration
	hasOthers  bool
	// sentSinceReport counts this entry's running generations that the last load report
	// does not include.
	sentSinceReport serving.Slots
	// busyNow is the estimated number of generations of all entries at the engine.
	busyNow serving.Slots
	// streaming counts the generations that have produced a token; lastProgress is the
	// time of the latest token of any of them.
	streaming    int
	lastProgress time.Duration

	// usedTokens is the estimated memory use of the generations in the forecast.
	usedTokens serving.Tokens
	// step and firstToken are the smoothed time between tokens and time to first token.
	step       time.Duration
	firstToken time.Duration
	prefixes   prefixCache
	ramp       *Ramp
	breaker    *Breaker
	stall      *StallDetector
}

type generation struct {
	key          serving.LengthKey
	prompt       serving.Tokens
	soFar        serving.Tokens
	maxTokens    serving.Tokens
	sentAt       time.Duration
	lastToken    time.Duration
	cachedTokens serving.Tokens
	// survival is the survival function after survivalAt tokens.
	survival    [serving.ForecastPoints]float64
	survivalAt  serving.Tokens
	hasSurvival bool
}

// NewTracker returns a tracker without engines.
func NewTracker(cfg TrackerConfig) *Tracker {
	cfg.StaleAfter = orDefault(cfg.StaleAfter, 2*time.Second)
	cfg.ForecastRefresh = orDefault(cfg.ForecastRefresh, 100*time.Millisecond)
	cfg.SampleSize = orDefault(cfg.SampleSize, 12)
	cfg.MaxPrefixes = orDefault(cfg.MaxPrefixes, 4096)
	cfg.PrefixHalfLife = orDefault(cfg.PrefixHalfLife, time.Minute)
	if cfg.Lengths == nil {
		cfg.Lengths = NewLengths(LengthsConfig{})
	}
	return &Tracker{cfg: cfg, engines: map[serving.EngineID]*engine{}, rings: map[serving.ModelID][]*engine{}, promptLengths: map[serving.ModelID]float64{}}
}

// Announce records an announcement; one of an older incarnation is ignored.
func (t *Tracker) Announce(now time.Duration, a Announcement) {
	e := t.engines[a.Engine]
	if e != nil && a.Incarnation < e.Incarnation {
		return
	}
	if e == nil || a.Incarnation > e.Incarnation {
		e = t.newIncarnation(e, a)
	}
	// Within one incarnation, a leaving engine never becomes ready again.
	if e.State == EngineLeaving {
		a.State = EngineLeaving
	}
	modelsChanged := !slices.Equal(e.Models, a.Models)
	if modelsChanged {
		t.removeFromRings(e)
	}
	e.Announcement = a
	e.CacheEvents = nil
	e.announcedAt = now
	if modelsChanged {
		t.addToRings(e)
	}
	e.ramp.Announce(now, a.Incarnation, a.Capacity)
	e.ramp.SetUptime(now, a.Uptime)
	e.ramp.SetReference(t.referenceStep(e))
	e.prefixes.apply(now, a.CacheEvents)
	e.report(now, a.Load)
	e.ramp.Report(now, a.Load)

}

// newIncarnation creates the state of a new incarnation; the generations of the old one have ended.
func (t *Tracker) newIncarnation(old *engine, a Announcement) *engine {
	e := &engine{
		hash:     xxhash.Sum64String(string(a.Engine)),
		running:  map[serving.GenerationID]*generation{},
		prefixes: newPrefixCache(t.cfg.MaxPrefixes, t.cfg.PrefixHalfLife),
		ramp:     NewRamp(t.cfg.Ramp),
		breaker:  NewBreaker(t.cfg.Breaker),
		stall:    NewStallDetector(t.cfg.Stall),
	}
	if t.cfg.NetworkDelay != nil {
		e.networkDelay = t.cfg.NetworkDelay(a.DataCentre)
	}
	if old != nil {
		t.removeFromRings(old)
		// The history of the engine's token gaps and failures is kept across a restart.
		e.breaker, e.stall = old.breaker, old.stall
		e.ramp.SetReference(old.ramp.Reference())
	}
	t.engines[a.Engine] = e
	return e
}

func (t *Tracker) addToRings(e *engine) {
	for _, m := range e.Models {
		ring := t.rings[m.Model]
		i, _ := slices.BinarySearchFunc(ring, e.hash, compareHash)
		t.rings[m.Model] = slices.Insert(ring, i, e)
	}
}

func (t *Tracker) removeFromRings(e *engine) {
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

// referenceStep returns the step time of a warm engine that serves the same model,
// searched among at most maxReferences engines. It returns 0 if e has a reference of its own.
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

// report records a load report and estimates when it was made. The smallest observed
// difference between the time of arrival and the engine's timestamp is taken as the
// clock offset, because it contains the least transmission delay.
func (e *engine) report(now time.Duration, l serving.Load) {
	madeAt := time.Duration(l.AsOfMS) * time.Millisecond
	if d := now - madeAt; !e.hasClockOffset || d < e.clockOffset {
		e.clockOffset, e.hasClockOffset = d, true
	} else {
		// The offset rises slowly towards larger differences. Otherwise, clock drift
		// could leave it too small forever.
		e.clockOffset += (d - e.clockOffset) / 1024
	}
	e.Load.ReceivedAt = now
	if asOf := min(now, madeAt+e.clockOffset) - e.networkDelay; asOf > e.asOf {
		e.asOf = asOf
	}
	remaining := e.ended[:0]
	for _, g := range e.ended {
		if g.lastToken > e.asOf {
			remaining = append(remaining, g)
		}
	}
	e.ended = remaining
	e.dirty = true
}

// SetOthers sets the memory forecast of the generations that the other entries run at
// an engine, as its owner reports it; at is the time at which the request for it was
// sent. While it is recent it replaces the estimate from load reports.
func (t *Tracker) SetOthers(at time.Duration, id serving.EngineID, f serving.MemoryForecast) {
	if e := t.engines[id]; e != nil && at >= e.othersAt {
		e.others, e.othersAt, e.hasOthers, e.dirty = f, at, true, true
	}
}

// OwnForecast returns the memory forecast of the generations that this entry runs at an engine.
func (t *Tracker) OwnForecast(id serving.EngineID) serving.MemoryForecast {
	var f serving.MemoryForecast
	if e := t.engines[id]; e != nil {
		for _, g := range e.runningInOrder {
			e.addGeneration(&f, t.cfg.Lengths, g)
		}
	}
	return f
}

// TypicalForecast returns the memory forecast of one new generation of a model.
func (t *Tracker) TypicalForecast(model serving.ModelID) serving.MemoryForecast {
	var f serving.MemoryForecast
	var survival [serving.ForecastPoints]float64
	t.cfg.Lengths.Survival(serving.LengthKey{Model: model}, 0, &survival)
	prompt, ok := t.promptLengths[model]
	if !ok {
		prompt = 256
	}
	f.Add(serving.Tokens(prompt), 0, &survival, 1)

	return f
}

// Remove deletes the state of an engine.
func (t *Tracker) Remove(id serving.EngineID) {
	if e := t.engines[id]; e != nil {
		t.removeFromRings(e)
		delete(t.engines, id)
	}
}

// SetLimit sets the number of generations the engine may run, as its owner reports it.
// Until it is called, the limit of the tracker's own ramp applies.
func (t *Tracker) SetLimit(id serving.EngineID, limit serving.Slots) {
	if e := t.engines[id]; e != nil {
		e.limit, e.hasLimit = limit, true
	}
}

// TurnCold restarts the ramp of an engine, for example when its data centre returns to service.
func (t *Tracker) TurnCold(now time.Duration, id serving.EngineID) {
	if e := t.engines[id]; e != nil {
		e.ramp.TurnCold(now)
	}
}

// Slowed reports whether the step times measured by this entry show that an engine turned cold.
func (t *Tracker) Slowed(id serving.EngineID) bool {
	e := t.engines[id]
	return e != nil && e.ramp.Slowed()
}

// Reference returns the step time of an engine when it is warm, from its own history or
// from engines with the same model; 0 means unknown.
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
	gen := &generation{key: lengthKey(r), prompt: r.PromptTokens, maxTokens: r.MaxTokens, sentAt: now, lastToken: now}
	gen.cachedTokens = e.prefixes.cached(now, r.PrefixHashes, e.Capacity.BlockTokens)
	if old := e.running[g]; old != nil {
		e.removeRunning(old)
	}
	e.running[g] = gen
	e.runningInOrder = append(e.runningInOrder, gen)

	for _, p := range r.PrefixHashes {
		e.prefixes.add(now, p)
	}
	if p, ok := t.promptLengths[r.Model]; ok {
		t.promptLengths[r.Model] = p + (float64(r.PromptTokens)-p)/64
	} else {
		t.promptLengths[r.Model] = float64(r.PromptTokens)
	}
	e.breaker.Begin(now)

	// The forecast is updated immediately, so that the next decision includes this request.
	e.addToForecast(t.cfg.Lengths, gen)
	e.sentSinceReport++
	e.busyNow++
	e.usedTokens += gen.prompt
}

// FirstToken records the first token of a generation.
func (t *Tracker) FirstToken(now time.Duration, id serving.EngineID, g serving.GenerationID) {
	e, gen := t.find(id, g)
	if gen == nil {
		return
	}
	d := now - gen.sentAt
	e.firstToken = smooth(e.firstToken, d, 8)
	e.ramp.FirstToken(now, d, gen.prompt-gen.cachedTokens)
	e.breaker.Record(now, true)
	gen.soFar, gen.lastToken = 1, now
	e.streaming++
	e.lastProgress = now

}

// Progress records that a generation has produced soFar tokens.
func (t *Tracker) Progress(now time.Duration, id serving.EngineID, g serving.GenerationID, soFar serving.Tokens) {
	e, gen := t.find(id, g)
	if gen == nil || soFar <= gen.soFar {
		return
	}
	if gen.soFar == 0 {
		e.streaming++
	}
	gap := (now - gen.lastToken) / time.Duration(soFar-gen.soFar)
	gen.soFar, gen.lastToken = soFar, now
	e.lastProgress = now

	e.step = smooth(e.step, gap, 16)
	e.stall.Observe(gap)
	e.ramp.Step(now, gap, e.busyNow)
}

// Done records the end of a generation.
func (t *Tracker) Done(now time.Duration, id serving.EngineID, g serving.GenerationID, o Outcome) {
	e, gen := t.find(id, g)
	if gen == nil {
		return
	}
	delete(e.running, g)
	e.removeRunning(gen)
	if gen.soFar > 0 {
		e.streaming--
	}
	switch o {
	case OutcomeComplete:
		t.cfg.Lengths.Observe(gen.key, gen.soFar)
	case OutcomeFailed:
		e.breaker.Record(now, false)
		e.ramp.Failed(now)
	default:
		if gen.soFar == 0 {
			e.breaker.Abandon()
		}
	}
	if gen.sentAt <= e.asOf {
		gen.lastToken = now
		e.ended = append(e.ended, *gen)
	}
	e.dirty = true
}

// RecordSlow records that a generation exceeded a time limit without failing; the circuit
// breaker counts it as a failure.
func (t *Tracker) RecordSlow(now time.Duration, id serving.EngineID) {
	if e := t.engines[id]; e != nil {
		e.breaker.Record(now, false)
	}
}

// Stalled reports whether a generation has stalled, judged by the history of its engine.
func (t *Tracker) Stalled(now time.Duration, id serving.EngineID, g serving.GenerationID) bool {
	e, gen := t.find(id, g)
	return gen != nil && gen.soFar > 0 && e.stall.Stalled(now, gen.lastToken)
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

func (e *engine) removeRunning(gen *generation) {
	e.runningInOrder = slices.DeleteFunc(e.runningInOrder, func(x *generation) bool { return x == gen })
}

func smooth(old, v time.Duration, n int) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/time.Duration(n)
}
