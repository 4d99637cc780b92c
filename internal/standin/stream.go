package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// stream sends the frames of g, starting at index from, until the generation ends or the
// reader disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	defer e.removeReader(g)
	e.delayAnswer(r)
	source := e.streamSource(g)
	out := &frameWriter{engine: e, w: w, controller: http.NewResponseController(w)}
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
			if out.finish() {
				e.mu.Lock()
				g.delivered = true
				e.mu.Unlock()
			}
			return
		case !active:
			// Some clients take a response that ends without [DONE] for a complete one.
			panic(http.ErrAbortHandler)
		default:
			out.err = out.controller.Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(idlePollInterval):
		}
	}
}

func (e *Engine) removeReader(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	if g.active() {
		g.idleSince = time.Now()
	}
}

// frameWriter writes the events of one stream and applies the active faults. It writes
// nothing after an error.
type frameWriter struct {
	engine     *Engine
	w          http.ResponseWriter
	controller *http.ResponseController
	// held is a frame delayed by the fault "reorder", or nil.
	held *Frame
	err  error
}

func (w *frameWriter) frame(f Frame) {
	switch {
	case w.engine.faultApplies("drop"):
		return
	case w.held == nil && w.engine.faultApplies("reorder"):
		w.held = &f
		return
	}
	w.writeFrame(f)
	if w.engine.faultApplies("repeat") {
		w.writeFrame(f)
	}
	w.release()
}

// release sends the held frame, if any.
func (w *frameWriter) release() {
	if w.held != nil {
		w.writeFrame(*w.held)
		w.held = nil
	}
}

func (w *frameWriter) writeFrame(f Frame) {
	data, _ := json.Marshal(f) // all fields of a frame can be encoded
	w.writeEvent(string(data))
}

func (w *frameWriter) writeEvent(data string) {
	if w.err == nil {
		_, w.err = io.WriteString(w.w, "data: "+data+"\n\n")
	}
}

// finish ends the stream and reports whether all events were sent.
func (w *frameWriter) finish() bool {
	w.release()
	w.writeEvent("[DONE]")
	return w.err == nil && w.controller.Flush() == nil
}
