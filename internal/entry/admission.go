package entry

import (
	"context"
	"errors"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

const (
	// generationGrace is the time for which a generation without a reader may still
	// run at its engine; engines end it after 10 s.
	generationGrace = 12 * time.Second
	// progressStep is the number of tokens between two notes of a generation's
	// progress, and progressInterval the time, so that slow steps are seen soon.
	progressStep     = 16
	progressInterval = 100 * time.Millisecond
	// maxStarts bounds the starts that are undone because the engine left service
	// between the decision and the use.
	maxStarts = 5
)

// admission decides where and when requests start.
type admission interface {
	wait(ctx context.Context, w *waiter) start
	release(slots ...dispatch.Slot)
	firstToken(id serving.EngineID, g serving.GenerationID)
	progress(id serving.EngineID, g serving.GenerationID, soFar serving.Tokens)
	done(r *serving.Request, st start, soFar serving.Tokens, o dispatch.Outcome)
}

// admit waits until an engine has room for a request and returns an attempt there.
func (e *Entry) admit(ctx context.Context, c *completionCall, s *answering) (*attempt, error) {
	r := *c.request
	r.Deadline = e.Clock.Now() + e.Settings.Entry.QueueTimeout.Duration
	for range maxStarts {
		b := e.board.load()
		if err := e.mayDispatch(b); err != nil {
			return nil, err
		}
		avoid, err := e.avoidable(b, &r, s.tried)
		if err != nil {
			return nil, err
		}
		st := e.admission.wait(ctx, &waiter{request: &r, avoid: avoid, weight: e.weight(b, r.Account)})
		if st.err != nil {
			return nil, st.err
		}
		if a := e.startAt(c, st); a != nil {
			s.tried[st.engine] = true
			return a, nil
		}
		e.admission.done(&r, st, 0, dispatch.OutcomeCanceled)
		e.admission.release(st.slot, st.account)
	}
	return nil, serving.NewError(serving.KindNoEngine, "the chosen engines left service").WithRetryAfter(time.Second)
}

// avoidable returns the engines to avoid: those that were tried, unless no other
// is left.
func (e *Entry) avoidable(b *Blackboard, r *serving.Request, tried map[serving.EngineID]bool) (map[serving.EngineID]bool, error) {
	usable, fresh := false, false
	for id, n := range b.Engines {
		if n.takesWork(b.View) && n.carries(b.View, r.Model) {
			usable = true
			fresh = fresh || !tried[id]
		}
	}
	switch {
	case !usable:
		return nil, serving.NewError(serving.KindNoEngine, "no engine in service carries the model "+string(r.Model)).WithRetryAfter(time.Second)
	case !fresh:
		return nil, nil
	}
	return tried, nil
}

// startAt returns the attempt of a start, if the engine may still be given new
// work right before the use.
func (e *Entry) startAt(c *completionCall, st start) *attempt {
	b := e.board.load()
	n := b.Engines[st.engine]
	if n == nil || n.Incarnation != st.slot.Incarnation || !e.viewFresh(b) || !n.takesWork(b.View) {
		return nil
	}
	a := newAttempt(c.request, st.generation, n, n.bodyFor(b.View, c), 0)
	a.start = st
	return a
}

// weight returns the account's share of the engines relative to other accounts.
func (e *Entry) weight(b *Blackboard, id serving.ClientAccountID) float64 {
	if _, a, ok := b.View.Account(string(id)); ok {
		return a.GetWeight()
	}
	return 1
}

// endAttempt tells how an attempt ended and gives its slot back when its
// generation has ended. A generation that may still run at the engine keeps its
// slot for the grace time, so that no other is started in its place.
func (e *Entry) endAttempt(a *attempt, err error) {
	if a.start.slot == (dispatch.Slot{}) {
		return
	}
	e.admission.done(a.request, a.start, serving.Tokens(a.sequencer.Next()), outcomeOf(a, err))
	if err == nil || !a.sent.Load() || errors.Is(err, errGenerationGone) {
		e.admission.release(a.start.slot, a.start.account)
		return
	}
	time.AfterFunc(generationGrace, func() { e.admission.release(a.start.slot, a.start.account) })
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

// noteProgress passes an attempt's progress on, not for every token.
func (e *Entry) noteProgress(a *attempt, now time.Duration) {
	next := a.sequencer.Next()
	switch {
	case a.start.slot == (dispatch.Slot{}):
	case a.noted == 0:
		e.admission.firstToken(a.engine.Engine, a.generation)
		a.noted, a.notedAt = next, now
	case next-a.noted >= progressStep || now-a.notedAt >= progressInterval:
		e.admission.progress(a.engine.Engine, a.generation, serving.Tokens(next))
		a.noted, a.notedAt = next, now
	}
}
