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
	"strings"
	"sync"
	"time"
)

// engineHost is the number of the first host that is an engine.
const engineHost = 100

// engine is an engine. It serves one request at a time on a connection.
type engine struct {
	*record
	d       *deployment
	id      string
	service string
	zone    string
	address string
	born    int64
	slots   int
	// work is the time that a plain request takes, step the time between two events of a stream.
	work, step time.Duration
	// padding is the number of bytes that are added to each event. With unframed, answers to
	// streaming requests have no length and end with their connection.
	padding  int
	unframed bool
	// orderWork, if not 0, is the time that an order takes, and onOrder, if set, is called with
	// the id of each that has run to its end.
	orderWork time.Duration
	onOrder   func(id string)

	listener net.Listener
	ended    chan struct{}
	once     sync.Once

	mu sync.Mutex
	// streams counts the streams in progress.
	streams int
	conns   map[net.Conn]bool
}

// engineConn is a connection to an engine.
type engineConn struct {
	net.Conn
	reader *bufio.Reader
}

// reply is an answer with a length.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (a *reply) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	_ = a.header.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
	b.Write(a.body)
	return b.Bytes()
}

// newEngine returns an engine that listens on the address of a host. Its start method starts it.
func (d *deployment) newEngine(number int, service, zone string) (*engine, error) {
	return d.startAs(fmt.Sprintf("i-%08x", 0x7f3a91c0+number), number, service, zone)
}

// startAs is newEngine with an id.
func (d *deployment) startAs(id string, number int, service, zone string) (*engine, error) {
	e := &engine{record: d.record, d: d, id: id, service: service, zone: zone, address: d.address(engineHost+number, enginePort),
		born: time.Now().UnixMilli(), slots: 24, work: 20 * time.Millisecond, step: 40 * time.Millisecond, conns: map[net.Conn]bool{},
		ended: make(chan struct{})}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	e.listener = l
	d.mu.Lock()
	d.engines = append(d.engines, e)
	d.mu.Unlock()
	return e, nil
}

// start serves and checks in. The fields that vary are set before.
func (e *engine) start() {
	go e.accept()
	go e.checkIn()
}

// stop ends the engine at once.
func (e *engine) stop() {
	e.once.Do(func() {
		close(e.ended)
		_ = e.listener.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for c := range e.conns {
			_ = c.Close()
		}
	})
}

// checkIn sends a check-in at each interval, to the next hub after a failure.
func (e *engine) checkIn() {
	hub, sequence := 0, 0
	for {
		sequence++
		in := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "cold_remaining_ms": 0,
			"sequence": sequence, "born": e.born}
		if e.service == modelService {
			in["phase"], in["models"] = "combined", []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
		}
		b, _ := json.Marshal(in)
		status, _, err := e.d.call(hub, http.MethodPut, "/-/instances/"+e.id, b)
		wait := 1200 * time.Millisecond
		if err != nil || status/100 != 2 {
			hub, wait = (hub+1)%e.d.hubs, 50*time.Millisecond
		}
		select {
		case <-e.ended:
			return
		case <-time.After(wait):
		}
	}
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serveConn(&engineConn{Conn: c, reader: bufio.NewReader(c)})
	}
}

func (e *engine) serveConn(c *engineConn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c.Conn)
		e.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !e.serve(c, r) {
			return
		}
	}
}

// serve answers one request. It returns false if the connection is to be closed.
func (e *engine) serve(c *engineConn, r *http.Request) bool {
	id := r.Header.Get("X-Turmericdrum-Attempt-Id")
	switch {
	case r.URL.Path == "/-/report":
		b, _ := json.Marshal(map[string]any{"phase": "combined", "models": []any{}, "busy": false, "born": e.born})
		return e.send(c, &reply{status: http.StatusOK, header: http.Header{"Content-Type": {"application/json"}}, body: b})
	case r.URL.Path == "/healthz":
		return e.send(c, &reply{status: http.StatusOK, header: http.Header{"X-Turmericdrum-Instance-Id": {e.id}}})
	case strings.HasPrefix(r.URL.Path, "/-/"):
		return e.send(c, &reply{status: http.StatusNotFound, header: http.Header{}})
	case r.Header.Get("X-Turmericdrum-Expect-Instance") != e.id:
		return e.send(c, &reply{status: http.StatusMisdirectedRequest, header: http.Header{"X-Turmericdrum-Attempt-Id": {id}, "X-Turmericdrum-Not-Executed": {"1"}}})
	case e.service == modelService:
		return e.runStream(c, id, outputEvents(r))
	}
	work := e.work
	if r.Method == http.MethodPost && e.orderWork > 0 {
		work = e.orderWork
	}
	e.note("engine %s runs %s", e.id, id)
	select {
	case <-e.ended:
		return false
	case <-time.After(work):
	}
	e.note("engine %s has run %s to its end", e.id, id)
	if r.Method == http.MethodPost && e.onOrder != nil {
		e.onOrder(id)
	}
	return e.send(c, answerTo(id))
}

// answerTo returns the answer of an engine to a plain request.
func answerTo(id string) *reply {
	return &reply{status: http.StatusOK, header: http.Header{"X-Turmericdrum-Attempt-Id": {id}, "X-Turmericdrum-Response-Seal": {seal(id)}},
		body: []byte("answer to " + id + strings.Repeat(".", 780))}
}

func seal(id string) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return fmt.Sprintf("3e1b.07.%08x", h.Sum32())
}

func (e *engine) send(c *engineConn, a *reply) bool {
	_, err := c.Write(a.encode())
	return err == nil
}

// event returns an event of a stream.
func (e *engine) event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d%s\n\n", n, id, n, strings.Repeat(" ", e.padding))
}

// outputEvents returns the number of events that a request asks for.
func outputEvents(r *http.Request) int {
	var in, out int
	_, _ = fmt.Sscanf(r.Header.Get("X-Turmericdrum-Token-Usage"), "%d,%d", &in, &out)
	return out / 4
}

// runStream answers a streaming request.
func (e *engine) runStream(c *engineConn, id string, total int) bool {
	e.mu.Lock()
	e.streams++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.streams--
	}()
	e.note("engine %s runs %s", e.id, id)
	framing, end := "Transfer-Encoding: chunked", "0\r\n\r\n"
	if e.unframed {
		framing, end = "Connection: close", ""
	}
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Turmericdrum-Attempt-Id: %s\r\nX-Turmericdrum-Response-Seal: %s\r\nContent-Type: text/event-stream\r\n%s\r\n\r\n",
		id, seal(id), framing)
	if _, err := io.WriteString(c, header); err != nil {
		return false
	}
	for n := 1; n <= total; n++ {
		select {
		case <-e.ended:
			e.note("engine %s has made %d events of %s", e.id, n-1, id)
			return false
		case <-time.After(e.step):
		}
		text := e.event(id, n)
		if !e.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			e.note("engine %s: the connection of %s has ended after event %d", e.id, id, n-1)
			return false
		}
	}
	e.note("engine %s has run %s to its end", e.id, id)
	_, err := io.WriteString(c, end)
	return err == nil && !e.unframed
}
