package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// Outcome is the result of a change as the operator received it.
type Outcome string

// The outcomes of a change. Unknown means that the operator received no answer.
const (
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict"
	Unknown  Outcome = "unknown"
)

// Operation is a change or read of one object by an operator. A change and its
// resends with the same command id are one operation.
type Operation struct {
	Operator int
	Object   string
	Invoked  time.Time
	Answered time.Time
	// Read is true for a read; its result is Revision and Value.
	Read bool
	// Expected is the expected revision that was sent with a change.
	Expected uint64
	Value    string
	Outcome  Outcome
	// Revision is that of the object after an accepted change, otherwise the current
	// one.
	Revision uint64
}

// objectState is the state of one object. If the answer to a change was lost, its
// revision is unknown until another operation returns it.
type objectState struct {
	revision uint64
	// lowerBoundOnly is true while the revision is unknown; it is then greater than
	// lowerBound.
	lowerBoundOnly bool
	lowerBound     uint64
	value          string
}

// withRevision returns the state with revision r, and whether the object can be in it.
func (s objectState) withRevision(r uint64) (objectState, bool) {
	if s.lowerBoundOnly && r > s.lowerBound {
		return objectState{revision: r, value: s.value}, true
	}
	return s, !s.lowerBoundOnly && s.revision == r
}

// minRevision returns the revision, or its lower bound if it is unknown.
func (s objectState) minRevision() uint64 {
	if s.lowerBoundOnly {
		return s.lowerBound
	}
	return s.revision
}

// stepObject returns the states in which an object can be after an operation, none if
// the operation is impossible in the given state.
func stepObject(state, input, output any) []any {
	s, op := state.(objectState), output.(Operation)
	nextIf := func(s objectState, ok bool) []any {
		if !ok {
			return nil
		}
		return []any{s}
	}
	switch {
	case op.Read:
		s, ok := s.withRevision(op.Revision)
		return nextIf(s, ok && s.value == op.Value)
	case op.Outcome == Accepted:
		_, ok := s.withRevision(op.Expected)
		return nextIf(objectState{revision: op.Revision, value: op.Value}, ok && op.Revision > op.Expected)
	case op.Outcome == Conflict:
		s, ok := s.withRevision(op.Revision)
		return nextIf(s, ok && op.Expected != op.Revision)
	default:
		next := []any{s}
		if _, ok := s.withRevision(op.Expected); ok {
			next = append(next, objectState{lowerBoundOnly: true, lowerBound: max(op.Expected, s.minRevision()), value: op.Value})
		}
		return next
	}
}

var objectModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{objectState{}} },
	Step: stepObject,
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range all {
			object := op.Output.(Operation).Object
			parts[object] = append(parts[object], op)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
}).ToModel()

// searchTimeout bounds the search for a linearization. A check that exceeds it fails.
const searchTimeout = 20 * time.Second

// Linearizable checks P9: there is an order of the operators' changes and reads in
// which each took effect between its invocation and its answer. Thus every later read
// returns an accepted change, and only one of two concurrent changes with the same
// expected revision is accepted.
func Linearizable(ops []Operation) error {
	var all []porcupine.Operation
	for _, op := range ops {
		if !op.Read && op.Outcome != Accepted && op.Outcome != Conflict && op.Outcome != Unknown {
			return fmt.Errorf("operator %d received outcome %q, which the model does not cover", op.Operator, op.Outcome)
		}
		end := op.Answered.UnixNano()
		if !op.Read && op.Outcome == Unknown {
			end = 1<<63 - 1 // The change may still take effect.
		}
		all = append(all, porcupine.Operation{ClientId: op.Operator, Input: op, Output: op, Call: op.Invoked.UnixNano(), Return: end})
	}
	if res := porcupine.CheckOperationsTimeout(objectModel, all, searchTimeout); res != porcupine.Ok {
		return fmt.Errorf("P9: %d operations of operators: %s", len(ops), res)
	}
	return nil
}

// AppliedOnce checks P9: no command id occurs twice in the change history.
func AppliedOnce(commandIDs []string) error {
	seen := map[string]bool{}
	for _, id := range commandIDs {
		if seen[id] {
			return fmt.Errorf("P9: command %s was applied twice", id)
		}
		seen[id] = true
	}
	return nil
}
