package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineConfig describes a stand-in engine.
type engineConfig struct {
	ID, Service, Zone string
	// Address is where the engine listens, and Advertised what its check-ins name; empty
	// means Address.
	Address, Advertised string
	Slots               int
	Hubs                []string
	Trouble             bool
	// EventMS is the time to make an event and WorkMS that of a plain answer, in milliseconds.
	EventMS, WorkMS int
	// Muted keeps check-ins back until the command "unmute".
	Muted bool
	// FirstMS is the time to the first event of a stream in milliseconds, in addition to
	// EventMS. The header of the answer is sent at once.
	FirstMS int
	// Unframed makes streams end with their connection.
	Unframed bool
	// KeepsRunning makes the engine go on with a run whose connection has ended.
	KeepsRunning bool
	// BrokenOff makes a share of the answers break off with a reset, for garbleTime from the
	// command "garble" on, if there is trouble. The stand-in takes streams of which it has made a copy for this.
	BrokenOff float64
	// Spoiled makes a share of the plain answers, by turns, say that they are encoded or lack
	// their seal, for garbleTime from the command "garble" on, if there is trouble.
	Spoiled float64
}

// report is a line that an engine writes for the driver.
type report struct {
	Event  string `json:"event"`
	Engine string `json:"engine"`
	ID     string `json:"id,omitempty"`
	Made   int    `json:"made,omitempty"`
	Detail string `json:"detail,omitempty"`
	// AtMS is the time in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
}

// engine is a stand-in engine. It keeps to PROTOCOL.md, except for the faults in its
// configuration.
type engine struct {
	engineConfig
	bornMS int64

	mu       sync.Mutex
	sequence int
	draining bool
	// garbleUntil is the end of the time in which answers may be spoiled or broken off.
	garbleUntil time.Time
	// slow is the factor by which runs that begin now take longer, 0 if they don't.
	slow int
	runs map[string]*run
	// copies holds the memory that this engine keeps for others, and for runs that it has
	// stopped, by ADDRESS/HANDLE.
	copies map[string]*memory
	// copyMu makes copies wait for each other.
	copyMu sync.Mutex
	// answers, spoiled and brokenOff count the answers since the command "garble", and those
	// with a fault.
	answers, spoiled, brokenOff int
}

// run is a stream in progress.
type run struct {
	// prompt is the length of the prompt in tokens, and made the number of events.
	prompt, made int
	handle       string
	// copied is the number of tokens in the copy.
	copied  int
	stop    chan struct{}
	stopped bool
}

// memory is a copy of a run's memory.
type memory struct {
	Of   string `json:"of"`
	Made int    `json:"made"`
}

// copyInPath takes a copy from another stand-in; how engines copy isn't part of the protocol.
const copyInPath = "/-/stand-in-copy"

// tokensPerEvent is the number of tokens in an event. A copy takes the time of its new tokens
// on the sheet's link, with 327,680 bytes for each token at 47 Gbit/s.
const (
	tokensPerEvent = 4
	copySetup      = 210 * time.Microsecond
	copyPerToken   = 327_680 * 8 * time.Second / 47_000_000_000
)

func runEngineProcess(config string) {
	e := &engine{bornMS: time.Now().UnixMilli(), runs: map[string]*run{}, copies: map[string]*memory{}}
	if err := json.Unmarshal([]byte(config), &e.engineConfig); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	e.report(report{Event: "listens", Detail: e.Address})
	go e.sendCheckIns()
	go e.accept(l)
	for s := bufio.NewScanner(os.Stdin); s.Scan(); {
		e.mu.Lock()
		switch s.Text() {
		case "drain":
			e.draining = true
		case "garble":
			e.garbleUntil, e.answers = time.Now().Add(garbleTime), 0
		case "slow":
			e.slow = 4
		case "end slow":
			e.slow = 0
		case "mute":
			e.Muted = true
		case "unmute":
			e.Muted = false
		}
		e.mu.Unlock()
		e.checkIn()
	}
	// The driver has ended.
	os.Exit(0)
}

// stdoutMu makes the lines of an engine whole.
var stdoutMu sync.Mutex

func (e *engine) report(r report) {
	r.Engine, r.AtMS = e.ID, time.Now().UnixMilli()
	b, err := json.Marshal(r)
	if err != nil {
		return
	}
	stdoutMu.Lock()
	defer stdoutMu.Unlock()
	_, _ = os.Stdout.Write(append(b, '\n'))
}

func (e *engine) advertised() string {
	if e.Advertised != "" {
		return e.Advertised
	}
	return e.Address
}

func (e *engine) sendCheckIns() {
	for {
		e.checkIn()
		time.Sleep(heartbeatInterval)
	}
}

// checkIn sends a check-in to one hub after the other until one acknowledges it.
func (e *engine) checkIn() {
	e.mu.Lock()
	if e.Muted {
		e.mu.Unlock()
		return
	}
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{"service": e.Service, "address": e.advertised(), "zone": e.Zone, "version": "v1", "slots": e.Slots,
		"state": state, "cold_remaining_ms": 0, "phase": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": e.sequence, "born": e.bornMS})
	e.mu.Unlock()
	if err != nil {
		return
	}
	client := &http.Client{Timeout: time.Second}
	for i := range e.Hubs {
		r, err := http.NewRequest(http.MethodPut, "http://"+e.Hubs[(int(e.bornMS)+i)%len(e.Hubs)]+"/-/instances/"+e.ID, bytes.NewReader(body))
		if err != nil {
			return
		}
		res, err := client.Do(r)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode/100 == 2 {
			if state != "ready" {
				e.report(report{Event: "drain acknowledged"})
			}
			return
		}
	}
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(&engineConn{Conn: c, reader: bufio.NewReader(c)})
	}
}

// engineConn is a connection to an engine.
type engineConn struct {
	net.Conn
	reader *bufio.Reader
}

// serveConn answers one request after the other until the connection ends.
func (e *engine) serveConn(c *engineConn) {
	defer c.Close()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !e.serve(c, r, body) {
			return
		}
	}
}

// serve answers one request. It returns false if the connection ends with the answer.
func (e *engine) serve(c *engineConn, r *http.Request, body []byte) bool {
	if r.URL.Path != copyInPath {
		e.mu.Lock()
		e.answers++
		e.mu.Unlock()
	}
	id := r.Header.Get("X-Turmericdrum-Attempt-Id")
	switch {
	case r.URL.Path == "/healthz":
		return e.answer(c, http.StatusOK, "", map[string]string{"X-Turmericdrum-Instance-Id": e.ID}, nil)
	case r.URL.Path == "/-/kv-move":
		return e.serveMove(c, body)
	case r.URL.Path == copyInPath:
		return e.takeCopy(c, body)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		return e.answer(c, http.StatusOK, "", nil, nil)
	case strings.HasPrefix(r.URL.Path, "/-/"):
		return e.answer(c, http.StatusNotFound, "", nil, nil)
	case r.Header.Get("X-Turmericdrum-Expect-Instance") != e.ID && r.Header.Get("X-Turmericdrum-Expect-Instance") != "":
		return e.answer(c, http.StatusMisdirectedRequest, id, map[string]string{"X-Turmericdrum-Not-Executed": "1"}, nil)
	case r.Header.Get("X-Turmericdrum-Token-Usage") != "":
		return e.serveStream(c, r, id, body)
	}
	return e.servePlain(c, r, id)
}

// seal returns the engine's seal of its answer to a request.
func seal(id string) string { return "3e1b.07.5a2.600.0." + id }

// answerBody returns the body of a plain answer of a size.
func answerBody(id string, size int) []byte {
	return bytes.Repeat([]byte(id+"."), size/(len(id)+1)+1)[:size]
}

func (e *engine) answer(c *engineConn, status int, id string, header map[string]string, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "X-Turmericdrum-Attempt-Id: %s\r\n", id)
	}
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	e.mu.Lock()
	closes := e.draining
	e.mu.Unlock()
	if closes {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil && !closes
}

// servePlain answers a plain request. The query names the size of the answer.
func (e *engine) servePlain(c *engineConn, r *http.Request, id string) bool {
	e.report(report{Event: "runs", ID: id})
	time.Sleep(time.Duration(e.WorkMS) * time.Millisecond)
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil {
		size = 800
	}
	header := map[string]string{"X-Turmericdrum-Response-Seal": seal(id)}
	e.mu.Lock()
	if e.garbles() && float64(e.spoiled+1) <= e.Spoiled*float64(e.answers) && rand.IntN(4) == 0 {
		e.spoiled++
		what := "encoded"
		if e.spoiled%2 == 0 {
			what = "no seal"
			delete(header, "X-Turmericdrum-Response-Seal")
		} else {
			header["Content-Encoding"] = "gzip"
		}
		e.report(report{Event: "spoiled", ID: id, Detail: fmt.Sprintf("%s, %d bytes; %d of %d answers so far", what, size, e.spoiled, e.answers)})
	}
	e.mu.Unlock()
	return e.answer(c, http.StatusOK, id, header, answerBody(id, size))
}

// event returns the n-th event of a stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// serveStream answers with events. The body names their number.
func (e *engine) serveStream(c *engineConn, r *http.Request, id string, body []byte) bool {
	var in struct {
		Events int `json:"events"`
	}
	if json.Unmarshal(body, &in) != nil {
		return e.answer(c, http.StatusBadRequest, id, map[string]string{"X-Turmericdrum-Not-Executed": "1"}, nil)
	}
	s := &run{stop: make(chan struct{})}
	if _, err := fmt.Sscanf(r.Header.Get("X-Turmericdrum-Token-Usage"), "%d,", &s.prompt); err != nil {
		return e.answer(c, http.StatusBadRequest, id, map[string]string{"X-Turmericdrum-Not-Executed": "1"}, nil)
	}
	if from := r.Header.Get("Kv-From"); from != "" {
		e.mu.Lock()
		m := e.copies[from]
		delete(e.copies, from)
		e.mu.Unlock()
		if m == nil {
			e.report(report{Event: "copy refused", ID: id, Detail: from})
			return e.answer(c, http.StatusServiceUnavailable, id, map[string]string{"X-Turmericdrum-Not-Executed": "1"}, nil)
		}
		s.made, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
		e.report(report{Event: "goes on", ID: id, Made: s.made, Detail: "from " + from + ", a copy of " + m.Of})
	} else {
		e.report(report{Event: "runs", ID: id})
	}
	e.mu.Lock()
	e.runs[id] = s
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[id] == s {
			delete(e.runs, id)
		}
	}()
	framing := "Transfer-Encoding: chunked\r\n"
	if e.Unframed {
		framing = "Connection: close\r\n"
	}
	head := "HTTP/1.1 200 OK\r\nX-Turmericdrum-Attempt-Id: " + id + "\r\nX-Turmericdrum-Response-Seal: " + seal(id) + "\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n"
	if _, err := c.Write([]byte(head)); err != nil {
		return false
	}
	e.mu.Lock()
	slow := max(1, e.slow)
	e.mu.Unlock()
	time.Sleep(time.Duration(slow*e.FirstMS) * time.Millisecond)
	connected, reportedAt := true, time.Time{}
	for n := s.made + 1; n <= in.Events; n++ {
		select {
		case <-s.stop:
			e.report(report{Event: "stopped", ID: id, Made: n - 1})
			return false
		case <-time.After(time.Duration(e.EventMS) * time.Millisecond):
		}
		if connected && e.breaksOff(c, id, s) {
			connected = false
		}
		piece := event(id, n)
		if !e.Unframed {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if connected {
			if _, err := c.Write([]byte(piece)); err != nil {
				connected = false
			}
		}
		if !connected && !e.KeepsRunning {
			e.report(report{Event: "caller left", ID: id, Made: n - 1})
			return false
		}
		e.mu.Lock()
		s.made = n
		e.mu.Unlock()
		if !connected && time.Since(reportedAt) > 100*time.Millisecond {
			reportedAt = time.Now()
			e.report(report{Event: "works on", ID: id, Made: n})
		}
	}
	e.report(report{Event: "ends", ID: id, Made: in.Events})
	if e.Unframed {
		return false
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// garbleTime is the default for_s of garble in the bench.
const garbleTime = 5 * time.Second

// garbles reports whether answers may have a fault now. The caller holds mu.
func (e *engine) garbles() bool { return e.Trouble && time.Now().Before(e.garbleUntil) }

// breaksOff ends the connection of a stream with a reset if the fault is due.
func (e *engine) breaksOff(c *engineConn, id string, s *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.garbles() || s.handle == "" || float64(e.brokenOff+1) > e.BrokenOff*float64(e.answers) {
		return false
	}
	e.brokenOff++
	e.report(report{Event: "breaks off", ID: id, Made: s.made, Detail: fmt.Sprintf("%d of %d answers so far", e.brokenOff, e.answers)})
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
	return true
}

// serveMove copies the memory of a run to another engine, and stops the run first if the
// call says so. The stand-in makes at most one copy of a run.
func (e *engine) serveMove(c *engineConn, body []byte) bool {
	var in struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.Unmarshal(body, &in) != nil {
		return e.answer(c, http.StatusBadRequest, "", nil, nil)
	}
	e.mu.Lock()
	s := e.runs[in.ID]
	if s == nil || s.stopped {
		e.mu.Unlock()
		return e.answer(c, http.StatusNotFound, "", nil, nil)
	}
	handle := s.handle
	if handle == "" {
		handle = strconv.FormatUint(rand.Uint64(), 16)
	}
	if in.Last {
		s.stopped = true
		close(s.stop)
	}
	m := memory{Of: in.ID, Made: s.made}
	tokens := s.prompt + s.made*tokensPerEvent
	fresh := tokens - s.copied
	s.copied = tokens
	e.mu.Unlock()
	e.copyMu.Lock()
	time.Sleep(copySetup + time.Duration(fresh)*copyPerToken)
	e.copyMu.Unlock()
	if !sendCopy(in.To, e.Address+"/"+handle, m) {
		return e.answer(c, http.StatusServiceUnavailable, "", nil, nil)
	}
	e.report(report{Event: "copied", ID: in.ID, Made: m.Made, Detail: fmt.Sprintf("to %s last=%t handle %s", in.To, in.Last, handle)})
	out, err := json.Marshal(map[string]any{"kv_handle": handle, "made": m.Made})
	if err != nil {
		return false
	}
	kept := e.answer(c, http.StatusOK, "", map[string]string{"Content-Type": "application/json"}, out)
	e.mu.Lock()
	s.handle = handle
	e.mu.Unlock()
	return kept
}

// sendCopy gives another stand-in a copy of a run's memory.
func sendCopy(to, key string, m memory) bool {
	body, err := json.Marshal(map[string]any{"key": key, "memory": m})
	if err != nil {
		return false
	}
	res, err := http.Post("http://"+to+copyInPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (e *engine) takeCopy(c *engineConn, body []byte) bool {
	var in struct {
		Key    string  `json:"key"`
		Memory *memory `json:"memory"`
	}
	if json.Unmarshal(body, &in) != nil || in.Memory == nil {
		return e.answer(c, http.StatusBadRequest, "", nil, nil)
	}
	e.mu.Lock()
	e.copies[in.Key] = in.Memory
	e.mu.Unlock()
	return e.answer(c, http.StatusOK, "", nil, nil)
}
