package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// maxQueue limits the queued generations of one engine.
const maxQueue = 256

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /v1/generations/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/generations/{id}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, e.cancel(serving.GenerationID(r.PathValue("id"))))
	})
	mux.HandleFunc("POST /v1/orders", handle(e.runOrder))
	mux.HandleFunc("GET /v1/orders", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.readBack(), nil) })
	mux.HandleFunc("POST /v1/call/{path...}", e.call)
	mux.HandleFunc("GET /v1/calls/{key}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, e.lookup(r.PathValue("key")), nil)
	})
	mux.HandleFunc("POST /v1/faults", handle(e.Inject))
	mux.HandleFunc("POST /v1/reclaim", handle(e.reclaim))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { reply(w, struct{}{}, nil) })
	return mux
}

// handle returns a handler that decodes the request body, calls f with it and answers with
// the decoded body or the error of f.
func handle[T any](f func(body T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		err := decode(r.Body, &body)
		if err == nil {
			err = f(body)
		}
		reply(w, body, err)
	}
}

var statusByKind = map[serving.Kind]int{
	serving.KindInvalid: 400, serving.KindNotFound: 404, serving.KindUnknownModel: 404,
	serving.KindConflict: 409, serving.KindTooLarge: 413,
}

// reply answers with v, or with err in the error format of section 6.1 of the design page.
func reply(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	if err != nil {
		t := serving.AsError(err)
		status = cmp.Or(statusByKind[t.Kind], http.StatusServiceUnavailable)
		v = map[string]any{"error": map[string]any{
			"kind": t.Kind, "message": t.Message, "remedy": t.Remedy, "ran": t.Ran,
			"retry_after_ms": t.RetryAfter.Milliseconds(),
		}}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	c, err := DecodeCompletion(r.Body)
	if err != nil {
		reply(w, nil, err)
		return
	}
	priority, err := strconv.Atoi(r.Header.Get("X-Priority"))
	if err != nil {
		priority = int(serving.PriorityNormal)
	}
	g := &generation{
		request: serving.RequestID(r.Header.Get("X-Request-Id")), id: serving.GenerationID(r.Header.Get("X-Generation-Id")),
		priority: serving.Priority(priority), promptTokens: PromptTokens(c.Prompt),
		prefixHashes: PrefixHashes(c.Prompt, e.Capacity.BlockTokens), readers: 1,
	}
	g.length, g.finishReason = AnswerLength(c)
	if err := e.checkIncarnation(r.Header.Get("X-Engine-Incarnation")); err != nil {
		reply(w, nil, err)
		return
	}
	if err := e.submit(g, c.Model); err != nil {
		reply(w, nil, err)
		return
	}
	e.stream(w, r, g, 0)
}

// checkIncarnation refuses work that was granted to another incarnation of the engine. An
// empty header passes.
func (e *Engine) checkIncarnation(header string) error {
	if header == "" {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if n, err := strconv.ParseUint(header, 10, 64); err != nil || serving.Incarnation(n) != e.Incarnation {
		return serving.NewError(serving.KindConflict, "the work was granted to another incarnation of this engine")
	}
	return nil
}

// refusal returns the error with which new work is refused, or nil.
func (e *Engine) refusal() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.fault("refuse"); ok {
		return serving.NewError(serving.KindOverloaded, "engine refuses calls as requested")
	}
	if e.state == engine.PhaseLeaving && time.Since(e.leavingSince) > leaveAcceptPeriod {
		e.record(e.event("refused_leaving"))
		return serving.NewError(serving.KindDraining, "engine leaves")
	}
	return nil
}

// submit checks a generation and queues it. It shortens an answer that exceeds the
// engine's memory. If the engine is cold and then has more than Capacity.ColdRunning
// generations, submit restarts it, but not before overloadGraceUntil.
func (e *Engine) submit(g *generation, model serving.ModelID) error {
	if g.request == "" || g.id == "" {
		return serving.NewError(serving.KindInvalid, "headers X-Request-Id and X-Generation-Id are required")
	}
	freeTokens := int(e.Capacity.MemoryBlocks)*int(e.Capacity.BlockTokens) - g.promptTokens
	if freeTokens < 1 {
		return serving.NewError(serving.KindTooLarge, "prompt exceeds the engine's memory")
	}
	if g.length > freeTokens {
		g.length, g.finishReason = freeTokens, "length"
	}
	if err := e.refusal(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	hasModel := func(m engine.ModelRef) bool { return m.Model == model || model == "" }
	if !slices.ContainsFunc(e.Models, hasModel) {
		return serving.NewError(serving.KindUnknownModel, "engine does not carry model "+string(model))
	}
	if e.batch.generations[g.id] != nil {
		return serving.NewError(serving.KindConflict, "generation id is in use").WithRan(serving.DidRun)
	}
	if len(e.batch.queue) >= maxQueue {
		return serving.NewError(serving.KindOverloaded, "queue is full")
	}
	now := time.Now()
	e.batch.add(g)
	e.recordGeneration("given", g)
	if e.cold(now) && now.After(e.overloadGraceUntil) && len(e.batch.running)+len(e.batch.queue) > int(e.Capacity.ColdRunning) {
		e.simulateRestart(now)
	}
	signal(e.wake)
	return nil
}

// reclaimBody is the body of a reclaim request, which makes the engine leave. DeadlineMS is
// the time from its receipt to the deadline; 0 means none.
type reclaimBody struct {
	DeadlineMS int64 `json:"deadline_ms"`
}

func (e *Engine) reclaim(b reclaimBody) error {
	e.Leave(time.Duration(b.DeadlineMS) * time.Millisecond)
	return nil
}

var errNoGeneration = serving.NewError(serving.KindNotFound, "no such generation or index").WithRan(serving.RanUnknown)

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(cmp.Or(r.FormValue("from"), "0"))
	if err != nil || from < 0 {
		reply(w, nil, serving.NewError(serving.KindInvalid, "from must be a token index"))
		return
	}
	e.mu.Lock()
	g := e.batch.generations[serving.GenerationID(r.PathValue("id"))]
	if g == nil || g.state == canceled || g.state == failed || from > g.length {
		e.mu.Unlock()
		reply(w, nil, errNoGeneration)
		return
	}
	g.readers++
	e.mu.Unlock()
	e.stream(w, r, g, from)
}

func (e *Engine) cancel(id serving.GenerationID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.batch.generations[id]
	if g == nil {
		return errNoGeneration
	}
	e.batch.end(g, canceled, time.Now())
	return nil
}
