package registry

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// step is one command and whether the machine is saved and restored before it.
type step struct {
	cmd     *schema.Command
	restore bool
}

// schedules generates sequences of commands. They draw from few ids, names and keys,
// so that resends, command ids reused with other content, conflicting changes,
// time-outs and expiry are frequent.
var schedules = rapid.Custom(func(t *rapid.T) []step {
	now := startMS
	names := rapid.SampledFrom([]string{"m", "n", "x"})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		now += rapid.SampledFrom([]int64{0, 0, 1, -1, 31_000, dayMS}).Draw(t, "pause")
		s := step{restore: rapid.IntRange(0, 9).Draw(t, "restore") == 0}
		attempt := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "attempt")
		switch rapid.IntRange(0, 7).Draw(t, "action") {
		case 0:
			s.cmd = claimAt(now, attempt, rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "content"))
		case 1:
			state := rapid.SampledFrom([]schema.ClaimState{done, notRun, unknown}).Draw(t, "state")
			s.cmd = settleAt(now, attempt, state, rapid.Bool().Draw(t, "lookup"))
		default:
			c := rapid.SampledFrom([]func() *schema.Change{
				func() *schema.Change { return put(model(names.Draw(t, "id"))) },
				func() *schema.Change { return put(engine("e", names.Draw(t, "id"))) },
				func() *schema.Change { return takeOut(kEngine, "e") },
				func() *schema.Change { return remove(kModel, names.Draw(t, "id")) },
				func() *schema.Change { return putAlias("site", names.Draw(t, "alias"), names.Draw(t, "id")) },
			}).Draw(t, "change")()
			issue(c, fmt.Sprintf("c%d", rapid.IntRange(0, 5).Draw(t, "id")), rapid.Uint64Range(0, 3).Draw(t, "expected"))
			c.IssuedAtMs = startMS + dayMS*rapid.Int64Range(0, 2).Draw(t, "issued")
			s.cmd = changeAt(now, c)
		}
		return s
	}), 1, 60).Draw(t, "steps")
})

// checkRestores compares a machine that is saved and restored with one that is not.
func checkRestores(t testing.TB, steps []step, d defects) error {
	plain, restored := newMachine(t), newMachine(t)
	plain.defects, restored.defects = d, d
	for i, s := range steps {
		if s.restore {
			b, err := restored.Snapshot()
			assert.NilError(t, err)
			if err := restored.Restore(b); err != nil {
				return err
			}
		}
		cmd := encode(t, s.cmd)
		if !bytes.Equal(plain.Apply(uint64(i), cmd), restored.Apply(uint64(i), cmd)) {
			return fmt.Errorf("step %d differs after a restore", i)
		}
	}
	a, _ := plain.Snapshot()
	b, _ := restored.Snapshot()
	if !bytes.Equal(a, b) {
		return fmt.Errorf("snapshots differ")
	}
	return nil
}

// checkResends requires that a command id is applied at most once, that a resend
// gets the first answer, and that the same command id with other content does not.
func checkResends(t testing.TB, steps []step, d defects) error {
	m := newMachine(t)
	m.defects = d
	type answer struct {
		c   *schema.Change
		res *schema.ChangeResult
	}
	first := map[string]answer{}
	for i, s := range steps {
		if s.restore {
			b, err := m.Snapshot()
			assert.NilError(t, err)
			assert.NilError(t, m.Restore(b))
		}
		res, c := apply(t, m, s.cmd).GetChange(), s.cmd.GetChange()
		// The result of a change that was issued too long ago or more than maxClockLead
		// ahead is not stored.
		if c == nil || res.GetOutcome() == expired || c.GetIssuedAtMs() > m.nowMS+dayMS/24 {
			continue
		}
		f, ok := first[c.GetCommandId()]
		switch {
		case !ok && res.GetOutcome() == reused:
			return fmt.Errorf("step %d: first use of a command id got %v", i, res)
		case !ok:
			first[c.GetCommandId()] = answer{c, res}
		case f.c.GetIssuedAtMs()+7*dayMS < m.nowMS:
			// The result may be kept longer than the issue time requires. The first
			// answer then remains valid.
			if res.GetOutcome() != reused {
				first[c.GetCommandId()] = answer{c, res}
			}
		case proto.Equal(f.c, c) && !proto.Equal(f.res, res):
			return fmt.Errorf("step %d: resend got %v, first answer was %v", i, res, f.res)
		case !proto.Equal(f.c, c) && res.GetOutcome() != reused:
			return fmt.Errorf("step %d: other content got %v", i, res)
		}
	}
	seen := map[string]bool{}
	for _, e := range m.History(&schema.HistoryRequest{}).GetEntries() {
		k := e.GetChange().String()
		if seen[k] {
			return fmt.Errorf("applied twice: %s", k)
		}
		seen[k] = true
	}
	return nil
}

// Guards against state that is missing from a snapshot, so that a restored machine
// returns different results later.
func TestRestoreChangesNoLaterResult(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := checkRestores(t, schedules.Draw(rt, "schedule"), defects{}); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a resent command that is applied a second time.
func TestResendsApplyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := checkResends(t, schedules.Draw(rt, "schedule"), defects{}); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against property checks that pass for a machine that violates a rule.
func TestPropertiesRejectBrokenMachines(t *testing.T) {
	tests := []struct {
		name    string
		defects defects
		check   func(testing.TB, []step, defects) error
	}{
		{"results missing from the snapshot, restore check", defects{omitResults: true}, checkRestores},
		{"results missing from the snapshot, resend check", defects{omitResults: true}, checkResends},
		{"no content check", defects{skipContentCheck: true}, checkResends},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range 200 {
				if err := tt.check(t, schedules.Example(seed), tt.defects); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no schedule of 200 was rejected")
		})
	}
}
