package registry

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// Guards against a second grant of an order that may have run, and against a late
// or repeated settlement, or one by another attempt, that replaces a final outcome.
func TestClaimStates(t *testing.T) {
	afterTimeout := startMS + 31_000
	afterRetention := startMS + 8*dayMS
	tests := []struct {
		name string
		cmds []*schema.Command
		want []schema.ClaimState
	}{
		{"second claim while in progress", []*schema.Command{claimAt(startMS, "a", "x"), claimAt(startMS, "b", "x")}, []schema.ClaimState{granted, inProgress}},
		{"resent claim", []*schema.Command{claimAt(startMS, "a", "x"), claimAt(afterTimeout, "a", "x")}, []schema.ClaimState{granted, granted}},
		{"done", []*schema.Command{claimAt(startMS, "a", "x"), settleAt(startMS, "a", done, false), claimAt(startMS, "b", "x"), claimAt(startMS, "a", "x")},
			[]schema.ClaimState{granted, done, done, done}},
		{"not run", []*schema.Command{claimAt(startMS, "a", "x"), settleAt(startMS, "a", notRun, false), claimAt(startMS, "b", "x"), claimAt(startMS, "a", "x")},
			[]schema.ClaimState{granted, notRun, granted, notRun}},
		{"copy of a refused claim arrives late", []*schema.Command{claimAt(startMS, "a", "x"), claimAt(startMS, "b", "x"), settleAt(startMS, "a", notRun, false), claimAt(startMS, "b", "x"), claimAt(startMS, "c", "x")},
			[]schema.ClaimState{granted, inProgress, notRun, inProgress, granted}},
		{"time-out", []*schema.Command{claimAt(startMS, "a", "x"), claimAt(afterTimeout, "b", "x")}, []schema.ClaimState{granted, unknown}},
		{"late settlement", []*schema.Command{claimAt(startMS, "a", "x"), claimAt(afterTimeout, "b", "x"), settleAt(afterTimeout, "a", done, false)},
			[]schema.ClaimState{granted, unknown, done}},
		{"not_run does not replace unknown", []*schema.Command{claimAt(startMS, "a", "x"), settleAt(startMS, "a", unknown, false), settleAt(startMS, "a", notRun, false), settleAt(startMS, "a", done, false)},
			[]schema.ClaimState{granted, unknown, unknown, done}},
		{"resent claim after the holder settled it as unknown", []*schema.Command{claimAt(startMS, "a", "x"), settleAt(startMS, "a", unknown, false), claimAt(startMS, "a", "x"), settleAt(startMS, "a", done, false), claimAt(startMS, "a", "x")},
			[]schema.ClaimState{granted, unknown, unknown, done, done}},
		{"settlement by another attempt", []*schema.Command{claimAt(startMS, "a", "x"), settleAt(startMS, "b", notRun, false), settleAt(startMS, "b", done, false)},
			[]schema.ClaimState{granted, inProgress, inProgress}},
		{"settlement after done", []*schema.Command{claimAt(startMS, "a", "x"), settleAt(startMS, "a", done, false), settleAt(startMS, "a", notRun, false)},
			[]schema.ClaimState{granted, done, done}},
		{"lookup finds the call", []*schema.Command{claimAt(startMS, "a", "x"), settleAt(afterTimeout, "b", done, true), claimAt(afterTimeout, "c", "x")},
			[]schema.ClaimState{granted, done, done}},
		{"lookup finds nothing", []*schema.Command{claimAt(startMS, "a", "x"), settleAt(afterTimeout, "b", notRun, true), claimAt(afterTimeout, "c", "x")},
			[]schema.ClaimState{granted, unknown, unknown}},
		{"other content", []*schema.Command{claimAt(startMS, "a", "x"), claimAt(startMS, "b", "y"), settleAt(startMS, "a", notRun, false), claimAt(startMS, "b", "y")},
			[]schema.ClaimState{granted, keyReused, notRun, keyReused}},
		{"past retention", []*schema.Command{claimAt(startMS, "a", "x"), claimAt(afterRetention, "b", "x"), settleAt(afterRetention, "a", done, false), claimAt(startMS+90*dayMS, "b", "x")},
			[]schema.ClaimState{granted, expiredKey, expiredKey, expiredKey}},
		{"settlement without claim", []*schema.Command{settleAt(startMS, "a", done, false)}, []schema.ClaimState{notFound}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMachine(t)
			var got []schema.ClaimState
			for _, c := range tt.cmds {
				res := apply(t, m, c).GetClaim()
				got = append(got, res.GetState())
				assert.Equal(t, res.GetState() == done, res.GetAnswer() != nil)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// Guards against an order that runs twice because two names of its account give
// two claim keys.
func TestClaimResolvesNames(t *testing.T) {
	m := newMachine(t)
	alias := putAlias("legacy", "pez", "aguja")
	alias.GetPutAlias().Kind = kAccount
	assert.DeepEqual(t, run(t, m, put(account("aguja")), alias), []schema.Outcome{accepted, accepted})
	assert.Equal(t, apply(t, m, claimAt(startMS, "a", "x")).GetClaim().GetState(), granted)
	c := claimAt(startMS, "b", "x")
	c.GetClaim().Key.ClientAccount = "pez"
	assert.Equal(t, apply(t, m, c).GetClaim().GetState(), inProgress)
	assert.Equal(t, m.Lookup(testKey(), startMS+31_000).GetState(), unknown)
}

// Guards against a grant for a key that is older than the claim retention, whose
// claim may have been removed.
func TestOldKeyIsExpired(t *testing.T) {
	c := claimAt(startMS, "a", "x")
	c.GetClaim().KeyMadeAtMs = startMS - 8*dayMS
	assert.Equal(t, apply(t, newMachine(t), c).GetClaim().GetState(), expiredKey)
}

// Guards against a snapshot that lists a claim twice because it was granted twice
// in the same millisecond. No replica can restore such a snapshot.
func TestSnapshotAfterTwoGrantsAtOnce(t *testing.T) {
	m := newMachine(t)
	for _, c := range []*schema.Command{claimAt(startMS, "a", "x"), settleAt(startMS, "a", notRun, false), claimAt(startMS, "b", "x")} {
		apply(t, m, c)
	}
	b, err := m.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, m.Restore(b))
	assert.Equal(t, apply(t, m, claimAt(startMS, "c", "x")).GetClaim().GetState(), inProgress)
}
