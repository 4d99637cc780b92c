package rollout

import (
	"fmt"
	"time"
)

const (
	// canaryUntil and loadTestUntil are the fractions of the duration at which a phase ends.
	canaryUntil   = 0.6
	loadTestUntil = 0.7
	// completeBefore is how long before the end of the duration a rollout is completed at
	// the latest.
	completeBefore = 500 * time.Millisecond
)

// Evaluate returns the phase that the rollout should have, given the sum of the evidence of
// all entries.
func Evaluate(r Rollout, e Evidence, fleet Fleet) Decision {
	if !r.Phase.InProgress() {
		return Decision{Phase: r.Phase, Reason: r.Reason}
	}
	if reason, bad := assess(r, e); bad {
		return Decision{Phase: Reverted, Reason: reason}
	}
	if fleet.New == 0 {
		if r.Elapsed >= r.Duration {
			return Decision{Phase: Reverted, Reason: fmt.Sprintf("no usable engine of version %s at the end of the duration", r.To)}
		}
		return Decision{Phase: r.Phase, Reason: r.Reason}
	}
	if fleet.Old == 0 && fleet.OldCalls == 0 {
		return Decision{Phase: Completed, Reason: "all engines run the version"}
	}
	switch f := r.Fraction(); {
	case r.Phase == Cutover && fleet.OldCalls == 0 && fleet.Unconfirmed == 0:
		return Decision{Phase: Completed, Reason: "no call runs at another version"}
	case r.Phase == Cutover && r.Elapsed >= r.Duration-completeBefore:
		return Decision{Phase: Completed, Reason: "the duration ends"}
	case r.Phase == Cutover:
	case f >= loadTestUntil:
		return Decision{Phase: Cutover, Reason: "nothing shows that the version is bad"}
	case f >= canaryUntil && r.Phase == Canary:
		return Decision{Phase: LoadTest, Reason: "nothing shows that the version is bad"}
	}
	return Decision{Phase: r.Phase, Reason: r.Reason}
}

// assess reports whether the evidence shows that the version is bad, and how.
func assess(r Rollout, e Evidence) (string, bool) {
	var newSent, newFailed, oldSent, oldFailed int64
	for key, c := range e {
		if key.Version == r.To {
			newSent, newFailed = newSent+c.Sent, newFailed+c.Failed
		} else {
			oldSent, oldFailed = oldSent+c.Sent, oldFailed+c.Failed
		}
	}
	if newFailed >= 20 && float64(newFailed)/float64(newSent) > 0.1+2*float64(oldFailed)/float64(max(1, oldSent)) {
		return fmt.Sprintf("%d of %d calls to version %s failed, of others %d of %d", newFailed, newSent, r.To, oldFailed, oldSent), true
	}
	return "", false
}
