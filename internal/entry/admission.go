package entry

import (
	"context"
	"errors"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

const (
	// slotWait is the wait for a slot of one engine before another one is tried.
	slotWait = 100 * time.Millisecond
	// generationGrace is the time for which a generation without a reader may still
	// run at its engine; engines end it after 10 s.
	generationGrace = 12 * time.Second
)

// admit places a request and waits for a slot of the chosen engine, until the
// queue timeout. Engines that have no slot in time are passed over for a round.
func (e *Entry) admit(ctx context.Context, c *completionCall, s *answering) (*attempt, error) {
	deadline := e.Clock.Now() + e.Settings.Entry.QueueTimeout.Duration
	full := map[serving.EngineID]bool{}
	for {
		b := e.board.load()
		if err := e.mayContinue(b); err != nil {
			return nil, err
		}
		n, err := e.placeOutside(b, c.request, s.tried, full)
		if err != nil {
			return nil, err
		}
		a, err := e.takeSlot(ctx, c, n)
		if err == nil {
			s.tried[n.Engine] = true
			return a, nil
		}
		if ctx.Err() != nil {
			return nil, errCallerGone
		}
		if e.Clock.Now() >= deadline {
			return nil, err
		}
		full[n.Engine] = true
	}
}

// placeOutside places a request on an engine that was not tried and is not full;
// full engines are taken again when no other is left, and then tried ones.
func (e *Entry) placeOutside(b *Blackboard, r *serving.Request, tried, full map[serving.EngineID]bool) (*Engine, error) {
	avoid := map[serving.EngineID]bool{}
	for id := range tried {
		avoid[id] = true
	}
	for id := range full {
		avoid[id] = true
	}
	if n, err := e.place(b, r, avoid); err == nil {
		return n, nil
	}
	clear(full)
	if n, err := e.place(b, r, tried); err == nil {
		return n, nil
	}
	return e.place(b, r, nil)
}

// takeSlot waits for a slot and checks right before the use that the engine may
// still be given new work.
func (e *Entry) takeSlot(ctx context.Context, c *completionCall, n *Engine) (*attempt, error) {
	ctx, cancel := context.WithTimeout(ctx, slotWait)
	defer cancel()
	slot, err := e.slots.acquire(ctx, n.Engine)
	if err != nil {
		return nil, err
	}
	b := e.board.load()
	current := b.Engines[n.Engine]
	if current == nil || current.Incarnation != slot.Incarnation || !current.takesWork(b.View) {
		e.slots.release(slot)
		return nil, errNoSlot(n.Engine)
	}
	a := newAttempt(c.request, serving.GenerationID(newID()), current, c.body, 0)
	a.slot = slot
	return a, nil
}

// releaseSlot gives the slot of an attempt back when its generation has ended. A
// generation that may still run at the engine keeps its slot for the grace time,
// so that no other is started in its place.
func (e *Entry) releaseSlot(a *attempt, err error) {
	if a.slot == (dispatch.Slot{}) {
		return
	}
	if err == nil || !a.sent.Load() || errors.Is(err, errGenerationGone) {
		e.slots.release(a.slot)
		return
	}
	time.AfterFunc(generationGrace, func() { e.slots.release(a.slot) })
}

// mayContinue tells whether a request that was accepted may start at an engine
// now. Draining does not matter: it cuts off no request in progress.
func (e *Entry) mayContinue(b *Blackboard) error {
	if !e.viewFresh(b) {
		return serving.NewError(serving.KindViewExpired, "this entry has no confirmed configuration").WithRetryAfter(time.Second)
	}
	return nil
}
