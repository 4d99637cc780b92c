package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/answer/answertest"
	"turmericdrum.org/turmericdrum/pkg/schema"
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
