package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// Outcome is what an operator was told about a change.
type Outcome string

// The outcomes of a change. Unknown means that no answer came.
const (
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict"
	Unknown  Outcome = "unknown"
)

// Operation is a change or read of one object by an operator. A change that was
// resent under the same command id is one operation.
type Operation struct {
	Operator int
	Object   string
	Invoked  time.Time
	Answered time.Time
	// Read is true for a read, which gives Revision and Value.
	Read     bool
	Expected uint64
	Value    string
	Outcome  Outcome
	// Revision is that of the object after the change, or the current one.
	Revision uint64
}

// objectState is the state of one object. The revision of a change whose answer
// was lost is open until it is seen.
type objectState struct {
	revision uint64
	open     bool
	after    uint64
	value    string
}

// is returns the state with its revision bound to r, if that is possible.
func (s objectState) is(r uint64) (objectState, bool) {
	if s.open && r > s.after {
		return objectState{revision: r, value: s.value}, true
	}
	return s, !s.open && s.revision == r
}

func (s objectState) low() uint64 {
	if s.open {
		return s.after
	}
	return s.revision
}

func stepObject(state, input, output any) []any {
	s, op := state.(objectState), output.(Operation)
	one := func(s objectState, ok bool) []any {
		if !ok {
			return nil
		}
		return []any{s}
	}
	switch {
	case op.Read:
		s, ok := s.is(op.Revision)
		return one(s, ok && s.value == op.Value)
	case op.Outcome == Accepted:
		_, ok := s.is(op.Expected)
		return one(objectState{revision: op.Revision, value: op.Value}, ok && op.Revision > op.Expected)
	case op.Outcome == Conflict:
		s, ok := s.is(op.Revision)
		return one(s, ok && op.Expected != op.Revision)
	default:
		next := []any{s}
		if _, ok := s.is(op.Expected); ok {
			next = append(next, objectState{open: true, after: max(op.Expected, s.low()), value: op.Value})
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

// checkLimit bounds the search for an order of the operations.
const checkLimit = 20 * time.Second

// Linearizable checks that operators' changes and reads are in some order in which
// each took effect between its invocation and its answer (P9, accepted means
// visible to every later read, and one of two racing changes wins).
func Linearizable(ops []Operation) error {
	var all []porcupine.Operation
	for _, op := range ops {
		if !op.Read && op.Outcome != Accepted && op.Outcome != Conflict && op.Outcome != Unknown {
			return fmt.Errorf("operator %d was told %q; such a change proves nothing", op.Operator, op.Outcome)
		}
		end := op.Answered.UnixNano()
		if !op.Read && op.Outcome == Unknown {
			end = 1<<63 - 1 // It may still take effect.
		}
		all = append(all, porcupine.Operation{ClientId: op.Operator, Input: op, Output: op, Call: op.Invoked.UnixNano(), Return: end})
	}
	if res := porcupine.CheckOperationsTimeout(objectModel, all, checkLimit); res != porcupine.Ok {
		return fmt.Errorf("P9: %d operations of operators: %s", len(ops), res)
	}
	return nil
}

// AppliedOnce checks that no command id is in the change history twice.
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
