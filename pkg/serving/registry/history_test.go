package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// runConcurrently sends the commands of each client from its own goroutine and
// records the calls. Seeded pauses vary the order in which overlapping calls reach
// the machine.
func runConcurrently(t *testing.T, m *Machine, seed uint64, clients [][]*schema.Command) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	start := time.Now()
	for id, cmds := range clients {
		rng := rand.New(rand.NewPCG(seed, uint64(id)))
		wg.Go(func() {
			for _, c := range cmds {
				call := time.Since(start)
				time.Sleep(time.Duration(rng.IntN(50)) * time.Microsecond)
				res := apply(t, m, c)
				end := time.Since(start)
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: id, Input: c, Output: res, Call: int64(call), Return: int64(end)})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}

// operatorState is the state of the sequential specification of one object: its
// revision and the first answer to each command id.
type operatorState struct {
	revision uint64
	answers  map[string]string
}

var operatorModel = porcupine.Model{
	Init: func() any { return operatorState{} },
	Step: func(s, in, out any) (bool, any) {
		st, c, res := s.(operatorState), in.(*schema.Command).GetChange(), out.(*schema.CommandResult).GetChange()
		answer := fmt.Sprint(c.GetExpectedRevision(), c.GetOperator(), res.GetOutcome(), res.GetRevision())
		if first, ok := st.answers[c.GetCommandId()]; ok {
			return first == answer || res.GetOutcome() == reused, st
		}
		next := operatorState{st.revision, maps.Clone(st.answers)}
		if next.answers == nil {
			next.answers = map[string]string{}
		}
		next.answers[c.GetCommandId()] = answer
		if c.GetExpectedRevision() != st.revision {
			return res.GetOutcome() == conflicts && res.GetRevision() == st.revision, next
		}
		next.revision = st.revision + 1
		return res.GetOutcome() == accepted && res.GetRevision() == next.revision, next
	},
	Equal: reflect.DeepEqual,
}

func checkOperators(t *testing.T, seed uint64, d defects) porcupine.CheckResult {
	m := newMachine(t)
	m.defects = d
	rng := rand.New(rand.NewPCG(seed, 1))
	var history []porcupine.Operation
	// The machine is restored between the two rounds, which use the same command ids.
	for round := range 2 {
		clients := make([][]*schema.Command, 4)
		for i := range clients {
			for range 6 {
				c := issue(put(model("m")), fmt.Sprint("c", rng.IntN(6)), rng.Uint64N(4))
				c.Operator = fmt.Sprint("op", rng.IntN(2))
				clients[i] = append(clients[i], changeAt(startMS, c))
			}
		}
		for _, op := range runConcurrently(t, m, seed, clients) {
			op.Call += int64(round) * int64(time.Hour)
			op.Return += int64(round) * int64(time.Hour)
			history = append(history, op)
		}
		b, err := m.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, m.Restore(b))
	}
	return porcupine.CheckOperationsTimeout(operatorModel, history, 20*time.Second)
}

// orderState is the state of the sequential specification of one order: the
// attempt that holds the grant, and whether the order ran. An empty holder means
// that the order may be granted. A holder that settled the order as unknown is not
// granted it again.
type orderState struct {
	holder  string
	ran     bool
	unknown bool
}

var orderModel = porcupine.Model{
	Init: func() any { return orderState{} },
	Step: func(s, in, out any) (bool, any) {
		st, cmd, got := s.(orderState), in.(*schema.Command), out.(*schema.CommandResult).GetClaim().GetState()
		if r := cmd.GetClaim(); r != nil {
			switch got {
			case granted:
				return !st.ran && (st.holder == "" || st.holder == r.GetAttemptId() && !st.unknown), orderState{holder: r.GetAttemptId()}
			case done:
				return st.ran, st
			default:
				return st.holder != r.GetAttemptId() || st.unknown && got == unknown, st
			}
		}
		r := cmd.GetSettle()
		if st.ran || st.holder != r.GetAttemptId() || got != r.GetState() {
			return got != notRun || st.holder == "", st
		}
		switch got {
		case done:
			return true, orderState{holder: st.holder, ran: true}
		case notRun:
			return true, orderState{}
		}
		return true, orderState{holder: st.holder, unknown: true}
	},
}

func checkOrders(t *testing.T, seed uint64, d defects) porcupine.CheckResult {
	m := newMachine(t)
	m.defects = d
	rng := rand.New(rand.NewPCG(seed, 2))
	clients := make([][]*schema.Command, 4)
	for i := range clients {
		for n := range 3 {
			attempt, now := fmt.Sprint(i, "-", n), startMS+int64(n)*31_000
			clients[i] = append(clients[i], claimAt(now, attempt, "x"), claimAt(now, attempt, "x"))
			if rng.IntN(2) == 0 {
				clients[i] = append(clients[i], settleAt(now, attempt, []schema.ClaimState{done, notRun, unknown}[rng.IntN(3)], false))
			}
		}
	}
	return porcupine.CheckOperationsTimeout(orderModel, runConcurrently(t, m, seed, clients), 20*time.Second)
}

// Guards against changes of two operators at one revision that are both accepted,
// and against two grants of one order. Cases with defects verify that the checkers
// reject the histories of a machine that violates a rule.
func TestConcurrentHistories(t *testing.T) {
	tests := []struct {
		name         string
		check        func(*testing.T, uint64, defects) porcupine.CheckResult
		defects      defects
		wantRejected bool
	}{
		{"operators", checkOperators, defects{}, false},
		{"operators, results missing from the snapshot", checkOperators, defects{omitResults: true}, true},
		{"operators, no content check", checkOperators, defects{skipContentCheck: true}, true},
		{"orders", checkOrders, defects{}, false},
		{"orders, time-out becomes not run", checkOrders, defects{timeoutIsNotRun: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rejected := 0
			for seed := range uint64(40) {
				switch res := tt.check(t, seed, tt.defects); res {
				case porcupine.Ok:
				case porcupine.Illegal:
					rejected++
				default:
					t.Fatalf("seed %d: check ended as %v", seed, res)
				}
			}
			assert.Equal(t, rejected > 0, tt.wantRejected, "%d of 40 histories rejected", rejected)
		})
	}
}
