package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// maxBufferedAnswer bounds the text of an answer that is not streamed, in bytes. The
// longest answers have some tens of thousands of tokens.
const maxBufferedAnswer = 4 << 20

// answerWriter writes an answer to a caller.
type answerWriter interface {
	// begin starts an attempt. Nothing of an earlier attempt may have been sent.
	begin(a *attempt)
	write(a *attempt, frames []generation.Frame) error
	// canRestart reports whether a new generation can still replace the current one.
	canRestart() bool
	// canResume reports whether the caller has a resume token of the generation.
	canResume() bool
	// end completes the answer, or ends it with an error if err is not nil.
	end(err error)
}

// streamedAnswer sends an answer as server-sent events.
type streamedAnswer struct {
	w      *callerWriter
	signer *generation.Signer
	// streamSigner signs the resume tokens of the current attempt.
	streamSigner *generation.StreamSigner
	buf          []byte
	started      bool
}

// begin creates the signer of the attempt's resume tokens. The token index is added for
// each event.
func (s *streamedAnswer) begin(a *attempt) {
	s.streamSigner = s.signer.Stream(generation.Position{
		Account: a.request.Account, RequestID: a.request.ID, GenerationID: a.generation,
		Engine: a.engine.Engine, Incarnation: a.engine.Incarnation, Address: a.engine.Address,
	})
}

func (s *streamedAnswer) start(id serving.RequestID) {
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.Header().Set("X-Request-Id", string(id))
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamedAnswer) write(a *attempt, frames []generation.Frame) error {
	if !s.started {
		s.start(a.request.ID)
	}
	s.buf = s.buf[:0]
	for i := range frames {
		s.buf = appendEvent(s.buf, s.streamSigner, &frames[i])
	}
	return s.w.send(s.buf)
}

func (s *streamedAnswer) canRestart() bool { return !s.started }

func (s *streamedAnswer) canResume() bool { return s.started }

func (s *streamedAnswer) end(err error) {
	if errors.Is(err, errSlowReader) || errors.Is(err, errCallerGone) {
		// Abort, so that the caller does not take the partial response for a complete one.
		panic(http.ErrAbortHandler)
	}
	defer s.w.clearDeadline()
	switch {
	case err == nil:
		_ = s.w.send([]byte("data: [DONE]\n\n"))
	case !s.started:
		writeError(s.w, err)
	default:
		data, _ := json.Marshal(errorBody(err))
		_ = s.w.send([]byte("event: error\ndata: " + string(data) + "\n\n"))
	}
}

// bufferedAnswer collects the answer and sends it as one JSON object.
type bufferedAnswer struct {
	w    *callerWriter
	text strings.Builder
	// last is the last frame of the answer so far.
	last generation.Frame
	// tokens is the number of tokens in text.
	tokens int
	// overflow is true once the text exceeds maxBufferedAnswer.
	overflow bool
}

func (s *bufferedAnswer) begin(*attempt) {
	s.text.Reset()
	s.tokens = 0
}

func (s *bufferedAnswer) write(_ *attempt, frames []generation.Frame) error {
	for i := range frames {
		s.text.WriteString(frames[i].Token)
	}
	s.last = frames[len(frames)-1]
	s.tokens += len(frames)
	if s.overflow = s.text.Len() > maxBufferedAnswer; s.overflow {
		e := serving.NewError(serving.KindTooLarge, "the answer is too large to be sent at once").WithRan(serving.DidRun)
		e.Remedy = "ask for a streamed answer"
		return e
	}
	return nil
}

func (s *bufferedAnswer) canRestart() bool { return !s.overflow }

func (s *bufferedAnswer) canResume() bool { return false }

// completionAnswer is the body of an answer that is not streamed.
type completionAnswer struct {
	RequestID    serving.RequestID    `json:"request_id"`
	GenerationID serving.GenerationID `json:"generation_id"`
	Text         string               `json:"text"`
	Tokens       int                  `json:"tokens"`
	FinishReason string               `json:"finish_reason"`
}

func (s *bufferedAnswer) end(err error) {
	defer s.w.clearDeadline()
	if err != nil {
		writeError(s.w, err)
		return
	}
	b, _ := json.Marshal(completionAnswer{
		RequestID: s.last.RequestID, GenerationID: s.last.GenerationID,
		Text: s.text.String(), Tokens: s.tokens, FinishReason: s.last.FinishReason,
	})
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set("X-Request-Id", string(s.last.RequestID))
	if errors.Is(s.w.send(append(b, '\n')), errSlowReader) {
		panic(http.ErrAbortHandler)
	}
}
