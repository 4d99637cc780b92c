package placement

import "time"

// With hundreds of entries, each one has too few calls to an engine to see that it fails a
// part of them: 195 entries that send a hundred calls a second to six engines have one call
// each to an engine in twelve seconds. The entries therefore report the outcomes of their
// calls with their use of the engines, hubs add them up, and all judge an engine by the
// joint failure rate.

const (
	// recentHalfLife is the half-life of the outcomes that count towards the joint failure
	// rate. An engine that gets few calls because it failed gets some again after four of
	// them.
	recentHalfLife = 2 * time.Second
	// priorCalls is the number of calls without a failure that is added to the joint rate,
	// so that one or two failures do not count as a rate.
	priorCalls = 6.0
	// minRecentCalls is the number of calls below which outcomes aren't reported.
	minRecentCalls = 0.1
)

// recentOutcomes counts the outcomes of calls with weights that fall with time.
type recentOutcomes struct {
	calls, failures float64
	at              time.Duration
}

func (r *recentOutcomes) record(now time.Duration, failed bool) {
	r.decay(now)
	r.calls++
	if failed {
		r.failures++
	}
}

func (r *recentOutcomes) decay(now time.Duration) {
	if now > r.at {
		f := halfLifeDecay(now-r.at, recentHalfLife)
		r.calls *= f
		r.failures *= f
		r.at = now
	}
}

// report returns the counts, or 0 if they are too low to matter.
func (r *recentOutcomes) report(now time.Duration) (calls, failures float64) {
	r.decay(now)
	if r.calls < minRecentCalls {
		return 0, 0
	}
	return r.calls, r.failures
}

// failureRate returns the failure rate of an engine: that of the calls of this entry, or the
// joint one of all entries if it is higher.
func (e *engine) failureRate(now time.Duration) float64 {
	calls, failures := e.health.recent.report(now)
	joint := (failures + e.others.Failures) / (calls + e.others.Calls + priorCalls)
	return max(e.health.failureRate(now), joint)
}
