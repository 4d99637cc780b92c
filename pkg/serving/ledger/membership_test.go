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

// settleAlone persists everything that is ready, as a sole voter's driver does.
func settleAlone(r *ledger.Replica) {
	for rd := r.Ready(); !rd.Empty(); rd = r.Ready() {
		r.Persisted(rd, nil)
	}
}

// Guards against membership changes that shrink the quorum silently, promote a
// replica that lacks the log, or run at the same time as another one.
func TestMemberChanges(t *testing.T) {
	self, learner, other := identity(1, "a"), identity(2, "b"), identity(3, "c")
	alone := ledger.Membership{Members: []ledger.Member{{ID: self, Address: "1", Voter: true}}}
	r, err := ledger.New(ledger.Config{Self: self, Random: rand.New(rand.NewPCG(1, 1))},
		ledger.Persistent{Snapshot: ledger.Snapshot{Index: 1, Term: 1, Membership: alone}}, 0)
	assert.NilError(t, err)
	now := time.Second
	_, _, err = r.ProposeMembers(now, ledger.MemberChange{Action: ledger.AddLearner, Replica: learner, Address: "2"})
	assert.Equal(t, serving.KindOf(err), serving.KindNotLeader)
	r.Tick(now)
	settleAlone(r)
	tests := []struct {
		change ledger.MemberChange
		// acknowledged lets the learner acknowledge the whole log before.
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
			settleAlone(r)
		}
		_, _, err := r.ProposeMembers(now, tt.change)
		if tt.want == "" {
			assert.NilError(t, err, "step %d", i)
		} else {
			assert.Equal(t, serving.KindOf(err), tt.want, "step %d: %v", i, err)
		}
		settleAlone(r)
	}
	assert.Assert(t, r.Membership().Joint(), "the joint configuration ends only with the new voter")
	r.Step(now, ledger.Message{Type: ledger.MsgAppendResult, From: learner, To: self, Term: r.Status().Term, Index: r.Status().Last})
	settleAlone(r)
	assert.Assert(t, !r.Membership().Joint() && r.Membership().IsVoter(learner))
}

// Guards against a host that returns from behind a partition and deposes a
// leader that works, which pre-vote prevents.
func TestReturningHostKeepsLeader(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(seed, "")
		c.loss, c.spikes, c.onElected = 0, 0, func(*host) {}
		assert.Assert(t, c.runUntil(5*time.Second, c.agreed), "seed %d: no leader", seed)
		terms := len(c.leaders)
		var away *host
		for _, h := range c.hosts {
			if _, leads := h.replica.Leads(); !leads {
				away = h
			}
		}
		for n := range c.hosts {
			c.cutLinks(5*time.Second, [2]int{n, away.n})
			c.cutLinks(5*time.Second, [2]int{away.n, n})
		}
		c.runUntil(c.now+8*time.Second, nil)
		assert.Equal(t, len(c.leaders), terms, "seed %d", seed)
		assert.Assert(t, c.agreed(), "seed %d", seed)
	}
}

// Guards against a cost of a proposal that grows with the length of the log: a
// copy of the whole log for each one allocated 12 GB here.
func TestProposalCostIsIndependentOfLog(t *testing.T) {
	self := identity(1, "a")
	alone := ledger.Membership{Members: []ledger.Member{{ID: self, Address: "1", Voter: true}}}
	r, err := ledger.New(ledger.Config{Self: self, Random: rand.New(rand.NewPCG(1, 1))},
		ledger.Persistent{Snapshot: ledger.Snapshot{Index: 1, Term: 1, Membership: alone}}, 0)
	assert.NilError(t, err)
	r.Tick(time.Second)
	settleAlone(r)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 20_000 {
		_, _, err := r.Propose(time.Second, nil)
		assert.NilError(t, err)
		settleAlone(r)
	}
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 256<<20, "allocated %d bytes", after.TotalAlloc-before.TotalAlloc)
}

// Guards against a term below that of the log, after a crash between storing an
// installed snapshot and the hard state.
func TestTermIsNotBelowLog(t *testing.T) {
	self := identity(1, "a")
	r, err := ledger.New(ledger.Config{Self: self, Random: rand.New(rand.NewPCG(1, 1))},
		ledger.Persistent{Hard: ledger.HardState{Term: 5, Vote: self}, Snapshot: ledger.Snapshot{Index: 9, Term: 7}}, 0)
	assert.NilError(t, err)
	assert.Equal(t, *r.Ready().Hard, ledger.HardState{Term: 7})
}
