package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// stream sends frames from an index on until the generation ends or the reader leaves.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	defer e.leaveStream(g)
	e.delay(r)
	source := e.crossed(g)
	out := &frameWriter{engine: e, w: w, flush: http.NewResponseController(w)}
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		e.mu.Lock()
		produced, st, active, changed := source.produced, source.state, source.active(), source.changed
		_, stalled := e.fault("stall")
		e.mu.Unlock()
		for ; from < produced && !stalled; from++ {
			out.frame(source.frame(from))
		}
		switch {
		case stalled:
			changed = nil
		case st == finished:
			if out.done() {
				e.mu.Lock()
				g.delivered = true
				e.mu.Unlock()
			}
			return
		case !active:
			// Ending the response without [DONE] would look like a clean end to some clients.
			panic(http.ErrAbortHandler)
		default:
			out.err = out.flush.Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(idleTick):
		}
	}
}

func (e *Engine) leaveStream(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	if g.active() {
		g.since = time.Now()
	}
}

// frameWriter writes the events of one stream as the faults demand; it writes
// nothing more after an error.
type frameWriter struct {
	engine *Engine
	w      http.ResponseWriter
	flush  *http.ResponseController
	held   *Frame
	err    error
}

func (w *frameWriter) frame(f Frame) {
	switch {
	case w.engine.hits("drop"):
		return
	case w.held == nil && w.engine.hits("reorder"):
		w.held = &f
		return
	}
	w.event(f)
	if w.engine.hits("repeat") {
		w.event(f)
	}
	w.release()
}

// release sends the frame that the fault "reorder" held back.
func (w *frameWriter) release() {
	if w.held != nil {
		w.event(*w.held)
		w.held = nil
	}
}

func (w *frameWriter) event(f Frame) {
	data, _ := json.Marshal(f) // a frame has no field that could fail
	w.write(string(data))
}

func (w *frameWriter) write(data string) {
	if w.err == nil {
		_, w.err = io.WriteString(w.w, "data: "+data+"\n\n")
	}
}

// done ends the stream and tells whether all of it was sent.
func (w *frameWriter) done() bool {
	w.release()
	w.write("[DONE]")
	return w.err == nil && w.flush.Flush() == nil
}
