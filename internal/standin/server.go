package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /v1/generations/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/generations/{id}", e.cancel)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, map[string]string{}) })
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError answers with the refusal format of section 6.1 of the design page.
func writeError(w http.ResponseWriter, status int, err error) {
	t := serving.AsError(err)
	writeJSON(w, status, map[string]any{"error": map[string]any{
		"kind": t.Kind, "message": t.Message, "remedy": t.Remedy, "ran": t.Ran,
		"retry_after_ms": t.RetryAfter.Milliseconds(),
	}})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	c, err := DecodeCompletion(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	priority, err := strconv.Atoi(r.Header.Get("X-Priority"))
	if err != nil {
		priority = int(serving.PriorityNormal)
	}
	g := &generation{
		request: serving.RequestID(r.Header.Get("X-Request-Id")), id: serving.GenerationID(r.Header.Get("X-Generation-Id")),
		priority: serving.Priority(priority), prompt: PromptTokens(c.Prompt),
		hashes: PrefixHashes(c.Prompt, e.Capacity.BlockTokens), readers: 1,
	}
	g.length, g.finish = AnswerLength(c)
	if status, err := e.submit(g); err != nil {
		writeError(w, status, err)
		return
	}
	e.stream(w, r, g, 0)
}

// submit checks a generation and queues it.
func (e *Engine) submit(g *generation) (int, error) {
	if g.request == "" || g.id == "" {
		return http.StatusBadRequest, serving.NewError(serving.KindInvalid, "headers X-Request-Id and X-Generation-Id are required")
	}
	room := int(e.Capacity.MemoryBlocks)*int(e.Capacity.BlockTokens) - g.prompt
	if room < 1 {
		return http.StatusRequestEntityTooLarge, serving.NewError(serving.KindTooLarge, "prompt exceeds the engine's memory")
	}
	if g.length > room {
		g.length, g.finish = room, "length"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch.all[g.id] != nil {
		return http.StatusConflict, serving.NewError(serving.KindConflict, "generation id is in use").WithRan(serving.DidRun)
	}
	e.batch.add(g)
	e.wakeUp()
	return 0, nil
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.FormValue("from"))
	if r.FormValue("from") != "" && (err != nil || from < 0) {
		writeError(w, http.StatusBadRequest, serving.NewError(serving.KindInvalid, "from must be a token index"))
		return
	}
	e.mu.Lock()
	g := e.batch.all[serving.GenerationID(r.PathValue("id"))]
	if g == nil || g.state == cancelled || g.state == failed || from > g.length {
		e.mu.Unlock()
		writeError(w, http.StatusNotFound, serving.NewError(serving.KindNotFound, "no such generation or index").WithRan(serving.RanUnknown))
		return
	}
	g.readers++
	e.mu.Unlock()
	e.stream(w, r, g, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.batch.all[serving.GenerationID(r.PathValue("id"))]
	if g == nil {
		writeError(w, http.StatusNotFound, serving.NewError(serving.KindNotFound, "no such generation"))
		return
	}
	e.batch.end(g, cancelled, time.Now())
	writeJSON(w, http.StatusOK, map[string]any{"generation_id": g.id, "tokens": g.produced})
}

// stream sends frames from an index on until the generation ends or the reader leaves.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		g.readers--
		g.since = time.Now()
	}()
	out := &sseWriter{w: w, flush: http.NewResponseController(w)}
	out.start()
	for {
		e.mu.Lock()
		produced, st, changed := g.produced, g.state, g.changed
		e.mu.Unlock()
		for ; from < produced; from++ {
			if out.frame(g.frame(from)) != nil {
				return
			}
		}
		switch st {
		case finished:
			out.done()
			return
		case cancelled, failed:
			// Ending the response without [DONE] would look like a clean end to some clients.
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

// sseWriter writes server-sent events.
type sseWriter struct {
	w     http.ResponseWriter
	flush *http.ResponseController
}

func (s *sseWriter) start() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.WriteHeader(http.StatusOK)
	_ = s.flush.Flush()
}

func (s *sseWriter) frame(f Frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return s.event(data)
}

func (s *sseWriter) event(data []byte) error {
	if _, err := s.w.Write(append(append([]byte("data: "), data...), "\n\n"...)); err != nil {
		return err
	}
	return s.flush.Flush()
}

func (s *sseWriter) done() { _ = s.event([]byte("[DONE]")) }
