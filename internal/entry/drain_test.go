package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// runningEntry is an entry on which Run was called.
type runningEntry struct {
	testEntry
	url  string
	stop context.CancelFunc
	done chan error
}

func startEntry(t testing.TB, control string, notice time.Duration) *runningEntry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	s := testSettings(t)
	s.Listen, s.Advertise = settings.Address(address), settings.Address(address)
	s.Entry.Control = []settings.Address{settings.Address(control)}
	s.Entry.DrainNotice.Duration = notice
	ctx, stop := context.WithCancel(context.Background())
	r := &runningEntry{testEntry: testEntry{Entry: newEntry(s)}, url: "http://" + address, stop: stop, done: make(chan error, 1)}
	r.scheduler = unlimitedScheduler{r.Entry}
	go func() { r.done <- r.Run(ctx) }()
	t.Cleanup(stop)
	return r
}

// send sends a request and returns the status and the kind of error.
func (r *runningEntry) send(t testing.TB, method, path string, header map[string]string, body []byte) (int, serving.Kind) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, r.url+path, bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	var a errorAnswer
	_ = json.Unmarshal(b, &a)
	return res.StatusCode, a.Error.Kind
}

// Guards against a shutdown that cuts a stream which is silent for a while, accepts new
// work after the notice period, or refuses to resume generations that still run.
func TestDrainWaitsForStreams(t *testing.T) {
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release() // Otherwise the clean-up of a failed test would wait for the engine.
	silent := func(o *scriptedStream) { o.sendUpTo(3); <-released; o.from = 3; o.sendAll() }
	n := newScriptedEngine(t, "engine-1", 10, silent)
	e := startEntry(t, newFakeControl(t, testConfig()).address, 300*time.Millisecond)
	status := func(path string) int { s, _ := e.send(t, http.MethodGet, path, nil, nil); return s }
	eventually(t, "entry is ready", func() bool { return status("/readyz") == http.StatusOK })
	announcement, _ := json.Marshal(n.Announcement)
	announced, _ := e.send(t, http.MethodPost, "/v1/engines/announce", map[string]string{"Authorization": "Bearer cluster-key"}, announcement)
	assert.Equal(t, announced, http.StatusOK)
	eventually(t, "engine is in the snapshot", func() bool { return len(e.board.load().Engines) == 1 })

	req, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, e.url+"/v1/completions", strings.NewReader(`{"model":"guide","stream":true}`))
	req.Header.Set("Authorization", "Bearer "+testKey)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	first := make([]byte, 4096)
	count, err := res.Body.Read(first)
	assert.NilError(t, err)
	id, _, _ := strings.Cut(strings.TrimPrefix(string(first[:count]), "id: "), "\n")

	e.stop()
	eventually(t, "entry is not ready", func() bool { return status("/readyz") == http.StatusServiceUnavailable })
	bufferedRequest := []byte(`{"model":"guide"}`)
	ok, _ := e.send(t, http.MethodPost, "/v1/completions", nil, bufferedRequest)
	assert.Equal(t, ok, http.StatusOK) // New work is accepted during the notice period.
	eventually(t, "new work is refused", func() bool {
		_, kind := e.send(t, http.MethodPost, "/v1/completions", nil, bufferedRequest)
		return kind == serving.KindDraining
	})
	resumed, _ := e.send(t, http.MethodGet, "/v1/generations/resume", map[string]string{"Last-Event-ID": id}, nil)
	assert.Equal(t, resumed, http.StatusOK)
	release()
	rest, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(rest), "[DONE]\n\n"))
	assert.Equal(t, strings.Count(string(first[:count])+string(rest), "id: "), 10)
	select {
	case err := <-e.done:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not return within 5 s")
	}
}

// Guards against a request that fails because its engine fails while the entry is
// draining. A retry must still be permitted then.
func TestDrainingEntryRetriesRequestsInProgress(t *testing.T) {
	var e *testEntry
	n := newScriptedEngine(t, "engine-1", 5, func(o *scriptedStream) { e.draining.Store(true); o.abort() })
	e = newTestEntry(t, n.Engine)
	got := e.stream(t)
	got.checkFrames(t, 0, 5)
	assert.Assert(t, got.done)
}

// Guards against new work on engines that are starting, leaving, suspect or out of
// service.
func TestNoNewWorkForEnginesOutOfService(t *testing.T) {
	dataCentreOut := testConfig()
	dataCentreOut.Objects = append(dataCentreOut.Objects, &schema.Object{
		Kind: schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, Id: "dc-a",
		Spec: &schema.Object_DataCentre{DataCentre: &schema.DataCentre{Region: "r", Out: true}},
	})
	engineOut := testConfig()
	engineOut.Objects = append(engineOut.Objects, &schema.Object{
		Kind: schema.ObjectKind_OBJECT_KIND_ENGINE, Id: "engine-1",
		Spec: &schema.Object_Engine{Engine: &schema.EngineWant{Out: true}},
	})
	tests := []struct {
		name   string
		config *schema.ConfigView
		phase  engine.Phase
		state  engine.State
		status int
	}{
		{"ready", testConfig(), engine.PhaseReady, engine.StateAlive, 200},
		{"starting", testConfig(), engine.PhaseStarting, engine.StateAlive, 503},
		{"leaving", testConfig(), engine.PhaseLeaving, engine.StateLeaving, 503},
		{"leaving by announcement only", testConfig(), engine.PhaseLeaving, engine.StateAlive, 503},
		{"suspect", testConfig(), engine.PhaseReady, engine.StateSuspect, 503},
		{"data centre out", dataCentreOut, engine.PhaseReady, engine.StateAlive, 503},
		{"engine out", engineOut, engine.PhaseReady, engine.StateAlive, 503},
	}
	n := newScriptedEngine(t, "engine-1", 3)
	e := newTestEntry(t)
	for _, tt := range tests {
		announcement := *n.Announcement
		announcement.State = tt.phase
		e.setBoard(t, tt.config, &Engine{Announcement: &announcement, State: tt.state, counters: n.counters})
		got := e.stream(t)
		assert.Equal(t, got.status, tt.status, tt.name)
		if tt.status != 200 {
			assert.Equal(t, got.err.Error.Kind, serving.KindNoEngine, tt.name)
			assert.Equal(t, got.err.Error.Ran, serving.NotRun, tt.name)
		}
	}
}
