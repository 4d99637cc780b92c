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
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

// completions handles POST /v1/completions.
func (e *Entry) completions(r *restful.Request, w *restful.Response) {
	call, err := e.acceptCompletion(w, r.Request)
	if err != nil {
		e.refuse(w, err)
		return
	}
	// Refusals carry the request ID too, so that they can be found in the event log.
	w.Header().Set("X-Request-Id", string(call.request.ID))
	e.eventLog.add(eventRequestReceived, call.request.ID, "account", string(call.request.Account), "model", string(call.request.Model))
	w.Header().Set("X-Request-Id", string(call.request.ID))
	caller := newCallerWriter(w.ResponseWriter, e.Settings.Entry.WriteTimeout.Duration)
	var out answerWriter = &bufferedAnswer{w: caller}
	if call.stream {
		out = &streamedAnswer{w: caller, signer: e.signer}
	}
	e.finish(out, call.request.ID, e.runCompletion(r.Request.Context(), call, out))
}

// refuse answers a request that was not accepted.
func (e *Entry) refuse(w http.ResponseWriter, err error) {
	e.metrics.countOutcome(err)
	e.eventLog.addEnd("", true, err)
	writeError(w, err)
}

// finish completes an answer and records its outcome.
func (e *Entry) finish(out answerWriter, id serving.RequestID, err error) {
	e.metrics.countOutcome(err)
	e.eventLog.addEnd(id, !out.canResume(), err)
	out.end(err)
}

// acceptCompletion authenticates the caller and decodes the call. It returns an error
// if the entry accepts no new requests now.
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

// mayStart returns an error if the entry accepts no new requests now.
func (e *Entry) mayStart(b *Blackboard) error {
	if e.draining.Load() {
		return serving.NewError(serving.KindDraining, "this entry is shutting down").WithRetryAfter(time.Second)
	}
	return e.mayDispatch(b)
}

// mayDispatch returns an error if no request may be sent to an engine now. It permits
// dispatch while draining, because requests in progress may need further attempts.
func (e *Entry) mayDispatch(b *Blackboard) error {
	if !e.viewFresh(b) {
		return serving.NewError(serving.KindViewExpired, "this entry has no confirmed configuration").WithRetryAfter(time.Second)
	}
	return nil
}

// completionState is the state of one call over all its attempts.
type completionState struct {
	tried map[serving.EngineID]bool
	// ran is whether any of the attempts ran.
	ran     serving.Ran
	lastErr error
}

// runCompletion runs a request until its answer is complete. As long as nothing was
// sent to the caller, it starts a new generation on another engine after a failure.
func (e *Entry) runCompletion(ctx context.Context, c *completionCall, out answerWriter) error {
	e.retries.request()
	s := &completionState{tried: map[serving.EngineID]bool{}, ran: serving.NotRun}
	for range maxAttempts {
		if err := e.prompts.check(requestParts(c.request)); err != nil {
			return s.failure(err)
		}
		a, err := e.admit(ctx, c, s)
		if err != nil {
			return s.failure(err)
		}
		out.begin(a)
		err = e.runCounted(ctx, a, out)
		e.endAttempt(a, err)
		if err == nil {
			e.prompts.recordSound(requestParts(a.request))
			return nil
		}
		s.recordFailure(a, err)
		mayRestart := !a.lostEngine(ctx, err) || e.recordLostAttempt(ctx, a, err)
		if !out.canResume() {
			e.cancelInBackground(a)
		}
		if isCallerError(err) {
			break
		}
		if ctx.Err() != nil {
			return errCallerGone
		}
		if !out.canRestart() || !mayRestart {
			break
		}
		klog.InfoS("Attempt failed", "request", a.request.ID, "generation", a.generation, "engine", a.engine.Engine, "err", err)
		if a.sent.Load() && !e.retries.retry() {
			break
		}
	}
	return s.failure(s.lastErr)
}

func (e *Entry) runCounted(ctx context.Context, a *attempt, out answerWriter) error {
	defer e.countInFlight(a)()
	return e.runAttempt(ctx, a, out)
}

// countInFlight counts an attempt as in flight until the returned function is called.
func (e *Entry) countInFlight(a *attempt) (done func()) {
	a.engine.counters.inFlight.Add(1)
	e.metrics.inFlight.Add(1)
	e.metrics.attempts.Add(1)
	e.eventLog.add(eventAttemptStarted, a.request.ID, "generation", string(a.generation), "engine", string(a.engine.Engine))
	return func() {
		a.engine.counters.inFlight.Add(-1)
		e.metrics.inFlight.Add(-1)
		repeated, foreign := a.sequencer.Dropped()
		e.metrics.repeated.Add(int64(repeated))
		e.metrics.foreign.Add(int64(foreign))
	}
}

// lostEngine reports whether an attempt failed before its answer had begun, and not by a
// refusal, by the caller or for the caller's reasons. The engine may have crashed then.
func (a *attempt) lostEngine(ctx context.Context, err error) bool {
	if ctx.Err() != nil || isCallerError(err) || !a.sent.Load() || a.sequencer.Next() >= a.firstIndex+quarantine.SoundEvents {
		return false
	}
	e := serving.AsError(err)
	return e.Ran != serving.NotRun && e.Kind != serving.KindOverloaded
}

// recordFailure records the error of an attempt and whether the attempt ran.
func (s *completionState) recordFailure(a *attempt, err error) {
	s.lastErr = err
	switch {
	case a.produced():
		s.ran = serving.DidRun
	case a.sent.Load() && s.ran == serving.NotRun:
		s.ran = serving.RanUnknown
	}
}

// failure returns the error for the caller. It has Ran set to not_run only if no byte of
// any attempt was sent.
func (s *completionState) failure(err error) error {
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

// servesModel reports whether the engine has announced a model, under any of its names.
func (n *Engine) servesModel(v *View, m serving.ModelID) bool {
	for _, ref := range n.Models {
		if id, ok := v.Resolve(schema.ObjectKind_OBJECT_KIND_MODEL, string(ref.Model)); ok && id == string(m) {
			return true
		}
	}
	return false
}

func newID() string { return rand.Text() }
