package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["6"] = crashBehindSlowReader }

// Figures of the case. The streams are of the longest kind on the sheets, with 559 events of an
// event for each 28 ms, which is a step of 7 ms for each of its four tokens.
const (
	promptTokens = 3079
	longEvents   = 559
	eventStep    = 28 * time.Millisecond
	// eventPadding makes events as long as those of engines whose events are JSON objects.
	eventPadding = 960
	// slowRead and slowPause are how a client reads: some bytes, and then a pause.
	slowRead  = 1000
	slowPause = 50 * time.Millisecond
	// modelEngines is the number of engines, of which one crashes: a share of 0.167.
	modelEngines = 6
	slowClients  = 8
	// crashAfter is the time from the request to the crash, crashTime how long the engine is down.
	crashAfter = 11 * time.Second
	crashTime  = 4500 * time.Millisecond
)

// crashBehindSlowReader lets an engine crash whose answers end with their connections, while
// clients read them slowly, and come back.
func crashBehindSlowReader(t *trial) ([]string, error) {
	t.limits = map[string]any{"cpu_share": 0.192, "cores": 1, "memory_mb": 112, "max_fds": 4100, "link_mbps": 10.0, "disk_mb": 0}
	if err := t.startAll(manifest(7)); err != nil {
		return nil, err
	}
	f := &crashFleet{trial: t}
	for i := range modelEngines {
		if err := f.start(i, fmt.Sprintf("i-7f3a91%02x", i)); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	results := make([]slowResult, slowClients)
	for i := range results {
		wg.Go(func() { results[i] = readSlowly(t.record, t.frontend(0)) })
	}
	time.Sleep(crashAfter)
	if t.trouble {
		if err := f.crashOne(); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	var broken []string
	for _, r := range results {
		t.note("client: %s: status %d, sealed %v, last event %d of %d, ended as complete: %v, %v", r.id, r.status, r.sealed, r.last, longEvents, r.complete, r.err)
		if r.status == http.StatusOK && r.complete && r.last < longEvents {
			broken = append(broken, fmt.Sprintf("the stream of %s ended as complete after event %d of %d", r.id, r.last, longEvents))
		}
		if r.status != http.StatusOK {
			return nil, fmt.Errorf("a request was not served: status %d, %w", r.status, r.err)
		}
	}
	return broken, nil
}

// crashFleet is the engines of the model service.
type crashFleet struct {
	*trial
	running [modelEngines]*engine
}

// start starts the engine with a number, under an id.
func (f *crashFleet) start(i int, id string) error {
	e, err := f.startAs(id, i, modelService, zones[0])
	if err != nil {
		return err
	}
	e.unframed, e.step, e.padding = true, eventStep, eventPadding
	e.start()
	f.running[i] = e
	return nil
}

// crashOne lets the engine with the most streams crash, and starts it again at its address, as a
// new boot with a new id.
func (f *crashFleet) crashOne() error {
	victim, most := 0, 0
	for i, e := range f.running {
		e.mu.Lock()
		if n := e.streams; n > most {
			victim, most = i, n
		}
		e.mu.Unlock()
	}
	f.running[victim].stop()
	f.note("engine %s has crashed with %d streams", f.running[victim].id, most)
	time.Sleep(crashTime)
	if err := f.start(victim, "i-7f3a92c3"); err != nil {
		return err
	}
	f.note("engine i-7f3a92c3 has started at the same address")
	return nil
}

type slowResult struct {
	id       string
	status   int
	sealed   bool
	last     int
	complete bool
	err      error
}

// readSlowly sends a streaming request and reads the answer slowly.
func readSlowly(r *record, address string) (out slowResult) {
	out.id = newID()
	r.note("client: %s POST %s for %d events", out.id, streamPath, longEvents)
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		out.err = err
		return out
	}
	defer conn.Close()
	const body = `{"prompt":"p"}`
	_, out.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Turmericdrum-Attempt-Id: %s\r\nX-Turmericdrum-Deadline-Ms: 39000\r\nAuthorization: Bearer %s\r\n"+
		"X-Turmericdrum-Model: m\r\nX-Turmericdrum-Token-Usage: %d,%d\r\nX-Turmericdrum-Length-Hint: %d\r\nContent-Length: %d\r\n\r\n%s",
		streamPath, hostName, out.id, apiKey, promptTokens, longEvents*4, longEvents*4, len(body), body)
	if out.err != nil {
		return out
	}
	_ = conn.SetDeadline(time.Now().Add(39 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(&slowReader{conn}), &http.Request{Method: http.MethodPost})
	if err != nil {
		out.err = err
		return out
	}
	defer res.Body.Close()
	out.status, out.sealed = res.StatusCode, res.Header.Get("X-Turmericdrum-Response-Seal") == seal(out.id)
	lines := bufio.NewReader(res.Body)
	for {
		text, err := lines.ReadString('\n')
		if id, ok := strings.CutPrefix(text, "id: "); ok && err == nil {
			out.last, _ = strconv.Atoi(strings.TrimSpace(id))
		}
		if err != nil {
			// An answer with chunks ends with io.EOF only if its last chunk has come.
			out.complete = err == io.EOF
			out.err = err
			return out
		}
	}
}

// slowReader reads a few bytes at a time.
type slowReader struct{ r io.Reader }

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	return s.r.Read(p[:min(len(p), slowRead)])
}
