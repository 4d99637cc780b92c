package dispatch

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// RampConfig configures a ramp. Zero values mean the defaults.
type RampConfig struct {
	// Growth multiplies the limit at each step up (default 1.5).
	Growth float64
	// Evidence is the number of good windows at use of the limit before a step up (default 3).
	Evidence int
	// SlowWindows is the number of consecutive slow windows that show a cold engine (default 4).
	SlowWindows int
	// SuspectWindows is the number of consecutive slow windows after which an engine
	// gets no more than the cold limit until a window is not slow (default 2). One
	// that turned cold and then had nothing to do shows no more windows.
	SuspectWindows int
	// SlowFactor is the ratio to the reference time that counts as slow (default 2.5).
	SlowFactor float64
	// WarmFactor is the ratio to the reference time up to which a cold engine counts
	// as warm (default 1.5).
	WarmFactor float64
	// DropFactor is the ratio to its step time at first below which an engine without
	// reference counts as warm (default 0.45).
	DropFactor float64
	// ColdPeriod is the age from which an engine counts as warm without such
	// evidence (default 60 s); no cold start may last longer.
	ColdPeriod time.Duration
	// Window is the time over which step times are averaged (default 250 ms).
	Window time.Duration
}

// Ramp limits a cold engine. The cold limit stays in force until the engine has
// shown that its cold start is over: its steps are as short as those of warm
// engines or of its own history, or far shorter than at first, or it carries more
// than the cold limit already when it is first heard of. Then the limit rises by
// evidence: windows in which the engine was used up to its limit and its steps
// were not slow. An engine is cold when its incarnation is new, when it was told
// so, or when its step times stay far above its own history.
type Ramp struct {
	cfg         RampConfig
	capacity    serving.Capacity
	incarnation serving.Incarnation
	known       bool
	cold        bool
	limit       float64
	reference   float64
	windowStart time.Duration
	sum         float64
	count       int
	busiest     serving.Slots
	slow, good  int
	slowFirst   int
	firstRef    float64
	// proven is true once the cold start is over, and proof counts the windows in
	// a row that show it.
	proven bool
	proof  int
	// shown is true if step times proved it, and not the engine's age.
	shown     bool
	coldSince time.Duration
	coldStep  float64
	// inherited is true for an engine that may have been warm before it was known.
	inherited bool
	// started is true while the engine is cold because its incarnation is new.
	started bool
	running serving.Slots
	slowed  bool
}

// NewRamp returns a ramp for an engine of which nothing is known.
func NewRamp(cfg RampConfig) *Ramp {
	cfg.Growth = orDefault(cfg.Growth, 1.5)
	cfg.Evidence = orDefault(cfg.Evidence, 3)
	cfg.SlowWindows = orDefault(cfg.SlowWindows, 4)
	cfg.SuspectWindows = orDefault(cfg.SuspectWindows, 2)
	cfg.SlowFactor = orDefault(cfg.SlowFactor, 2.5)
	cfg.WarmFactor = orDefault(cfg.WarmFactor, 1.5)
	cfg.DropFactor = orDefault(cfg.DropFactor, 0.45)
	cfg.ColdPeriod = orDefault(cfg.ColdPeriod, time.Minute)
	cfg.Window = orDefault(cfg.Window, 250*time.Millisecond)
	return &Ramp{cfg: cfg}
}

// Announce takes in an engine's incarnation and capacity; a new incarnation is cold.
func (r *Ramp) Announce(now time.Duration, incarnation serving.Incarnation, capacity serving.Capacity) {
	r.capacity = capacity
	if r.known && incarnation <= r.incarnation {
		return
	}
	first := !r.known
	r.known, r.incarnation = true, incarnation
	r.TurnCold(now)
	r.inherited, r.started = first, true
}

// SetUptime takes in how long the engine says that its incarnation has run, which
// counts towards the cold period unless it turned cold since.
func (r *Ramp) SetUptime(now, uptime time.Duration) {
	if r.started {
		r.coldSince = min(r.coldSince, now-uptime)
	}
}

// TurnCold drops the limit to the cold limit, also when a data centre returns.
func (r *Ramp) TurnCold(now time.Duration) {
	r.cold, r.limit = true, float64(max(1, r.capacity.ColdRunning))
	r.good, r.slow, r.slowFirst = 0, 0, 0
	r.proven, r.proof, r.coldSince, r.coldStep = false, 0, now, 0
	r.shown = false
	r.inherited, r.started = false, false
	r.resetWindow(now)
}

// Slowed tells whether step times showed that the engine turned cold.
func (r *Ramp) Slowed() bool { return r.cold && r.slowed }

// MarkWarm ends the ramp, for an engine that other evidence shows to be warm.
func (r *Ramp) MarkWarm() { r.cold = false }

// Cold tells whether the engine is being ramped up.
func (r *Ramp) Cold() bool { return r.cold }

// Limit returns the number of generations the engine may run now.
func (r *Ramp) Limit() serving.Slots {
	switch {
	case !r.cold && r.slow >= r.cfg.SuspectWindows:
		return min(max(1, r.capacity.ColdRunning), r.capacity.MaxRunning)
	case !r.cold:
		return r.capacity.MaxRunning
	}
	return min(serving.Slots(r.limit), r.capacity.MaxRunning)
}

// Reference returns the step time that the engine is compared with; 0 means none.
func (r *Ramp) Reference() time.Duration { return time.Duration(r.reference * float64(time.Second)) }

// SetReference supplies the step time of warm engines of the same model to an
// engine that has no history of its own.
func (r *Ramp) SetReference(step time.Duration) {
	if r.reference == 0 {
		r.reference = step.Seconds()
	}
}

// Step takes in a time between tokens, seen by a call or reported by the engine,
// and the number of generations there.
func (r *Ramp) Step(now time.Duration, step time.Duration, busy serving.Slots) {
	if now-r.windowStart >= r.cfg.Window {
		r.closeWindow()
		r.resetWindow(now)
	}
	r.sum += step.Seconds()
	r.count++
	r.busiest = max(r.busiest, busy)
}

// Report takes in the step time of a load report. An engine whose memory is nearly
// full is used up to its limit, however few generations that are.
func (r *Ramp) Report(now time.Duration, l serving.Load) {
	if l.StepMS <= 0 || l.Running == 0 {
		return
	}
	busy := l.Running
	r.running = max(r.running, l.Running)
	if m := r.capacity.MemoryBlocks; m > 0 {
		busy = max(busy, r.Limit()*serving.Slots(l.BlocksUsed)/serving.Slots(m))
	}
	r.Step(now, time.Duration(l.StepMS*float64(time.Millisecond)), busy)
}

// FirstToken takes in a time to first token per prompt token that was not
// cached; three consecutive slow ones show a cold engine before steps do.
func (r *Ramp) FirstToken(now time.Duration, d time.Duration, prompt serving.Tokens) {
	per := d.Seconds() / float64(max(prompt, 64))
	if r.firstRef == 0 {
		if !r.cold {
			r.firstRef = per
		}
		return
	}
	if per > 2*r.cfg.SlowFactor*r.firstRef {
		if r.slowFirst++; r.slowFirst >= 3 && !r.cold {
			r.TurnCold(now)
		}
		// A lasting change becomes the new reference within some hundred calls.
		r.firstRef += (per - r.firstRef) / 256
		return
	}
	r.slowFirst = 0
	r.firstRef += (per - r.firstRef) / 32
}

// Failed takes in a failed call, which interrupts a ramp.
func (r *Ramp) Failed(now time.Duration) {
	r.good = 0
	if r.cold {
		r.limit = max(float64(max(1, r.capacity.ColdRunning)), r.limit/r.cfg.Growth)
		r.resetWindow(now)
	}
}

func (r *Ramp) resetWindow(now time.Duration) {
	r.windowStart, r.sum, r.count, r.busiest, r.running = now, 0, 0, 0, 0
}

func (r *Ramp) closeWindow() {
	if r.count == 0 {
		return
	}
	mean := r.sum / float64(r.count)
	if r.reference > 0 && mean > r.cfg.SlowFactor*r.reference {
		r.good, r.proof = 0, 0
		if r.slow++; r.slow >= r.cfg.SlowWindows && !r.cold {
			r.TurnCold(r.windowStart)
			r.slowed = true
		}
		// Without this an engine that is slower for good would stay cold forever.
		r.reference += (mean - r.reference) / 256
		return
	}
	r.slow = 0
	if !r.cold {
		if r.reference == 0 {
			r.reference = mean
		}
		r.reference += (mean - r.reference) / 32
		return
	}
	if !r.prove(mean) {
		return
	}
	// An engine whose age alone speaks for it must have carried nearly its current
	// limit. One whose steps have shown that it is warm must only have been in use:
	// otherwise placement, which prefers warm engines, would leave it at the cold limit.
	if r.busiest == 0 || !r.shown && float64(r.busiest) < 0.75*float64(r.Limit()) {
		return
	}
	if r.good++; r.good < r.cfg.Evidence {
		return
	}
	r.good = 0
	r.limit = max(r.limit+1, r.limit*r.cfg.Growth)
	if serving.Slots(r.limit) >= r.capacity.MaxRunning {
		r.cold, r.slowed = false, false
	}
}

// prove takes in the mean step time of a window and tells whether the cold start
// is over.
func (r *Ramp) prove(mean float64) bool {
	if r.proven || r.windowStart-r.coldSince >= r.cfg.ColdPeriod {
		r.proven = true
		return true
	}
	warm := r.reference > 0 && mean <= r.cfg.WarmFactor*r.reference ||
		r.coldStep > 0 && mean <= r.cfg.DropFactor*r.coldStep ||
		r.inherited && r.running > r.capacity.ColdRunning
	if !warm {
		r.proof = 0
		if r.coldStep == 0 {
			r.coldStep = mean
		}
		r.coldStep += (mean - r.coldStep) / 8
		return false
	}
	if r.proof++; r.proof >= r.cfg.Evidence {
		r.proven, r.shown = true, true
	}
	return r.proven
}
