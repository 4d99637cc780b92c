package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against requests with one prompt prefix that crash engine after engine: each of
// them was started again on up to two more engines. Sound requests that share the beginning
// of the prompt must still be answered.
func TestPromptThatCrashesEngines(t *testing.T) {
	const (
		block      = prefixBlockTokens * promptBytesPerToken
		requests   = 6
		maxCrashes = 5
	)
	system, crashing := strings.Repeat("s", 2*block), strings.Repeat("x", block)
	prompt := func(parts ...string) string {
		return `{"model":"guide","stream":true,"prompt":"` + strings.Join(parts, "") + `"}`
	}
	var scripted []*scriptedEngine
	var engines []*Engine
	for i := range 12 {
		s := newScriptedEngine(t, fmt.Sprint("engine-", i), 8)
		s.crashOn = crashing
		scripted, engines = append(scripted, s), append(engines, s.Engine)
	}
	e := newTestEntry(t, engines...)
	go e.prompts.run(t.Context(), func() map[serving.EngineID]*Engine { return nil })
	crashes := func() (n int) {
		live := []*Engine{}
		for i, s := range scripted {
			if s.crashed.Load() {
				n++
				continue
			}
			live = append(live, engines[i])
		}
		// The membership drops engines that ended.
		e.setBoard(t, testConfig(), live...)
		return n
	}
	for i := range requests {
		got := e.do(t, http.MethodPost, "/v1/completions", testKey, nil, prompt(system, crashing, fmt.Sprint("request ", i)))
		assert.Assert(t, !got.done)
		assert.Assert(t, crashes() <= maxCrashes, "%d engines crashed after %d requests", crashes(), i+1)
		got = e.do(t, http.MethodPost, "/v1/completions", testKey, nil, prompt(system, strings.Repeat("y", block), fmt.Sprint("request ", i)))
		assert.Assert(t, got.done, "%+v", got)
		time.Sleep(300 * time.Millisecond)
	}
	refused := func(e *testEntry) bool {
		got := e.do(t, http.MethodPost, "/v1/completions", testKey, nil, prompt(system, crashing, "last"))
		return got.status == http.StatusServiceUnavailable && got.err.Error.Kind == serving.KindPromptBlocked && got.err.Error.Ran == serving.NotRun
	}
	assert.Assert(t, refused(e))
	// Another entry learns of it with the next exchange.
	other := newTestEntry(t, engines...)
	_, err := other.Exchange(t.Context(), e.prompts.encode(&schema.MemberExchange{From: "entry-1"}))
	assert.NilError(t, err)
	assert.Assert(t, refused(other))
}
