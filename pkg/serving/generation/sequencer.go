package generation

import (
	"fmt"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// maxPending bounds the frames that are buffered while an earlier one is missing.
const maxPending = 1024

// Frame is one token of an answer and its position in the generation.
type Frame struct {
	RequestID    serving.RequestID    `json:"request_id"`
	GenerationID serving.GenerationID `json:"generation_id"`
	Index        serving.TokenIndex   `json:"index"`
	Token        string               `json:"token"`
	// FinishReason is set on the last frame only.
	FinishReason string `json:"finish_reason,omitempty"`
	// Data is the frame as received if it was in the canonical encoding, so that it
	// can be forwarded without being encoded again; otherwise it is empty.
	Data string `json:"-"`
}

// Sequencer delivers the frames of one generation in order and without duplicates.
// It is not safe for concurrent use.
type Sequencer struct {
	request    serving.RequestID
	generation serving.GenerationID
	next       serving.TokenIndex
	pending    map[serving.TokenIndex]Frame
	finished   bool
	repeated   int
	foreign    int
}

// NewSequencer returns a sequencer whose first delivered frame is the one with index next.
func NewSequencer(request serving.RequestID, generation serving.GenerationID, next serving.TokenIndex) *Sequencer {
	return &Sequencer{request: request, generation: generation, next: next}
}

// Accept processes a received frame and returns the frames that can now be
// delivered to the caller. It counts and drops repeated frames and frames of
// another request or generation, which are not part of this answer. It returns an
// error if more than 1024 frames are buffered behind a missing one.
func (s *Sequencer) Accept(f Frame) ([]Frame, error) { return s.Append(nil, f) }

// Append is like Accept but appends the deliverable frames to ready.
func (s *Sequencer) Append(ready []Frame, f Frame) ([]Frame, error) {
	if f.RequestID != s.request || f.GenerationID != s.generation {
		s.foreign++
		return ready, nil
	}
	if s.finished || f.Index < s.next {
		s.repeated++
		return ready, nil
	}
	if f.Index > s.next {
		return ready, s.addPending(f)
	}
	return s.deliver(ready, f), nil
}

func (s *Sequencer) addPending(f Frame) error {
	if len(s.pending) >= maxPending {
		return serving.NewError(serving.KindEngineFailed, fmt.Sprintf("more than %d frames arrived behind the missing token %d", maxPending, s.next)).WithRan(serving.DidRun)
	}
	if s.pending == nil {
		s.pending = map[serving.TokenIndex]Frame{}
	}
	if _, ok := s.pending[f.Index]; ok {
		s.repeated++
		return nil
	}
	s.pending[f.Index] = f
	return nil
}

// deliver appends f and the buffered frames that directly follow it.
func (s *Sequencer) deliver(ready []Frame, f Frame) []Frame {
	ready = append(ready, f)
	s.next++
	s.finished = f.FinishReason != ""
	for len(s.pending) > 0 && !s.finished {
		following, ok := s.pending[s.next]
		if !ok {
			break
		}
		delete(s.pending, s.next)
		ready = append(ready, following)
		s.next++
		s.finished = following.FinishReason != ""
	}
	return ready
}

// Next returns the index of the next token to deliver.
func (s *Sequencer) Next() serving.TokenIndex { return s.next }

// Finished reports whether the last token was delivered.
func (s *Sequencer) Finished() bool { return s.finished }

// Pending returns the number of frames that are buffered behind a missing one.
func (s *Sequencer) Pending() int { return len(s.pending) }

// HasGap reports whether frames are buffered behind a missing one. It is false
// once the last token was delivered.
func (s *Sequencer) HasGap() bool { return len(s.pending) > 0 && !s.finished }

// Dropped returns how many frames were dropped because they were repeated and
// because they belong to another request or generation.
func (s *Sequencer) Dropped() (repeated, foreign int) { return s.repeated, s.foreign }
