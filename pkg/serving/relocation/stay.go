package relocation

import "turmericdrum.org/turmericdrum/pkg/serving"

// Evidence shows that an engine no longer works on a generation.
type Evidence string

// Kinds of evidence. A connection that ended, and an order that was reset, timed out or was
// answered with an error, are none.
const (
	// NoEvidence means that the engine may work on the generation.
	NoEvidence Evidence = ""
	// Stopped means that the engine said that it stopped the generation. It keeps the memory.
	Stopped Evidence = "stopped"
	// NoSuchRun means that the engine said that it has no such generation.
	NoSuchRun Evidence = "no_such_run"
	// NotBegun means that the engine said that it did not begin to run the generation, or
	// that the generation was not sent to it.
	NotBegun Evidence = "not_begun"
	// ProcessEnded means that the engine's process is gone.
	ProcessEnded Evidence = "process_ended"
)

// Stay is what is known of a generation at one engine. The zero value is the stay of a
// generation that was sent to the engine. A Stay isn't safe for concurrent use.
type Stay struct {
	evidence Evidence
	// unsettled counts the orders to stop the generation that the engine may have carried
	// out, or may carry out yet, without having said so.
	unsettled int
}

// Begin records that the generation is sent to the engine again. Orders whose answers did not
// come may still stop it.
func (s *Stay) Begin() { s.evidence = NoEvidence }

// Interrupt records that the generation's stream has ended. An engine that had no such generation
// before, while the stream went on, may have it now.
func (s *Stay) Interrupt() {
	if s.evidence == NoSuchRun {
		s.evidence = NoEvidence
	}
}

// Order records that an order to stop the generation is sent.
func (s *Stay) Order() { s.unsettled++ }

// Answer records the engine's answer to an order to stop the generation. An order without an
// answer has no Answer.
func (s *Stay) Answer(res serving.MoveResult) {
	switch {
	case res.Outcome == serving.Moved, res.Outcome == serving.MoveNoRoom && res.Handle != "":
		// An engine without room at the destination keeps the memory and names it.
		s.evidence = Stopped
	case res.Outcome == serving.MoveNoSuchGeneration:
		s.evidence = NoSuchRun
	case res.Outcome == serving.MoveFailed:
		// The engine may have stopped the generation before it failed.
		return
	}
	s.unsettled--
}

// End records evidence that is no answer to an order.
func (s *Stay) End(e Evidence) { s.evidence = e }

// Evidence returns what shows that the engine no longer works on the generation. Only then may
// the generation go on at another engine.
func (s *Stay) Evidence() Evidence { return s.evidence }

// MayHaveStopped reports whether an order stopped the generation, or may have. The end of its
// stream may then be that of the order.
func (s *Stay) MayHaveStopped() bool { return s.evidence == Stopped || s.unsettled > 0 }
