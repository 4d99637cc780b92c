package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/load"
	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// fakeEntry serves the call endpoints of an entry and the fault endpoint of an
// engine, and records the bodies that it receives.
type fakeEntry struct {
	// change alters the frames of an answer; nil sends a correct answer.
	change func(frames []standin.Frame) []standin.Frame
	// end is sent after the frames; empty means the regular [DONE] event.
	end string
	// refuse makes it refuse each call as overloaded.
	refuse bool
	// silent makes it hold each call without a response until the caller cancels.
	silent bool

	mu     sync.Mutex
	bodies []string
	faults []string
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	f.mu.Lock()
	n := len(f.bodies)
	if r.URL.Path == "/v1/faults" {
		f.faults = append(f.faults, body.String())
		f.mu.Unlock()
		return
	}
	f.bodies = append(f.bodies, body.String())
	f.mu.Unlock()
	id := fmt.Sprintf("r%d", n)
	w.Header().Set("X-Request-Id", id)
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/services/"):
		key := r.Header.Get("Idempotency-Key")
		_ = json.NewEncoder(w).Encode(standin.CallAnswer{Key: "bench:" + key, Status: "ran", Ran: 1 + n})
	case f.refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error": {"kind": "overloaded", "ran": "not_run"}}`)
	case f.silent:
		<-r.Context().Done()
	default:
		c, _ := standin.DecodeCompletion(&body)
		f.answer(w, frames(serving.RequestID(id), c.TestLength))
	}
}

func frames(id serving.RequestID, n int) (all []standin.Frame) {
	for i := range n {
		all = append(all, standin.Frame{RequestID: id, GenerationID: "g", Index: i, Token: standin.TokenText(id, "g", i)})
	}
	all[n-1].FinishReason = "stop"
	return all
}

func (f *fakeEntry) answer(w http.ResponseWriter, all []standin.Frame) {
	if f.change != nil {
		all = f.change(all)
	}
	for _, frame := range all {
		data, _ := json.Marshal(frame)
		fmt.Fprintf(w, "data: %s\n\n", data)
	}
	end := f.end
	if end == "" {
		end = "data: [DONE]\n\n"
	}
	fmt.Fprint(w, end)
}

// runCommand runs a command against a fake entry and returns its report.
func runCommand(t *testing.T, f *fakeEntry, change func(*load.Command)) (*load.Report, error) {
	t.Helper()
	server := httptest.NewServer(f)
	defer server.Close()
	c := &load.Command{
		Entries: []string{server.Listener.Addr().String()}, Accounts: []string{"bench:key"}, Model: "guide",
		Seed: 3, Rate: 100, Duration: 200 * time.Millisecond, Drain: 2 * time.Second, Arrivals: "poisson",
		Dwell: time.Second, Lengths: "lognormal:20:0.5:40", Prompts: "pareto:5:1.5:50", Prefixes: 2, PrefixTokens: 8,
		Streamed: 1, FirstTokenTimeout: time.Second, StallBound: 73 * time.Millisecond, Service: "counter", OrderPath: "/orders",
		MaxCalls: 10, MaxInFlight: 10, Output: "json", Errors: io.Discard,
	}
	if change != nil {
		change(c)
	}
	var out bytes.Buffer
	err := c.Run(t.Context(), &out)
	r := &load.Report{}
	assert.NilError(t, json.Unmarshal(out.Bytes(), r), "%v", err)
	return r, err
}

// Guards against incorrect answers that are reported as complete.
func TestWrongAnswersAreDetected(t *testing.T) {
	tests := []struct {
		name   string
		change func([]standin.Frame) []standin.Frame
	}{
		{"repeated token", func(f []standin.Frame) []standin.Frame { return append(f[:1:1], f...) }},
		{"missing token", func(f []standin.Frame) []standin.Frame { return slices.Delete(f, 1, 2) }},
		{"swapped tokens", func(f []standin.Frame) []standin.Frame { f[0], f[1] = f[1], f[0]; return f }},
		{"short answer", func(f []standin.Frame) []standin.Frame { return f[:len(f)-1] }},
		{"other request", func(f []standin.Frame) []standin.Frame { f[1].RequestID = "other"; return f }},
		{"two generations", func(f []standin.Frame) []standin.Frame {
			f[1].GenerationID, f[1].Token = "h", standin.TokenText(f[1].RequestID, "h", 1)
			return f
		}},
		{"other text", func(f []standin.Frame) []standin.Frame { f[1].Token = "x"; return f }},
		{"token after the end", func(f []standin.Frame) []standin.Frame { f[1].FinishReason = "stop"; return f }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r, err := runCommand(t, &fakeEntry{change: tc.change}, nil)
			assert.ErrorContains(t, err, "wrong")
			assert.Assert(t, r.WrongAnswers > 0 && r.Completed == 0)
			assert.Assert(t, strings.HasPrefix(r.Wrong[0], "request r"), r.Wrong[0])
		})
	}
}

// Guards against outcomes that are counted under another name, or twice.
func TestOutcomesAreCountedSeparately(t *testing.T) {
	lost := "event: error\ndata: {\"error\": {\"kind\": \"generation_lost\"}}\n\n"
	half := func(f []standin.Frame) []standin.Frame { return f[:len(f)/2] }
	tests := []struct {
		name  string
		entry *fakeEntry
		count func(*load.Report) int64
	}{
		{"complete", &fakeEntry{}, func(r *load.Report) int64 { return r.Completed }},
		{"refused", &fakeEntry{refuse: true}, func(r *load.Report) int64 { return r.Refused["overloaded"] }},
		{"error event", &fakeEntry{change: half, end: lost}, func(r *load.Report) int64 { return r.CutBy["generation_lost"] }},
		{"no end", &fakeEntry{change: half, end: "\n"}, func(r *load.Report) int64 { return r.CutBy["connection"] }},
		{"no token", &fakeEntry{change: func([]standin.Frame) []standin.Frame { return nil }, end: "\n"}, func(r *load.Report) int64 { return r.Lost }},
		{"no response", &fakeEntry{silent: true}, func(r *load.Report) int64 { return r.TimedOut }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r, err := runCommand(t, tc.entry, func(c *load.Command) { c.FirstTokenTimeout = 300 * time.Millisecond })
			assert.NilError(t, err)
			assert.Assert(t, r.Offered > 0)
			assert.Equal(t, tc.count(r), r.Offered)
			assert.Equal(t, r.Completed+r.TimedOut+r.Cut+r.Lost+r.Refused["overloaded"], r.Offered)
		})
	}
}

// Guards against an order that ran twice and is not reported as a wrong answer.
func TestOrderThatRanTwiceIsWrong(t *testing.T) {
	r, err := runCommand(t, &fakeEntry{}, func(c *load.Command) { c.Orders, c.Resent, c.MaxCalls = 1, 1, 1 })
	assert.ErrorContains(t, err, "wrong")
	assert.Equal(t, r.WrongAnswers, int64(1))
	assert.Assert(t, strings.Contains(r.Wrong[0], "ran 2 times"), r.Wrong[0])
}

// Guards against different calls in two runs with the same seed.
func TestSeedGivesTheSameCalls(t *testing.T) {
	var calls [2][]string
	for i := range calls {
		f := &fakeEntry{}
		_, err := runCommand(t, f, func(c *load.Command) { c.Arrivals, c.Swing, c.Batch = "bursts", 0.5, 0.5 })
		assert.NilError(t, err)
		slices.Sort(f.bodies)
		calls[i] = f.bodies
	}
	assert.Assert(t, len(calls[0]) > 1)
	assert.DeepEqual(t, calls[0], calls[1])
}

// Guards against a fault step that is skipped or sent with another body.
func TestStepInjectsFault(t *testing.T) {
	f := &fakeEntry{}
	_, err := runCommand(t, f, func(c *load.Command) { c.Steps = []string{"10ms:fault:" + c.Entries[0] + `:{"fault":"cold"}`} })
	assert.NilError(t, err)
	assert.DeepEqual(t, f.faults, []string{`{"fault":"cold"}`})
}

// Guards against contradictory or incomplete command lines that start a run.
func TestInvalidCommandLines(t *testing.T) {
	for _, change := range []func(*load.Command){
		func(c *load.Command) { c.Entries = nil },
		func(c *load.Command) { c.Load = 0.5 },
		func(c *load.Command) { c.Rate, c.Load = 0, 0.5 },
		func(c *load.Command) { c.Lengths = "lognormal:1:2" },
		func(c *load.Command) { c.Accounts = []string{"a:k:0"} },
		func(c *load.Command) { c.Steps = []string{"1s:take-out:data-centre:leon-1"} },
		func(c *load.Command) { c.Steps = []string{"1s:explode:x"} },
		func(c *load.Command) { c.WarmUp = c.Duration },
	} {
		c := load.Command{
			Entries: []string{"127.0.0.1:1"}, Accounts: []string{"a:k"}, Model: "m", Rate: 1, Duration: time.Second, Arrivals: "poisson", Dwell: 1,
			Lengths: "lognormal:1:1:1", Prompts: "lognormal:1:1:1", FirstTokenTimeout: 1, StallBound: 1, MaxCalls: 1, MaxInFlight: 1,
		}
		change(&c)
		assert.Equal(t, serving.KindOf(c.Run(t.Context(), &bytes.Buffer{})), serving.KindInvalid)
	}
}

func ExampleCommand() {
	server := httptest.NewServer(&fakeEntry{})
	defer server.Close()
	c := load.Command{
		Entries: []string{server.Listener.Addr().String()}, Accounts: []string{"bench:key:1"}, Model: "guide",
		Rate: 50, Duration: 100 * time.Millisecond, Drain: time.Second, Arrivals: "poisson", Dwell: time.Second,
		Lengths: "lognormal:20:0.5:40", Prompts: "lognormal:20:0.5:40", Streamed: 1,
		FirstTokenTimeout: time.Second, StallBound: 73 * time.Millisecond, MaxCalls: 10, MaxInFlight: 10,
	}
	var table bytes.Buffer
	fmt.Println(c.Run(context.Background(), &table), table.Len() > 0)
	// Output: <nil> true
}
