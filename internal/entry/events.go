package entry

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/timeline"
)

// Kinds of events in the event log of an entry.
const (
	eventRequestReceived = "request_received"
	eventAttemptStarted  = "attempt_started"
	eventFirstToken      = "first_token"
	eventResumed         = "resumed"
	eventAnswerEnded     = "answer_ended"
	eventRefused         = "refused"
	eventViewChanged     = "view_changed"
	eventEngineSeen      = "engine_seen"
	eventEngineLost      = "engine_lost"
	eventDraining        = "draining"
	eventDrained         = "drained"
)

// EventLog is the event log of an entry with its hybrid logical clock. Without a path in
// the settings, events are dropped but the clock still advances.
type EventLog struct {
	clock *timeline.Clock
	log   *timeline.Log
}

// NewEventLog returns the event log that the settings configure.
func NewEventLog(s *settings.Settings) *EventLog {
	e := &EventLog{clock: &timeline.Clock{Physical: time.Now}}
	if s.EventLog.Path != "" {
		e.log = timeline.NewLog(s.EventLog.Path, string(s.Host), e.clock)
		e.log.MaxBytes = int64(s.EventLog.MaxBytes.Bytes)
	}
	return e
}

func (e *EventLog) add(kind string, request serving.RequestID, attributes ...string) {
	if e.log != nil {
		e.log.Add(kind, request, attributes...)
	}
	if klog.V(2).Enabled() {
		klog.InfoS("Event", "kind", kind, "request", request, "attributes", attributes)
	}
}

// run writes events until ctx ends. The entry continues without an event log if it
// cannot be written.
func (e *EventLog) run(ctx context.Context) {
	if e.log == nil {
		return
	}
	if err := e.log.Run(ctx); err != nil {
		klog.ErrorS(err, "Writing the event log failed; further events are not recorded")
	}
}

// handler and transport propagate the hybrid logical clock between processes.
func (e *EventLog) handler(next http.Handler) http.Handler { return timeline.Handler(e.clock, next) }

func (e *EventLog) transport(next http.RoundTripper) http.RoundTripper {
	return timeline.RoundTripper(e.clock, next)
}

// addEnd adds the end of a request. A request counts as refused if nothing of an answer
// was sent.
func (e *EventLog) addEnd(request serving.RequestID, refused bool, err error) {
	switch {
	case err == nil:
		e.add(eventAnswerEnded, request, "outcome", outcomeComplete)
	case refused:
		e.add(eventRefused, request, "kind", string(outcomeKind(err)), "ran", string(serving.AsError(err).Ran))
	default:
		e.add(eventAnswerEnded, request, "outcome", string(outcomeKind(err)))
	}
}
