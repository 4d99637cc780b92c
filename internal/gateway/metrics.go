package gateway

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var (
	inProgress   = expvar.NewInt("calls_in_progress")
	answered     = expvar.NewMap("calls_answered")
	refused      = expvar.NewMap("calls_refused")
	callsRetried = expvar.NewInt("calls_repeated")
	callsWaited  = expvar.NewInt("calls_waited")
	hubPolls     = expvar.NewInt("hub_polls")
	moves        = expvar.NewMap("streams_moved")
	// stopEvidence counts the orders to stop a generation by what then showed that the engine no
	// longer works on it.
	stopEvidence     = expvar.NewMap("stop_evidence")
	streamsLost      = expvar.NewInt("streams_lost")
	answersTruncated = expvar.NewMap("answers_truncated")
	answersUnsigned  = expvar.NewInt("answers_unsigned")
	answersMalformed = expvar.NewInt("answers_malformed")
	takenInShutdown  = expvar.NewInt("calls_taken_in_shutdown")
	processChecks    = expvar.NewMap("engine_process_checks")
	lostBeforeAnswer = expvar.NewInt("calls_lost_before_answer")
	answerTimes      = newHistogram("answer_ms")
	firstEventTimes  = newHistogram("first_event_ms")
	eventPauses      = newHistogram("event_pause_ms")
	// streamsByPace counts the answered streams of routes with a required pace.
	streamsByPace = expvar.NewMap("streams_by_pace")
	// streamsAtRisk counts the streams that were sent to an engine where they would probably
	// be late, and unevenServices the services whose engines differ in speed.
	streamsAtRisk       = expvar.NewInt("streams_at_risk")
	unevenServices      = expvar.NewInt("uneven_services")
	movePauses          = newHistogram("move_pause_ms")
	callersDisconnected = expvar.NewInt("callers_left")
	callersStalled      = expvar.NewInt("callers_stalled")
	eventsDropped       = expvar.NewInt("events_dropped")
	limitsChanged       = expvar.NewInt("engine_limits_changed")
	pausesAsked         = expvar.NewInt("engine_pauses_asked")
	limitsUnreadable    = expvar.NewInt("engine_limits_unreadable")
	panics              = expvar.NewInt("panics_recovered")
	// rolloutCalls counts the calls sent to services with a rollout in progress by version, and
	// rolloutCallsWithheld those of the canary's time that the quota, the lease or the brake kept
	// from the new version.
	rolloutCalls         = expvar.NewMap("rollout_calls")
	rolloutCallsWithheld = expvar.NewInt("rollout_calls_withheld")
	hostProcessorLevel   = expvar.NewFloat("host_processor_level")
	hostLinkLevel        = expvar.NewFloat("host_link_level")
	hostDescriptorLevel  = expvar.NewFloat("host_descriptor_level")
	hostAway             = expvar.NewInt("host_away")
	hostPhaseChanges     = expvar.NewMap("host_phase_changes")
)

// histogram is a latency histogram in milliseconds.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// histogramMax is the largest recorded time in milliseconds. It is above the
// deadlines of all current routes.
const histogramMax = 120_000

func newHistogram(name string) *histogram {
	h := &histogram{h: hdrhistogram.New(1, histogramMax, 2)}
	expvar.Publish(name, h)
	return h
}

func (h *histogram) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Values above histogramMax are not recorded; deadlines keep times below it.
	_ = h.h.RecordValue(max(1, d.Milliseconds()))
}

// String returns the histogram's quantiles as JSON.
func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, err := json.Marshal(map[string]int64{
		"count": h.h.TotalCount(), "p50": h.h.ValueAtQuantile(50), "p90": h.h.ValueAtQuantile(90),
		"p99": h.h.ValueAtQuantile(99), "p99_9": h.h.ValueAtQuantile(99.9), "max": h.h.Max(),
	})
	if err != nil {
		return "{}"
	}
	return string(b)
}
