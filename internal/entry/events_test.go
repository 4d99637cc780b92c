package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/timeline"
)

// Guards against events that are missing from the event log or lack their request ID.
func TestEventsOfARequest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events.jsonl")
	n := newScriptedEngine(t, "engine-1", 5, func(o *scriptedStream) { o.sendUpTo(2); o.abort() })
	e := newTestEntry(t, n.Engine)
	e.eventLog.log = timeline.NewLog(path, "entry-1", e.eventLog.clock)
	e.stream(t)
	e.do(t, http.MethodPost, "/v1/completions", "wrong", nil, "")
	e.server.Close()
	ctx, stop := context.WithCancel(context.Background())
	stop()
	e.eventLog.run(ctx)
	events, skipped, err := timeline.ReadFiles(path)
	assert.NilError(t, err)
	assert.Equal(t, skipped, 0)
	var kinds []string
	for _, ev := range events {
		kinds = append(kinds, ev.Kind)
		assert.Equal(t, ev.RequestID == "", ev.Kind == eventRefused, ev.Kind)
	}
	assert.DeepEqual(t, kinds, []string{eventRequestReceived, eventAttemptStarted, eventFirstToken, eventResumed, eventAnswerEnded, eventRefused})
}

// Guards against metrics that are not valid JSON or have wrong counts.
func TestMetricsCount(t *testing.T) {
	n := newScriptedEngine(t, "engine-1", 5, func(o *scriptedStream) { o.sendUpTo(2); o.abort() })
	e := newTestEntry(t, n.Engine)
	e.stream(t)
	e.do(t, http.MethodPost, "/v1/completions", "wrong", nil, "")
	res, err := http.Get(e.server.URL + "/debug/vars")
	assert.NilError(t, err)
	defer res.Body.Close()
	var vars struct {
		Entry struct {
			Requests   map[string]int      `json:"requests"`
			Tokens     int                 `json:"tokens"`
			Resumes    int                 `json:"resumes"`
			InFlight   int                 `json:"in_flight"`
			FirstToken struct{ Count int } `json:"first_token"`
		} `json:"entry"`
	}
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&vars))
	got := vars.Entry
	assert.DeepEqual(t, got.Requests, map[string]int{"complete": 1, "unauthenticated": 1})
	assert.Equal(t, got.Tokens, 5)
	assert.Equal(t, got.Resumes, 1)
	assert.Equal(t, got.InFlight, 0)
	assert.Equal(t, got.FirstToken.Count, 1)
}
