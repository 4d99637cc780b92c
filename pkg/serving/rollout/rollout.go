package rollout

import (
	"fmt"
	"time"
	"unicode"
	"unicode/utf8"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Version names a version of the software of engines. [serving.Version] is another thing: it
// names weights of a model.
type Version string

const (
	// MaxVersion is the length of the longest version, in bytes.
	MaxVersion = 128
	// MaxDuration is the longest duration of a rollout.
	MaxDuration = 86400 * time.Second
)

// Validate returns an error unless the version has 1 to MaxVersion printable characters.
func (v Version) Validate() error {
	if v == "" {
		return invalid("the version is empty; name the version that the new engines report")
	}
	if len(v) > MaxVersion {
		return invalid(fmt.Sprintf("the version has %d bytes, more than %d", len(v), MaxVersion))
	}
	if !utf8.ValidString(string(v)) {
		return invalid(fmt.Sprintf("the version %q is not valid UTF-8", string(v)))
	}
	for _, r := range v {
		if !unicode.IsPrint(r) {
			return invalid(fmt.Sprintf("the version %q contains a character that cannot be printed", string(v)))
		}
	}
	return nil
}

// Phase is the state of a rollout. The zero value means that there is none.
type Phase int

// Phases in their order. A rollout may be reverted in every phase that is in progress.
const (
	Canary Phase = iota + 1
	LoadTest
	Cutover
	Completed
	Reverted
)

var phaseNames = [...]string{"none", "canary", "load_test", "cutover", "completed", "reverted"}

// String returns the name of the phase in snake case.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase_%d", int(p))
	}
	return phaseNames[p]
}

// ParsePhase returns the phase with a name.
func ParsePhase(name string) (Phase, error) {
	for i, n := range phaseNames {
		if n == name && i > 0 {
			return Phase(i), nil
		}
	}
	return 0, invalid(fmt.Sprintf("%q is not a phase of a rollout", name))
}

// InProgress reports whether the rollout has not ended.
func (p Phase) InProgress() bool { return p >= Canary && p <= Cutover }

// Order is an operator's order to move a service to another version. Two orders are the same
// if they are equal.
type Order struct {
	Service  serving.ServiceID
	To       Version
	Duration time.Duration
}

// Validate returns an error unless the order can be carried out. Whether the service exists
// is checked by the caller.
func (o Order) Validate() error {
	if o.Service == "" {
		return invalid("the order names no service")
	}
	if err := o.To.Validate(); err != nil {
		return err
	}
	if o.Duration <= 0 || o.Duration > MaxDuration {
		return invalid(fmt.Sprintf("the duration %v is not above 0 and up to %v", o.Duration, MaxDuration))
	}
	return nil
}

// DurationOf converts seconds of an order. Values that are not finite, not positive, above
// MaxDuration or round to 0 are an error.
func DurationOf(seconds float64) (time.Duration, error) {
	// The negated form is also false for NaN.
	if !(seconds > 0 && seconds <= MaxDuration.Seconds()) {
		return 0, invalid(fmt.Sprintf("the duration of %v s is not above 0 and up to %v s", seconds, MaxDuration.Seconds()))
	}
	d := time.Duration(seconds * float64(time.Second))
	if d <= 0 {
		return 0, invalid(fmt.Sprintf("the duration of %v s is below a nanosecond", seconds))
	}
	return d, nil
}

// Rollout is the state of a rollout.
type Rollout struct {
	Order
	Phase Phase
	// Elapsed is the time since the order, and PhaseAt what it was when the phase began. 0
	// means that it is unknown.
	Elapsed, PhaseAt time.Duration
	// Reason says why the rollout is in its phase.
	Reason string
}

// Fraction returns the part of the duration that has elapsed, from 0 to 1.
func (r Rollout) Fraction() float64 { return Fraction(r.Elapsed, r.Duration) }

// Exclusive reports whether an entry that has this state must send no call to the old version
// while the new one has a usable engine. It confirms the cutover to the hub once this holds
// and its calls to the old version have ended or moved.
func (r Rollout) Exclusive() bool {
	return r.Phase == Completed || r.Phase == Cutover && r.Elapsed >= holdOutUntil(r.Duration)
}

// holdOutUntil returns how long after the order some calls may go to the old version for
// comparison during the cutover: 0.8 of the duration, or up to 3 s before its end if that is
// later. The rest is for the confirmations, and for streams that move.
func holdOutUntil(duration time.Duration) time.Duration {
	return max(duration*8/10, duration-3*time.Second)
}

// Fraction returns elapsed as a part of duration, from 0 to 1.
func Fraction(elapsed, duration time.Duration) float64 {
	if duration <= 0 {
		return 1
	}
	return min(1, max(0, float64(elapsed)/float64(duration)))
}

// Fleet is what the leader knows of the engines of a service and of the entries.
type Fleet struct {
	// New and Old are the numbers of usable engines of the new version and of all others.
	New, Old int
	// OldCalls is the number of calls that run at engines of other versions.
	OldCalls int
	// Unconfirmed is the number of entries that have not confirmed that they send calls to
	// the new version only.
	Unconfirmed int
}

// Decision is the phase that a rollout should have now, with the reason.
type Decision struct {
	Phase  Phase
	Reason string
}

func invalid(message string) error { return serving.NewError(serving.KindInvalid, message) }
