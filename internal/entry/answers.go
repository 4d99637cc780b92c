package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/emicklei/go-restful/v3"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// errCallerGone means that the caller's connection failed.
var errCallerGone = errors.New("caller is gone")

// answerWriter gives an answer to a caller.
type answerWriter interface {
	// begin starts an attempt; what an earlier attempt wrote must not be out yet.
	begin(a *attempt)
	write(a *attempt, frames []generation.Frame) error
	// canRestart tells whether another generation could still answer the caller.
	canRestart() bool
	// fail ends the answer with an error, or whole if err is nil.
	fail(err error)
}

// streamedAnswer sends server-sent events.
type streamedAnswer struct {
	w       *restful.Response
	entry   *Entry
	started bool
}

func (s *streamedAnswer) begin(*attempt) {}

func (s *streamedAnswer) write(a *attempt, frames []generation.Frame) error {
	if len(frames) == 0 {
		return nil
	}
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.Header().Set("X-Request-Id", string(a.request.ID))
		s.w.WriteHeader(http.StatusOK)
	}
	for _, f := range frames {
		data, err := json.Marshal(f)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(s.w, "id: %s\ndata: %s\n\n", s.resumeToken(a, f), data); err != nil {
			return errCallerGone
		}
	}
	s.w.Flush()
	return nil
}

func (s *streamedAnswer) resumeToken(a *attempt, f generation.Frame) string {
	return s.entry.signer.Sign(generation.Position{
		Account: a.request.Account, RequestID: a.request.ID, GenerationID: a.generation,
		Engine: a.engine.Engine, Incarnation: a.engine.Incarnation, Address: a.engine.Address,
		Next: f.Index + 1,
	})
}

func (s *streamedAnswer) canRestart() bool { return !s.started }

func (s *streamedAnswer) fail(err error) {
	if !s.started {
		if err != nil {
			writeError(s.w, err)
		}
		return
	}
	if err == nil {
		fmt.Fprint(s.w, "data: [DONE]\n\n")
	} else {
		data, _ := json.Marshal(errorBody(err))
		fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", data)
	}
	s.w.Flush()
}

// wholeAnswer collects the answer and sends it at once.
type wholeAnswer struct {
	w      *restful.Response
	tokens strings.Builder
	last   generation.Frame
	n      int
}

func (s *wholeAnswer) begin(*attempt) {
	s.tokens.Reset()
	s.n = 0
}

func (s *wholeAnswer) write(_ *attempt, frames []generation.Frame) error {
	for _, f := range frames {
		s.tokens.WriteString(f.Token)
		s.last = f
		s.n++
	}
	return nil
}

func (s *wholeAnswer) canRestart() bool { return true }

// completionAnswer is the answer that is not streamed.
type completionAnswer struct {
	RequestID    serving.RequestID    `json:"request_id"`
	GenerationID serving.GenerationID `json:"generation_id"`
	Text         string               `json:"text"`
	Tokens       int                  `json:"tokens"`
	FinishReason string               `json:"finish_reason"`
}

func (s *wholeAnswer) fail(err error) {
	if err != nil {
		writeError(s.w, err)
		return
	}
	writeJSON(s.w, http.StatusOK, completionAnswer{
		RequestID: s.last.RequestID, GenerationID: s.last.GenerationID,
		Text: s.tokens.String(), Tokens: s.n, FinishReason: s.last.FinishReason,
	})
}

// errorAnswer is the body of a refusal.
type errorAnswer struct {
	Error struct {
		Kind         serving.Kind `json:"kind"`
		Message      string       `json:"message"`
		Remedy       string       `json:"remedy"`
		Ran          serving.Ran  `json:"ran"`
		RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	} `json:"error"`
}

func errorBody(err error) errorAnswer {
	e := serving.AsError(err)
	var a errorAnswer
	a.Error.Kind = e.Kind
	a.Error.Message = e.Message
	a.Error.Remedy = e.Remedy
	a.Error.Ran = e.Ran
	a.Error.RetryAfterMS = e.RetryAfter.Milliseconds()
	return a
}

var kindStatus = map[serving.Kind]int{
	serving.KindInvalid:          http.StatusBadRequest,
	serving.KindUnauthenticated:  http.StatusUnauthorized,
	serving.KindForbidden:        http.StatusForbidden,
	serving.KindNotFound:         http.StatusNotFound,
	serving.KindUnknownModel:     http.StatusNotFound,
	serving.KindTooLarge:         http.StatusRequestEntityTooLarge,
	serving.KindConflict:         http.StatusConflict,
	serving.KindKeyReused:        http.StatusUnprocessableEntity,
	serving.KindInProgress:       http.StatusConflict,
	serving.KindExpired:          http.StatusGone,
	serving.KindRateLimited:      http.StatusTooManyRequests,
	serving.KindResumeTokenWrong: http.StatusBadRequest,
	serving.KindGenerationLost:   http.StatusBadGateway,
	serving.KindEngineFailed:     http.StatusBadGateway,
	serving.KindOutcomeUnknown:   http.StatusBadGateway,
	serving.KindDeadline:         http.StatusGatewayTimeout,
	serving.KindInternal:         http.StatusInternalServerError,
}

func writeError(w http.ResponseWriter, err error) {
	e := serving.AsError(err)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	status, ok := kindStatus[e.Kind]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, errorBody(e))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
