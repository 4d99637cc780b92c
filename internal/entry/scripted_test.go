package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// scriptedEngine answers each request for a stream with the next step of its script.
type scriptedEngine struct {
	*Engine
	server *httptest.Server
	length int
	// crashOn, if set, is a text in a prompt with which the engine crashes.
	crashOn string
	crashed atomic.Bool

	mu        sync.Mutex
	script    []func(o *scriptedStream)
	opened    int
	starts    int
	cancelled []string
}

// scriptedStream is one stream that was requested from a scripted engine.
type scriptedStream struct {
	w            http.ResponseWriter
	r            *http.Request
	engine       *scriptedEngine
	request, id  string
	from, length int
}

// newScriptedEngine returns an engine. After the end of its script it sends complete
// answers.
func newScriptedEngine(t testing.TB, name string, length int, script ...func(*scriptedStream)) *scriptedEngine {
	t.Helper()
	s := &scriptedEngine{length: length, script: script}
	requests := map[string]string{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if s.crashOn != "" && strings.Contains(string(body), s.crashOn) {
			s.crash(w)
			return
		}
		id := r.Header.Get("X-Generation-Id")
		s.mu.Lock()
		requests[id] = r.Header.Get("X-Request-Id")
		s.starts++
		s.mu.Unlock()
		s.open(&scriptedStream{w: w, r: r, engine: s, request: r.Header.Get("X-Request-Id"), id: id, length: length})
	})
	mux.HandleFunc("GET /v1/generations/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		request := requests[r.PathValue("id")]
		s.mu.Unlock()
		o := &scriptedStream{w: w, r: r, engine: s, request: request, id: r.PathValue("id"), length: length}
		_, _ = fmt.Sscan(r.FormValue("from"), &o.from)
		s.open(o)
	})
	mux.HandleFunc("DELETE /v1/generations/{id}", func(_ http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancelled = append(s.cancelled, r.PathValue("id"))
	})
	s.server = httptest.NewServer(mux)
	t.Cleanup(s.server.Close)
	s.Engine = &Engine{Announcement: &engine.Announcement{
		Engine: serving.EngineID(name), Address: s.server.Listener.Addr().String(), DataCentre: "dc-a",
		Incarnation: 1, State: engine.PhaseReady, Models: []engine.ModelRef{{Model: "guide"}},
	}, State: engine.StateAlive, counters: newEngineCounters()}
	return s
}

// crash begins an answer and ends the engine's process before the first frame.
func (s *scriptedEngine) crash(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	s.crashed.Store(true)
	_ = s.server.Listener.Close()
	go s.server.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

func (s *scriptedEngine) open(o *scriptedStream) {
	s.mu.Lock()
	step := (*scriptedStream).sendAll
	if s.opened < len(s.script) {
		step = s.script[s.opened]
	}
	s.opened++
	s.mu.Unlock()
	step(o)
}

func (s *scriptedEngine) count() (opened, starts, cancelled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened, s.starts, len(s.cancelled)
}

func (o *scriptedStream) frame(request, id string, i int) {
	f := generation.Frame{RequestID: serving.RequestID(request), GenerationID: serving.GenerationID(id), Index: serving.TokenIndex(i), Token: token(id, i)}
	if i == o.length-1 {
		f.FinishReason = "stop"
	}
	b, _ := json.Marshal(f)
	fmt.Fprintf(o.w, "data: %s\n\n", b)
	_ = http.NewResponseController(o.w).Flush()
}

// frames sends the frames with the given indexes.
func (o *scriptedStream) frames(indexes ...int) {
	for _, i := range indexes {
		o.frame(o.request, o.id, i)
	}
}

// sendUpTo sends the frames up to index n (exclusive).
func (o *scriptedStream) sendUpTo(n int) {
	for i := o.from; i < n; i++ {
		o.frames(i)
	}
}

func (o *scriptedStream) sendDone() { fmt.Fprint(o.w, "data: [DONE]\n\n") }

func (o *scriptedStream) sendAll() {
	o.sendUpTo(o.length)
	o.sendDone()
}

func (o *scriptedStream) notFound() { o.w.WriteHeader(http.StatusNotFound) }

// abort closes the connection without ending the response.
func (o *scriptedStream) abort() { panic(http.ErrAbortHandler) }

// blockUntilClosed blocks until the reader closes the stream.
func (o *scriptedStream) blockUntilClosed() { <-o.r.Context().Done() }
