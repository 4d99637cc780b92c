package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is an engine as the platform's pages describe it. What it does beyond that is set by
// the hooks of a case.
type engine struct {
	id, service, zone string
	hubs              []string
	fleet             *fleet
	// note records what the engine does.
	note func(format string, args ...any)
	// plainWork is the time in which half of a plain answer is made.
	plainWork time.Duration
	// unframed reports whether the answer to a request has no length and ends with its
	// connection.
	unframed func(path string) bool
	// onRun, if set, is called with the id of each plain request that runs.
	onRun func(id string)
	// refuseConn, if set, is asked for the first request of each connection. The engine resets
	// the connection if it returns true, and does not carry out the request.
	refuseConn func(path string, body []byte) bool
	// loseAnswer, if set, is asked before each event of a stream. The connection is reset once it
	// returns true, and the engine goes on with the run.
	loseAnswer func(id string, event int) bool

	born     int64
	listener net.Listener
	client   *http.Client

	mu       sync.Mutex
	state    string
	sequence int
	runs     map[string]*run
	// requests is the number of requests and orders that have arrived.
	requests int
	closed   bool
}

// run is one run of a stream at an engine.
type run struct {
	events int
	stop   chan struct{}
	// Times of the run; ended is zero while the engine works on it.
	began, ended time.Time
	stopped      bool
}

// fleet holds the copies of the memory of streams by their source and handle.
type fleet struct {
	mu     sync.Mutex
	copies map[string]memoryCopy
	next   int
}

// memoryCopy is a copy of a stream's memory.
type memoryCopy struct {
	request, source, dest string
	events                int
	expires               time.Time
}

// copyTTL is well over handle_ttl_s of the manifest.
const copyTTL = 9 * time.Second

func newFleet() *fleet { return &fleet{copies: map[string]memoryCopy{}} }

// store keeps a copy and returns its handle. A copy of the same request at the same place is
// updated.
func (f *fleet) store(c memoryCopy) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.expires = time.Now().Add(copyTTL)
	for handle, old := range f.copies {
		if old.request == c.request && old.source == c.source && old.dest == c.dest {
			f.copies[handle] = c
			return handle
		}
	}
	f.next++
	handle := "h" + strconv.Itoa(f.next)
	f.copies[handle] = c
	return handle
}

// take returns the copy with a handle and removes it, because a handle can be used once.
func (f *fleet) take(handle string) (memoryCopy, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.copies[handle]
	delete(f.copies, handle)
	return c, ok && time.Now().Before(c.expires)
}

// coldTime is cold_start_s of the model engines in the manifest.
const coldTime = time.Second

// start listens on an address and begins to register.
func (e *engine) start(listen string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	e.listener, e.born, e.state, e.runs = l, time.Now().UnixMilli(), "ready", map[string]*run{}
	e.client = &http.Client{Timeout: time.Second}
	if e.fleet == nil {
		e.fleet = newFleet()
	}
	go e.accept()
	go e.register()
	return nil
}

func (e *engine) address() string { return e.listener.Addr().String() }

// register sends a check-in every heartbeat interval, to another hub after a failure.
func (e *engine) register() {
	for hub := 0; ; {
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		if closed {
			return
		}
		if !e.checkIn(e.hubs[hub]) {
			hub = (hub + 1) % len(e.hubs)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (e *engine) checkIn(hub string) bool {
	e.mu.Lock()
	e.sequence++
	cold := 0
	if e.service == modelService {
		cold = max(0, int(e.born+coldTime.Milliseconds()-time.Now().UnixMilli()))
	}
	body, _ := json.Marshal(map[string]any{"service": e.service, "address": e.address(), "zone": e.zone, "version": "v1", "slots": 24, "state": e.state,
		"cold_remaining_ms": cold, "phase": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": e.sequence, "born": e.born})
	e.mu.Unlock()
	status, err := callHub(e.client, http.MethodPut, "http://"+hub+"/-/instances/"+e.id, body)
	return err == nil && status == http.StatusOK
}

// drain reports that the engine leaves, and returns once a hub has acknowledged it.
func (e *engine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	for i := 0; !e.checkIn(e.hubs[i%len(e.hubs)]); i++ {
		time.Sleep(50 * time.Millisecond)
	}
	e.note("engine %s: a hub acknowledged that it is draining", e.id)
}

func (e *engine) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	_ = e.listener.Close()
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c.(*net.TCPConn))
	}
}

// serveConn answers the requests on a connection one after another.
func (e *engine) serveConn(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.requests++
		e.mu.Unlock()
		if first && e.refuseConn != nil && e.refuseConn(req.URL.Path, body) {
			_ = c.SetLinger(0)
			return
		}
		if !e.serve(c, req, body) {
			return
		}
	}
}

// serve answers one request. It returns false if the connection ends with the answer.
func (e *engine) serve(c *net.TCPConn, r *http.Request, body []byte) bool {
	switch {
	case r.URL.Path == "/-/kv-move":
		return e.serveMove(c, body)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		e.fleet.take(strings.TrimPrefix(r.URL.Path, "/-/kv-handle/"))
		return e.write(c, http.StatusOK, nil, nil)
	case r.URL.Path == "/-/report":
		b, _ := json.Marshal(map[string]any{"phase": "combined", "busy": false, "sequence": 0, "born": e.born, "state": e.currentState()})
		return e.write(c, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, b)
	case r.URL.Path == "/healthz":
		status := http.StatusOK
		if e.currentState() != "ready" {
			status = http.StatusServiceUnavailable
		}
		return e.write(c, status, http.Header{"X-Turmericdrum-Instance-Id": {e.id}}, nil)
	case r.Header.Get("X-Turmericdrum-Expect-Instance") != e.id:
		return e.write(c, http.StatusMisdirectedRequest, http.Header{"X-Turmericdrum-Not-Executed": {"1"}, "X-Turmericdrum-Instance-Id": {e.id}}, nil)
	case r.Header.Get("X-Turmericdrum-Token-Usage") != "":
		return e.serveStream(c, r)
	}
	return e.servePlain(c, r)
}

func (e *engine) currentState() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// write sends an answer with a length. An engine that leaves closes its connections.
func (e *engine) write(c net.Conn, status int, h http.Header, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	leaving := e.currentState() != "ready"
	if leaving {
		b.WriteString("Connection: close\r\n")
	}
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil && !leaving
}

// seal returns the proof of the answer to a request.
func seal(id string) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return fmt.Sprintf("seal-%08x", h.Sum32())
}

// plainBody returns the whole answer to a plain request.
func plainBody(id string) string { return strings.Repeat(id+".", 800/(len(id)+1)+1) }

// servePlain answers a plain request in two halves.
func (e *engine) servePlain(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Turmericdrum-Attempt-Id")
	e.note("engine %s: runs %s", e.id, id)
	if e.onRun != nil {
		e.onRun(id)
	}
	body := plainBody(id)
	h := http.Header{"X-Turmericdrum-Attempt-Id": {id}, "X-Turmericdrum-Response-Seal": {seal(id)}, "Content-Type": {"text/plain"}}
	unframed := e.unframed != nil && e.unframed(r.URL.Path)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	if unframed {
		h.Set("Connection", "close")
	} else {
		h.Set("Content-Length", strconv.Itoa(len(body)))
		h.Set("Keep-Alive", "timeout=5")
	}
	_ = h.Write(&b)
	b.WriteString("\r\n" + body[:len(body)/2])
	time.Sleep(e.plainWork)
	if _, err := c.Write(b.Bytes()); err != nil {
		return false
	}
	time.Sleep(e.plainWork)
	if _, err := io.WriteString(c, body[len(body)/2:]); err != nil {
		return false
	}
	e.note("engine %s: has answered %s whole", e.id, id)
	return !unframed
}

const (
	// tokensPerEvent is the stride of the manifest.
	tokensPerEvent = 4
	eventInterval  = 30 * time.Millisecond
)

// event returns an event of a stream, counted from 1.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// serveStream runs a stream, or goes on with one from a copy of its memory.
func (e *engine) serveStream(c *net.TCPConn, r *http.Request) bool {
	id := r.Header.Get("X-Turmericdrum-Attempt-Id")
	_, most, _ := strings.Cut(r.Header.Get("X-Turmericdrum-Token-Usage"), ",")
	tokens, err := strconv.Atoi(strings.TrimSpace(most))
	if err != nil {
		return e.write(c, http.StatusBadRequest, http.Header{"X-Turmericdrum-Attempt-Id": {id}}, nil)
	}
	from := 0
	if source := r.Header.Get("Kv-From"); source != "" {
		_, handle, _ := strings.Cut(source, "/")
		kept, ok := e.fleet.take(handle)
		if !ok || kept.request != id || kept.dest != e.address() && kept.source != e.address() {
			e.note("engine %s: doesn't go on with %s, it has no copy %s", e.id, id, source)
			return e.write(c, http.StatusServiceUnavailable, http.Header{"X-Turmericdrum-Attempt-Id": {id}, "X-Turmericdrum-Not-Executed": {"1"}}, nil)
		}
		from, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
		e.note("engine %s: goes on with %s after event %d from copy %s", e.id, id, from, source)
	} else {
		e.note("engine %s: runs %s", e.id, id)
	}
	s := &run{events: from, stop: make(chan struct{}), began: time.Now()}
	e.mu.Lock()
	e.runs[id] = s
	e.mu.Unlock()
	defer e.end(s)
	unframed := e.unframed != nil && e.unframed(r.URL.Path)
	framing := "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5"
	if unframed {
		framing = "Connection: close"
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+framing+"\r\nX-Turmericdrum-Attempt-Id: "+id+
		"\r\nX-Turmericdrum-Response-Seal: "+seal(id)+"\r\n\r\n")
	lost := false
	for n := from + 1; n <= tokens/tokensPerEvent; n++ {
		select {
		case <-s.stop:
			e.note("engine %s: stops %s after event %d", e.id, id, n-1)
			return false
		case <-time.After(eventInterval):
		}
		if !lost && e.loseAnswer != nil && e.loseAnswer(id, n) {
			lost = true
			e.note("engine %s: the rest of the answer to %s is lost, its connection is reset after event %d; the run goes on", e.id, id, n-1)
			_ = c.SetLinger(0)
			_ = c.Close()
		}
		text := event(id, n)
		switch {
		case lost:
		case unframed:
			_, _ = io.WriteString(c, text)
		default:
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
		e.mu.Lock()
		s.events = n
		e.mu.Unlock()
	}
	if !lost && !unframed {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	e.note("engine %s: has made all %d events of %s", e.id, tokens/tokensPerEvent, id)
	return !lost && !unframed && e.currentState() == "ready"
}

func (e *engine) end(s *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.ended = time.Now()
}

// allRuns returns copies of the runs by request.
func (e *engine) allRuns() map[string]run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]run, len(e.runs))
	for id, r := range e.runs {
		out[id] = *r
	}
	return out
}

// copyTime is how long the copy of a stream's memory takes.
const copyTime = 20 * time.Millisecond

// serveMove copies the memory of a running stream, and stops the stream first if the order
// says so.
func (e *engine) serveMove(c net.Conn, body []byte) bool {
	var in struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.Unmarshal(body, &in) != nil {
		return e.write(c, http.StatusBadRequest, nil, nil)
	}
	e.mu.Lock()
	s := e.runs[in.ID]
	running := s != nil && s.ended.IsZero()
	if running && in.Last && !s.stopped {
		s.stopped = true
		close(s.stop)
	}
	e.mu.Unlock()
	if !running {
		return e.write(c, http.StatusNotFound, nil, nil)
	}
	time.Sleep(copyTime)
	e.mu.Lock()
	events := s.events
	e.mu.Unlock()
	handle := e.fleet.store(memoryCopy{request: in.ID, source: e.address(), dest: in.To, events: events})
	e.note("engine %s: copied %s to %s, last: %v, handle %s, made %d", e.id, in.ID, in.To, in.Last, handle, events)
	b, _ := json.Marshal(map[string]any{"kv_handle": handle, "made": events})
	return e.write(c, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, b)
}
