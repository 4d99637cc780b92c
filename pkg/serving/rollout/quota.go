package rollout

import (
	"math"
	"time"
)

const (
	// canaryPart is the part of the share that the canary uses. The rest is kept for the load
	// test.
	canaryPart = 0.5
	// loadTestPart is the part of the share that canary and load test use together. The rest
	// and the other half of the allowance are the margin for the rounding of all entries,
	// see Quota.
	loadTestPart = 0.85
	// allowancePart is the part of the allowance that AllowanceFor hands out.
	allowancePart = 0.5
	// maxCredit bounds the calls that the canary sends at once after calls that found no
	// engine with room.
	maxCredit = 2
	// minProgress bounds the part of the canary that has elapsed, from which the number of its
	// calls is estimated.
	minProgress = 0.05
	// cutoverFrom and cutoverTo are the parts of the calls that go to the new version at the
	// start of the cutover and when the comparison ends. The others are the only ones that
	// show whether failures during the cutover are due to the new version or to an outage,
	// and a bad version shows with fewer calls to it while many go to the old one.
	cutoverFrom, cutoverTo = 0.3, 0.8
	// goldenRatio spreads the calls that are held out evenly over all calls.
	goldenRatio = 0.6180339887498949
)

// Quota decides whether an entry may send one more call to a version in test. The bound is
// linear in the calls of the entry, so that the sum over all entries stays within the bound
// of the service without any coordination.
//
// With hundreds of entries each one may send less than one call to the new version. Draw
// rounds the bound of each entry up or down so that the mean is unchanged. The sum over all
// entries then deviates by at most half the root of their number in standard deviations,
// which is 18 calls for 1,300 entries; the margin is 15% of the share and half of the
// allowance.
type Quota struct {
	// Share is the largest share of calls that may go to a version that may be bad, and
	// Allowance this entry's part of the calls beyond the share, from AllowanceFor.
	Share, Allowance float64
	// Draw is a random number from 0 up to 1 that this process chose for the rollout. It must
	// not depend on the calls. 0 rounds down.
	Draw float64

	sentAll, sentNew int64
	// credit is the part of a call that the canary has accrued, and started is set when it
	// begins with Draw.
	credit  float64
	started bool
	// loadFrom and loadBase are the time since the order and the calls to the new version,
	// with the credit, when this entry began the load test.
	loadFrom time.Duration
	loadBase float64
	loading  bool
}

// Allows reports whether a call may be sent to the new version. It is asked once for each
// call, and only while the new version has a usable engine. In the cutover, false means that
// the call goes to the old version for comparison if it has a usable engine. repeated is as
// for CountSent.
//
// The calls to the new version are spread evenly over the time. A burst would end before
// the calls to the old version that are compared with it, so that its failures would be
// known earlier; it would also queue at the few engines of the canary, which would look slow.
func (q *Quota) Allows(r *Rollout, repeated bool) bool {
	all := float64(q.sentAll)
	if !repeated {
		all++
	}
	draw := min(max(0, q.Draw), 1)
	switch r.Phase {
	case Canary:
		if !q.started {
			q.started, q.credit = true, draw
		}
		if !repeated {
			// The allowance is spread over the calls of the canary like the share.
			progress := max(minProgress, min(1, r.Fraction()/canaryUntil))
			q.credit = min(maxCredit, q.credit+canaryPart*q.Share+q.Allowance*progress/max(1, all))
		}
		return q.credit >= 1 && float64(q.sentNew+1) <= canaryPart*q.Share*all+q.Allowance+draw
	case LoadTest:
		if !q.loading {
			q.loading, q.loadFrom = true, r.Elapsed
			q.loadBase = float64(q.sentNew) + min(1, q.credit)
		}
		bound := loadTestPart*q.Share*all + q.Allowance + draw
		progress := 1.0
		if end := time.Duration(loadTestUntil * float64(r.Duration)); r.Elapsed < end {
			progress = float64(r.Elapsed-q.loadFrom) / float64(max(1, end-q.loadFrom))
		}
		return float64(q.sentNew+1) <= min(bound, q.loadBase+max(0, progress)*(bound-q.loadBase))
	case Cutover:
		if r.Exclusive() || repeated {
			return true
		}
		_, position := math.Modf(all*goldenRatio + draw)
		return position < cutoverPart(r)
	case Completed:
		return true
	}
	return false
}

// cutoverPart returns the part of the calls that goes to the new version in the cutover.
func cutoverPart(r *Rollout) float64 {
	end := holdOutUntil(r.Duration)
	start := max(r.PhaseAt, time.Duration(loadTestUntil*float64(r.Duration)))
	if r.Elapsed >= end || start >= end {
		return 1
	}
	progress := max(0, float64(r.Elapsed-start)/float64(end-start))
	return cutoverFrom + (cutoverTo-cutoverFrom)*progress
}

// CountSent counts a call that is sent to an engine. Repeated calls, that is retries,
// migrations, resumed streams and copies of memory, count towards the calls to the new
// version, but don't raise the bound.
func (q *Quota) CountSent(newVersion, repeated bool) {
	if newVersion {
		q.sentNew++
		q.credit = max(0, q.credit-1)
	}
	if !repeated {
		q.sentAll++
	}
}

// Sent returns the number of calls without repeated ones, and that of all calls to the new
// version.
func (q *Quota) Sent() (all, newVersion int64) { return q.sentAll, q.sentNew }

// AllowanceFor returns an entry's part of the allowance, 0 if its process started after the
// order: its predecessor may have used the part of that host. entries is the number of
// entries that the leader committed with the order, so that all entries divide by the same
// number. The sum over these entries is half of the allowance.
func AllowanceFor(entries int, allowance float64, startedBeforeOrder bool) float64 {
	if !startedBeforeOrder || entries <= 0 || !(allowance > 0) {
		return 0
	}
	return allowancePart * allowance / float64(entries)
}

// LeaseTime is how long an entry uses a version that is not completed after a hub confirmed
// the state of the rollout. An entry that is frozen or cut off then stops long before a bad
// version must not be used any more (5 s after its 50th bad answer).
const LeaseTime = 1500 * time.Millisecond

// Lease permits an entry to use a version in Canary, LoadTest and Cutover. The zero value is
// an expired lease.
type Lease struct {
	confirmed bool
	at        time.Duration
}

// Confirm renews the lease. now is the time when the entry asked for the state that the hub
// confirmed, not when the answer came. All times are of a clock that counts suspended time.
func (l *Lease) Confirm(now time.Duration) {
	if !l.confirmed || now > l.at {
		l.confirmed, l.at = true, now
	}
}

// Valid reports whether the lease holds.
func (l *Lease) Valid(now time.Duration) bool {
	return l.confirmed && now >= l.at && now-l.at < LeaseTime
}

// brakeExcess is the number of bad answers above what the old version's rate explains at
// which an entry stops on its own. The rule of 5 s begins at 50 bad answers of all entries.
const brakeExcess = 25

// Brake stops the calls of one entry to a version that fails there, before the leader
// decides. It counts from the last confirmation by a hub.
type Brake struct {
	newEnded, newBad, oldEnded, oldBad int64
}

// Record counts the end of a call.
func (b *Brake) Record(newVersion, bad bool) {
	n := int64(0)
	if bad {
		n = 1
	}
	if newVersion {
		b.newEnded, b.newBad = b.newEnded+1, b.newBad+n
	} else {
		b.oldEnded, b.oldBad = b.oldEnded+1, b.oldBad+n
	}
}

// Engaged reports whether the entry must not use the new version.
func (b *Brake) Engaged() bool {
	expected := float64(b.newEnded) * float64(b.oldBad) / float64(max(1, b.oldEnded))
	return float64(b.newBad)-expected >= brakeExcess
}

// Release starts anew after a hub confirmed the state of the rollout with the counts of this
// entry.
func (b *Brake) Release() { *b = Brake{} }
