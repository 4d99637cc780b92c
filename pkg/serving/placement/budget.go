package placement

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// budgetSlots divides the window of a retry budget.
	budgetSlots = 20
	// budgetShare is the part of the joint allowance that the entries use together:
	// entries that restart begin with a new share.
	budgetShare = 0.6
)

// RetryBudget bounds the repeated sends to the engines of one service, over all
// entries together, in any window of a length: a share of the calls, and an
// allowance that is divided among the entries.
type RetryBudget struct {
	// Ratio is the number of repeats for each call.
	Ratio float64
	// Allowance is the number of repeats of all entries together in a window.
	Allowance float64
	Window    time.Duration

	services map[serving.ServiceID]*budgetWindow
}

type budgetWindow struct {
	slot           int64
	calls, repeats [budgetSlots]float64
}

// Call records the first send of a call.
func (b *RetryBudget) Call(now time.Duration, s serving.ServiceID) {
	w := b.at(now, s)
	w.calls[w.slot%budgetSlots]++
}

// Repeat tells whether a call may be sent once more, and records it if so.
func (b *RetryBudget) Repeat(now time.Duration, s serving.ServiceID, entries int) bool {
	w := b.at(now, s)
	calls, repeats := 0.0, 0.0
	for i := range budgetSlots {
		calls += w.calls[i]
		repeats += w.repeats[i]
	}
	if repeats+1 > budgetShare*(b.Ratio*calls+b.Allowance/float64(max(entries, 1))) {
		return false
	}
	w.repeats[w.slot%budgetSlots]++
	return true
}

func (b *RetryBudget) at(now time.Duration, s serving.ServiceID) *budgetWindow {
	if b.services == nil {
		b.services = map[serving.ServiceID]*budgetWindow{}
	}
	w := b.services[s]
	if w == nil {
		w = &budgetWindow{}
		b.services[s] = w
	}
	slot := int64(now / max(b.Window/budgetSlots, time.Millisecond))
	for steps := min(slot-w.slot, budgetSlots); steps > 0; steps-- {
		i := (slot - steps + 1) % budgetSlots
		w.calls[i], w.repeats[i] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return w
}
