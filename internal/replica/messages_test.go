package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/internal/schematest"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// threeVoters is the initial membership of the replicas under test.
func threeVoters() ledger.Membership {
	var m ledger.Membership
	for _, host := range []serving.HostID{"a", "b", "c"} {
		m.Members = append(m.Members, ledger.Member{ID: serving.ReplicaID{Host: host, Incarnation: "1"}, Address: "http://" + string(host), Voter: true})
	}
	return m
}

// driven is a replica whose output is processed at once.
type driven struct {
	*ledger.Replica
	now       time.Duration
	committed []ledger.Entry
	messages  []ledger.Message
}

func newDriven(t *rapid.T) *driven {
	r, err := ledger.New(ledger.Config{Self: serving.ReplicaID{Host: "a", Incarnation: "1"}, Random: rand.New(rand.NewPCG(1, 2))},
		ledger.PersistentState{Snapshot: ledger.Snapshot{Index: 1, Term: 1, Membership: threeVoters()}}, 0)
	assert.NilError(t, err)
	return &driven{Replica: r}
}

func (d *driven) flush() {
	for {
		rd := d.Ready()
		if rd.Empty() {
			return
		}
		d.committed = append(d.committed, rd.Committed...)
		d.messages = append(d.messages, rd.Immediate...)
		d.messages = append(d.messages, rd.Messages...)
		d.Persisted(rd, nil)
	}
}

// step passes a wire message to the replica as Deliver does.
func (d *driven) step(in *schema.LogMessage) {
	m, err := fromWire(in)
	if err != nil {
		return
	}
	d.Step(d.now, m)
	d.flush()
}

// elect makes the replica the leader with the votes of b.
func (d *driven) elect(t *rapid.T) {
	for range 2 {
		d.now += 2 * time.Second
		d.Tick(d.now)
		d.flush()
		s := d.Status()
		for _, kind := range []ledger.MessageType{ledger.MsgPreVoteResult, ledger.MsgVoteResult} {
			term := uint64(s.Term)
			if kind == ledger.MsgPreVoteResult {
				term++
			}
			d.step(&schema.LogMessage{Type: kind.String(), From: "b/1", To: "a/1", Term: term})
			s = d.Status()
		}
		if s.Role == ledger.Leader {
			return
		}
	}
	t.Fatal("not elected")
}

// Guards against one malformed message that ends the process of a control replica, or stops
// its replica. The messages name real replicas, as those of a faulty process or of another
// version would.
func TestMalformedMessagesLeaveReplicaRunning(t *testing.T) {
	words := []string{"a/1", "b/1", "c/1", "command", "empty", "members"}
	for kind := ledger.MsgPreVote; kind <= ledger.MsgSnapshotResult; kind++ {
		words = append(words, kind.String())
	}
	rapid.Check(t, func(rt *rapid.T) {
		d := newDriven(rt)
		if rapid.Bool().Draw(rt, "leader") {
			d.elect(rt)
			_, _, err := d.Propose(d.now, []byte("x"))
			assert.NilError(rt, err)
			d.flush()
		}
		for range rapid.IntRange(1, 12).Draw(rt, "messages") {
			in := &schema.LogMessage{}
			schematest.Draw(rt, in, words...)
			in.To = "a/1"
			if rapid.Bool().Draw(rt, "plausible") {
				s := d.Status()
				in.From, in.Term = "b/1", uint64(s.Term)+rapid.Uint64Range(0, 1).Draw(rt, "newer")
				in.Index, in.LogTerm = uint64(s.Last), rapid.Uint64Range(0, uint64(s.Term)).Draw(rt, "log term")
			}
			if rapid.Bool().Draw(rt, "in order") {
				for i, e := range in.GetEntries() {
					e.Index = in.GetIndex() + uint64(i) + 1
				}
			}
			d.step(in)
			d.now += 50 * time.Millisecond
			d.Tick(d.now)
			d.flush()
			assert.NilError(rt, d.Err())
		}
	})
}

// Guards against a leader that counts entries as stored which it never wrote, because a
// member acknowledges an index behind the end of its log. Such a member would get no entries
// any more.
func TestAcknowledgementBeyondLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newDriven(rt)
		d.elect(rt)
		last := d.Status().Last
		d.step(&schema.LogMessage{Type: ledger.MsgAppendResult.String(), From: "b/1", To: "a/1", Term: uint64(d.Status().Term),
			Index: uint64(last) + rapid.Uint64Range(1, 1<<40).Draw(rt, "beyond")})
		index, _, err := d.Propose(d.now, []byte("x"))
		assert.NilError(rt, err)
		d.messages = nil
		d.flush()
		assert.Assert(rt, d.Status().Commit < index, "committed %d of %d without an acknowledgement", d.Status().Commit, index)
		d.step(&schema.LogMessage{Type: ledger.MsgAppendResult.String(), From: "b/1", To: "a/1", Term: uint64(d.Status().Term), Index: uint64(last)})
		d.now += time.Second / 10
		d.Tick(d.now)
		d.flush()
		sent := false
		for _, m := range d.messages {
			for _, e := range m.Entries {
				sent = sent || m.To.Host == "b" && e.Index == index
			}
		}
		assert.Assert(rt, sent, "the entry was not sent to the member")
	})
}

// Guards against a replica that vouches for its state after a restart although it has not
// heard from a leader yet, or does not know yet what was committed before the leader's
// election.
func TestCaughtUpAfterRestart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newDriven(rt)
		assert.Assert(rt, !d.Status().CaughtUp)
		append1 := func(commit uint64) {
			d.step(&schema.LogMessage{Type: ledger.MsgAppend.String(), From: "b/1", To: "a/1", Term: 2, Index: 1, LogTerm: 1, Commit: commit,
				Entries: []*schema.LogEntry{{Index: 2, Term: 1, Type: "command"}, {Index: 3, Term: 2, Type: "empty"}}})
		}
		append1(2)
		assert.Assert(rt, !d.Status().CaughtUp, "only an entry of an earlier term is known to be committed")
		append1(3)
		assert.Assert(rt, d.Status().CaughtUp)
	})
}

// Guards against a control process that answers for a replica without an identity while it
// opens the data folder. An operator who repairs a host at that moment would add a member
// without an id.
func TestIdentityIsAskedForBeforeItIsKnown(t *testing.T) {
	n := &Node{Host: "a"}
	_, err := n.Deliver(t.Context(), &schema.LogMessages{})
	assert.Equal(t, serving.KindOf(err), serving.KindOverloaded)
}
