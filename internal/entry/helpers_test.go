package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

const (
	testKey     = "caller-key"
	otherKey    = "other-key"
	operatorKey = "operator-key"
)

func testSettings(t testing.TB) *settings.Settings {
	t.Helper()
	s, err := settings.Decode([]byte("{host: entry-1, data_centre: dc-a, region: r, listen: 127.0.0.1:1, cluster_key: cluster-key, entry: {control: [127.0.0.1:2]}}"))
	assert.NilError(t, err)
	return s
}

func accountObject(id, key string, operator bool) *schema.Object {
	hash := sha256.Sum256([]byte(key))
	return &schema.Object{
		Kind: schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, Id: id,
		Spec: &schema.Object_ClientAccount{ClientAccount: &schema.ClientAccount{Weight: 1, KeyHashes: [][]byte{hash[:]}, Operator: operator}},
	}
}

func testConfig() *schema.ConfigView {
	return &schema.ConfigView{Revision: 1, Objects: []*schema.Object{
		accountObject("bench", testKey, false), accountObject("other", otherKey, false), accountObject("op", operatorKey, true),
		{Kind: schema.ObjectKind_OBJECT_KIND_MODEL, Id: "guide", Spec: &schema.Object_Model{Model: &schema.Model{Versions: []*schema.ModelVersion{{Version: "1", Share: 1}}}}},
	}}
}

// testEntry is an entry whose handler runs in a test server. Tests set its blackboard.
type testEntry struct {
	*Entry
	server *httptest.Server
}

// unlimitedScheduler starts each request at once, for tests that do not concern limits.
type unlimitedScheduler struct{ *Entry }

func (s unlimitedScheduler) schedule(_ context.Context, w *waitingRequest) placement {
	b := s.board.load()
	var best *Engine
	for id, n := range b.Engines {
		usable := n.acceptsWork(b.View) && n.servesModel(b.View, w.request.Model) && !w.avoid[id]
		if usable && (best == nil || n.counters.inFlight.Load() < best.counters.inFlight.Load()) {
			best = n
		}
	}
	if best == nil {
		return placement{err: serving.NewError(serving.KindNoEngine, "no engine")}
	}
	slot := dispatch.Slot{ID: "open", Engine: best.Engine, Incarnation: best.Incarnation}
	return placement{engine: best.Engine, slot: slot, generation: serving.GenerationID(newID())}
}

func (s unlimitedScheduler) release(...dispatch.Slot)                                           {}
func (s unlimitedScheduler) firstToken(serving.EngineID, serving.GenerationID)                  {}
func (s unlimitedScheduler) progress(serving.EngineID, serving.GenerationID, serving.Tokens)    {}
func (s unlimitedScheduler) done(*serving.Request, placement, serving.Tokens, dispatch.Outcome) {}

func newEntry(s *settings.Settings) *Entry {
	eventLog := NewEventLog(s)
	clients := NewClients(s, eventLog)
	return New(s, serving.NewMonotonicClock(), eventLog, clients, NewClaims(s, eventLog, clients))
}

func newTestEntry(t testing.TB, engines ...*Engine) *testEntry {
	t.Helper()
	e := &testEntry{Entry: newEntry(testSettings(t))}
	e.scheduler = unlimitedScheduler{e.Entry}
	e.setBoard(t, testConfig(), engines...)
	e.server = httptest.NewUnstartedServer(nil)
	e.server.Config = e.newServer()
	e.server.Start()
	t.Cleanup(func() {
		e.server.Close()
		e.background.Wait()
		e.upstream.CloseIdleConnections()
	})
	return e
}

func (e *testEntry) setBoard(t testing.TB, c *schema.ConfigView, engines ...*Engine) {
	t.Helper()
	v, err := registry.NewView(c)
	assert.NilError(t, err)
	b := &Blackboard{View: &View{View: v, ConfirmedAt: e.Clock.Now() + time.Hour}, Engines: map[serving.EngineID]*Engine{}}
	for _, n := range engines {
		b.Engines[n.Engine] = n
	}
	e.board.snapshot.Store(b)
}

func (e *testEntry) do(t testing.TB, method, path, key string, header map[string]string, body string) *received {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), method, e.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer res.Body.Close()
	return readAll(t, res)
}

func (e *testEntry) stream(t testing.TB) *received {
	t.Helper()
	return e.do(t, http.MethodPost, "/v1/completions", testKey, nil, `{"model":"guide","prompt":"p","stream":true}`)
}

// received is the response that a caller received.
type received struct {
	status     int
	frames     []generation.Frame
	ids        []string
	done       bool
	err        errorAnswer
	completion completionAnswer
}

func readAll(t testing.TB, res *http.Response) *received {
	t.Helper()
	got := &received{status: res.StatusCode}
	if res.Header.Get("Content-Type") != "text/event-stream" {
		b, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		_ = json.Unmarshal(b, &got.err)
		_ = json.Unmarshal(b, &got.completion)
		return got
	}
	scanner, isError := bufio.NewScanner(res.Body), false
	for scanner.Scan() {
		line := scanner.Text()
		isError = isError || line == "event: error"
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			got.ids = append(got.ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			got.done = true
		case isError:
			assert.NilError(t, json.Unmarshal([]byte(data), &got.err))
		default:
			var f generation.Frame
			assert.NilError(t, json.Unmarshal([]byte(data), &f))
			got.frames = append(got.frames, f)
		}
	}
	return got
}

// checkFrames checks that the frames belong to one generation and have the indexes
// [from, to) in order.
func (r *received) checkFrames(t testing.TB, from, to int) {
	t.Helper()
	assert.Equal(t, len(r.frames), to-from, "%+v", r)
	for i, f := range r.frames {
		assert.Equal(t, int(f.Index), from+i)
		assert.Equal(t, f.Token, token(string(f.GenerationID), from+i))
		assert.Equal(t, f.GenerationID, r.frames[0].GenerationID)
	}
}

func token(id string, i int) string { return fmt.Sprintf("%s-%d ", id, i) }
