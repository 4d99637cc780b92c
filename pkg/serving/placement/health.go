package placement

import (
	"time"
)

// Outcome is the outcome of a call at an engine.
type Outcome int

// Outcomes.
const (
	// OK is a whole answer, also one that says that the caller is wrong.
	OK Outcome = iota
	// Failed is an answer that says that the engine failed.
	Failed
	// Refused is an answer that says that the engine is full or leaving.
	Refused
	// Broken is a call without a whole answer: a reset, a timeout, bytes that are
	// no answer.
	Broken
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Abandoned is a call that ended for a reason that says nothing about the engine.
	Abandoned
)

const (
	// outcomeWeight is the weight of one outcome in the moving averages: about ten
	// calls decide.
	outcomeWeight = 0.12
	// forgetHalf is the time in which half of a bad record is forgotten, so that an
	// engine without calls gets some again.
	forgetHalf = 4 * time.Second
	// minOpen and maxOpen bound the time without calls after failures to connect.
	minOpen = 400 * time.Millisecond
	maxOpen = 4 * time.Second
	// brokenBeforeOpen is the number of broken calls in a row that count like a
	// failure to connect.
	brokenBeforeOpen = 2
	// tellBroken is how long an entry tells the others of calls that broke off.
	tellBroken = 2 * time.Second
	// shunAfter is the number of calls that broke off lately, over all entries, after
	// which an engine gets no generation: many entries meet a dead engine only once.
	shunAfter = 2
	// refusedPause keeps calls away from an engine that has just said it is full.
	refusedPause = 150 * time.Millisecond
)

// health is the record of one engine's answers to one entry.
type health struct {
	failures float64
	latency  float64
	calls    int
	at       time.Duration
	broken   int
	brokenAt time.Duration
	opens    int
	// closedUntil is the time up to which the engine gets no calls.
	closedUntil time.Duration
	// suspect tells that the next call after closedUntil is a trial.
	suspect bool
	trial   bool
}

// record takes in an outcome. latency is 0 if it was not measured, in seconds otherwise.
func (h *health) record(now time.Duration, o Outcome, latency float64) {
	h.trial = false
	if o == Abandoned {
		return
	}
	h.decay(now)
	h.calls++
	switch o {
	case OK, Failed, Refused:
		h.broken = 0
		if o != Refused {
			h.opens, h.suspect = 0, false
		}
	case Broken, Unreachable:
		h.broken++
		h.brokenAt = now
		if o == Unreachable || h.broken >= brokenBeforeOpen {
			h.open(now)
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
		h.closedUntil = max(h.closedUntil, now+refusedPause)
		h.failures += outcomeWeight / 2 * (1 - h.failures)
	case Failed, Broken, Unreachable:
		h.failures += outcomeWeight * (1 - h.failures)
	}
}

func (h *health) open(now time.Duration) {
	d := min(minOpen<<min(h.opens, 6), maxOpen)
	h.opens++
	h.closedUntil, h.suspect = now+d, true
}

func (h *health) decay(now time.Duration) {
	if now > h.at {
		f := halved(now-h.at, forgetHalf)
		h.failures *= f
	}
	h.at = now
}

// halved returns 0.5 to the power of d/half, by a few linear pieces.
func halved(d, half time.Duration) float64 {
	f := 1.0
	for d >= half && f > 1e-3 {
		f /= 2
		d -= half
	}
	return f * (1 - 0.5*float64(min(d, half))/float64(half))
}

// allows tells whether the engine may get a call now.
func (h *health) allows(now time.Duration) bool {
	return now >= h.closedUntil && !h.trial
}

// recentlyBroken returns the number of calls in a row that broke off, if the
// last one did so a short while ago.
func (h *health) recentlyBroken(now time.Duration) int {
	if now-h.brokenAt > tellBroken {
		return 0
	}
	return h.broken
}

// failureRate returns the share of recent calls that failed.
func (h *health) failureRate(now time.Duration) float64 {
	if now <= h.at {
		return h.failures
	}
	return h.failures * halved(now-h.at, forgetHalf)
}
