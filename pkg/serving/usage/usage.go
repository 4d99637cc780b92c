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
}

// Add adds the load o at the same engine.
func (u *Use) Add(o *Use) {
	u.Running += o.Running
	u.Held += o.Held
	u.Expected += o.Expected
	u.Prefill += o.Prefill
	u.Broken += o.Broken
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
			sum.Add(u)
		}
	}
	return sums, reporters
}

// ToWire converts the load to its protobuf message.
func (u *Use) ToWire() *schema.EngineUse {
	return &schema.EngineUse{Engine: string(u.Engine), Running: int32(u.Running), HeldTokens: int64(u.Held),
		ExpectedTokens: int64(u.Expected), PrefillTokens: int64(u.Prefill), Broken: int32(u.Broken)}
}

// FromWire converts protobuf messages to the loads at their engines.
func FromWire(in []*schema.EngineUse) []Use {
	out := make([]Use, len(in))
	for i, m := range in {
		out[i] = Use{Engine: serving.EngineID(m.GetEngine()), Running: serving.Slots(m.GetRunning()),
			Held: serving.Tokens(m.GetHeldTokens()), Expected: serving.Tokens(m.GetExpectedTokens()), Prefill: serving.Tokens(m.GetPrefillTokens()),
			Broken: int(m.GetBroken())}
	}
	return out
}
