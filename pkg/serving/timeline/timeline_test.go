package timeline

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func fixedClock() *Clock { return &Clock{Physical: func() time.Time { return epoch }} }

// Guards against an effect with an earlier time than its cause when clocks are
// skewed or jump backwards.
func TestClockOrdersCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offsets := make([]time.Duration, 3)
		clocks := make([]*Clock, 3)
		for i := range clocks {
			clocks[i] = &Clock{Physical: func() time.Time { return epoch.Add(offsets[i]) }}
		}
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			offsets[from] = time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			before := clocks[to].Now()
			sent := clocks[from].Now()
			if err := clocks[to].Observe(sent); err != nil {
				t.Fatal(err)
			}
			if after := clocks[to].Now(); after.Compare(sent) <= 0 || after.Compare(before) <= 0 {
				t.Fatalf("%v sent, %v before, %v after", sent, before, after)
			}
		}
	})
}

// Guards against one wrong host clock that advances the clocks of all processes,
// and against an overflow of the logical counter.
func TestClockBounds(t *testing.T) {
	c := fixedClock()
	c.MaxSkew = time.Second
	assert.ErrorContains(t, c.Observe(Time{WallUS: epoch.Add(1001 * time.Millisecond).UnixMicro()}), "synchronize")
	assert.Equal(t, c.Rejected(), int64(1))
	assert.Equal(t, c.Now(), Time{WallUS: epoch.UnixMicro()})
	assert.NilError(t, c.Observe(Time{WallUS: epoch.UnixMicro(), Logical: 1<<32 - 1}))
	assert.Equal(t, c.Now(), Time{WallUS: epoch.UnixMicro() + 1})
}

// Guards against header values that change when they are parsed and formatted, and
// against invalid ones that are accepted.
func TestParseTime(t *testing.T) {
	tests := []struct {
		text string
		ok   bool
	}{{"1.2", true}, {"0.4294967295", true}, {"1", false}, {"-1.0", false}, {"1.-1", false}, {"1.4294967296", false}, {"", false}, {"x.1", false}}
	for _, tt := range tests {
		got, err := ParseTime(tt.text)
		assert.Equal(t, err == nil, tt.ok, tt.text)
		if tt.ok {
			assert.Equal(t, got.String(), tt.text)
		}
	}
}

// Guards against a wrapper that does not propagate the clock in both directions,
// hides http.Flusher, or sets the header after the body was sent.
func TestHTTPCarriesClock(t *testing.T) {
	ahead := &Clock{Physical: func() time.Time { return epoch.Add(2 * time.Second) }}
	behind := fixedClock()
	var inHandler Time
	server := httptest.NewServer(Handler(behind, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		inHandler = behind.Now()
		_, ok := w.(http.Flusher)
		assert.Check(t, ok)
		assert.Check(t, http.NewResponseController(w).Flush())
		fmt.Fprint(w, "x")
	})))
	defer server.Close()
	sent := ahead.Now()
	client := &http.Client{Transport: RoundTripper(ahead, http.DefaultTransport)}
	resp, err := client.Get(server.URL)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Assert(t, inHandler.Compare(sent) > 0)
	got, err := ParseTime(resp.Header.Get(Header))
	assert.NilError(t, err)
	assert.Assert(t, got.Compare(inHandler) > 0)
	assert.Assert(t, ahead.Now().Compare(got) > 0)
}

func runLog(t *testing.T, l *Log) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, l.Run(ctx))
}

// Guards against a log that exceeds its size limit or loses its newest events in a
// rotation.
func TestLogIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events.jsonl")
	l := NewLog(path, "p", fixedClock())
	l.MaxBytes = 4096
	for i := range 200 {
		l.Add("kind", "r", "n", fmt.Sprint(i))
	}
	runLog(t, l)
	total := int64(0)
	for _, p := range []string{path, path + rotatedSuffix} {
		info, err := os.Stat(p)
		assert.NilError(t, err)
		total += info.Size()
	}
	assert.Assert(t, total <= 4096, total)
	events, skipped, err := ReadFiles(path)
	assert.NilError(t, err)
	assert.Equal(t, skipped, 0)
	assert.Assert(t, len(events) >= 10)
	assert.Equal(t, events[len(events)-1].Detail(), "n=199")
}

// Guards against an Add that blocks on a full buffer, and against dropped events
// that are not reported.
func TestLogDropsInsteadOfWaiting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events.jsonl")
	l := NewLog(path, "p", fixedClock())
	for range bufferedEvents + 7 {
		l.Add("kind", "")
	}
	assert.Equal(t, l.Dropped(), int64(7))
	runLog(t, l)
	events, _, err := ReadFiles(path)
	assert.NilError(t, err)
	assert.Equal(t, len(events), bufferedEvents+1)
	last := events[len(events)-1]
	assert.Equal(t, last.Kind, KindDropped)
	assert.Equal(t, last.Attributes["count"], "7")
}

// Guards against the loss of an event that is appended to the incomplete last line
// of a crashed process.
func TestIncompleteLastLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events.jsonl")
	for range 2 {
		l := NewLog(path, "p", fixedClock())
		l.Add("kind", "r")
		runLog(t, l)
		f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		assert.NilError(t, err)
		_, err = f.WriteString(`{"wall_us":1,"proc`)
		assert.NilError(t, err)
		assert.NilError(t, f.Close())
	}
	events, skipped, err := ReadFiles(path)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, skipped, 2)
}

// Guards against a merge that depends on the order of the logs.
func TestMerge(t *testing.T) {
	a := []Event{{Time: Time{1, 0}, Process: "a", Kind: "1"}, {Time: Time{2, 1}, Process: "a", Kind: "4"}}
	b := []Event{{Time: Time{1, 0}, Process: "b", Kind: "2"}, {Time: Time{2, 0}, Process: "b", Kind: "3"}}
	for _, merged := range [][]Event{Merge(a, b), Merge(b, a)} {
		kinds := ""
		for _, e := range merged {
			kinds += e.Kind
		}
		assert.Equal(t, kinds, "1234")
	}
}

// Guards against event data that is not escaped, missing lanes, and pages that load
// other files.
func TestWriteHTML(t *testing.T) {
	var b strings.Builder
	events := []Event{
		{Time: Time{epoch.UnixMicro(), 0}, Process: "entry-1", Kind: "sent", RequestID: `"><script>alert(1)</script>`},
		{Time: Time{epoch.UnixMicro(), 1}, Process: "e1", Kind: "given", Attributes: map[string]string{"b": "2", "a": "1"}},
	}
	assert.NilError(t, WriteHTML(&b, events))
	html := b.String()
	assert.Assert(t, !strings.Contains(html, "<script>alert"))
	assert.Assert(t, strings.Contains(html, "a=1 b=2"))
	assert.Equal(t, strings.Count(html, `class="row"`), 2)
	assert.Assert(t, strings.Contains(html, "<span>e1</span><span>entry-1</span>"))
	for _, s := range []string{"src=", "href=", "http:", "https:", "url("} {
		assert.Assert(t, !strings.Contains(html, s), s)
	}
}

// Guards against logs for which Decode fails, counts more events than lines, or
// returns events that WriteTable cannot write.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"wall_us":1,"logical":2,"process":"p","kind":"k","request_id":"r","attributes":{"a":"b"}}` + "\n" + `{"wall_us":1,"pro`))
	f.Add([]byte("null\n[]\n\n{}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		events, skipped, err := Decode(bytes.NewReader(data))
		assert.NilError(t, err)
		if len(events)+skipped > bytes.Count(data, []byte("\n"))+1 {
			t.Fatalf("%d events and %d skipped lines", len(events), skipped)
		}
		assert.NilError(t, WriteTable(&bytes.Buffer{}, Merge(events)))
	})
}

// BenchmarkAdd measures the cost of Add for the caller, for written and dropped
// events together.
func BenchmarkAdd(b *testing.B) {
	l := NewLog(filepath.Join(b.TempDir(), "events.jsonl"), "p", &Clock{Physical: time.Now})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- l.Run(ctx) }()
	for b.Loop() {
		l.Add("kind", "r", "engine", "e1")
	}
	cancel()
	assert.NilError(b, <-done)
	b.ReportMetric(float64(l.Dropped())/float64(b.N), "dropped/op")
}
