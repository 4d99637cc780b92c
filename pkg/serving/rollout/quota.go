package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Quota decides whether an entry may send one more call to a version in test. The sum of
// the calls of all entries stays within the exposure bound without coordination, because
// the bound is linear in the calls of each entry.
type Quota struct {
	// Share is the largest share of calls that may go to a version that may be bad, and
	// Allowance this entry's part of the calls beyond the share, from AllowanceFor.
	Share, Allowance float64

	sentAll, sentNew int64
}

// Allows reports whether a call may be sent to the new version in a phase, at a fraction of
// the duration of the rollout.
func (q *Quota) Allows(phase Phase, fraction float64) bool {
	switch phase {
	case Canary:
		return float64(q.sentNew+1) <= canaryPart*q.Share*float64(q.sentAll+1)+q.Allowance
	case LoadTest:
		return float64(q.sentNew+1) <= loadTestPart*q.Share*float64(q.sentAll+1)+q.Allowance
	case Cutover, Completed:
		return true
	}
	return false
}

const (
	canaryPart   = 0.5
	loadTestPart = 0.85
)

// CountSent counts a call that is sent to an engine. Repeated calls, that is retries,
// migrations and resumed streams, count towards the calls to the new version, but don't
// increase the bound.
func (q *Quota) CountSent(newVersion, repeated bool) {
	if newVersion {
		q.sentNew++
	}
	if !repeated {
		q.sentAll++
	}
}

// Sent returns the numbers of calls, and of those that were sent to the new version.
func (q *Quota) Sent() (all, newVersion int64) { return q.sentAll, q.sentNew }

// AllowanceFor returns an entry's part of the allowance. draw is a random number from 0 to 1
// that the entry's process chose at its start.
func AllowanceFor(entries int, allowance float64, startedBeforeOrder bool, draw float64) float64 {
	a := min(1, max(0, draw))
	if startedBeforeOrder && entries > 0 {
		a += max(0, allowance) / 2 / float64(entries)
	}
	return a
}

// LeaseTime is how long an entry uses a version in test after a hub confirmed the state of
// the rollout. An entry that is frozen or cut off stops long before a bad version must not
// be used any more.
const LeaseTime = 1500 * time.Millisecond

// Lease permits an entry to use a version in test. The zero value is an expired lease.
type Lease struct {
	confirmed bool
	at        time.Duration
}

// Confirm renews the lease. now is the time when the entry asked for the state that the hub
// confirmed, not when the answer came.
func (l *Lease) Confirm(now time.Duration) {
	if !l.confirmed || now > l.at {
		l.confirmed, l.at = true, now
	}
}

// Valid reports whether the lease holds. now is of a clock that counts suspended time.
func (l *Lease) Valid(now time.Duration) bool {
	return l.confirmed && now >= l.at && now-l.at < LeaseTime
}

const minCanary = 3

// CanarySize returns the number of engines of the new version that get the calls of the
// canary, so that each of them has about the load of an engine of the old version.
func CanarySize(newEngines, oldEngines int, share float64) int {
	n := int(canaryPart*max(0, share)*float64(max(0, oldEngines)) + 0.5)
	return max(0, min(newEngines, max(minCanary, n)))
}

// CanarySubset returns n of the engines, selected by rank of a hash of their ids. All
// entries select the same ones, and an engine that comes or goes changes at most one.
func CanarySubset(engines []serving.EngineID, n int) []serving.EngineID {
	out := slices.Clone(engines)
	slices.SortFunc(out, func(a, b serving.EngineID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	out = slices.Compact(out)
	return out[:max(0, min(n, len(out)))]
}
