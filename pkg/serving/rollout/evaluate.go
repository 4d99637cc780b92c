package rollout

import (
	"fmt"
	"time"
)

const (
	// canaryUntil and loadTestUntil are the fractions of the duration at which a phase ends.
	canaryUntil   = 0.6
	loadTestUntil = 0.7
	// latestCutover and cutoverTime bound how long the cutover waits for evidence: it begins
	// at this fraction, or so long before the end if that is earlier, but not before
	// loadTestUntil.
	latestCutover = 0.9
	cutoverTime   = 5 * time.Second
	// suspicion is the evidence from which on the cutover waits for more.
	suspicion = 5
	// completeBefore is how long before the end of the duration a rollout is completed at
	// the latest.
	completeBefore = 500 * time.Millisecond
	// outcomeTime is how long the completion waits for outcomes of the calls that were sent
	// for comparison during the cutover.
	outcomeTime = time.Second
	// minCutover is the least time in Cutover without all confirmations. After LeaseTime,
	// an entry that knows nothing of the cutover uses the old version only, whose calls fail
	// once its engines stop, but a cutover that is late for the end must still reach the
	// others.
	minCutover = LeaseTime
)

// Evaluate returns the phase that the rollout should have, given the sum of the evidence of
// all entries. A rollout without enough evidence that the version is bad goes on, also if
// there is little evidence at all: it then waits for the latest time for the cutover.
func Evaluate(r Rollout, e Evidence, fleet Fleet) Decision {
	stay := Decision{Phase: r.Phase, Reason: r.Reason}
	if !r.Phase.InProgress() {
		return stay
	}
	f := assess(r, e, fleet)
	if f.bad {
		return Decision{Phase: Reverted, Reason: f.reason}
	}
	switch fraction := r.Fraction(); {
	case fleet.New <= 0 && r.Elapsed < r.Duration:
		return stay
	case fleet.New <= 0:
		return Decision{Phase: Reverted, Reason: fmt.Sprintf("no usable engine of version %s at the end of the duration", r.To)}
	case fleet.Old <= 0 && fleet.OldCalls <= 0 && !usesOld(r, e):
		return Decision{Phase: Completed, Reason: "all engines run version " + string(r.To)}
	case r.Phase == Cutover && fleet.OldCalls <= 0 && fleet.Unconfirmed <= 0 && r.Elapsed >= earliestCompletion(r.Duration):
		return Decision{Phase: Completed, Reason: "no call runs at another version"}
	case r.Phase == Cutover && r.Elapsed >= max(r.Duration-completeBefore, r.PhaseAt+minCutover):
		return Decision{Phase: Completed, Reason: fmt.Sprintf("the duration ends; %d calls run at other versions, %d entries have not confirmed", fleet.OldCalls, fleet.Unconfirmed)}
	case r.Phase == Cutover:
		return stay
	case r.Elapsed >= latestCutoverAt(r.Duration):
		return Decision{Phase: Cutover, Reason: "nothing shows that the version is bad, and the duration ends soon"}
	case fraction >= loadTestUntil && !f.thin && f.evidence < suspicion:
		return Decision{Phase: Cutover, Reason: "enough calls show that the version is not bad"}
	case fraction >= canaryUntil && r.Phase == Canary:
		return Decision{Phase: LoadTest, Reason: "nothing shows that the version is bad"}
	}
	return stay
}

// earliestCompletion returns how long after the order the rollout may be completed. The last
// calls that were sent for comparison have mostly ended then.
func earliestCompletion(duration time.Duration) time.Duration {
	return min(holdOutUntil(duration)+outcomeTime, duration-2*completeBefore)
}

// latestCutoverAt returns how long after the order the cutover begins at the latest.
func latestCutoverAt(duration time.Duration) time.Duration {
	at := min(time.Duration(latestCutover*float64(duration)), duration-cutoverTime)
	return max(at, time.Duration(loadTestUntil*float64(duration)))
}

// usesOld reports whether calls were sent to the old version in this slice or the one before.
// The leader may not yet know of engines that entries use.
func usesOld(r Rollout, e Evidence) bool {
	now := r.Slice()
	for key, c := range e {
		if key.Version != r.To && key.Slice+1 >= now && c.Sent > 0 {
			return true
		}
	}
	return false
}
