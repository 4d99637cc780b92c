// Package answertest checks that readers of answers refuse malformed ones.
//
// # Usage
//
//	answertest.CheckClient(t, client)
//
// A reader that is not an http.Client is called once for each of Malformed, against a server that
// Serve starts.
package answertest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/answer"
)

// RawPath is the path of the requests that a Server answers with its raw bytes. All others get a sound
// answer.
const RawPath = "/raw"

// quoted is a text in the malformed answers that no error may have.
const quoted = "zq7"

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Answer is a malformed answer, and a part of the reason for which it is refused.
type Answer struct{ Name, Bytes, Reason string }

// Malformed returns malformed answers.
func Malformed() []Answer {
	return []Answer{
		{"status 000", "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n", "status 0 is outside"},
		{"status 000 with a body", "HTTP/1.1 000 \r\nContent-Length: 3\r\n\r\n" + quoted, "status 0 is outside"},
		{"status 999", "HTTP/1.1 999 \r\nContent-Length: 0\r\n\r\n", "status 999 is outside"},
		{"status 101", "HTTP/1.1 101 \r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "status 101"},
		{"blank in a name", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + quoted + " X: y\r\n\r\n", "the name of a field"},
		{"control byte in a name", "HTTP/1.1 200 OK\r\n" + quoted + "\x01: y\r\n\r\n", "malformed MIME header line"},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\n" + quoted + " X: y\r\n\r\n" + soundAnswer, "the name of a field"},
		{"blank in a name of the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + quoted + " X: y\r\n\r\n", "the name of a trailer field"},
		{"no answer", quoted + "\r\n\r\n", "malformed HTTP response"},
	}
}

// Server sends raw bytes in place of answers.
type Server struct {
	// Address is the host and port on which it listens.
	Address string
	// Requests counts the requests that got the raw bytes, Connections all connections, and Closed
	// those that the client has closed.
	Requests, Connections, Closed atomic.Int32
}

// Serve starts a server that sends raw to each request that isRaw accepts.
func Serve(t testing.TB, raw string, isRaw func(*http.Request) bool) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.Connections.Add(1)
			go s.serve(c, raw, isRaw)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, raw string, isRaw func(*http.Request) bool) {
	defer s.Closed.Add(1)
	defer c.Close()
	// A client that waits for more than an answer gets its end.
	_ = c.SetDeadline(time.Now().Add(timeout))
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		bytes := soundAnswer
		if isRaw(req) {
			s.Requests.Add(1)
			bytes = raw
		}
		_, _ = io.WriteString(c, bytes)
	}
}

// CheckClient checks that a client refuses malformed answers, with errors that have none of their
// bytes, and closes their connections.
func CheckClient(t *testing.T, client *http.Client) {
	t.Helper()
	for _, tc := range Malformed() {
		t.Run(tc.Name, func(t *testing.T) {
			s := Serve(t, tc.Bytes, func(r *http.Request) bool { return r.URL.Path == RawPath })
			for n := range int32(3) {
				body, err := get(t, client, "http://"+s.Address+"/sound")
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
				assert.Equal(t, s.Connections.Load(), n+1, "a connection was used again after a malformed answer")
				_, err = get(t, client, "http://"+s.Address+RawPath)
				CheckError(t, err, tc)
				for deadline := time.Now().Add(timeout); s.Closed.Load() != n+1; time.Sleep(time.Millisecond) {
					assert.Assert(t, time.Now().Before(deadline), "the connection stays open after a malformed answer")
				}
			}
		})
	}
}

// CheckError checks that an error says what is wrong with an answer, without its bytes.
func CheckError(t *testing.T, err error, a Answer) {
	t.Helper()
	assert.ErrorContains(t, err, a.Reason)
	assert.Assert(t, answer.IsMalformed(err), "%v", err)
	assert.Assert(t, !strings.Contains(err.Error(), quoted), "%v", err)
}

// timeout bounds one request, the wait for the end of its connection, and each connection.
const timeout = 3 * time.Second

func get(t *testing.T, client *http.Client, url string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	assert.NilError(t, err)
	res, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}
