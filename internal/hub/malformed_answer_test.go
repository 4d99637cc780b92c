package hub

import (
	"math/rand/v2"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/answer/answertest"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
)

// Guards against a hub that takes a malformed answer of another hub, of a host or of an engine, and
// keeps its connection.
func TestClientsOfHubRefuseMalformedAnswers(t *testing.T) {
	h := &Hub{Host: "127.0.0.1", Address: "http://127.0.0.1:1"}
	h.setup()
	for _, tc := range []struct {
		name   string
		client *http.Client
	}{
		{"hubs, hosts and health checks", h.client},
		{"replicas", h.replica.newNode(h, nil).Client},
	} {
		t.Run(tc.name, func(t *testing.T) { answertest.CheckClient(t, tc.client) })
	}
}

// Guards against a load check that takes the load in a malformed answer for that of the engine.
func TestLoadCheckAnsweredMalformed(t *testing.T) {
	const load = "Engine: e\r\nFactor: 250\r\n"
	for _, raw := range []string{
		"HTTP/1.1 000 \r\n" + load + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Bad: v\r\n" + load + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + load + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Bad: v\r\n\r\n",
	} {
		s := answertest.Serve(t, raw, func(*http.Request) bool { return true })
		h := &Hub{Host: "127.0.0.1", Address: "http://127.0.0.1:1"}
		h.setup()
		h.Dialect = loadDialect{}
		h.placer.pool = placement.Pool{Random: rand.New(rand.NewPCG(1, 1))}
		before := machineChecksOf("unanswered")
		h.checkLoad(t.Context(), loadCheck{engine: serving.EngineID("e"), address: s.Address, healthPath: "/healthz"})
		assert.Equal(t, machineChecksOf("unanswered"), before+1, raw)
	}
}
