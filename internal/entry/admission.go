package entry

import (
	"context"
	"errors"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

const (
	// generationGrace is the time for which a generation without a reader may still run
	// at its engine. Engines cancel it after 10 s.
	generationGrace = 12 * time.Second
	// Progress of a generation is reported every progressStep tokens, and at least
	// every progressInterval so that slow decode steps are detected quickly.
	progressStep     = 16
	progressInterval = 100 * time.Millisecond
	// maxPlacements bounds the placements that are discarded because the engine left
	// service before the request was sent.
	maxPlacements = 5
)

// scheduler decides when and where requests start.
type scheduler interface {
	schedule(ctx context.Context, w *waitingRequest) placement
	release(slots ...dispatch.Slot)
	firstToken(id serving.EngineID, g serving.GenerationID)
	progress(id serving.EngineID, g serving.GenerationID, soFar serving.Tokens)
	done(r *serving.Request, p placement, soFar serving.Tokens, o dispatch.Outcome)
}

// admit waits until an engine has room for a request and returns an attempt on it.
func (e *Entry) admit(ctx context.Context, c *completionCall, s *completionState) (*attempt, error) {
	r := *c.request
	r.Deadline = e.Clock.Now() + e.Settings.Entry.QueueTimeout.Duration
	for range maxPlacements {
		b := e.board.load()
		if err := e.mayDispatch(b); err != nil {
			return nil, err
		}
		avoid, err := e.enginesToAvoid(b, &r, s.tried)
		if err != nil {
			return nil, err
		}
		p := e.scheduler.schedule(ctx, &waitingRequest{request: &r, avoid: avoid, weight: e.weight(b, r.Account)})
		if p.err != nil {
			return nil, p.err
		}
		if a := e.newPlacedAttempt(c, p); a != nil {
			s.tried[p.engine] = true
			return a, nil
		}
		e.scheduler.done(&r, p, 0, dispatch.OutcomeCanceled)
		e.scheduler.release(p.slot, p.accountSlot)
	}
	return nil, serving.NewError(serving.KindNoEngine, "the chosen engines left service").WithRetryAfter(time.Second)
}

// enginesToAvoid returns the engines that were tried, or nil if no other usable engine
// remains. It returns an error if no engine is usable at all.
func (e *Entry) enginesToAvoid(b *Blackboard, r *serving.Request, tried map[serving.EngineID]bool) (map[serving.EngineID]bool, error) {
	usable, untried := false, false
	for id, n := range b.Engines {
		if n.acceptsWork(b.View) && n.servesModel(b.View, r.Model) {
			usable = true
			untried = untried || !tried[id]
		}
	}
	switch {
	case !usable:
		return nil, serving.NewError(serving.KindNoEngine, "no engine in service carries the model "+string(r.Model)).WithRetryAfter(time.Second)
	case !untried:
		return nil, nil
	}
	return tried, nil
}

// newPlacedAttempt returns the attempt for a placement, or nil if the engine has
// restarted or no longer accepts new work.
func (e *Entry) newPlacedAttempt(c *completionCall, p placement) *attempt {
	b := e.board.load()
	n := b.Engines[p.engine]
	if n == nil || n.Incarnation != p.slot.Incarnation || !e.viewFresh(b) || !n.acceptsWork(b.View) {
		return nil
	}
	a := newAttempt(c.request, p.generation, n, n.bodyFor(b.View, c), 0)
	a.placement = p
	return a
}

// weight returns the account's share of the engines relative to other accounts. It is 1
// for unknown accounts.
func (e *Entry) weight(b *Blackboard, id serving.ClientAccountID) float64 {
	if _, a, ok := b.View.Account(string(id)); ok {
		return a.GetWeight()
	}
	return 1
}

// endAttempt reports the outcome of an attempt and releases its slots. If the
// generation may still run at the engine, the slots are released only after
// generationGrace, so that the engine's limit is not exceeded.
func (e *Entry) endAttempt(a *attempt, err error) {
	if a.placement.slot == (dispatch.Slot{}) {
		return
	}
	e.scheduler.done(a.request, a.placement, serving.Tokens(a.sequencer.Next()), outcomeOf(a, err))
	if err == nil || !a.sent.Load() || errors.Is(err, errGenerationGone) {
		e.scheduler.release(a.placement.slot, a.placement.accountSlot)
		return
	}
	time.AfterFunc(generationGrace, func() { e.scheduler.release(a.placement.slot, a.placement.accountSlot) })
}

func outcomeOf(a *attempt, err error) dispatch.Outcome {
	switch {
	case err == nil && a.request.MaxTokens > 0 && serving.Tokens(a.sequencer.Next()) >= a.request.MaxTokens:
		return dispatch.OutcomeTruncated
	case err == nil:
		return dispatch.OutcomeComplete
	case isCallerError(err):
		return dispatch.OutcomeCanceled
	}
	return dispatch.OutcomeFailed
}

// reportProgress reports the first token and, at intervals, the number of tokens to the
// scheduler.
func (e *Entry) reportProgress(a *attempt, now time.Duration) {
	next := a.sequencer.Next()
	switch {
	case a.placement.slot == (dispatch.Slot{}):
	case a.reportedIndex == 0:
		e.scheduler.firstToken(a.engine.Engine, a.generation)
		a.reportedIndex, a.reportedAt = next, now
	case next-a.reportedIndex >= progressStep || now-a.reportedAt >= progressInterval:
		e.scheduler.progress(a.engine.Engine, a.generation, serving.Tokens(next))
		a.reportedIndex, a.reportedAt = next, now
	}
}
