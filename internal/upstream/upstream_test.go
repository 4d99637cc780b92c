package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// dialect decodes the header fields that these tests use.
type dialect struct{}

func (dialect) DecodeAnswer(status int, h http.Header) serving.Answer {
	return serving.Answer{Status: status, RequestID: serving.RequestID(h.Get("Id")), NotRun: h.Get("Not-Run") != ""}
}

// serveAnswers starts a server that answers the requests of each connection with the
// given bytes, one element of answers per request. If reset is set, it ends each
// connection with a reset. It returns the server's address.
func serveAnswers(t *testing.T, reset bool, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for _, a := range answers {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, a)
				}
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newPool() *upstream.Pool {
	return &upstream.Pool{Dialect: dialect{}, Clock: serving.NewMonotonicClock()}
}

func send(t *testing.T, p *upstream.Pool, address, id string) (*upstream.Exchange, string, error) {
	t.Helper()
	x, err := p.Send(t.Context(), upstream.Request{Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b"), MaxIdleConns: 2,
		ID: serving.RequestID(id), MaxIdleTime: time.Second})
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(x.Body)
	x.Close(err == nil)
	return x, string(b), err
}

// testTimeout bounds waits that are short on an idle machine.
const testTimeout = 20 * time.Second

// one and two are answers to the calls with the ids 1 and 2. unframed answers call 1
// with neither a length nor chunks.
const (
	one      = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"
	two      = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo"
	unframed = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nno length"
)

// Guards against a truncated answer, or an answer to another call, that is returned as
// the complete answer to this call.
func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		reset   bool
		answers []string
		body    string
		ran     serving.Ran
		wantErr bool
	}{
		{name: "complete", answers: []string{one}, body: "one"},
		{name: "an answer to another call comes first", answers: []string{two + one}, body: "one"},
		{name: "an interim answer comes first", answers: []string{"HTTP/1.1 100 Continue\r\n\r\n" + one}, body: "one"},
		{name: "only answers to other calls", answers: []string{two + two + two}, ran: serving.RanUnknown},
		{name: "no answer", answers: []string{""}, ran: serving.RanUnknown},
		{name: "bytes that are not an HTTP answer", answers: []string{"\x00\x01garbage\r\n\r\n"}, ran: serving.RanUnknown},
		{name: "truncated body", answers: []string{one[:len(one)-1]}, body: "on", wantErr: true},
		{name: "truncated chunked body", answers: []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n"}, body: "one", wantErr: true},
		{name: "no length, ended", answers: []string{unframed}, body: "no length"},
		{name: "no length, reset", reset: true, answers: []string{unframed}, wantErr: true},
		{name: "a refusal without the id", answers: []string{"HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, body, err := send(t, newPool(), serveAnswers(t, tc.reset, tc.answers...), "1")
			switch {
			case tc.ran != "":
				assert.Equal(t, serving.AsError(err).Ran, tc.ran)
			case tc.wantErr:
				assert.Assert(t, err != nil, "the answer looks complete: %q", body)
			default:
				assert.NilError(t, err)
				assert.Equal(t, body, tc.body)
			}
		})
	}
}

// Guards against an engine that sends bytes without end which never become an answer, and
// so fill the memory of the entry or occupy it until the call's deadline.
func TestEndlessHeader(t *testing.T) {
	const maxSent = 4 << 20
	for _, tc := range []struct{ name, begin, repeated string }{
		{"no line end", "", strings.Repeat("x", 1024)},
		{"in the status line", "HTTP/1.1 200 ", strings.Repeat("x", 1024)},
		{"in a field", "HTTP/1.1 200 OK\r\nId: ", strings.Repeat("x", 1024)},
		{"fields", "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			sent := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				total, _ := io.WriteString(c, tc.begin)
				for err == nil && total < maxSent {
					var n int
					n, err = io.WriteString(c, tc.repeated)
					total += n
				}
				sent <- total
			}()
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, err = newPool().Send(ctx, upstream.Request{Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "1"})
			assert.Equal(t, serving.AsError(err).Ran, serving.RanUnknown)
			assert.NilError(t, ctx.Err())
			assert.Assert(t, <-sent < maxSent, "the connection was read until the engine stopped")
		})
	}
}

// Guards against a late or repeated answer that is taken for the answer to the next call
// on the same connection.
func TestConnectionReuse(t *testing.T) {
	for _, tc := range []struct {
		name   string
		first  string
		reused bool
	}{
		{"after a complete answer", one, true},
		{"not with bytes behind the answer", one + two, false},
		{"not when the engine closes", "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\none", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool()
			address := serveAnswers(t, false, tc.first, one)
			_, _, err := send(t, p, address, "1")
			assert.NilError(t, err)
			x, _, err := send(t, p, address, "1")
			assert.NilError(t, err)
			assert.Equal(t, x.Reused, tc.reused)
		})
	}
}

// Guards against an earlier refusal that an engine sends once more on a kept connection, and
// that is taken for the refusal of a call that runs.
func TestRepeatedRefusal(t *testing.T) {
	const (
		refusal       = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		refusalOfCall = "HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	)
	for _, tc := range []struct {
		name              string
		first, second     string
		firstID, secondID string
		// status is the status of the second answer, 0 if it must not be known whether the
		// second call ran.
		status int
	}{
		{"without an id", one, refusal + two, "1", "2", 0},
		{"with the id of an earlier call", refusalOfCall, refusalOfCall + two, "1", "2", http.StatusOK},
		{"of the same call, which is sent again", refusalOfCall, refusalOfCall + one, "1", "1", http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool()
			address := serveAnswers(t, false, tc.first, tc.second)
			_, _, err := send(t, p, address, tc.firstID)
			assert.NilError(t, err)
			x, _, err := send(t, p, address, tc.secondID)
			if tc.status == 0 {
				assert.Assert(t, err != nil)
				assert.Equal(t, serving.AsError(err).Ran, serving.RanUnknown)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, x.Status, tc.status)
			// On a new connection the engine answers with its first answer, which is the
			// refusal of this very call.
			assert.Equal(t, x.Reused, tc.status == http.StatusOK)
		})
	}
}

// Guards against a late answer to a call that is taken for the answer to an engine request,
// which has no id.
func TestEngineRequests(t *testing.T) {
	const accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	late := "HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	x, err := newPool().Send(t.Context(), upstream.Request{Address: serveAnswers(t, false, late+accepted), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, AnswerWithoutID: true})
	assert.NilError(t, err)
	assert.Equal(t, x.Status, http.StatusOK)
	x.Close(false)

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	defer server.Close()
	p := newPool()
	for _, tc := range []struct {
		id     string
		reused bool
	}{{"1", false}, {"", false}, {"", true}, {"2", true}} {
		x, err := p.Send(t.Context(), upstream.Request{Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {tc.id}}, MaxIdleConns: 2,
			ID: serving.RequestID(tc.id), AnswerWithoutID: tc.id == "", MaxIdleTime: time.Second})
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, x.Body)
		x.Close(true)
		assert.Equal(t, x.Reused, tc.reused, tc.id)
	}
}

// Guards against calls that are written to an idle connection that the engine has
// already closed. Such a call fails, and counts as possibly run although it was not.
func TestConnectionClosedWhileIdle(t *testing.T) {
	p, address := newPool(), serveAnswers(t, false, one)
	for range 3 {
		x, body, err := send(t, p, address, "1")
		assert.NilError(t, err)
		assert.Equal(t, body, "one")
		assert.Assert(t, !x.Reused)
		// The close takes a moment to arrive, even on loopback.
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a Transport that returns truncated bodies as complete, or complete
// ones with an error.
func TestTransport(t *testing.T) {
	for _, tc := range []struct {
		name, answer, body string
		wantErr            bool
	}{
		{"complete", one, "one", false},
		{"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", "one", false},
		{"no length", unframed, "no length", false},
		{"truncated", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\none", "one", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := &http.Client{Transport: &upstream.Transport{Pool: newPool(), MaxIdleTime: time.Second, MaxIdleConns: 2}}
			res, err := client.Post("http://"+serveAnswers(t, false, tc.answer)+"/x?y=1", "text/plain", strings.NewReader("b"))
			assert.NilError(t, err)
			b, err := io.ReadAll(res.Body)
			assert.Equal(t, err != nil, tc.wantErr)
			assert.Equal(t, string(b), tc.body)
			assert.NilError(t, res.Body.Close())
		})
	}
}

// Guards against a refused connection that is reported as a call that may have run.
func TestUnreachableHasNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, _, err = send(t, newPool(), address, "1")
	assert.Equal(t, serving.AsError(err).Ran, serving.NotRun)
}

// Guards against engines that keep working on a call whose caller is gone: canceling
// the context must close the connection to the engine.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := newPool().Send(ctx, upstream.Request{Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		done <- err
	}()
	time.AfterFunc(50*time.Millisecond, cancel)
	assert.Equal(t, serving.AsError(<-done).Ran, serving.RanUnknown)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection was not closed")
	}
}

// Guards against calls that wait longer than their deadline for an engine that stops
// sending: before, in or after the header, or on a reused connection. Such calls must
// be reported as possibly run.
func TestSilentEngines(t *testing.T) {
	for _, tc := range []struct {
		name string
		// answers are the answers on one connection before the engine stops sending.
		answers []string
	}{
		{"no answer", []string{""}},
		{"in the header", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-"}},
		{"in the body", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\non"}},
		{"in a chunk", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\non"}},
		{"after a complete answer", []string{one, ""}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const wait = 300 * time.Millisecond
			p, address := newPool(), serveAnswers(t, false, append(tc.answers, "")...)
			for range tc.answers[1:] {
				_, _, err := send(t, p, address, "1")
				assert.NilError(t, err)
			}
			begun := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			x, err := p.Send(ctx, upstream.Request{Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b"),
				ID: "1", MaxIdleTime: time.Second, MaxIdleConns: 2})
			if err == nil {
				_, err = io.ReadAll(x.Body)
				x.Close(false)
				assert.Assert(t, err != nil, "the body counts as complete")
			} else {
				assert.Equal(t, serving.AsError(err).Ran, serving.RanUnknown)
			}
			took := time.Since(begun)
			assert.Assert(t, took >= wait && took < testTimeout, "ended after %v", took)
		})
	}
}
