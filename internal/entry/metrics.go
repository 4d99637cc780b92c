package entry

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// minLatency and maxLatency bound the latencies that the histograms record, in
	// microseconds. Values outside are recorded as the bound.
	minLatency, maxLatency = 1, 10 * 60 * 1e6
	latencyDigits          = 2
)

// outcomeComplete is the outcome of a request that was answered completely. Other
// outcomes are kinds of errors.
const outcomeComplete = "complete"

// metrics holds the metrics of one entry. They are not published through expvar's
// global table, because one process can run several entries.
type metrics struct {
	outcomes expvar.Map
	tokens   expvar.Int
	inFlight expvar.Int
	attempts expvar.Int
	resumes  expvar.Int
	// repeated and foreign count dropped frames: those that had already arrived, and
	// those of another request or generation.
	repeated expvar.Int
	foreign  expvar.Int
	// settled counts settled claims by their state.
	settled    expvar.Map
	firstToken latencies
	interToken latencies
}

func newMetrics() *metrics {
	m := &metrics{firstToken: newLatencies(), interToken: newLatencies()}
	m.outcomes.Init()
	m.settled.Init()
	return m
}

// countOutcome counts the end of a request.
func (m *metrics) countOutcome(err error) {
	if err == nil {
		m.outcomes.Add(outcomeComplete, 1)
		return
	}
	m.outcomes.Add(string(outcomeKind(err)), 1)
}

// outcomeKind returns the outcome of a request that failed with err.
func outcomeKind(err error) serving.Kind {
	if err == errCallerGone { //nolint:errorlint // The value is never wrapped.
		return "caller_gone"
	}
	return serving.KindOf(err)
}

// latencies is a histogram of durations in microseconds. It is safe for concurrent use.
type latencies struct {
	mu        *sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{mu: new(sync.Mutex), histogram: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
}

// observe records the duration d n times.
func (l latencies) observe(d time.Duration, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValues(min(max(d.Microseconds(), minLatency), maxLatency), n)
}

// String returns the count, quantiles and maximum as JSON.
func (l latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histogram
	return fmt.Sprintf(`{"count": %d, "p50_us": %d, "p99_us": %d, "max_us": %d}`,
		h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max())
}

// vars handles GET /debug/vars. It returns the expvar variables of the process and the
// metrics of this entry.
func (e *Entry) vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, "{")
	expvar.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value) })
	m := e.metrics
	b := e.board.load()
	age, revision := int64(-1), uint64(0)
	if b.View != nil {
		age, revision = e.viewAge(b).Milliseconds(), uint64(b.View.Revision())
	}
	fmt.Fprintf(w, `"entry": {"requests": %s, "tokens": %s, "in_flight": %s, "attempts": %s, "resumes": %s,
"dropped_repeated": %s, "dropped_foreign": %s, "claims_settled": %s, "first_token": %s, "inter_token": %s,
"engines": %d, "view_age_ms": %d, "view_revision": %d}}`+"\n",
		&m.outcomes, &m.tokens, &m.inFlight, &m.attempts, &m.resumes, &m.repeated, &m.foreign, &m.settled,
		m.firstToken, m.interToken, len(b.Engines), age, revision)
}
