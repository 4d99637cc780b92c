package standin

import (
	"net/http"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Fault asks for misbehavior by its name:
//
//	stall       no bytes on any stream
//	late        answers begin only after delay_ms
//	crossed     a stream carries the frames of another request
//	repeat      frames are sent twice
//	drop        frames are left out
//	reorder     frames are sent after their successor
//	slow        steps and calls take factor times as long
//	refuse      calls are refused as not run
//	mute        no announcements
//	cold        the engine turns cold without saying so
//	die         the process ends
//	die_before  a plain service dies before it runs the next call
//	die_after   a plain service dies after it ran the next call, before the answer
//	clear       all faults end
type Fault struct {
	Fault string `json:"fault"`
	// DurationMS is how long the fault lasts; 0 means until "clear".
	DurationMS int64 `json:"duration_ms"`
	// Fraction of calls, streams or frames that the fault hits; 0 means all.
	Fraction float64 `json:"fraction"`
	// DelayMS is the delay of "late" and Factor that of "slow"; default 1000 and 5.
	DelayMS int64   `json:"delay_ms"`
	Factor  float64 `json:"factor"`
}

type activeFault struct {
	Fault
	until time.Time
}

var lastingFaults = []string{"stall", "late", "crossed", "repeat", "drop", "reorder", "slow", "refuse", "mute", "die_before", "die_after"}

// Inject starts a fault.
func (e *Engine) Inject(f Fault) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	switch {
	case f.Fault == "die":
		e.record(e.event("died"))
		e.die()
	case f.Fault == "cold":
		e.coldUntil, e.tolerant = now.Add(e.ColdFor), now.Add(silentTolerance)
		e.batch.cache.blocks = nil
	case f.Fault == "clear":
		clear(e.faults)
	case slices.Contains(lastingFaults, f.Fault):
		if f.DelayMS == 0 {
			f.DelayMS = 1000
		}
		if f.Factor <= 0 {
			f.Factor = 5
		}
		a := activeFault{Fault: f}
		if f.DurationMS > 0 {
			a.until = now.Add(time.Duration(f.DurationMS) * time.Millisecond)
		}
		e.faults[f.Fault] = a
	default:
		return serving.NewError(serving.KindInvalid, "unknown fault "+f.Fault)
	}
	return nil
}

// fault tells whether a fault hits now.
func (e *Engine) fault(name string) (Fault, bool) {
	f, ok := e.faults[name]
	if !ok || (!f.until.IsZero() && time.Now().After(f.until)) {
		return Fault{}, false
	}
	return f.Fault, f.Fraction == 0 || e.random.Float64() < f.Fraction
}

func (e *Engine) hits(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.fault(name)
	return ok
}

// delay waits for a call that the fault "late" hits, until the caller leaves.
func (e *Engine) delay(r *http.Request) {
	e.mu.Lock()
	f, ok := e.fault("late")
	e.mu.Unlock()
	if !ok {
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
	}
}

// crossed returns the generation whose frames a stream carries: g itself, or
// that of another request while the fault lasts.
func (e *Engine) crossed(g *generation) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.fault("crossed"); !ok {
		return g
	}
	for _, other := range e.batch.all {
		if other.request != g.request {
			return other
		}
	}
	return &generation{request: "crossed", id: "crossed", length: g.length, produced: g.length, finish: "stop", state: finished}
}
