// Package usage sums the load that many entries put on each engine. An entry is a
// process that forwards client requests to engines. Each report of an entry contains
// its whole load, so a lost report does no harm. A report expires unless the next one
// replaces it in time.
//
// # Usage
//
//	t := usage.NewTable(2 * time.Second)
//	t.Report(now, "entry-1", []usage.Use{{Engine: "engine-1", Running: 3}})
//	sums := t.Sums(now)
//
// A table isn't safe for concurrent use.
package usage

import (
	"math"
	"time"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Use is the load at one engine.
type Use struct {
	Engine serving.EngineID
	// Running counts calls in progress.
	Running serving.Slots
	// Held counts tokens in the KV cache memory of the engine now.
	Held serving.Tokens
	// Expected counts tokens that will be in that memory if all calls reach their
	// expected length.
	Expected serving.Tokens
	// Prefill counts prompt tokens that have not been processed yet.
	Prefill serving.Tokens
	// Broken counts recent calls without a complete response and failed connection
	// attempts.
	Broken int
	// Demand is the number of calls per second to the engine's service, if the engine has
	// named a limit.
	Demand float64
	// Limit is the newest answer of the engine about its limit; nil if none is known.
	Limit *Limit
	// Pace is how fast the engine has recently generated tokens.
	Pace Pace
	// Calls and Failures count the calls that have recently ended and those that the engine
	// failed, with weights that fall with time.
	Calls, Failures float64
}

// Pace is a number of tokens and the time that an engine took to generate them, summed over
// the generations that ran at the same time.
type Pace struct {
	Tokens serving.Tokens
	Time   time.Duration
}

// Limit is what an engine named in an answer.
type Limit struct {
	// PerSecond is the number of calls per second that the engine takes from all entries
	// together, if Limited is set.
	PerSecond float64
	Limited   bool
	// Age is the age of the answer when it was reported.
	Age time.Duration
}

// Add adds the load o at the same engine.
func (u *Use) Add(o *Use) {
	u.Running += o.Running
	u.Held += o.Held
	u.Expected += o.Expected
	u.Prefill += o.Prefill
	u.Broken += o.Broken
	u.Demand += o.Demand
	u.Pace.Tokens += o.Pace.Tokens
	u.Pace.Time += o.Pace.Time
	u.Calls += o.Calls
	u.Failures += o.Failures
	if o.Limit != nil && (u.Limit == nil || o.Limit.Age < u.Limit.Age) {
		u.Limit = o.Limit
	}
}

type report struct {
	at   time.Duration
	uses []Use
}

// Table holds the last report of each reporter.
type Table struct {
	// ExpireAfter is the age at which a report no longer counts.
	ExpireAfter time.Duration
	reports     map[string]report
}

// NewTable returns an empty table.
func NewTable(expireAfter time.Duration) *Table {
	return &Table{ExpireAfter: expireAfter, reports: map[string]report{}}
}

// Report replaces the previous report of a reporter. The table keeps uses, which
// must not be changed afterwards.
func (t *Table) Report(now time.Duration, reporter string, uses []Use) {
	t.reports[reporter] = report{at: now, uses: uses}
}

// Sums returns the summed load at each engine, and the number of reporters. It
// removes expired reports.
func (t *Table) Sums(now time.Duration) (sums map[serving.EngineID]*Use, reporters int) {
	sums = map[serving.EngineID]*Use{}
	for reporter, r := range t.reports {
		if now-r.at > t.ExpireAfter {
			delete(t.reports, reporter)
			continue
		}
		reporters++
		for i := range r.uses {
			u := &r.uses[i]
			sum := sums[u.Engine]
			if sum == nil {
				sum = &Use{Engine: u.Engine}
				sums[u.Engine] = sum
			}
			sum.Add(u.aged(now - r.at))
		}
	}
	return sums, reporters
}

// aged returns the load with the age of the limit increased by d.
func (u *Use) aged(d time.Duration) *Use {
	if u.Limit == nil {
		return u
	}
	out, limit := *u, *u.Limit
	limit.Age += d
	out.Limit = &limit
	return &out
}

// ToWire converts the load to its protobuf message.
func (u *Use) ToWire() *schema.EngineUse {
	out := &schema.EngineUse{Engine: string(u.Engine), Running: int32(u.Running), HeldTokens: int64(u.Held),
		ExpectedTokens: int64(u.Expected), PrefillTokens: int64(u.Prefill), Broken: int32(u.Broken), Demand: u.Demand,
		PaceTokens: int64(u.Pace.Tokens), PaceUs: u.Pace.Time.Microseconds(),
		RecentCalls: float32(u.Calls), RecentFailures: float32(u.Failures)}
	if u.Limit != nil {
		out.Limit = &schema.EngineLimit{AgeMs: u.Limit.Age.Milliseconds()}
		if u.Limit.Limited {
			out.Limit.CallsPerSecond = &u.Limit.PerSecond
		}
	}
	return out
}

// FromWire converts protobuf messages to the loads at their engines.
func FromWire(in []*schema.EngineUse) []Use {
	out := make([]Use, len(in))
	for i, m := range in {
		out[i] = Use{Engine: serving.EngineID(m.GetEngine()), Running: serving.Slots(m.GetRunning()),
			Held: serving.Tokens(m.GetHeldTokens()), Expected: serving.Tokens(m.GetExpectedTokens()), Prefill: serving.Tokens(m.GetPrefillTokens()),
			Broken: int(m.GetBroken()), Demand: m.GetDemand(),
			Pace:  Pace{Tokens: serving.Tokens(m.GetPaceTokens()), Time: time.Duration(m.GetPaceUs()) * time.Microsecond},
			Calls: count(m.GetRecentCalls()), Failures: count(m.GetRecentFailures())}
		if l := m.GetLimit(); l != nil {
			out[i].Limit = &Limit{PerSecond: l.GetCallsPerSecond(), Limited: l.CallsPerSecond != nil, Age: time.Duration(l.GetAgeMs()) * time.Millisecond}
		}
	}
	return out
}

// count returns a number of calls from a message, 0 if it can't be one.
func count(n float32) float64 {
	if !(n >= 0 && n <= math.MaxInt32) {
		return 0
	}
	return float64(n)
}
