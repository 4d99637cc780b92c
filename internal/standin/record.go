package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// maxEvents limits a record in memory; further events are dropped.
const maxEvents = 1 << 18

// Event is one line of a record: given, finished, canceled, failed, preempted,
// order, loaded, leaving, refused_leaving, fell_over, died, call_started or call_ran.
// The event "given" means that a generation was accepted and queued, "fell_over" that
// overload restarted a cold engine.
type Event struct {
	WallMS       int64                `json:"wall_ms"`
	Event        string               `json:"event"`
	Engine       serving.EngineID     `json:"engine"`
	Incarnation  serving.Incarnation  `json:"incarnation"`
	RequestID    serving.RequestID    `json:"request_id,omitempty"`
	GenerationID serving.GenerationID `json:"generation_id,omitempty"`
	Priority     serving.Priority     `json:"priority,omitempty"`
	// Cold, Running, Queued and State describe the engine. Running and Queued are counted
	// right after the event; Running includes calls.
	Cold    bool         `json:"cold"`
	Running int          `json:"running"`
	Queued  int          `json:"queued"`
	State   engine.Phase `json:"state"`
	// Tokens is the number of tokens generated so far.
	Tokens int `json:"tokens,omitempty"`
	// Key and Path describe a call of a plain service.
	Key   string `json:"key,omitempty"`
	Path  string `json:"path,omitempty"`
	Order *Order `json:"order,omitempty"`
	Stale bool   `json:"stale,omitempty"`
}

// Record stores the events of engines, in a file of JSON lines if Path is set, else in
// memory.
type Record struct {
	Path string

	mu     sync.Mutex
	file   *os.File
	events []Event
}

// write appends an event. It ends the process if the record cannot be written, because
// checks of an incomplete record could pass wrongly.
func (r *Record) write(ev Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Path == "" {
		if len(r.events) < maxEvents {
			r.events = append(r.events, ev)
		}
		return
	}
	line, err := json.Marshal(ev)
	if err == nil && r.file == nil {
		r.file, err = os.OpenFile(r.Path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	}
	if err == nil {
		// One write per line, so that lines of several processes do not mix.
		_, err = r.file.Write(append(line, '\n'))
	}
	if err != nil {
		klog.Fatalf("Write record %s: %v", r.Path, err)
	}
}

// Events returns all events recorded so far. Lines that cannot be decoded are skipped.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Path == "" {
		return append([]Event(nil), r.events...)
	}
	data, _ := os.ReadFile(r.Path)
	var events []Event
	for line := range bytes.Lines(data) {
		var ev Event
		if json.Unmarshal(line, &ev) == nil {
			events = append(events, ev)
		}
	}
	return events
}

// event returns an event with the current state of the engine. The caller must hold e.mu.
func (e *Engine) event(name string) Event {
	now := time.Now()
	return Event{
		WallMS: now.UnixMilli(), Event: name, Engine: e.Name, Incarnation: e.Incarnation, Cold: e.cold(now),
		Running: len(e.batch.running) + e.activeCalls, Queued: len(e.batch.queue), State: e.state,
	}
}

// record writes an event to the record and to the timeline.
func (e *Engine) record(ev Event) {
	e.Record.write(ev)
	if e.Events != nil {
		e.Events.Add(ev.Event, ev.RequestID, "generation_id", string(ev.GenerationID), "key", ev.Key,
			"tokens", strconv.Itoa(ev.Tokens), "running", strconv.Itoa(ev.Running), "cold", strconv.FormatBool(ev.Cold))
	}
}

// recordGeneration records an event of a generation. The caller must hold e.mu.
func (e *Engine) recordGeneration(name string, g *generation) {
	ev := e.event(name)
	ev.RequestID, ev.GenerationID, ev.Priority, ev.Tokens = g.request, g.id, g.priority, g.produced
	e.record(ev)
}
