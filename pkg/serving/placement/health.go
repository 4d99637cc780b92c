package placement

import (
	"time"
)

// Outcome is the outcome of a call at an engine.
type Outcome int

// Outcomes.
const (
	// OK is a complete response, including one that reports an error of the caller.
	OK Outcome = iota
	// Failed is a response that reports a failure of the engine.
	Failed
	// Refused is a response that reports that the engine is full or draining.
	Refused
	// Broken is a call without a complete response: a connection reset, a timeout or
	// a malformed response.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Abandoned is a call that ended for a reason unrelated to the engine's health.
	Abandoned
)

const (
	// outcomeWeight is the weight of one outcome in the moving averages, which are
	// determined mostly by the last ten calls.
	outcomeWeight = 0.12
	// failureHalfLife is the half-life of the failure rate. The rate decays with time
	// so that an engine without calls gets some again.
	failureHalfLife = 4 * time.Second
	// minBackoff and maxBackoff bound the time without calls after a failure to
	// connect.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 4 * time.Second
	// brokenBeforeBackoff is the number of consecutive broken calls that count as a
	// failure to connect.
	brokenBeforeBackoff = 2
	// brokenReportTime is how long after the last broken call an entry reports broken
	// calls to the other entries.
	brokenReportTime = 2 * time.Second
	// brokenLimit is the number of recent broken calls, reported by the other entries
	// together, at which an engine gets no more generations. With many entries, each
	// one may see only a single broken call of a crashed engine.
	brokenLimit = 2
	// refusedBackoff is the time without calls after an engine has reported that it
	// is full.
	refusedBackoff = 150 * time.Millisecond
)

// health tracks the outcomes of one entry's calls to one engine.
type health struct {
	// failures is the moving average of the failure rate as of updatedAt.
	failures float64
	// latency is the moving average of the latency in seconds; 0 if unknown.
	latency float64
	// calls counts all outcomes except Abandoned.
	calls     int
	updatedAt time.Duration
	// recent counts the outcomes of the last seconds, for the joint failure rate of all
	// entries.
	recent recentOutcomes
	// consecutiveBroken counts the Broken and Unreachable outcomes since the last
	// response.
	consecutiveBroken int
	lastBrokenAt      time.Duration
	// backoffs counts the backoffs since the last OK or Failed outcome.
	backoffs int
	// backoffUntil is the time until which the engine gets no calls.
	backoffUntil time.Duration
	// probeNext means that the next call after backoffUntil is a probe. probe means
	// that a probe is in progress. The engine gets no other call until the probe ends.
	probeNext bool
	probe     bool
}

// record updates the averages with an outcome. latency is in seconds, 0 if it was
// not measured.
func (h *health) record(now time.Duration, o Outcome, latency float64) {
	h.probe = false
	if o == Abandoned {
		return
	}
	h.decay(now)
	h.calls++
	if o != Refused {
		h.recent.record(now, o != OK)
	}
	switch o {
	case OK, Failed, Refused:
		h.consecutiveBroken = 0
		if o != Refused {
			h.backoffs, h.probeNext = 0, false
		}
	case Broken, Unreachable:
		h.consecutiveBroken++
		h.lastBrokenAt = now
		if o == Unreachable || h.consecutiveBroken >= brokenBeforeBackoff {
			h.backOff(now)
		}
	}
	switch o {
	case OK:
		h.failures -= outcomeWeight * h.failures
		if latency > 0 {
			if h.latency == 0 {
				h.latency = latency
			}
			h.latency += outcomeWeight * (latency - h.latency)
		}
	case Refused:
		h.backoffUntil = max(h.backoffUntil, now+refusedBackoff)
		h.failures += outcomeWeight / 2 * (1 - h.failures)
	case Failed, Broken, Unreachable:
		h.failures += outcomeWeight * (1 - h.failures)
	}
}

// backOff stops calls to the engine for a time that doubles with each consecutive
// backoff, up to maxBackoff.
func (h *health) backOff(now time.Duration) {
	d := min(minBackoff<<min(h.backoffs, 6), maxBackoff)
	h.backoffs++
	h.backoffUntil, h.probeNext = now+d, true
}

func (h *health) decay(now time.Duration) {
	if now > h.updatedAt {
		f := halfLifeDecay(now-h.updatedAt, failureHalfLife)
		h.failures *= f
	}
	h.updatedAt = now
}

// halfLifeDecay approximates 0.5 to the power of d/half by linear interpolation
// between the integer powers.
func halfLifeDecay(d, half time.Duration) float64 {
	f := 1.0
	for d >= half && f > 1e-3 {
		f /= 2
		d -= half
	}
	return f * (1 - 0.5*float64(min(d, half))/float64(half))
}

// available reports whether the engine may get a call now.
func (h *health) available(now time.Duration) bool {
	return now >= h.backoffUntil && !h.probe
}

// recentBroken returns the number of consecutive broken calls, or 0 if the last one
// was more than brokenReportTime ago.
func (h *health) recentBroken(now time.Duration) int {
	if now-h.lastBrokenAt > brokenReportTime {
		return 0
	}
	return h.consecutiveBroken
}

// failureRate returns the moving average of the failure rate, decayed to now.
func (h *health) failureRate(now time.Duration) float64 {
	if now <= h.updatedAt {
		return h.failures
	}
	return h.failures * halfLifeDecay(now-h.updatedAt, failureHalfLife)
}
