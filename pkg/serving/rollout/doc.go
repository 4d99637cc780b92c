// Package rollout decides how the traffic of a service moves to engines that run another
// version of their software, and whether that version is bad.
//
// A rollout begins with an [Order]. In the phase [Canary] a small share of the calls goes to
// a few engines of the new version, in [LoadTest] for a short time all calls that the
// exposure bound still allows. If nothing shows that the version is bad, [Cutover] sends it
// all calls, and the rollout is [Completed] when the old version is no longer used. A bad
// version is [Reverted].
//
// # Usage
//
// An entry keeps a [Quota], a [Lease] and the [Evidence] of its own calls for each rollout:
//
//	quota := rollout.Quota{
//		Share:     share,
//		Allowance: rollout.AllowanceFor(entries, allowance, startedBeforeOrder),
//		Draw:      random.Float64(),
//	}
//	r.Elapsed = elapsed // also the phase and the duration are those that a hub told
//	if lease.Valid(now) && !brake.Engaged() && quota.Allows(&r, repeated) {
//		quota.CountSent(true, repeated)
//		key := rollout.Key{Version: r.To, Route: route, Engine: engine, Slice: r.Slice(), Class: rollout.ClassOf(prompt - cached)}
//		evidence.Sent(key)
//		// after the call:
//		evidence.Answered(key, rollout.Times{First: first, Token: token, Whole: whole})
//	}
//
// Evidence is recorded of the first attempt of a call only: calls that failed at one engine
// fail more often at the next, whatever its version.
//
// The leader sums the evidence of all entries and evaluates it:
//
//	sum.Merge(reported)
//	d := rollout.Evaluate(r, sum, fleet)
//	if d.Phase != r.Phase {
//		propose(d.Phase, d.Reason)
//	}
//
// No part of this package has a clock, a network or a goroutine. The types are not safe for
// concurrent use.
package rollout
