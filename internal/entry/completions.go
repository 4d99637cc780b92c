package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

const (
	// maxAttempts bounds the engines that are tried before the first token.
	maxAttempts = 3
	// maxResumes bounds the resumptions of one generation in a row without progress.
	maxResumes = 5
	// resumePause is the wait before a resumption.
	resumePause = 100 * time.Millisecond
)

// completionRequest is the part of a caller's request that the entry reads; the
// engine gets the whole body.
type completionRequest struct {
	Model     string            `json:"model"`
	Prompt    string            `json:"prompt"`
	MaxTokens serving.Tokens    `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Priority  *serving.Priority `json:"priority"`
	Session   string            `json:"session"`
}

// attempt is one run of a request on one engine.
type attempt struct {
	request    *serving.Request
	generation serving.GenerationID
	engine     *Engine
	body       []byte
	sequencer  *generation.Sequencer
}

// completions handles POST /v1/completions.
func (e *Entry) completions(r *restful.Request, w *restful.Response) {
	b := e.board.load()
	if err := e.mayStart(b); err != nil {
		writeError(w, err)
		return
	}
	account, ok := b.View.accounts[sha256.Sum256([]byte(bearer(r.Request)))]
	if !ok {
		writeError(w, serving.NewError(serving.KindUnauthenticated, "the key is missing or unknown"))
		return
	}
	request, body, stream, err := e.decodeCompletion(b, r.Request, w)
	if err != nil {
		writeError(w, err)
		return
	}
	request.Account = account
	var out answerWriter = &wholeAnswer{w: w}
	if stream {
		out = &streamedAnswer{w: w, entry: e}
	}
	out.fail(e.answer(r.Request.Context(), request, body, out))
}

// mayStart tells whether new work may start now.
func (e *Entry) mayStart(b *Blackboard) error {
	if e.draining.Load() {
		return serving.NewError(serving.KindDraining, "this entry is shutting down")
	}
	if !e.viewFresh(b) {
		return serving.NewError(serving.KindViewExpired, "this entry has no confirmed configuration").WithRetryAfter(time.Second)
	}
	return nil
}

func (e *Entry) decodeCompletion(b *Blackboard, r *http.Request, w http.ResponseWriter) (*serving.Request, []byte, bool, error) {
	var fields map[string]json.RawMessage
	body := http.MaxBytesReader(w, r.Body, int64(e.Settings.Entry.MaxBody.Bytes))
	if err := json.NewDecoder(body).Decode(&fields); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, nil, false, serving.WrapError(err, serving.KindTooLarge, "read request")
		}
		return nil, nil, false, serving.WrapError(err, serving.KindInvalid, "decode request")
	}
	whole, _ := json.Marshal(fields)
	var c completionRequest
	if err := json.Unmarshal(whole, &c); err != nil {
		return nil, nil, false, serving.WrapError(err, serving.KindInvalid, "decode request")
	}
	model, ok := b.View.resolve(schema.ObjectKind_OBJECT_KIND_MODEL, c.Model)
	if !ok {
		return nil, nil, false, serving.NewError(serving.KindUnknownModel, "the model "+c.Model+" is not configured")
	}
	fields["model"], _ = json.Marshal(model)
	fields["stream"] = json.RawMessage("true")
	whole, _ = json.Marshal(fields)
	request := &serving.Request{
		ID: serving.RequestID(newID()), Model: serving.ModelID(model), Session: c.Session,
		Priority: serving.PriorityNormal, MaxTokens: c.MaxTokens,
		PromptTokens: serving.Tokens(len(c.Prompt)/4 + 1),
		DataCentre:   e.Settings.DataCentre, Region: e.Settings.Region,
	}
	if c.Priority != nil {
		request.Priority = *c.Priority
	}
	return request, whole, c.Stream, nil
}

// answer runs a request until its answer is whole. Before the first token is out
// a failed engine means another attempt elsewhere, with a new generation.
func (e *Entry) answer(ctx context.Context, request *serving.Request, body []byte, out answerWriter) error {
	tried := map[serving.EngineID]bool{}
	var last error
	for range maxAttempts {
		b := e.board.load()
		if err := e.mayStart(b); err != nil {
			return firstError(last, err)
		}
		n, err := e.place(b, request, tried)
		if err != nil {
			return firstError(last, err)
		}
		tried[n.Engine] = true
		a := &attempt{request: request, generation: serving.GenerationID(newID()), engine: n, body: body}
		a.sequencer = generation.NewSequencer(request.ID, a.generation, 0)
		out.begin(a)
		err = e.runInSlot(ctx, a, out)
		if err == nil || ctx.Err() != nil || !out.canRestart() {
			return err
		}
		klog.InfoS("Attempt failed", "request", request.ID, "generation", a.generation, "engine", n.Engine, "err", err)
		last = serving.AsError(err).WithRan(serving.RanUnknown)
	}
	return last
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// runInSlot runs an attempt under a slot of its engine.
func (e *Entry) runInSlot(ctx context.Context, a *attempt, out answerWriter) error {
	wait, cancel := context.WithTimeout(ctx, e.Settings.Entry.QueueTimeout.Duration)
	slot, err := e.slots.acquire(wait, a.engine.Engine)
	cancel()
	if err != nil {
		return err
	}
	defer e.slots.release(slot)
	a.engine.counters.inFlight.Add(1)
	defer a.engine.counters.inFlight.Add(-1)
	return e.runAttempt(ctx, a, out)
}

// runAttempt relays one generation, and resumes it by index while the engine still has it.
func (e *Entry) runAttempt(ctx context.Context, a *attempt, out answerWriter) error {
	stream, err := e.startGeneration(ctx, a.engine, a)
	if err != nil {
		return err
	}
	for resumes := 0; ; resumes++ {
		before := a.sequencer.Next()
		err := e.relay(a, stream, out)
		stream.close()
		if err == nil || ctx.Err() != nil || errors.Is(err, errCallerGone) {
			return err
		}
		if a.sequencer.Next() > before {
			resumes = 0
		}
		if resumes >= maxResumes {
			return err
		}
		if stream, err = e.reopen(ctx, a); err != nil {
			return err
		}
	}
}

// reopen resumes a generation, with several tries while the engine cannot be reached.
func (e *Entry) reopen(ctx context.Context, a *attempt) (*frameStream, error) {
	var last error
	for range maxResumes {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(resumePause):
		}
		stream, err := e.resumeGeneration(ctx, a.engine.Address, a.generation, a.sequencer.Next())
		if err == nil || errors.Is(err, errGenerationGone) {
			return stream, err
		}
		last = err
	}
	return nil, serving.WrapError(last, serving.KindGenerationLost, "resume generation").WithRan(serving.DidRun)
}

// relay passes frames on until the last one went through.
func (e *Entry) relay(a *attempt, stream *frameStream, out answerWriter) error {
	for {
		f, err := stream.next()
		if err != nil {
			return err
		}
		ready, err := a.sequencer.Accept(f)
		if err != nil {
			return err
		}
		if err := out.write(a, ready); err != nil {
			return err
		}
		if a.sequencer.Finished() {
			return nil
		}
	}
}

// place chooses an engine that carries the model and is in service.
func (e *Entry) place(b *Blackboard, r *serving.Request, tried map[serving.EngineID]bool) (*Engine, error) {
	var best *Engine
	for _, n := range b.Engines {
		if tried[n.Engine] || !e.inService(b, n) || !n.Carries(r.Model) {
			continue
		}
		if best == nil || n.counters.inFlight.Load() < best.counters.inFlight.Load() {
			best = n
		}
	}
	if best == nil {
		return nil, serving.NewError(serving.KindNoEngine, "no engine in service carries the model "+string(r.Model)).WithRetryAfter(time.Second)
	}
	return best, nil
}

func newID() string { return rand.Text() }
