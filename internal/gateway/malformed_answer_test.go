package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/answer/answertest"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against an entry that takes a malformed answer of a hub, and keeps its connection.
func TestClientOfHubsRefusesMalformedAnswers(t *testing.T) {
	g := &Gateway{Host: "10.0.0.1", DataCentre: "a", Region: "a"}
	g.setup()
	answertest.CheckClient(t, g.watcher.client)
}

// Guards against an entry that serves with the state in a malformed answer of a hub.
func TestStateOfMalformedAnswerIsNotApplied(t *testing.T) {
	confirmed := unconfirmedResult(t, 0)
	confirmed.Confirmed = true
	hub := schema.NewHubServer(&fakeHub{result: confirmed})
	var polls atomic.Int32
	var sound atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls.Add(1)
		if sound.Load() {
			hub.ServeHTTP(w, r)
			return
		}
		recorded := httptest.NewRecorder()
		hub.ServeHTTP(recorded, r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\nX Bad: v\r\n\r\n%s", recorded.Body.Len(), recorded.Body)
	}))
	defer server.Close()
	g := newWatchingGateway(t, server.URL)
	deadline := time.Now().Add(10 * time.Second)
	for polls.Load() < 3 {
		assert.Assert(t, time.Now().Before(deadline), "the hub was not polled")
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, g.board.view.Load() == nil, "the state of a malformed answer was applied")
	sound.Store(true)
	for g.board.view.Load() == nil {
		assert.Assert(t, time.Now().Before(deadline), "no view")
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against the rest of a long answer to an engine request, on a kept connection, that is taken for
// the answer to the next one.
func TestRestOfLongAnswerIsNotTheNextOne(t *testing.T) {
	const forged, sound = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	var long atomic.Bool
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if !long.CompareAndSwap(false, true) {
						time.Sleep(300 * time.Millisecond)
						_, _ = io.WriteString(c, sound)
						continue
					}
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxEngineAnswer+len(forged), strings.Repeat("x", maxEngineAnswer))
					time.AfterFunc(100*time.Millisecond, func() { _, _ = io.WriteString(c, forged) })
				}
			}()
		}
	}()
	g := &Gateway{Host: "10.0.0.1", DataCentre: "a", Region: "a", Dialect: plainDialect{}}
	g.setup()
	req := serving.EngineRequest{Method: http.MethodGet, Target: "/-/report"}
	_, _, _ = g.callEngine(t.Context(), l.Addr().String(), req, time.Second)
	_, body, err := g.callEngine(t.Context(), l.Addr().String(), req, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "sound")
}

// plainDialect decodes answers without an id.
type plainDialect struct{ serving.Dialect }

func (plainDialect) DecodeAnswer(status int, _ http.Header) serving.Answer {
	return serving.Answer{Status: status}
}
