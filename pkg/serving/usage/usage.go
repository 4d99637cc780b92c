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
	"turmericdrum.org/turmericdrum/pkg/serving/machine"
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
	// Steps has the durations of the recent steps of the engine; nil if there are none.
	Steps *machine.Steps
	// Factor is the last factor that the engine has stated for its machine, 0 if unknown, and
	// FactorAge its age when it was reported.
	Factor    serving.Percent
	FactorAge time.Duration
	// Slowness is the duration of the engine's steps relative to the nominal ones as a hub
	// has found it; 0 if unknown.
	Slowness float64
	// Paced counts the streams that need a pace and are on time so far, and MaxPause is the
	// shortest of the pauses that they may have between two events.
	Paced    serving.Slots
	MaxPause time.Duration
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

// Add adds the load o at the same engine, without its steps.
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
	if o.Factor > 0 && (u.Factor == 0 || o.FactorAge < u.FactorAge) {
		u.Factor, u.FactorAge = o.Factor, o.FactorAge
	}
	if u.Slowness == 0 {
		u.Slowness = o.Slowness
	}
	u.Paced += o.Paced
	if o.MaxPause > 0 && (u.MaxPause == 0 || o.MaxPause < u.MaxPause) {
		u.MaxPause = o.MaxPause
	}
	if o.Limit != nil && (u.Limit == nil || o.Limit.Age < u.Limit.Age) {
		u.Limit = o.Limit
	}
}

// AddSteps adds the steps of o, which may be nil. The steps of u must be nil or have been set
// by this function, because it changes them.
func (u *Use) AddSteps(o *machine.Steps) {
	if o == nil {
		return
	}
	if u.Steps == nil {
		u.Steps = &machine.Steps{}
	}
	u.Steps.Add(o)
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
			sum.AddSteps(u.Steps)
		}
	}
	return sums, reporters
}

// aged returns the load with the ages of the limit and the factor increased by d.
func (u *Use) aged(d time.Duration) *Use {
	if u.Limit == nil && u.Factor == 0 {
		return u
	}
	out := *u
	out.FactorAge += d
	if u.Limit != nil {
		limit := *u.Limit
		limit.Age += d
		out.Limit = &limit
	}
	return &out
}

const (
	// slownessUnits is the number of units of a slowness of 1 in messages.
	slownessUnits = 1000
	// maxSlowness bounds a slowness in a message. An engine that is slower serves nobody.
	maxSlowness = 100.0
	// maxFactorAge is the age from which a factor isn't reported.
	maxFactorAge = 5 * time.Second
)

// ToWire converts the load to its protobuf message.
func (u *Use) ToWire() *schema.EngineUse {
	out := &schema.EngineUse{Engine: string(u.Engine), Running: int32(u.Running), HeldTokens: int64(u.Held),
		ExpectedTokens: int64(u.Expected), PrefillTokens: int64(u.Prefill), Broken: int32(u.Broken), Demand: u.Demand,
		PaceTokens: int64(u.Pace.Tokens), PaceUs: u.Pace.Time.Microseconds(),
		RecentCalls: float32(u.Calls), RecentFailures: float32(u.Failures),
		Slowness: int32(math.Round(u.Slowness * slownessUnits)), PacedStreams: int32(u.Paced), MaxPauseMs: int32(u.MaxPause.Milliseconds())}
	if u.Steps != nil {
		out.Steps = u.Steps.ToWire()
	}
	if u.Factor > 0 && u.FactorAge <= maxFactorAge {
		out.Factor, out.FactorAgeMs = int32(u.Factor), int32(u.FactorAge.Milliseconds())
	}
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
			Calls: count(m.GetRecentCalls()), Failures: count(m.GetRecentFailures()),
			Slowness: min(maxSlowness, float64(max(0, m.GetSlowness()))/slownessUnits),
			Paced:    serving.Slots(max(0, m.GetPacedStreams())), MaxPause: time.Duration(max(0, m.GetMaxPauseMs())) * time.Millisecond}
		if b := m.GetSteps(); len(b) > 0 {
			steps := machine.StepsFromWire(b)
			out[i].Steps = &steps
		}
		if f := serving.Percent(m.GetFactor()); f >= serving.MinFactor && f <= serving.MaxFactor && m.GetFactorAgeMs() >= 0 {
			out[i].Factor, out[i].FactorAge = f, time.Duration(m.GetFactorAgeMs())*time.Millisecond
		}
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
