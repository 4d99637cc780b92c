package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// resume handles GET /v1/generations/resume. It starts no new work, so it also serves
// requests while draining and under an expired view.
func (e *Entry) resume(r *restful.Request, w *restful.Response) {
	a, position, err := e.attemptFromToken(r.Request)
	if err != nil {
		e.refuse(w, err)
		return
	}
	caller := newCallerWriter(w.ResponseWriter, e.Settings.Entry.WriteTimeout.Duration)
	out := &streamedAnswer{w: caller, signer: e.signer}
	if position.Finished {
		out.start(a.request.ID)
		out.end(nil)
		return
	}
	out.begin(a)
	e.finish(out, a.request.ID, e.relayResumed(r.Request.Context(), a, out))
}

func (e *Entry) relayResumed(ctx context.Context, a *attempt, out answerWriter) error {
	defer e.countInFlight(a)()
	a.begin(e.Clock.Now())
	err := e.relayGeneration(ctx, a, nil, out)
	switch {
	case err == nil || isCallerError(err):
		return err
	case ctx.Err() != nil:
		return errCallerGone
	}
	var typed *serving.Error
	if !errors.As(err, &typed) {
		typed = serving.WrapError(err, serving.KindGenerationLost, "resume generation")
	}
	t := *typed
	return t.WithRan(serving.DidRun)
}

// cancel handles DELETE /v1/generations/resume.
func (e *Entry) cancel(r *restful.Request, w *restful.Response) {
	a, position, err := e.attemptFromToken(r.Request)
	if err == nil && !position.Finished {
		ctx, stop := context.WithTimeout(r.Request.Context(), cancelTimeout)
		defer stop()
		err = e.cancelGeneration(ctx, a)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"request_id": a.request.ID, "generation_id": a.generation})
}

// attemptFromToken returns an attempt for the generation of the resume token in the
// Last-Event-ID header.
func (e *Entry) attemptFromToken(r *http.Request) (*attempt, generation.Position, error) {
	b := e.board.load()
	account, err := e.authenticate(b, r)
	if err != nil {
		return nil, generation.Position{}, err
	}
	p, err := e.signer.Verify(r.Header.Get("Last-Event-ID"))
	if err != nil {
		return nil, p, err
	}
	if p.Account != account {
		return nil, p, serving.NewError(serving.KindForbidden, "the resume token belongs to another client account").WithRan(serving.DidRun)
	}
	n, err := b.engineAt(p)
	if err != nil {
		return nil, p, err
	}
	request := &serving.Request{ID: p.RequestID, Account: account}
	a := newAttempt(request, p.GenerationID, n, nil, p.Next)
	a.sent.Store(true)
	return a, p, nil
}

// engineAt returns the engine of a position. An engine that is not known to this entry
// is returned with the address in the position.
func (b *Blackboard) engineAt(p generation.Position) (*Engine, error) {
	if n := b.Engines[p.Engine]; n != nil && n.Incarnation >= p.Incarnation {
		if n.Incarnation > p.Incarnation {
			return nil, serving.NewError(serving.KindGenerationLost, "the engine has restarted since").WithRan(serving.DidRun)
		}
		return n, nil
	}
	return &Engine{
		Announcement: &engine.Announcement{Engine: p.Engine, Incarnation: p.Incarnation, Address: p.Address},
		counters:     newEngineCounters(),
	}, nil
}
