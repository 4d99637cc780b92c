package generation

import (
	"fmt"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// maxPending bounds the frames that are held back behind a gap.
const maxPending = 1024

// Frame is one token of an answer with its place.
type Frame struct {
	RequestID    serving.RequestID    `json:"request_id"`
	GenerationID serving.GenerationID `json:"generation_id"`
	Index        serving.TokenIndex   `json:"index"`
	Token        string               `json:"token"`
	// FinishReason is set on the last frame only.
	FinishReason string `json:"finish_reason,omitempty"`
	// Data is the encoded frame if it arrived in the canonical encoding, which is
	// passed on as it is; else it is empty.
	Data string `json:"-"`
}

// Sequencer lets the frames of one generation through once and in order.
type Sequencer struct {
	request    serving.RequestID
	generation serving.GenerationID
	next       serving.TokenIndex
	pending    map[serving.TokenIndex]Frame
	finished   bool
	dropped    int
	foreign    int
}

// NewSequencer returns a sequencer whose first frame has the index next.
func NewSequencer(request serving.RequestID, generation serving.GenerationID, next serving.TokenIndex) *Sequencer {
	return &Sequencer{request: request, generation: generation, next: next}
}

// Accept takes a frame and returns the frames that may go to the caller now.
// Repeated frames are dropped. A frame of another request or generation is
// counted and dropped; it says nothing about this answer. Too many frames behind
// a gap are an error.
func (s *Sequencer) Accept(f Frame) ([]Frame, error) { return s.Append(nil, f) }

// Append is like Accept but appends the frames to ready.
func (s *Sequencer) Append(ready []Frame, f Frame) ([]Frame, error) {
	if f.RequestID != s.request || f.GenerationID != s.generation {
		s.foreign++
		return ready, nil
	}
	if s.finished || f.Index < s.next {
		s.dropped++
		return ready, nil
	}
	if f.Index > s.next {
		return ready, s.hold(f)
	}
	return s.release(ready, f), nil
}

func (s *Sequencer) hold(f Frame) error {
	if len(s.pending) >= maxPending {
		return serving.NewError(serving.KindEngineFailed, fmt.Sprintf("more than %d frames arrived behind the missing token %d", maxPending, s.next)).WithRan(serving.DidRun)
	}
	if s.pending == nil {
		s.pending = map[serving.TokenIndex]Frame{}
	}
	if _, ok := s.pending[f.Index]; ok {
		s.dropped++
		return nil
	}
	s.pending[f.Index] = f
	return nil
}

// release appends f and the held frames that follow it without a gap.
func (s *Sequencer) release(ready []Frame, f Frame) []Frame {
	ready = append(ready, f)
	s.next++
	s.finished = f.FinishReason != ""
	for len(s.pending) > 0 && !s.finished {
		held, ok := s.pending[s.next]
		if !ok {
			break
		}
		delete(s.pending, s.next)
		ready = append(ready, held)
		s.next++
		s.finished = held.FinishReason != ""
	}
	return ready
}

// Next returns the index of the next token that the caller needs.
func (s *Sequencer) Next() serving.TokenIndex { return s.next }

// Finished tells whether the last token went through.
func (s *Sequencer) Finished() bool { return s.finished }

// Held returns the number of frames that are held back behind a gap.
func (s *Sequencer) Held() int { return len(s.pending) }

// Missing tells whether frames are held back behind a gap.
func (s *Sequencer) Missing() bool { return len(s.pending) > 0 && !s.finished }

// Dropped returns the numbers of repeated frames and of frames of other answers.
func (s *Sequencer) Dropped() (repeated, foreign int) { return s.dropped, s.foreign }
