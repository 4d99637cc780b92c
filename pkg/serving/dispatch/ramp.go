package dispatch

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// RampConfig configures a ramp. Zero values mean the defaults.
type RampConfig struct {
	// Growth is the factor of each increase of the limit (default 1.5).
	Growth float64
	// EvidenceWindows is the number of good windows (see [Ramp]) required for each
	// increase of the limit, and the number of consecutive warm windows that end the
	// cold start (default 3).
	EvidenceWindows int
	// SlowWindows is the number of consecutive slow windows after which an engine
	// counts as cold (default 4).
	SlowWindows int
	// SuspectWindows is the number of consecutive slow windows after which the cold
	// limit applies until a window is not slow (default 2). An engine that turns cold
	// and then goes idle has no further windows and would never reach SlowWindows.
	SuspectWindows int
	// SlowFactor is the ratio of the step time to the reference above which a window
	// counts as slow (default 2.5).
	SlowFactor float64
	// WarmFactor is the ratio of the step time to the reference up to which a cold
	// engine counts as warm (default 1.5).
	WarmFactor float64
	// DropFactor is the ratio of the step time to the smoothed step time earlier in the
	// cold start up to which a cold engine counts as warm. It is meant for engines
	// without a reference (default 0.45).
	DropFactor float64
	// ColdPeriod is the time after which a cold engine counts as warm without evidence
	// from its step times (default 60 s). It must cover the longest cold start.
	ColdPeriod time.Duration
	// Window is the time over which step times are averaged (default 250 ms).
	Window time.Duration
}

// Ramp limits a cold engine. The cold limit, which is ColdRunning of the engine's
// capacity, applies until the cold start is over, which is shown by one of the following:
//   - step times as short as those of warm engines or of the engine's own history
//   - step times far shorter than at first
//   - more running generations than the cold limit when the engine is first seen
//   - the engine's age, counted from when it turned cold
//
// After that the limit rises with good windows: those in which the engine was in use and
// its steps were not slow. If only its age shows the end of the cold start, the engine
// must also have been used nearly up to its limit. An engine is cold when its
// incarnation is new, after TurnCold, or when its step times stay far above its own
// history.
type Ramp struct {
	cfg         RampConfig
	capacity    serving.Capacity
	incarnation serving.Incarnation
	announced   bool
	// cold is true until the limit has risen to the engine's full capacity, which is
	// later than the end of the cold start.
	cold  bool
	limit float64
	// reference is the step time of the warm engine in seconds; 0 means none.
	reference                float64
	windowStart              time.Duration
	stepSum                  float64
	stepCount                int
	maxBusy                  serving.Slots
	slowWindows, goodWindows int
	slowFirstTokens          int
	// firstTokenRef is the time to first token of the warm engine per uncached prompt
	// token, in seconds; 0 means none.
	firstTokenRef float64
	// warmedUp is true once the cold start is over. warmWindows counts the consecutive
	// windows that show it.
	warmedUp    bool
	warmWindows int
	// warmByEvidence is true if windows showed the end of the cold start, and not only
	// the engine's age.
	warmByEvidence bool
	coldSince      time.Duration
	// coldStep is the smoothed step time of the cold start, in seconds.
	coldStep float64
	// maybeWarm is true for an engine that may have been warm before it was first seen.
	maybeWarm bool
	// newIncarnation is true while the engine is cold because its incarnation is new.
	newIncarnation  bool
	reportedRunning serving.Slots
	slowed          bool
}

// NewRamp returns a ramp for an engine without history.
func NewRamp(cfg RampConfig) *Ramp {
	cfg.Growth = orDefault(cfg.Growth, 1.5)
	cfg.EvidenceWindows = orDefault(cfg.EvidenceWindows, 3)
	cfg.SlowWindows = orDefault(cfg.SlowWindows, 4)
	cfg.SuspectWindows = orDefault(cfg.SuspectWindows, 2)
	cfg.SlowFactor = orDefault(cfg.SlowFactor, 2.5)
	cfg.WarmFactor = orDefault(cfg.WarmFactor, 1.5)
	cfg.DropFactor = orDefault(cfg.DropFactor, 0.45)
	cfg.ColdPeriod = orDefault(cfg.ColdPeriod, time.Minute)
	cfg.Window = orDefault(cfg.Window, 250*time.Millisecond)
	return &Ramp{cfg: cfg}
}

// Announce records an engine's incarnation and capacity; a new incarnation is cold.
func (r *Ramp) Announce(now time.Duration, incarnation serving.Incarnation, capacity serving.Capacity) {
	r.capacity = capacity
	if r.announced && incarnation <= r.incarnation {
		return
	}
	first := !r.announced
	r.announced, r.incarnation = true, incarnation
	r.TurnCold(now)
	r.maybeWarm, r.newIncarnation = first, true
}

// SetUptime records how long the engine's incarnation has run, as the engine reports
// it. The uptime counts towards the cold period unless the engine has turned cold since
// it started.
func (r *Ramp) SetUptime(now, uptime time.Duration) {
	if r.newIncarnation {
		r.coldSince = min(r.coldSince, now-uptime)
	}
}

// TurnCold reduces the limit to the cold limit, for example when a data centre returns to service.
func (r *Ramp) TurnCold(now time.Duration) {
	r.cold, r.limit = true, float64(max(1, r.capacity.ColdRunning))
	r.goodWindows, r.slowWindows, r.slowFirstTokens = 0, 0, 0
	r.warmedUp, r.warmWindows, r.coldSince, r.coldStep = false, 0, now, 0
	r.warmByEvidence = false
	r.maybeWarm, r.newIncarnation = false, false
	r.resetWindow(now)
}

// Slowed reports whether step times showed that the engine turned cold.
func (r *Ramp) Slowed() bool { return r.cold && r.slowed }

// MarkWarm ends the ramp of an engine that other evidence shows to be warm.
func (r *Ramp) MarkWarm() { r.cold = false }

// Cold reports whether the engine is being ramped up.
func (r *Ramp) Cold() bool { return r.cold }

// Limit returns the number of generations the engine may run now.
func (r *Ramp) Limit() serving.Slots {
	switch {
	case !r.cold && r.slowWindows >= r.cfg.SuspectWindows:
		return min(max(1, r.capacity.ColdRunning), r.capacity.MaxRunning)
	case !r.cold:
		return r.capacity.MaxRunning
	}
	return min(serving.Slots(r.limit), r.capacity.MaxRunning)
}

// Reference returns the step time that the engine is compared with; 0 means none.
func (r *Ramp) Reference() time.Duration { return time.Duration(r.reference * float64(time.Second)) }

// SetReference sets the reference to the step time of warm engines of the same model.
// It has no effect if the engine already has a reference.
func (r *Ramp) SetReference(step time.Duration) {
	if r.reference == 0 {
		r.reference = step.Seconds()
	}
}

// Step records a step time, measured by a call or reported by the engine, and the
// number of generations at the engine.
func (r *Ramp) Step(now time.Duration, step time.Duration, busy serving.Slots) {
	if now-r.windowStart >= r.cfg.Window {
		r.closeWindow()
		r.resetWindow(now)
	}
	r.stepSum += step.Seconds()
	r.stepCount++
	r.maxBusy = max(r.maxBusy, busy)
}

// Report records the step time of a load report. An engine whose memory is nearly full
// counts as used up to its limit, however few generations it runs.
func (r *Ramp) Report(now time.Duration, l serving.Load) {
	if l.StepMS <= 0 || l.Running == 0 {
		return
	}
	busy := l.Running
	r.reportedRunning = max(r.reportedRunning, l.Running)
	if m := r.capacity.MemoryBlocks; m > 0 {
		busy = max(busy, r.Limit()*serving.Slots(l.BlocksUsed)/serving.Slots(m))
	}
	r.Step(now, time.Duration(l.StepMS*float64(time.Millisecond)), busy)
}

// FirstToken records a time to first token; prompt is the number of prompt tokens that
// were not cached. Three consecutive slow ones show a cold engine before step times do.
func (r *Ramp) FirstToken(now time.Duration, d time.Duration, prompt serving.Tokens) {
	perToken := d.Seconds() / float64(max(prompt, 64))
	if r.firstTokenRef == 0 {
		if !r.cold {
			r.firstTokenRef = perToken
		}
		return
	}
	if perToken > 2*r.cfg.SlowFactor*r.firstTokenRef {
		if r.slowFirstTokens++; r.slowFirstTokens >= 3 && !r.cold {
			r.TurnCold(now)
		}
		// A lasting change becomes the new reference within a few hundred calls.
		r.firstTokenRef += (perToken - r.firstTokenRef) / 256
		return
	}
	r.slowFirstTokens = 0
	r.firstTokenRef += (perToken - r.firstTokenRef) / 32
}

// Failed records a failed call, which sets a ramp back by one increase.
func (r *Ramp) Failed(now time.Duration) {
	r.goodWindows = 0
	if r.cold {
		r.limit = max(float64(max(1, r.capacity.ColdRunning)), r.limit/r.cfg.Growth)
		r.resetWindow(now)
	}
}

func (r *Ramp) resetWindow(now time.Duration) {
	r.windowStart, r.stepSum, r.stepCount, r.maxBusy, r.reportedRunning = now, 0, 0, 0, 0
}

func (r *Ramp) closeWindow() {
	if r.stepCount == 0 {
		return
	}
	mean := r.stepSum / float64(r.stepCount)
	if r.reference > 0 && mean > r.cfg.SlowFactor*r.reference {
		r.goodWindows, r.warmWindows = 0, 0
		if r.slowWindows++; r.slowWindows >= r.cfg.SlowWindows && !r.cold {
			r.TurnCold(r.windowStart)
			r.slowed = true
		}
		// The reference rises slowly. Otherwise, an engine that has become permanently
		// slower would stay cold forever.
		r.reference += (mean - r.reference) / 256
		return
	}
	r.slowWindows = 0
	if !r.cold {
		if r.reference == 0 {
			r.reference = mean
		}
		r.reference += (mean - r.reference) / 32
		return
	}
	if !r.updateWarmUp(mean) {
		return
	}
	// An engine that is warm by its age alone must have run nearly its current limit.
	// For an engine with evidence from its windows, any use is enough: placement prefers
	// warm engines, so a stricter condition would leave it at the cold limit.
	if r.maxBusy == 0 || !r.warmByEvidence && float64(r.maxBusy) < 0.75*float64(r.Limit()) {
		return
	}
	if r.goodWindows++; r.goodWindows < r.cfg.EvidenceWindows {
		return
	}
	r.goodWindows = 0
	r.limit = max(r.limit+1, r.limit*r.cfg.Growth)
	if serving.Slots(r.limit) >= r.capacity.MaxRunning {
		r.cold, r.slowed = false, false
	}
}

// updateWarmUp records the mean step time of a window and reports whether the cold
// start is over.
func (r *Ramp) updateWarmUp(mean float64) bool {
	if r.warmedUp || r.windowStart-r.coldSince >= r.cfg.ColdPeriod {
		r.warmedUp = true
		return true
	}
	warm := r.reference > 0 && mean <= r.cfg.WarmFactor*r.reference ||
		r.coldStep > 0 && mean <= r.cfg.DropFactor*r.coldStep ||
		r.maybeWarm && r.reportedRunning > r.capacity.ColdRunning
	if !warm {
		r.warmWindows = 0
		if r.coldStep == 0 {
			r.coldStep = mean
		}
		r.coldStep += (mean - r.coldStep) / 8
		return false
	}
	if r.warmWindows++; r.warmWindows >= r.cfg.EvidenceWindows {
		r.warmedUp, r.warmByEvidence = true, true
	}
	return r.warmedUp
}
