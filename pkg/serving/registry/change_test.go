package registry

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against changes that are accepted although a rule on names, references,
// revisions or the specification forbids them, or refused although none does.
func TestChangeRules(t *testing.T) {
	badShare := model("m")
	badShare.GetModel().Versions[0].Share = 0.5
	outDC := dataCentre("leon", "norte")
	outDC.GetDataCentre().Out = true
	tests := []struct {
		name    string
		changes []*schema.Change
		want    []schema.Outcome
	}{
		{"race with equal revision", []*schema.Change{put(model("m")), put(model("m"))}, []schema.Outcome{accepted, conflicts}},
		{"update", []*schema.Change{put(model("m")), expecting(put(model("m")), 1)}, []schema.Outcome{accepted, accepted}},
		{"update of a missing object", []*schema.Change{expecting(put(model("m")), 4)}, []schema.Outcome{conflicts}},
		{"invalid share", []*schema.Change{put(badShare)}, []schema.Outcome{invalid}},
		{"invalid id", []*schema.Change{put(model("a b"))}, []schema.Outcome{invalid}},
		{"engine of unknown model", []*schema.Change{put(engine("e", "m"))}, []schema.Outcome{invalid}},
		{"removal of a model in use", []*schema.Change{put(model("m")), put(engine("e", "m")), expecting(remove(kModel, "m"), 1)},
			[]schema.Outcome{accepted, accepted, inUse}},
		{"removal by alias is refused while the alias exists", []*schema.Change{put(model("m")), putAlias("legacy", "old", "m"), expecting(remove(kModel, "old"), 1)},
			[]schema.Outcome{accepted, accepted, inUse}},
		{"alias equal to another canonical id", []*schema.Change{put(model("m")), put(model("n")), putAlias("legacy", "n", "m")},
			[]schema.Outcome{accepted, accepted, ambiguous}},
		{"same name in two schemes for two objects", []*schema.Change{put(model("m")), put(model("n")), putAlias("legacy", "x", "m"), putAlias("site", "x", "n")},
			[]schema.Outcome{accepted, accepted, accepted, ambiguous}},
		{"same name in two schemes for one object", []*schema.Change{put(model("m")), putAlias("legacy", "x", "m"), putAlias("site", "x", "m")},
			[]schema.Outcome{accepted, accepted, accepted}},
		{"object with the id of an alias", []*schema.Change{put(model("m")), putAlias("legacy", "x", "m"), put(model("x"))},
			[]schema.Outcome{accepted, accepted, ambiguous}},
		{"alias without a target", []*schema.Change{putAlias("legacy", "x", "m")}, []schema.Outcome{missing}},
		{"unknown scheme", []*schema.Change{put(model("m")), putAlias("other", "x", "m")}, []schema.Outcome{accepted, invalid}},
		{"take out twice", []*schema.Change{put(dataCentre("leon", "norte")), expecting(takeOut(kDC, "leon"), 1), expecting(takeOut(kDC, "leon"), 2)},
			[]schema.Outcome{accepted, accepted, accepted}},
		{"take out under an old revision", []*schema.Change{put(dataCentre("leon", "norte")), expecting(takeOut(kDC, "leon"), 1), expecting(takeOut(kDC, "leon"), 1)},
			[]schema.Outcome{accepted, accepted, conflicts}},
		{"put brings a data centre back", []*schema.Change{put(outDC), expecting(put(dataCentre("leon", "norte")), 1)},
			[]schema.Outcome{accepted, invalid}},
		{"one key for two accounts", []*schema.Change{put(account("a", "k")), put(account("b", "k"))}, []schema.Outcome{accepted, invalid}},
		{"key freed by removal", []*schema.Change{put(account("a", "k")), expecting(remove(kAccount, "a"), 1), put(account("b", "k"))},
			[]schema.Outcome{accepted, accepted, accepted}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, run(t, newMachine(t), tt.changes...), tt.want)
		})
	}
}

// Guards against an alias that resolves to its old target or to none after its
// target was changed.
func TestAliasMove(t *testing.T) {
	m := newMachine(t)
	run(t, m, put(model("m")), put(model("n")), putAlias("legacy", "x", "m"), expecting(putAlias("legacy", "x", "n"), 3))
	res, err := m.Read(&schema.ReadRequest{Kind: kModel, Name: "x"})
	assert.NilError(t, err)
	assert.Equal(t, res.GetObjects()[0].GetId(), "n")
	assert.Equal(t, res.GetObjects()[0].GetAliases()[0].GetRevision(), uint64(4))
}

// Guards against resends that are applied a second time, whenever they arrive.
func TestResend(t *testing.T) {
	m := newMachine(t)
	first := issue(put(model("m")), "c1", 0)
	other := proto.CloneOf(first)
	other.ExpectedRevision = 1
	tests := []struct {
		name  string
		nowMS int64
		c     *schema.Change
		want  schema.Outcome
	}{
		{"first", startMS, first, accepted},
		{"resend", startMS + 1, first, accepted},
		{"other content", startMS + 1, other, reused},
		{"last moment of the retention", startMS + 7*dayMS, first, accepted},
		{"clock of the leader goes back", startMS, first, accepted},
		{"past the retention", startMS + 7*dayMS + 1, first, expired},
		{"past the retention with other content", startMS, other, expired},
		{"no issue time", startMS, &schema.Change{CommandId: "c2"}, invalid},
		{"client's clock ahead", startMS, &schema.Change{CommandId: "c3", IssuedAtMs: startMS + 9*dayMS}, invalid},
	}
	for _, tt := range tests {
		res := apply(t, m, changeAt(tt.nowMS, tt.c)).GetChange()
		assert.Equal(t, res.GetOutcome(), tt.want, tt.name)
	}
	assert.Equal(t, m.Revision(), serving.Revision(1))
}

// Guards against a history that grows without bound or skips accepted changes.
func TestHistoryIsBounded(t *testing.T) {
	m := newMachine(t)
	for i := range uint64(60) {
		run(t, m, expecting(put(model("m")), i))
	}
	h := m.History(&schema.HistoryRequest{AfterRevision: 58}).GetEntries()
	assert.Equal(t, len(h), 2)
	assert.Equal(t, h[0].GetRevision(), uint64(59))
	assert.Equal(t, len(m.History(&schema.HistoryRequest{}).GetEntries()), 50)
	assert.Equal(t, m.ConfigView(9).GetBaseRevision(), uint64(0))
	assert.Equal(t, m.ConfigView(10).GetBaseRevision(), uint64(10))
}
