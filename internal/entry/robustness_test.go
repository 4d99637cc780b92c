package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against malformed requests that reach an engine, and against refusals without
// a kind or that do not state not_run.
func TestMalformedRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name, path, body string
		kind             serving.Kind
		status           int
	}{
		{"body too large", "/v1/completions", `{"model":"guide","prompt":"` + strings.Repeat("x", 1<<20) + `"}`, serving.KindTooLarge, 413},
		{"no JSON", "/v1/completions", `needle`, serving.KindInvalid, 400},
		{"empty", "/v1/completions", ``, serving.KindInvalid, 400},
		{"null", "/v1/completions", `null`, serving.KindInvalid, 400},
		{"array", "/v1/completions", `[1]`, serving.KindInvalid, 400},
		{"cut JSON", "/v1/completions", `{"model":"guide"`, serving.KindInvalid, 400},
		{"garbage after the object", "/v1/completions", `{"model":"guide"} {}`, serving.KindInvalid, 400},
		{"invalid UTF-8", "/v1/completions", "{\"model\":\"guide\",\"prompt\":\"\xff\"}", serving.KindInvalid, 400},
		{"wrong type", "/v1/completions", `{"model":"guide","max_tokens":"many"}`, serving.KindInvalid, 400},
		{"negative length", "/v1/completions", `{"model":"guide","max_tokens":-1}`, serving.KindInvalid, 400},
		{"deep nesting", "/v1/completions", `{"model":"guide","x":` + strings.Repeat("[", 20000), serving.KindInvalid, 400},
		{"unknown model", "/v1/completions", `{"model":"none"}`, serving.KindUnknownModel, 404},
		{"unknown path", "/v1/none", `{}`, serving.KindNotFound, 404},
	}
	n := newScriptedEngine(t, "engine-1", 3)
	e := newTestEntry(t, n.Engine)
	for _, tt := range tests {
		got := e.do(t, http.MethodPost, tt.path, testKey, nil, tt.body)
		assert.Equal(t, got.err.Error.Kind, tt.kind, tt.name)
		assert.Equal(t, got.status, tt.status, tt.name)
		assert.Equal(t, got.err.Error.Ran, serving.NotRun, tt.name)
		assert.Assert(t, got.err.Error.Remedy != "", tt.name)
	}
	got := e.do(t, http.MethodGet, "/healthz", testKey, map[string]string{"X-Large": strings.Repeat("x", 64<<10)}, "")
	assert.Equal(t, got.status, http.StatusRequestHeaderFieldsTooLarge)
	opened, _, _ := n.count()
	assert.Equal(t, opened, 0)
}

// Guards against a handler's panic that closes the connection without a typed error, or
// that makes a partial response look complete.
func TestPanicReturnsTypedError(t *testing.T) {
	begun := false
	s := httptest.NewServer(recoverPanics(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if begun {
			fmt.Fprint(w, "begun")
			_ = http.NewResponseController(w).Flush()
		}
		panic("fault")
	})))
	defer s.Close()
	res, err := http.Get(s.URL)
	assert.NilError(t, err)
	defer res.Body.Close()
	got := readAll(t, res)
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.err.Error.Kind, serving.KindInternal)
	assert.Equal(t, got.err.Error.Ran, serving.RanUnknown)
	begun = true
	res, err = http.Get(s.URL)
	assert.NilError(t, err)
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// open sends a streaming request on a new connection.
func (e *testEntry) open(t testing.TB) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", e.server.Listener.Addr().String())
	assert.NilError(t, err)
	body := `{"model":"guide","stream":true}`
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	assert.NilError(t, err)
	tcp, _ := c.(*net.TCPConn)
	return tcp
}

// eventually waits up to 5 s until check returns true.
func eventually(t testing.TB, condition string, check func() bool) {
	t.Helper()
	for range 500 {
		if check() {
			return
		}
		time.Sleep(10 * time.Millisecond) // Sockets have no virtual clock.
	}
	t.Fatal("not within 5 s: " + condition)
}

// Guards against a caller that stops reading and thereby blocks a stream for ever.
func TestSlowReaderIsDisconnected(t *testing.T) {
	n := newScriptedEngine(t, "engine-1", 1<<20, func(o *scriptedStream) {
		for i := 0; i < 1<<20 && o.r.Context().Err() == nil; i++ {
			o.frames(i)
		}
	})
	e := newTestEntry(t, n.Engine)
	e.Settings.Entry.WriteTimeout.Duration = 200 * time.Millisecond
	c := e.open(t)
	defer c.Close()
	assert.NilError(t, c.SetReadBuffer(4096))
	eventually(t, "slow reader is counted", func() bool { return e.metrics.outcomes.Get("slow_reader") != nil })
	eventually(t, "nothing in flight", func() bool { return e.metrics.inFlight.Value() == 0 })
}

func openFiles() int {
	entries, _ := os.ReadDir("/proc/self/fd")
	return len(entries)
}

// Guards against goroutines and file descriptors that outlive their calls. Streams end
// normally or break off, the engine loses the generation, or the caller disconnects.
func TestNoLeakedGoroutinesOrFiles(t *testing.T) {
	defer func() {
		if t.Failed() {
			stacks := make([]byte, 1<<20)
			t.Logf("goroutines:\n%s", stacks[:runtime.Stack(stacks, true)])
		}
	}()
	cut := func(o *scriptedStream) { o.sendUpTo(3); o.abort() }
	n := newScriptedEngine(t, "engine-1", 50)
	e := newTestEntry(t, n.Engine)
	round := func() {
		n.mu.Lock()
		n.opened, n.script = 0, []func(*scriptedStream){(*scriptedStream).sendAll, cut, (*scriptedStream).sendAll, cut, (*scriptedStream).notFound, (*scriptedStream).blockUntilClosed, (*scriptedStream).blockUntilClosed}
		n.mu.Unlock()
		for range 3 {
			e.stream(t)
		}
		disconnected := e.open(t)
		halfClosed := e.open(t)
		eventually(t, "streams are open", func() bool { opened, _, _ := n.count(); return opened == 7 })
		_ = disconnected.Close()
		assert.NilError(t, halfClosed.CloseWrite())
		assert.NilError(t, halfClosed.SetReadDeadline(time.Now().Add(3*time.Second)))
		_, err := io.ReadAll(halfClosed)
		assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded))
		_ = halfClosed.Close()
		ctx, stop := context.WithTimeout(context.Background(), 10*time.Millisecond)
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL+"/v1/completions", io.LimitReader(neverEnding{}, 1<<30))
		if res, err := http.DefaultClient.Do(r); err == nil {
			res.Body.Close()
		}
		stop()
	}
	countWhenIdle := func() (goroutines, files int) {
		eventually(t, "nothing in flight", func() bool { return e.metrics.inFlight.Value() == 0 })
		e.background.Wait()
		e.upstream.CloseIdleConnections()
		http.DefaultClient.CloseIdleConnections()
		time.Sleep(50 * time.Millisecond) // The goroutines of closed connections end in this time.
		return runtime.NumGoroutine(), openFiles()
	}
	round()
	goroutines, files := countWhenIdle()
	for range 5 {
		round()
	}
	eventually(t, "no more goroutines and files than before", func() bool {
		g, f := countWhenIdle()
		return g <= goroutines && f <= files
	})
}

type neverEnding struct{}

func (neverEnding) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	b[0] = ' '
	return 1, nil
}
