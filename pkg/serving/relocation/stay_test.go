package relocation_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/relocation"
)

// Guards against a generation that is resumed elsewhere while its engine may work on it, because
// an order to stop it failed, and against a stopped stream that passes for a complete one.
func TestStay(t *testing.T) {
	var (
		order     = func(s *relocation.Stay) { s.Order() }
		begin     = func(s *relocation.Stay) { s.Begin() }
		interrupt = func(s *relocation.Stay) { s.Interrupt() }
		answer    = func(o serving.MoveOutcome, handle string) func(*relocation.Stay) {
			return func(s *relocation.Stay) { s.Answer(serving.MoveResult{Outcome: o, Handle: handle}) }
		}
		end = func(e relocation.Evidence) func(*relocation.Stay) {
			return func(s *relocation.Stay) { s.End(e) }
		}
		moved, gone, failed = answer(serving.Moved, "h"), answer(serving.MoveNoSuchGeneration, ""), answer(serving.MoveFailed, "")
		busy, full, kept    = answer(serving.MoveBusy, ""), answer(serving.MoveNoRoom, ""), answer(serving.MoveNoRoom, "h")
	)
	type steps []func(*relocation.Stay)
	for _, tc := range []struct {
		name       string
		steps      steps
		evidence   relocation.Evidence
		mayStopped bool
	}{
		{"no order", steps{}, relocation.NoEvidence, false},
		{"order without an answer", steps{order}, relocation.NoEvidence, true},
		{"order that failed", steps{order, failed}, relocation.NoEvidence, true},
		{"order refused as busy", steps{order, busy}, relocation.NoEvidence, false},
		{"order refused without room", steps{order, full}, relocation.NoEvidence, false},
		{"busy with an order without an answer", steps{order, order, busy}, relocation.NoEvidence, true},
		{"stopped", steps{order, moved}, relocation.Stopped, true},
		{"stopped, memory kept", steps{order, kept}, relocation.Stopped, true},
		{"stopped by the second order", steps{order, order, moved}, relocation.Stopped, true},
		{"no such run", steps{order, gone}, relocation.NoSuchRun, false},
		{"no such run after an order without an answer", steps{order, order, gone}, relocation.NoSuchRun, true},
		{"no such run while the stream went on", steps{order, gone, interrupt}, relocation.NoEvidence, false},
		{"stopped, then the stream ends", steps{order, moved, interrupt}, relocation.Stopped, true},
		{"resumed at the engine that stopped it", steps{order, moved, begin}, relocation.NoEvidence, false},
		{"resumed with an order without an answer", steps{order, order, moved, begin}, relocation.NoEvidence, true},
		{"process ended after an order without an answer", steps{order, end(relocation.ProcessEnded)}, relocation.ProcessEnded, true},
		{"call not begun", steps{begin, end(relocation.NotBegun)}, relocation.NotBegun, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s relocation.Stay
			for _, step := range tc.steps {
				step(&s)
			}
			assert.Equal(t, s.Evidence(), tc.evidence)
			assert.Equal(t, s.MayHaveStopped(), tc.mayStopped)
		})
	}
}
