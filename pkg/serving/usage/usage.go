// Package usage adds up the work that many entries have at each engine. An
// entry tells all of its work with each report, so that a lost report does no
// harm, and what it told expires unless it is repeated.
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

// Use is work at one engine.
type Use struct {
	Engine serving.EngineID
	// Running counts calls in progress.
	Running serving.Slots
	// Held counts tokens in memory.
	Held serving.Tokens
	// Expected counts tokens in memory when all calls have ended as expected.
	Expected serving.Tokens
	// Prefill counts prompt tokens that still have to be read.
	Prefill serving.Tokens
	// Broken counts calls that lately broke off or found nobody.
	Broken int
}

// Add adds other work at the same engine.
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

// Report replaces what a reporter told before.
func (t *Table) Report(now time.Duration, from string, uses []Use) {
	t.reports[from] = report{at: now, uses: uses}
}

// Sums returns the work at each engine, and the number of reporters.
func (t *Table) Sums(now time.Duration) (sums map[serving.EngineID]*Use, reporters int) {
	sums = map[serving.EngineID]*Use{}
	for from, r := range t.reports {
		if now-r.at > t.ExpireAfter {
			delete(t.reports, from)
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

// ToWire returns a use as a message.
func (u *Use) ToWire() *schema.EngineUse {
	return &schema.EngineUse{Engine: string(u.Engine), Running: int32(u.Running), HeldTokens: int64(u.Held),
		ExpectedTokens: int64(u.Expected), PrefillTokens: int64(u.Prefill), Broken: int32(u.Broken)}
}

// FromWire returns the uses of messages.
func FromWire(in []*schema.EngineUse) []Use {
	out := make([]Use, len(in))
	for i, m := range in {
		out[i] = Use{Engine: serving.EngineID(m.GetEngine()), Running: serving.Slots(m.GetRunning()),
			Held: serving.Tokens(m.GetHeldTokens()), Expected: serving.Tokens(m.GetExpectedTokens()), Prefill: serving.Tokens(m.GetPrefillTokens()),
			Broken: int(m.GetBroken())}
	}
	return out
}
