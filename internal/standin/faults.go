package standin

import (
	"net/http"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Fault is a request to inject a fault. Its Name is one of these:
//
//	stall       streams send no bytes
//	late        answers begin after delay_ms
//	crossed     a stream carries the frames of another request
//	repeat      frames are sent twice
//	drop        frames are omitted
//	reorder     frames are sent after their successor
//	slow        steps and calls take factor times as long
//	refuse      calls are refused as not run
//	mute        the engine sends no announcements
//	cold        the engine turns cold and loses its prefix cache, but announces neither
//	die         the process ends
//	die_before  a plain service crashes before it runs the next call
//	die_after   a plain service crashes after it ran the next call, before the answer
//	clear       all faults end
type Fault struct {
	Name string `json:"fault"`
	// DurationMS is how long the fault lasts; 0 means until "clear".
	DurationMS int64 `json:"duration_ms"`
	// Fraction is the fraction of calls, streams or frames affected; 0 means all.
	Fraction float64 `json:"fraction"`
	// DelayMS is the delay of "late" (default 1000) and Factor the factor of "slow"
	// (default 5).
	DelayMS int64   `json:"delay_ms"`
	Factor  float64 `json:"factor"`
}

// activeFault is a fault in effect until a time; zero means until "clear".
type activeFault struct {
	Fault
	until time.Time
}

// lastingFaults are the faults that stay active for their duration or until "clear".
var lastingFaults = []string{"stall", "late", "crossed", "repeat", "drop", "reorder", "slow", "refuse", "mute", "die_before", "die_after"}

// Inject starts a fault. It replaces an active fault of the same name.
func (e *Engine) Inject(f Fault) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	switch {
	case f.Name == "die":
		e.record(e.event("died"))
		e.crash()
	case f.Name == "cold":
		e.coldUntil, e.overloadGraceUntil = now.Add(e.ColdFor), now.Add(coldOverloadGrace)
		e.batch.cache.blocks = nil
	case f.Name == "clear":
		clear(e.faults)
	case slices.Contains(lastingFaults, f.Name):
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
		e.faults[f.Name] = a
	default:
		return serving.NewError(serving.KindInvalid, "unknown fault "+f.Name)
	}
	return nil
}

// fault returns the active fault of a name and reports whether it applies to the current
// operation, which is drawn at random if the fault has a fraction. The caller must hold e.mu.
func (e *Engine) fault(name string) (Fault, bool) {
	f, ok := e.faults[name]
	if !ok || (!f.until.IsZero() && time.Now().After(f.until)) {
		return Fault{}, false
	}
	return f.Fault, f.Fraction == 0 || e.random.Float64() < f.Fraction
}

func (e *Engine) faultApplies(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.fault(name)
	return ok
}

// delayAnswer delays the answer to r if the fault "late" applies, but not beyond the end of
// the request.
func (e *Engine) delayAnswer(r *http.Request) {
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

// streamSource returns the generation whose frames a stream sends: g itself, or that of
// another request if the fault "crossed" applies. If the engine has no other request, the
// other generation is fabricated.
func (e *Engine) streamSource(g *generation) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.fault("crossed"); !ok {
		return g
	}
	for _, other := range e.batch.generations {
		if other.request != g.request {
			return other
		}
	}
	return &generation{request: "crossed", id: "crossed", length: g.length, produced: g.length, finishReason: "stop", state: finished}
}
