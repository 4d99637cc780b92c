package timeline_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/timeline"
)

// Guards against idle connections that a client cannot close because the wrapper
// does not forward CloseIdleConnections.
func TestRoundTripperClosesIdleConnections(t *testing.T) {
	closed := make(chan struct{}, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = connClosed(closed)
	server.Start()
	defer server.Close()
	client := &http.Client{Transport: timeline.RoundTripper(&timeline.Clock{Physical: time.Now}, &http.Transport{})}
	res, err := client.Get(server.URL)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, res.Body)
	assert.NilError(t, res.Body.Close())
	client.CloseIdleConnections()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("idle connection was not closed within 5 s")
	}
}

func connClosed(closed chan<- struct{}) func(net.Conn, http.ConnState) {
	return func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			closed <- struct{}{}
		}
	}
}
