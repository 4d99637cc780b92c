package hub

import (
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
)

// loadDialect decodes the answers of the engines of this test.
type loadDialect struct{ serving.Dialect }

func (loadDialect) DecodeAnswer(_ int, h http.Header) serving.Answer {
	f, err := strconv.Atoi(h.Get("Factor"))
	return serving.Answer{HasLoad: err == nil, Load: serving.EngineLoad{Slots: 4, Factor: serving.Percent(f)}}
}

func (loadDialect) DecodeIdentity(status int, h http.Header, _ []byte) serving.Identity {
	return serving.Identity{Engine: serving.EngineID(h.Get("Engine")), Other: status == http.StatusMisdirectedRequest}
}

// Guards against load checks that wait for engines which don't answer, or take the load of another
// engine, or of none, for that of the engine.
func TestLoadCheck(t *testing.T) {
	answer := func(status int, engine, factor string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Engine", engine)
			w.Header().Set("Factor", factor)
			w.WriteHeader(status)
		}
	}
	tests := []struct {
		name   string
		handle http.HandlerFunc
		want   string
	}{
		{"engine", answer(http.StatusOK, "e", "250"), "answered"},
		{"engine that is failing", answer(http.StatusServiceUnavailable, "e", "250"), "answered"},
		{"another engine at the address", answer(http.StatusOK, "other", "250"), "other_engine"},
		{"engine that refuses to be another one", answer(http.StatusMisdirectedRequest, "", "250"), "other_engine"},
		{"no load", answer(http.StatusOK, "e", ""), "unknown"},
		{"no factor", answer(http.StatusOK, "e", "0"), "unknown"},
		{"no answer", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, "unanswered"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(tt.handle)
			defer server.Close()
			h := &Hub{Clock: serving.NewMonotonicClock(), Dialect: loadDialect{}, client: server.Client()}
			h.placer.pool = placement.Pool{Random: rand.New(rand.NewPCG(1, 1))}
			before := machineChecksOf(tt.want)
			h.checkLoad(t.Context(), loadCheck{engine: "e", address: strings.TrimPrefix(server.URL, "http://"), healthPath: "/healthz"})
			assert.Equal(t, machineChecksOf(tt.want), before+1)
		})
	}
}

// Guards against a hub without a dialect, or with engines that need no checks, that sends some.
func TestNoLoadChecksWithoutNeed(t *testing.T) {
	c := startHubs(t)
	c.put(1)
	assert.Equal(t, len(c.hubs[0].loadChecks()), 0)
	done := make(chan struct{})
	go func() {
		(&Hub{}).checkMachines(t.Context())
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a hub without a dialect checks engines")
	}
}

func machineChecksOf(result string) int64 {
	if v, ok := machineChecks.Get(result).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}
