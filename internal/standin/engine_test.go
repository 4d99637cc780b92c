package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// start runs an engine with fast steps. The returned channel receives the result of Run.
func start(t *testing.T, e *Engine) <-chan error {
	t.Helper()
	if e.Timing == (Timing{}) {
		e.Timing = Timing{Base: time.Millisecond, PrefillPerStep: 512}
	}
	if e.ColdFor == 0 {
		e.ColdFor = -1
	}
	if e.Kind != engine.KindService && e.Models == nil {
		e.Models = testModels
	}
	assert.NilError(t, e.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	ended := make(chan struct{})
	go func() { done <- e.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return done
}

// answer is a response whose body is closed at the end of the test.
type answer struct {
	status int
	body   io.Reader
}

func call(t *testing.T, e *Engine, method, path, body string, headers ...string) (*answer, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+e.Addr()+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return &answer{resp.StatusCode, resp.Body}, nil
}

func complete(t *testing.T, e *Engine, id, body string) *answer {
	t.Helper()
	a, err := call(t, e, http.MethodPost, "/v1/completions", body, "X-Request-Id", "r"+id, "X-Generation-Id", "g"+id)
	assert.NilError(t, err)
	return a
}

// frames reads a stream and reports whether it ended with [DONE].
func frames(t *testing.T, r io.Reader) (fs []Frame, done bool) {
	t.Helper()
	s := bufio.NewScanner(r)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		switch {
		case data == "[DONE]":
			return fs, true
		case ok:
			var f Frame
			assert.NilError(t, json.Unmarshal([]byte(data), &f))
			fs = append(fs, f)
		}
	}
	return fs, false
}

func indexes(fs []Frame) (is []int) {
	for _, f := range fs {
		is = append(is, f.Index)
	}
	return is
}

// Guards against tokens that do not depend on the ids, and against a resumed stream that
// differs from the original one.
func TestCompleteAndResume(t *testing.T) {
	e := &Engine{Name: "e1"}
	start(t, e)
	first, done := frames(t, complete(t, e, "1", `{"prompt":"p","test_length":20}`).body)
	assert.Assert(t, done)
	assert.Equal(t, len(first), 20)
	assert.Equal(t, first[19].FinishReason, "stop")
	resp, err := call(t, e, http.MethodGet, "/v1/generations/g1?from=7", "")
	assert.NilError(t, err)
	rest, done := frames(t, resp.body)
	assert.Assert(t, done)
	assert.DeepEqual(t, rest, first[7:])
	second, _ := frames(t, complete(t, e, "2", `{"prompt":"p","max_tokens":20,"test_length":30}`).body)
	assert.Equal(t, len(second), 20)
	assert.Equal(t, second[19].FinishReason, "length")
	assert.Assert(t, first[3].Token != second[3].Token)
}

// Guards against invalid requests that are run, and refusals without an error kind.
func TestRefusals(t *testing.T) {
	e := &Engine{Name: "e1", Capacity: DefaultCapacity}
	start(t, e)
	complete(t, e, "used", `{"test_length":1}`)
	tests := []struct {
		name, id, body string
		status         int
		kind           string
	}{
		{"broken body", "1", `{`, 400, "invalid"},
		{"negative length", "1", `{"max_tokens":-1}`, 400, "invalid"},
		{"unknown model", "1", `{"model":"x"}`, 404, "unknown_model"},
		{"prompt over memory", "1", `{"prompt":"` + strings.Repeat("x", 70000) + `"}`, 413, "too_large"},
		{"generation id in use", "used", `{}`, 409, "conflict"},
	}
	for _, tt := range tests {
		resp := complete(t, e, tt.id, tt.body)
		assert.Equal(t, resp.status, tt.status, tt.name)
		body, _ := io.ReadAll(resp.body)
		assert.Assert(t, bytes.Contains(body, []byte(`"kind":"`+tt.kind+`"`)), "%s: %s", tt.name, body)
	}
}

// Guards against a cancellation after which the generation can still be resumed or its stream
// ends as if it were complete.
func TestCancelAbortsStream(t *testing.T) {
	e := &Engine{Name: "e1"}
	start(t, e)
	resp := complete(t, e, "1", `{"test_length":10000}`)
	_, err := call(t, e, http.MethodDelete, "/v1/generations/g1", "")
	assert.NilError(t, err)
	_, done := frames(t, resp.body)
	assert.Assert(t, !done)
	resumed, err := call(t, e, http.MethodGet, "/v1/generations/g1", "")
	assert.NilError(t, err)
	assert.Equal(t, resumed.status, 404)
}

// Guards against stream faults without effect or with the effect of another fault.
func TestStreamFaults(t *testing.T) {
	tests := []struct {
		fault   Fault
		indexes []int
		request string
	}{
		{Fault{Name: "repeat"}, []int{0, 0, 1, 1, 2, 2}, "r1"},
		{Fault{Name: "drop"}, nil, "r1"},
		{Fault{Name: "reorder"}, []int{1, 0, 2}, "r1"},
		{Fault{Name: "crossed"}, []int{0, 1, 2}, "crossed"},
		{Fault{Name: "clear"}, []int{0, 1, 2}, "r1"},
	}
	for _, tt := range tests {
		t.Run(tt.fault.Name, func(t *testing.T) {
			e := &Engine{Name: "e1"}
			start(t, e)
			body, _ := json.Marshal(tt.fault)
			resp, err := call(t, e, http.MethodPost, "/v1/faults", string(body))
			assert.NilError(t, err)
			assert.Equal(t, resp.status, 200)
			fs, done := frames(t, complete(t, e, "1", `{"test_length":3}`).body)
			assert.Assert(t, done)
			assert.DeepEqual(t, indexes(fs), tt.indexes)
			for _, f := range fs {
				assert.Equal(t, string(f.RequestID), tt.request)
			}
		})
	}
}

// Guards against faults "stall" and "late" that end early or never end.
func TestDelayFaults(t *testing.T) {
	for _, f := range []Fault{{Name: "stall", DurationMS: 300}, {Name: "late", DelayMS: 300}} {
		e := &Engine{Name: "e1"}
		start(t, e)
		begin := time.Now()
		assert.NilError(t, e.Inject(f))
		fs, done := frames(t, complete(t, e, "1", `{"test_length":3}`).body)
		assert.Assert(t, done)
		assert.Equal(t, len(fs), 3)
		assert.Assert(t, time.Since(begin) >= 300*time.Millisecond, f.Name)
	}
}

// Guards against refused requests that are run, a crash that does not abort streams, and
// unknown fault names that are accepted.
func TestRefuseAndCrash(t *testing.T) {
	e := &Engine{Name: "e1"}
	done := start(t, e)
	assert.ErrorContains(t, e.Inject(Fault{Name: "nothing"}), "unknown fault")
	assert.NilError(t, e.Inject(Fault{Name: "refuse"}))
	assert.Equal(t, complete(t, e, "1", `{}`).status, 503)
	assert.Equal(t, len(e.Record.Events()), 0)
	assert.NilError(t, e.Inject(Fault{Name: "clear"}))
	resp := complete(t, e, "2", `{"test_length":10000}`)
	assert.NilError(t, e.Inject(Fault{Name: "die"}))
	assert.Assert(t, errors.Is(<-done, ErrCrashed))
	_, ended := frames(t, resp.body)
	assert.Assert(t, !ended)
}

// Guards against a leaving engine that aborts an answer, does not exit, or does not announce
// that it is leaving.
func TestLeaveCompletesRunningGenerations(t *testing.T) {
	states := make(chan string, 100)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		states <- string(a.State)
		reply(w, engine.Reply{}, nil)
	}))
	defer entry.Close()
	e := &Engine{Name: "e1", Entries: []string{entry.Listener.Addr().String()}, AnnounceEvery: 50 * time.Millisecond}
	done := start(t, e)
	resp := complete(t, e, "1", `{"test_length":300}`)
	_, err := call(t, e, http.MethodPost, "/v1/reclaim", `{"deadline_ms":60000}`)
	assert.NilError(t, err)
	fs, ended := frames(t, resp.body)
	assert.Assert(t, ended)
	assert.Equal(t, len(fs), 300)
	assert.NilError(t, <-done)
	close(states)
	last := ""
	for s := range states {
		last = s
	}
	assert.Equal(t, last, "leaving")
}

// Guards against announcements that keep going to an unreachable entry instead of the next
// one, or that are not sent to the owner named in the reply.
func TestAnnounceFollowsOwner(t *testing.T) {
	got := make(chan string, 100)
	serve := func(name string, answer *engine.Reply) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") == "Bearer key" {
				got <- name
			}
			reply(w, answer, nil)
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	answer := &engine.Reply{}
	owner := serve("owner", answer)
	*answer = engine.Reply{Owner: owner}
	entry := serve("entry", answer)
	e := &Engine{Name: "e1", ClusterKey: "key", Entries: []string{"127.0.0.1:1", entry}, AnnounceEvery: 20 * time.Millisecond}
	start(t, e)
	assert.Equal(t, <-got, "entry")
	assert.Equal(t, <-got, "owner")
	assert.Equal(t, <-got, "owner")
}

// Guards against a record that misses a run of a key when the service crashes, or that is
// lost with the process.
func TestServiceCountsRuns(t *testing.T) {
	tests := []struct {
		fault  string
		status string
		ran    int
	}{{"die_before", "not_run", 0}, {"die_after", "ran", 1}, {"late", "ran", 2}}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "record.jsonl")
			e := &Engine{Name: "s1", Kind: engine.KindService, Record: &Record{Path: path}}
			start(t, e)
			assert.NilError(t, e.Inject(Fault{Name: tt.fault, DelayMS: 10}))
			for range 2 {
				_, _ = call(t, e, http.MethodPost, "/v1/call/orders/new", `{}`, "Idempotency-Key", "k")
			}
			other := &Engine{Name: "s2", Kind: engine.KindService, Record: &Record{Path: path}}
			start(t, other)
			resp, err := call(t, other, http.MethodGet, "/v1/calls/k", "")
			assert.NilError(t, err)
			var a CallAnswer
			assert.NilError(t, decode(resp.body, &a))
			assert.Equal(t, a.Status, tt.status)
			assert.Equal(t, a.Ran, tt.ran)
		})
	}
}

// Guards against a record without the start or the end of a generation.
func TestRecordContainsAllWork(t *testing.T) {
	e := &Engine{Name: "e1", ColdFor: time.Hour, ColdFactor: 1}
	start(t, e)
	frames(t, complete(t, e, "1", `{"test_length":3}`).body)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(e.Record.Events()) == 2 {
			return poll.Success()
		}
		return poll.Continue("not ended")
	})
	given, ended := e.Record.Events()[0], e.Record.Events()[1]
	assert.Equal(t, given.Event, "given")
	assert.Equal(t, string(given.RequestID), "r1")
	assert.Assert(t, given.Cold)
	assert.Equal(t, given.Running+given.Queued, 1)
	assert.Equal(t, ended.Event, "finished")
	assert.Equal(t, ended.Tokens, 3)
}

// BenchmarkStreams measures 16 concurrent answers of 100 tokens each over HTTP.
func BenchmarkStreams(b *testing.B) {
	e := &Engine{Name: "e1", Models: testModels, ColdFor: -1, Timing: Timing{Base: time.Microsecond, PrefillPerStep: 4096}}
	if err := e.Listen(); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- e.Run(ctx) }()
	n := 0
	for b.Loop() {
		var g errgroup.Group
		for range 16 {
			n++
			id := strconv.Itoa(n)
			g.Go(func() error {
				r, err := http.NewRequest(http.MethodPost, "http://"+e.Addr()+"/v1/completions", strings.NewReader(`{"test_length":100}`))
				if err != nil {
					return err
				}
				r.Header.Set("X-Request-Id", id)
				r.Header.Set("X-Generation-Id", id)
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					return err
				}
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(n*100)/b.Elapsed().Seconds(), "tokens/s")
	cancel()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}

// Guards against a leaving service that exits after it ran a call and before it sent the
// answer.
func TestLeaveAnswersCalls(t *testing.T) {
	e := &Engine{Name: "s1", Kind: engine.KindService, Latency: time.Millisecond, AnnounceEvery: 10 * time.Millisecond}
	done := start(t, e)
	assert.NilError(t, e.Inject(Fault{Name: "late", DelayMS: 500}))
	leaveTimer := time.AfterFunc(100*time.Millisecond, func() { e.Leave(0) })
	defer leaveTimer.Stop()
	resp, err := call(t, e, http.MethodPost, "/v1/call/orders", `{}`, "Idempotency-Key", "k")
	assert.NilError(t, err)
	var a CallAnswer
	assert.NilError(t, decode(resp.body, &a))
	assert.Equal(t, a.Ran, 1)
	assert.NilError(t, <-done)
}

// Guards against a fault "crossed" that sends fabricated frames although the engine has a
// generation of another request. A caller is more likely to mistake the frames of a real
// generation for its own than fabricated ones.
func TestCrossedCarriesAnotherAnswer(t *testing.T) {
	e := &Engine{Name: "e1"}
	start(t, e)
	own, _ := frames(t, complete(t, e, "1", `{"test_length":5}`).body)
	assert.NilError(t, e.Inject(Fault{Name: "crossed"}))
	crossed, done := frames(t, complete(t, e, "2", `{"test_length":9}`).body)
	assert.Assert(t, done)
	assert.DeepEqual(t, crossed, own)
}

// Guards against a restarted, cold engine that accepts work granted to an earlier
// incarnation.
func TestCheckIncarnation(t *testing.T) {
	e := &Engine{Incarnation: 7}
	tests := []struct {
		header string
		ok     bool
	}{{"", true}, {"7", true}, {"6", false}, {"8", false}, {"x", false}}
	for _, tt := range tests {
		assert.Equal(t, e.checkIncarnation(tt.header) == nil, tt.ok, tt.header)
	}
}
