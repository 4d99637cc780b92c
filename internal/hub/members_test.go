package hub

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/replica"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

func member(host, incarnation string, voter bool, silent time.Duration) replica.MemberState {
	return replica.MemberState{ID: serving.ReplicaID{Host: serving.HostID(host), Incarnation: incarnation}, Address: "http://" + host + ":1", Voter: voter, SinceAckedHeartbeat: silent}
}

func TestNextChange(t *testing.T) {
	const silentFor = replaceAfter + time.Second
	voters := []replica.MemberState{member("a", "1", true, 0), member("b", "1", true, 0), member("c", "1", true, 0)}
	with := func(more ...replica.MemberState) []replica.MemberState {
		return append(append([]replica.MemberState{}, voters...), more...)
	}
	behind := member("d", "1", false, 0)
	behind.EntriesBehind = keepEntries + 1
	for _, tc := range []struct {
		name     string
		members  []replica.MemberState
		required int
		action   string
		replica  string
		old      string
	}{
		{"complete", voters, 3, "", "", ""},
		{"first start: promote up to five", with(member("d", "1", false, 0)), 5, "promote", "d/1", ""},
		{"a learner that lacks entries is not promoted", with(behind), 5, "", "", ""},
		{"a host that lost its disk", with(member("b", "2", false, 0)), 3, "replace", "b/2", "b/1"},
		{"a host that lost its disk, voters missing", with(member("b", "2", false, 0)), 5, "replace", "b/2", "b/1"},
		{"a spare learner waits while all voters respond", with(member("d", "1", false, 0)), 3, "", "", ""},
		{"a spare learner replaces the voter that is silent longest",
			[]replica.MemberState{member("a", "1", true, 0), member("b", "1", true, silentFor), member("c", "1", true, silentFor+time.Second), member("d", "1", false, 0)}, 3, "replace", "d/1", "c/1"},
		{"a silent learner is not promoted", with(member("d", "1", false, rejoinAfter+time.Second)), 5, "", "", ""},
		{"a learner that is silent for long is removed", with(member("d", "1", false, dropLearnerAfter+time.Second)), 5, "remove", "d/1", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			change := nextChange(replica.State{Self: tc.members[0].ID, Leading: true, Settled: true, Members: tc.members}, tc.required)
			assert.Equal(t, change.GetAction(), tc.action)
			assert.Equal(t, change.GetReplica(), tc.replica)
			assert.Equal(t, change.GetOldReplica(), tc.old)
		})
	}
}
