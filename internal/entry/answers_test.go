package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against answers with missing, repeated, foreign or mixed tokens, and against
// streams that end early without an error. The engine breaks off its stream, or omits,
// reorders, repeats or mixes up frames.
func TestStreamSurvivesEngineFaults(t *testing.T) {
	const length = 40
	tests := []struct {
		name  string
		fault func(o *scriptedStream)
		// lost means that the engine no longer has the generation after the fault.
		lost bool
	}{
		{"cut", func(o *scriptedStream) { o.sendUpTo(7); o.abort() }, false},
		{"end without last frame", func(o *scriptedStream) { o.sendUpTo(7); o.sendDone() }, false},
		{"gap", func(o *scriptedStream) { o.sendUpTo(7); o.frames(9, 10, 11, 12, 13, 14); o.blockUntilClosed() }, false},
		{"gap at the end", func(o *scriptedStream) { o.sendUpTo(length - 2); o.frames(length - 1); o.sendDone() }, false},
		{"reordered and repeated", func(o *scriptedStream) { o.frames(1, 0, 0, 1, 3, 2); o.from = 2; o.sendAll() }, false},
		{"frames of another request", func(o *scriptedStream) {
			for i := range length {
				o.frame("foreign", "foreign", i)
			}
			o.blockUntilClosed()
		}, false},
		{"earlier attempt's frames", func(o *scriptedStream) {
			for i := range length {
				o.frame(o.request, "earlier", i)
			}
			o.sendDone()
		}, false},
		{"lost", func(o *scriptedStream) { o.sendUpTo(7); o.abort() }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newScriptedEngine(t, "engine-1", length, tt.fault)
			if tt.lost {
				n.script = append(n.script, (*scriptedStream).notFound)
			}
			begin := time.Now()
			got := newTestEntry(t, n.Engine).stream(t)
			// A new engine's stall threshold is 5 s, so the fault must be detected otherwise.
			assert.Assert(t, time.Since(begin) < 3*time.Second)
			if tt.lost {
				got.checkFrames(t, 0, 7)
				assert.Equal(t, got.err.Error.Kind, serving.KindGenerationLost)
				assert.Equal(t, got.err.Error.Ran, serving.DidRun)
				assert.Assert(t, !got.done)
				return
			}
			got.checkFrames(t, 0, length)
			assert.Assert(t, got.done)
			assert.Assert(t, got.frames[0].GenerationID != "earlier")
			_, starts, _ := n.count()
			assert.Equal(t, starts, 1)
		})
	}
}

// Guards against an answer that waits for a stalled connection until the caller times
// out. The engine sends some tokens and then nothing.
func TestStalledStreamIsResumed(t *testing.T) {
	n := newScriptedEngine(t, "engine-1", 20, func(o *scriptedStream) { o.sendUpTo(5); o.blockUntilClosed() })
	for range 128 {
		n.counters.observeGap(10 * time.Millisecond)
	}
	begin := time.Now()
	got := newTestEntry(t, n.Engine).stream(t)
	got.checkFrames(t, 0, 20)
	assert.Assert(t, got.done)
	assert.Assert(t, time.Since(begin) < 2*time.Second, time.Since(begin))
}

// Guards against an answer that is not streamed and fails with its engine, or that
// mixes tokens of two generations. The engine loses the generation after some tokens.
func TestBufferedAnswerRestartsOnAnotherEngine(t *testing.T) {
	bad := newScriptedEngine(t, "engine-1", 20, func(o *scriptedStream) { o.sendUpTo(5); o.abort() }, (*scriptedStream).notFound)
	good := newScriptedEngine(t, "engine-2", 20)
	good.counters.inFlight.Store(1)
	got := newTestEntry(t, bad.Engine, good.Engine).do(t, http.MethodPost, "/v1/completions", testKey, nil, `{"model":"guide"}`)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.completion.Tokens, 20)
	var want strings.Builder
	for i := range 20 {
		want.WriteString(token(string(got.completion.GenerationID), i))
	}
	assert.Equal(t, got.completion.Text, want.String())
}

// Guards against an error that states not_run although an engine had received the
// request.
func TestRefusalReportsWhetherRequestRan(t *testing.T) {
	unreachable := newScriptedEngine(t, "engine-1", 1)
	unreachable.server.Close()
	refuse := func(o *scriptedStream) { o.w.WriteHeader(http.StatusServiceUnavailable) }
	tests := []struct {
		name   string
		engine *scriptedEngine
		ran    serving.Ran
	}{
		{"dial failed", unreachable, serving.NotRun},
		{"cut before the first token", newScriptedEngine(t, "engine-1", 9, (*scriptedStream).abort, (*scriptedStream).abort, (*scriptedStream).abort), serving.RanUnknown},
		{"engine refused", newScriptedEngine(t, "engine-1", 9, refuse, refuse, refuse), serving.RanUnknown},
	}
	for _, tt := range tests {
		got := newTestEntry(t, tt.engine.Engine).stream(t)
		assert.Equal(t, got.err.Error.Ran, tt.ran, tt.name)
		assert.Equal(t, got.status/100, 5, tt.name)
	}
}

// Guards against a stream that cannot be resumed at another entry, and against a
// generation that is cancelled as soon as the caller's connection breaks.
func TestCallerResumesAtAnotherEntry(t *testing.T) {
	n := newScriptedEngine(t, "engine-1", 30, func(o *scriptedStream) { o.sendUpTo(10); o.blockUntilClosed() })
	first, second := newTestEntry(t, n.Engine), newTestEntry(t)
	ctx, disconnect := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, first.server.URL+"/v1/completions", strings.NewReader(`{"model":"guide","stream":true}`))
	r.Header.Set("Authorization", "Bearer "+testKey)
	res, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	id := make([]byte, 4096)
	read, err := res.Body.Read(id)
	assert.NilError(t, err)
	disconnect()
	res.Body.Close()
	token, _, _ := strings.Cut(strings.TrimPrefix(string(id[:read]), "id: "), "\n")

	resume := func(key, token string) *received {
		return second.do(t, http.MethodGet, "/v1/generations/resume", key, map[string]string{"Last-Event-ID": token}, "")
	}
	assert.Equal(t, resume(otherKey, token).err.Error.Kind, serving.KindForbidden)
	assert.Equal(t, resume(operatorKey, token).err.Error.Kind, serving.KindUnauthenticated)
	assert.Equal(t, resume(testKey, token+"x").err.Error.Kind, serving.KindResumeTokenWrong)
	got := resume(testKey, token)
	got.checkFrames(t, 1, 30)
	assert.Assert(t, got.done)
	last := resume(testKey, got.ids[len(got.ids)-1])
	assert.Assert(t, last.done && len(last.frames) == 0)
	_, _, cancelled := n.count()
	assert.Equal(t, cancelled, 0)

	restarted, announcement := *n.Engine, *n.Announcement
	announcement.Incarnation = 2
	restarted.Announcement = &announcement
	second.setBoard(t, testConfig(), &restarted)
	lost := resume(testKey, token)
	assert.Equal(t, lost.err.Error.Kind, serving.KindGenerationLost)
	assert.Equal(t, lost.err.Error.Ran, serving.DidRun)
	assert.Equal(t, first.do(t, http.MethodDelete, "/v1/generations/resume", testKey, map[string]string{"Last-Event-ID": token}, "").status, http.StatusOK)
	_, _, cancelled = n.count()
	assert.Equal(t, cancelled, 1)
}

// Guards against a generation that continues although its caller has disconnected and
// cannot resume it, because the answer is not streamed.
func TestBufferedAnswerIsCancelledWhenCallerDisconnects(t *testing.T) {
	began := make(chan struct{})
	n := newScriptedEngine(t, "engine-1", 30, func(o *scriptedStream) { o.sendUpTo(3); close(began); o.blockUntilClosed() })
	e := newTestEntry(t, n.Engine)
	ctx, disconnect := context.WithCancel(context.Background())
	go func() { <-began; disconnect() }()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL+"/v1/completions", strings.NewReader(`{"model":"guide"}`))
	r.Header.Set("Authorization", "Bearer "+testKey)
	_, err := http.DefaultClient.Do(r) //nolint:bodyclose // There is no response.
	assert.Assert(t, err != nil)
	e.server.Close()
	e.background.Wait()
	_, _, cancelled := n.count()
	assert.Equal(t, cancelled, 1)
}
