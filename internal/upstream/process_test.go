package upstream_test

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
)

// unframedAnswer is an answer that ends with its connection.
const unframedAnswer = "HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody"

// Guards against a crashed engine that counts as running, and against a running engine that
// counts as crashed because it accepts no further connection although others are open.
func TestCheckProcess(t *testing.T) {
	for _, tc := range []struct {
		name string
		// listens is set if the engine's listener stays open, and idle if a connection
		// from before does. closes makes the engine close each further connection.
		listens, idle, closes bool
		want                  completion.Process
	}{
		{"listens", true, false, false, completion.Running},
		{"crashed", false, false, false, completion.Ended},
		{"listener closed, another connection open", false, true, false, completion.Running},
		{"closes further connections, another connection open", true, true, true, completion.Running},
		{"closes further connections, as a proxy in front of a crashed engine", true, false, true, completion.Unreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			accepted := make(chan struct{}, 8)
			go func() {
				for n := 1; ; n++ {
					c, err := l.Accept()
					if err != nil {
						return
					}
					accepted <- struct{}{}
					switch r := bufio.NewReader(c); {
					case n == 1 && tc.idle:
						// The first of two connections stays open after its answer.
						go func() {
							_, _ = http.ReadRequest(r)
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n")
							<-t.Context().Done()
							_ = c.Close()
						}()
					case n == 1 || n == 2 && tc.idle:
						go func() {
							_, _ = http.ReadRequest(r)
							_, _ = io.WriteString(c, unframedAnswer)
							if !tc.listens {
								_ = l.Close()
							}
							_ = c.Close()
						}()
					case tc.closes:
						_ = c.Close()
					}
				}
			}()
			p := newPool()
			request := upstream.Request{Address: l.Addr().String(), Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, ID: "a", MaxIdleConns: 2}
			var kept *upstream.Exchange
			if tc.idle {
				kept, err = p.Send(t.Context(), request)
				assert.NilError(t, err)
			}
			x, err := p.Send(t.Context(), request)
			assert.NilError(t, err)
			assert.Equal(t, x.Framing, upstream.EndsWithConnection)
			_, err = io.Copy(io.Discard, x.Body)
			assert.NilError(t, err)
			if kept != nil {
				kept.Close(true)
			}
			assert.Equal(t, x.CheckProcess(t.Context()), tc.want)
			x.Close(true)
		})
	}
}

// Guards against an engine that counts as gone although its process works on calls: it has closed
// its listener, resets connections or doesn't answer. And against one that crashed and counts as
// running, so that its streams are lost.
func TestProcessEnded(t *testing.T) {
	for _, tc := range []struct {
		name string
		// closes is set if the engine's listener is closed, and ends if its connections are.
		// resets makes it reset further connections, and hangs leave them without an answer.
		closes, ends, resets, hangs bool
		want                        bool
	}{
		{"crashed", true, true, false, false, true},
		{"listener closed, a call in progress", true, false, false, false, false},
		{"resets further connections", false, true, true, false, false},
		{"does not answer", false, true, false, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			address, first := l.Addr().String(), make(chan net.Conn, 1)
			go func() {
				for n := 0; ; n++ {
					c, err := l.Accept()
					if err != nil {
						return
					}
					r := bufio.NewReader(c)
					_, _ = http.ReadRequest(r)
					switch {
					case n == 0:
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n")
						first <- c
					case tc.resets:
						_ = c.(*net.TCPConn).SetLinger(0)
						_ = c.Close()
					}
				}
			}()
			p := newPool()
			request := func(id string) upstream.Request {
				return upstream.Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, ID: serving.RequestID(id)}
			}
			inProgress, err := p.Send(t.Context(), request("a"))
			assert.NilError(t, err)
			defer inProgress.Close(false)
			conn := <-first
			defer conn.Close()
			if tc.closes {
				assert.NilError(t, l.Close())
			}
			if tc.ends {
				assert.NilError(t, conn.Close())
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err = p.Send(ctx, request("b"))
			assert.Assert(t, err != nil)
			assert.Equal(t, p.ProcessEnded(address, err), tc.want, "%v", err)
		})
	}
}

// Guards against a check that leaves a connection unused, so that each unframed answer
// costs one more.
func TestCheckKeepsConnection(t *testing.T) {
	address := serveAnswers(t, false, unframedAnswer)
	p := newPool()
	x, _, err := send(t, p, address, "a")
	assert.NilError(t, err)
	assert.Equal(t, x.CheckProcess(t.Context()), completion.Running)
	opened := expvar.Get("engine_connections_opened").String()
	next, err := p.Send(t.Context(), upstream.Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, ID: "a", MaxIdleTime: time.Second})
	assert.NilError(t, err)
	defer next.Close(false)
	assert.Equal(t, expvar.Get("engine_connections_opened").String(), opened)
	// Nothing was sent on the connection before, so that no late answer can be on it.
	assert.Assert(t, !next.Reused)
}

// Guards against a truncated answer that counts as whole at the project's own interface.
func TestTransportUnframedAnswer(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes bool
		want    error
	}{
		{"engine runs", false, nil},
		{"engine crashes", true, io.ErrUnexpectedEOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, unframedAnswer)
				if tc.crashes {
					_ = l.Close()
				}
			}()
			client := &http.Client{Transport: &upstream.Transport{Pool: newPool(), MaxIdleConns: 1}}
			res, err := client.Get("http://" + l.Addr().String() + "/x")
			assert.NilError(t, err)
			defer res.Body.Close()
			_, err = io.ReadAll(res.Body)
			assert.Equal(t, err, tc.want)
		})
	}
}

// Guards against an engine that stops in the middle of its answer's header and closes the
// connection, and whose answer counts as whole with an empty or short body.
func TestTruncatedHeader(t *testing.T) {
	for _, tc := range []struct{ name, header string }{
		{"length", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"no framing", "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n"},
		{"interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for n := range len(tc.header) + 1 {
				address := serveAnswers(t, false, tc.header[:n])
				client := &http.Client{Transport: &upstream.Transport{Pool: newPool()}}
				res, err := client.Get("http://" + address + "/x")
				if err != nil {
					continue
				}
				b, err := io.ReadAll(res.Body)
				res.Body.Close()
				assert.Assert(t, err != nil, "after %q: status %d, body %q", tc.header[:n], res.StatusCode, b)
			}
		})
	}
}

// Guards against a whole answer that counts as truncated because its reader was busy, as
// behind a slow caller, while the connection ended.
func TestSlowReader(t *testing.T) {
	client := &http.Client{Transport: &upstream.Transport{Pool: newPool()}}
	res, err := client.Get("http://" + serveAnswers(t, false, unframedAnswer) + "/x")
	assert.NilError(t, err)
	defer res.Body.Close()
	_, err = io.ReadFull(res.Body, make([]byte, len("body")))
	assert.NilError(t, err)
	time.Sleep(completion.MaxPause + 100*time.Millisecond)
	_, err = res.Body.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}
