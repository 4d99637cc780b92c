package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// maxWholeAnswer bounds an answer that is not streamed, in bytes; the longest
// answers have some tens of thousands of tokens.
const maxWholeAnswer = 4 << 20

// answerWriter gives an answer to a caller.
type answerWriter interface {
	// begin starts an attempt; what an earlier attempt wrote must not be out yet.
	begin(a *attempt)
	write(a *attempt, frames []generation.Frame) error
	// canRestart tells whether another generation could still answer the caller.
	canRestart() bool
	// canResume tells whether the caller has what it needs to resume the generation.
	canResume() bool
	// end ends the answer with an error, or whole if err is nil.
	end(err error)
}

// streamedAnswer sends server-sent events.
type streamedAnswer struct {
	w       *callerWriter
	signer  *generation.Signer
	stream  *generation.StreamSigner
	buf     []byte
	started bool
}

// begin makes the signer of the attempt's stream; the index is not part of what it encodes.
func (s *streamedAnswer) begin(a *attempt) {
	s.stream = s.signer.Stream(generation.Position{
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
		s.buf = appendEvent(s.buf, s.stream, &frames[i])
	}
	return s.w.send(s.buf)
}

func (s *streamedAnswer) canRestart() bool { return !s.started }

func (s *streamedAnswer) canResume() bool { return s.started }

func (s *streamedAnswer) end(err error) {
	if errors.Is(err, errSlowReader) || errors.Is(err, errCallerGone) {
		// Ending the response normally could look like a clean end.
		panic(http.ErrAbortHandler)
	}
	defer s.w.end()
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

// wholeAnswer collects the answer and sends it at once.
type wholeAnswer struct {
	w      *callerWriter
	tokens strings.Builder
	last   generation.Frame
	n      int
	// overflow is true once the answer is larger than an entry keeps.
	overflow bool
}

func (s *wholeAnswer) begin(*attempt) {
	s.tokens.Reset()
	s.n = 0
}

func (s *wholeAnswer) write(_ *attempt, frames []generation.Frame) error {
	for i := range frames {
		s.tokens.WriteString(frames[i].Token)
	}
	s.last = frames[len(frames)-1]
	s.n += len(frames)
	if s.overflow = s.tokens.Len() > maxWholeAnswer; s.overflow {
		e := serving.NewError(serving.KindTooLarge, "the answer is too large to be sent at once").WithRan(serving.DidRun)
		e.Remedy = "ask for a streamed answer"
		return e
	}
	return nil
}

func (s *wholeAnswer) canRestart() bool { return !s.overflow }

func (s *wholeAnswer) canResume() bool { return false }

// completionAnswer is the answer that is not streamed.
type completionAnswer struct {
	RequestID    serving.RequestID    `json:"request_id"`
	GenerationID serving.GenerationID `json:"generation_id"`
	Text         string               `json:"text"`
	Tokens       int                  `json:"tokens"`
	FinishReason string               `json:"finish_reason"`
}

func (s *wholeAnswer) end(err error) {
	defer s.w.end()
	if err != nil {
		writeError(s.w, err)
		return
	}
	b, _ := json.Marshal(completionAnswer{
		RequestID: s.last.RequestID, GenerationID: s.last.GenerationID,
		Text: s.tokens.String(), Tokens: s.n, FinishReason: s.last.FinishReason,
	})
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set("X-Request-Id", string(s.last.RequestID))
	if errors.Is(s.w.send(append(b, '\n')), errSlowReader) {
		panic(http.ErrAbortHandler)
	}
}
