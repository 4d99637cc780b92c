package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
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

// maxCallCrashes is the number of engines that one call may crash before it is refused
// everywhere.
const maxCallCrashes = 3

// Guards against a request that comes again and crashes engine after engine although other
// requests with the same prompt prefix are sound.
func TestRequestThatCrashesEnginesBehindSoundPrefix(t *testing.T) {
	system := strings.Repeat("s", 2*prefixBlockTokens*promptBytesPerToken)
	var scripted []*scriptedEngine
	var engines []*Engine
	for i := range 12 {
		s := newScriptedEngine(t, fmt.Sprint("engine-", i), 8)
		s.crashOn = "fatal"
		scripted, engines = append(scripted, s), append(engines, s.Engine)
	}
	e := newTestEntry(t, engines...)
	go e.prompts.run(t.Context(), func() map[serving.EngineID]*Engine { return nil })
	send := func(text string) *received {
		live := []*Engine{}
		for i, s := range scripted {
			if !s.crashed.Load() {
				live = append(live, engines[i])
			}
		}
		e.setBoard(t, testConfig(), live...)
		return e.do(t, http.MethodPost, "/v1/completions", testKey, nil, `{"model":"guide","stream":true,"prompt":"`+system+text+`"}`)
	}
	for range 6 {
		assert.Assert(t, !send("fatal").done)
		assert.Assert(t, send("fine").done)
		time.Sleep(400 * time.Millisecond)
	}
	crashes := 0
	for _, s := range scripted {
		if s.crashed.Load() {
			crashes++
		}
	}
	assert.Assert(t, crashes <= maxCallCrashes, "%d engines crashed", crashes)
	got := send("fatal")
	assert.Equal(t, got.err.Error.Kind, serving.KindPromptBlocked)
}

// Guards against a call of a plain service that crashes engine after engine.
func TestServiceCallThatCrashesEngines(t *testing.T) {
	for _, tc := range []struct{ name, path string }{
		{"lookup", "/stock/needles"},
		{"order", "/stock/reserve"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var mu sync.Mutex
			crashed := map[serving.EngineID]bool{}
			var services []*fakeService
			for i := range 8 {
				f := newFakeService(t, fmt.Sprint("stylus-", i), answerOK)
				server := f.server
				f.setHandler(func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Content-Type") != "text/fatal" {
						answerOK(w, r)
						return
					}
					mu.Lock()
					crashed[f.Engine.Engine] = true
					mu.Unlock()
					_ = server.Listener.Close()
					panic(http.ErrAbortHandler)
				})
				services = append(services, f)
			}
			e, _ := newOrderEntry(t, "", services...)
			go e.prompts.run(t.Context(), func() map[serving.EngineID]*Engine { return nil })
			call := func(contentType, body string) *received {
				mu.Lock()
				live := []*Engine{}
				for _, f := range services {
					if !crashed[f.Engine.Engine] {
						live = append(live, f.Engine)
					}
				}
				mu.Unlock()
				e.setBoard(t, serviceConfig(""), live...)
				return e.do(t, http.MethodPost, "/v1/services/stylus"+tc.path, testKey, map[string]string{"Content-Type": contentType}, body)
			}
			for i := range 6 {
				assert.Assert(t, call("text/fatal", "fatal").status != http.StatusOK)
				assert.Equal(t, call("text/plain", fmt.Sprint("sound ", i)).status, http.StatusOK)
				time.Sleep(400 * time.Millisecond)
			}
			assert.Assert(t, len(crashed) <= maxCallCrashes, "%d engines crashed", len(crashed))
			got := call("text/fatal", "fatal")
			assert.Equal(t, got.err.Error.Kind, serving.KindPromptBlocked)
			assert.Equal(t, got.err.Error.Ran, serving.NotRun)
		})
	}
}
