package membership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
	"turmericdrum.org/turmericdrum/pkg/serving/membership"
)

const maxBehind = 32

func member(host, incarnation string, voter bool, silent time.Duration) membership.Member {
	id := serving.ReplicaID{Host: serving.HostID(host), Incarnation: incarnation}
	return membership.Member{Member: ledger.Member{ID: id, Address: "http://" + host + ":1", Voter: voter}, SinceContact: silent, Acked: true}
}

func TestNextChange(t *testing.T) {
	const silentFor = membership.ReplaceAfter + time.Second
	voters := []membership.Member{member("a", "1", true, 0), member("b", "1", true, 0), member("c", "1", true, 0)}
	with := func(more ...membership.Member) []membership.Member {
		return append(append([]membership.Member{}, voters...), more...)
	}
	behind := member("d", "1", false, 0)
	behind.EntriesBehind = maxBehind + 1
	unacked, older := member("d", "1", false, 0), member("d", "1", false, time.Second)
	unacked.Acked = false
	leaving := member("b", "1", true, 0)
	leaving.Leaving = true
	for _, tc := range []struct {
		name     string
		members  []membership.Member
		required int
		action   ledger.Action
		replica  string
		old      string
	}{
		{"complete", voters, 3, "", "", ""},
		{"first start: promote up to five", with(member("d", "1", false, 0)), 5, "promote", "d/1", ""},
		{"a learner that lacks entries is not promoted", with(behind), 5, "", "", ""},
		{"a learner that acknowledged no heartbeat is not promoted", with(unacked), 5, "", "", ""},
		{"the learner with the newest contact comes first", with(older, member("e", "1", false, 0)), 5, "promote", "e/1", ""},
		{"a silent learner is removed after others were promoted", with(member("d", "1", false, membership.DropLearnerAfter+time.Second), member("e", "1", false, 0)), 5, "promote", "e/1", ""},
		{"a host that lost its disk", with(member("b", "2", false, 0)), 3, "replace", "b/2", "b/1"},
		{"a host that lost its disk, voters missing", with(member("b", "2", false, 0)), 5, "replace", "b/2", "b/1"},
		{"a spare learner waits while all voters respond", with(member("d", "1", false, 0)), 3, "", "", ""},
		{"a spare learner replaces the voter that is silent longest",
			[]membership.Member{member("a", "1", true, 0), member("b", "1", true, silentFor), member("c", "1", true, silentFor+time.Second), member("d", "1", false, 0)}, 3, "replace", "d/1", "c/1"},
		{"planned replacement: the successor replaces a leaving voter",
			[]membership.Member{member("a", "1", true, 0), leaving, member("c", "1", true, 0), member("d", "1", false, 0)}, 3, "replace", "d/1", "b/1"},
		{"planned replacement: the leader itself leaves",
			[]membership.Member{leaving, member("a", "1", true, 0), member("c", "1", true, 0), member("d", "1", false, 0)}, 3, "replace", "d/1", "b/1"},
		{"planned replacement beside a loss: the lost voter is replaced first",
			[]membership.Member{member("a", "1", true, 0), leaving, member("c", "1", true, silentFor), member("d", "1", false, 0)}, 3, "replace", "d/1", "c/1"},
		{"a leaving voter without a successor keeps its vote", []membership.Member{member("a", "1", true, 0), leaving, member("c", "1", true, 0)}, 3, "", "", ""},
		{"a silent learner is not promoted", with(member("d", "1", false, membership.PromoteWithin+time.Second)), 5, "", "", ""},
		{"a learner that is silent for long is removed", with(member("d", "1", false, membership.DropLearnerAfter+time.Second)), 5, "remove", "d/1", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := membership.Policy{RequiredVoters: tc.required, MaxBehind: maxBehind}
			change := p.Next(tc.members[0].ID, tc.members)
			if tc.action == "" {
				assert.Assert(t, change == nil, "%+v", change)
				return
			}
			assert.Equal(t, change.Action, tc.action)
			assert.Equal(t, change.Replica.String(), tc.replica)
			if tc.old == "" {
				assert.Equal(t, change.Old, serving.ReplicaID{})
				return
			}
			assert.Equal(t, change.Old.String(), tc.old)
		})
	}
}
