package ledger_test

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// persistAll persists all pending output, as the driver of a sole voter does.
func persistAll(r *ledger.Replica) {
	for rd := r.Ready(); !rd.Empty(); rd = r.Ready() {
		r.Persisted(rd, nil)
	}
}

// Guards against invalid membership changes that are accepted, such as the removal of
// the last voter, against the promotion of a replica without the full log, against
// overlapping changes, and against a joint configuration that ends without a majority
// of the new voters.
func TestMemberChanges(t *testing.T) {
	self, learner, other := identity(1, "a"), identity(2, "b"), identity(3, "c")
	soleVoter := ledger.Membership{Members: []ledger.Member{{ID: self, Address: "1", Voter: true}}}
	r, err := ledger.New(ledger.Config{Self: self, Random: rand.New(rand.NewPCG(1, 1))},
		ledger.PersistentState{Snapshot: ledger.Snapshot{Index: 1, Term: 1, Membership: soleVoter}}, 0)
	assert.NilError(t, err)
	now := time.Second
	_, _, err = r.ProposeMembers(now, ledger.MemberChange{Action: ledger.AddLearner, Replica: learner, Address: "2"})
	assert.Equal(t, serving.KindOf(err), serving.KindNotLeader)
	r.Tick(now)
	persistAll(r)
	tests := []struct {
		change ledger.MemberChange
		// acknowledged makes the learner acknowledge the whole log before the change.
		acknowledged bool
		want         serving.Kind
	}{
		{ledger.MemberChange{Action: "rename", Replica: self}, false, serving.KindInvalid},
		{ledger.MemberChange{Action: ledger.Remove, Replica: self}, false, serving.KindInvalid},
		{ledger.MemberChange{Action: ledger.AddLearner, Replica: learner}, false, serving.KindInvalid},
		{ledger.MemberChange{Action: ledger.Promote, Replica: learner}, false, serving.KindInvalid},
		{ledger.MemberChange{Action: ledger.AddLearner, Replica: learner, Address: "2"}, false, ""},
		{ledger.MemberChange{Action: ledger.AddLearner, Replica: learner, Address: "2"}, false, serving.KindInvalid},
		{ledger.MemberChange{Action: ledger.Promote, Replica: learner}, false, serving.KindConflict},
		{ledger.MemberChange{Action: ledger.Replace, Replica: learner, Old: other}, true, serving.KindInvalid},
		{ledger.MemberChange{Action: ledger.Promote, Replica: learner}, true, ""},
		{ledger.MemberChange{Action: ledger.AddLearner, Replica: other, Address: "3"}, false, serving.KindConflict},
	}
	for i, tt := range tests {
		if tt.acknowledged {
			r.Step(now, ledger.Message{Type: ledger.MsgAppendResult, From: learner, To: self, Term: r.Status().Term, Index: r.Status().Last})
			persistAll(r)
		}
		_, _, err := r.ProposeMembers(now, tt.change)
		if tt.want == "" {
			assert.NilError(t, err, "step %d", i)
		} else {
			assert.Equal(t, serving.KindOf(err), tt.want, "step %d: %v", i, err)
		}
		persistAll(r)
	}
	assert.Assert(t, r.Membership().Joint(), "the joint configuration ended without an acknowledgement of the new voter")
	r.Step(now, ledger.Message{Type: ledger.MsgAppendResult, From: learner, To: self, Term: r.Status().Term, Index: r.Status().Last})
	persistAll(r)
	assert.Assert(t, !r.Membership().Joint() && r.Membership().IsVoter(learner))
}

// Guards against a partitioned host that deposes a working leader when it reconnects.
// Pre-vote prevents this.
func TestReconnectingHostDoesNotDeposeLeader(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(seed, "")
		c.loss, c.spikes, c.onElected = 0, 0, func(*host) {}
		assert.Assert(t, c.runUntil(5*time.Second, c.converged), "seed %d: no leader", seed)
		terms := len(c.leaders)
		var isolated *host
		for _, h := range c.hosts {
			if _, leads := h.replica.Leads(); !leads {
				isolated = h
			}
		}
		for n := range c.hosts {
			c.cutLinks(5*time.Second, [2]int{n, isolated.n})
			c.cutLinks(5*time.Second, [2]int{isolated.n, n})
		}
		c.runUntil(c.now+8*time.Second, nil)
		assert.Equal(t, len(c.leaders), terms, "seed %d", seed)
		assert.Assert(t, c.converged(), "seed %d", seed)
	}
}

// Guards against a cost per proposal that grows with the length of the log. Copying
// the whole log for each proposal allocated 12 GB in this test.
func TestProposalCostIsIndependentOfLog(t *testing.T) {
	self := identity(1, "a")
	soleVoter := ledger.Membership{Members: []ledger.Member{{ID: self, Address: "1", Voter: true}}}
	r, err := ledger.New(ledger.Config{Self: self, Random: rand.New(rand.NewPCG(1, 1))},
		ledger.PersistentState{Snapshot: ledger.Snapshot{Index: 1, Term: 1, Membership: soleVoter}}, 0)
	assert.NilError(t, err)
	r.Tick(time.Second)
	persistAll(r)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 20_000 {
		_, _, err := r.Propose(time.Second, nil)
		assert.NilError(t, err)
		persistAll(r)
	}
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 256<<20, "allocated %d bytes", after.TotalAlloc-before.TotalAlloc)
}

// Guards against a replica that starts with a term below that of its snapshot. This
// happens after a crash between storing an installed snapshot and the hard state.
func TestTermIsNotBelowLog(t *testing.T) {
	self := identity(1, "a")
	r, err := ledger.New(ledger.Config{Self: self, Random: rand.New(rand.NewPCG(1, 1))},
		ledger.PersistentState{Hard: ledger.HardState{Term: 5, Vote: self}, Snapshot: ledger.Snapshot{Index: 9, Term: 7}}, 0)
	assert.NilError(t, err)
	assert.Equal(t, *r.Ready().Hard, ledger.HardState{Term: 7})
}
