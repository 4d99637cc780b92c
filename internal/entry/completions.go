package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// completions handles POST /v1/completions.
func (e *Entry) completions(r *restful.Request, w *restful.Response) {
	call, err := e.acceptCompletion(w, r.Request)
	if err != nil {
		e.refuse(w, err)
		return
	}
	// Refusals carry the request id too, so that they can be found in records and logs.
	w.Header().Set("X-Request-Id", string(call.request.ID))
	e.events.add(eventRequestReceived, call.request.ID, "account", string(call.request.Account), "model", string(call.request.Model))
	// Refusals carry the request id too, so that they can be found in records and logs.
	w.Header().Set("X-Request-Id", string(call.request.ID))
	caller := newCallerWriter(w.ResponseWriter, e.Settings.Entry.WriteTimeout.Duration)
	var out answerWriter = &wholeAnswer{w: caller}
	if call.stream {
		out = &streamedAnswer{w: caller, signer: e.signer}
	}
	e.finish(out, call.request.ID, e.answer(r.Request.Context(), call, out))
}

// refuse answers a request that was not accepted.
func (e *Entry) refuse(w http.ResponseWriter, err error) {
	e.metrics.outcome(err)
	e.events.ended("", true, err)
	writeError(w, err)
}

// finish ends an answer and records its outcome.
func (e *Entry) finish(out answerWriter, id serving.RequestID, err error) {
	e.metrics.outcome(err)
	e.events.ended(id, !out.canResume(), err)
	out.end(err)
}

// acceptCompletion authenticates and decodes a call, if new work may start now.
func (e *Entry) acceptCompletion(w http.ResponseWriter, r *http.Request) (*completionCall, error) {
	b := e.board.load()
	account, err := e.authenticate(b, r)
	if err != nil {
		return nil, err
	}
	if err := e.mayStart(b); err != nil {
		return nil, err
	}
	return e.decodeCompletion(b.View, account, w, r)
}

// mayStart tells whether a new request may start now.
func (e *Entry) mayStart(b *Blackboard) error {
	if e.draining.Load() {
		return serving.NewError(serving.KindDraining, "this entry is shutting down").WithRetryAfter(time.Second)
	}
	return e.mayDispatch(b)
}

// mayDispatch tells whether a request may go to an engine now. Draining does not
// forbid it: a request in progress gets its attempts.
func (e *Entry) mayDispatch(b *Blackboard) error {
	if !e.viewFresh(b) {
		return serving.NewError(serving.KindViewExpired, "this entry has no confirmed configuration").WithRetryAfter(time.Second)
	}
	return nil
}

// answering is the state of one call over its attempts.
type answering struct {
	tried map[serving.EngineID]bool
	// ran is what is known of all attempts together.
	ran  serving.Ran
	last error
}

// answer runs a request until its answer is whole. While nothing of it is out, a
// failed engine means another attempt elsewhere, with a new generation.
func (e *Entry) answer(ctx context.Context, c *completionCall, out answerWriter) error {
	e.retries.request()
	s := &answering{tried: map[serving.EngineID]bool{}, ran: serving.NotRun}
	for range maxAttempts {
		a, err := e.admit(ctx, c, s)
		if err != nil {
			return s.refusal(err)
		}
		out.begin(a)
		err = e.runCounted(ctx, a, out)
		e.endAttempt(a, err)
		if err == nil {
			return nil
		}
		s.failed(a, err)
		if !out.canResume() {
			e.abandon(a)
		}
		if isCallerError(err) {
			break
		}
		if ctx.Err() != nil {
			return errCallerGone
		}
		if !out.canRestart() {
			break
		}
		klog.InfoS("Attempt failed", "request", a.request.ID, "generation", a.generation, "engine", a.engine.Engine, "err", err)
		if a.sent.Load() && !e.retries.retry() {
			break
		}
	}
	return s.refusal(s.last)
}

func (e *Entry) runCounted(ctx context.Context, a *attempt, out answerWriter) error {
	defer e.count(a)()
	return e.run(ctx, a, out)
}

// count counts an attempt as in flight until the returned function is called.
func (e *Entry) count(a *attempt) (done func()) {
	a.engine.counters.inFlight.Add(1)
	e.metrics.inFlight.Add(1)
	e.metrics.attempts.Add(1)
	e.events.add(eventAttemptStarted, a.request.ID, "generation", string(a.generation), "engine", string(a.engine.Engine))
	return func() {
		a.engine.counters.inFlight.Add(-1)
		e.metrics.inFlight.Add(-1)
		repeated, foreign := a.sequencer.Dropped()
		e.metrics.repeated.Add(int64(repeated))
		e.metrics.foreign.Add(int64(foreign))
	}
}

// failed records the outcome of an attempt.
func (s *answering) failed(a *attempt, err error) {
	s.last = err
	switch {
	case a.produced():
		s.ran = serving.DidRun
	case a.sent.Load() && s.ran == serving.NotRun:
		s.ran = serving.RanUnknown
	}
}

// refusal is the error for the caller; it says not_run only if no byte of any
// attempt left.
func (s *answering) refusal(err error) error {
	if errors.Is(err, errSlowReader) || errors.Is(err, errCallerGone) {
		return err
	}
	var typed *serving.Error
	if !errors.As(err, &typed) {
		typed = serving.WrapError(err, serving.KindEngineFailed, "the engine failed")
	}
	t := *typed
	t.Ran = s.ran
	return &t
}

// carries tells whether the engine has announced a model, under any of its names.
func (n *Engine) carries(v *View, m serving.ModelID) bool {
	for _, ref := range n.Models {
		if id, ok := v.Resolve(schema.ObjectKind_OBJECT_KIND_MODEL, string(ref.Model)); ok && id == string(m) {
			return true
		}
	}
	return false
}

func newID() string { return rand.Text() }
