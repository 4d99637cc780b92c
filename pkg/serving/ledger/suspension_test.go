package ledger_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// Guards against a read of an old version at a leader that was suspended: another leader
// has been elected and has committed entries before it resumes.
func TestResumedLeaderRefusesReads(t *testing.T) {
	var m ledger.Membership
	replicas := map[serving.ReplicaID]*ledger.Replica{}
	for i := range 3 {
		m.Members = append(m.Members, ledger.Member{ID: identity(i, "initial"), Address: "a", Voter: true})
	}
	for i, v := range m.Members {
		r, err := ledger.New(ledger.Config{Self: v.ID, Random: rand.New(rand.NewPCG(uint64(i), 1))},
			ledger.PersistentState{Snapshot: ledger.Snapshot{Index: 1, Term: 1, Membership: m}}, 0)
		assert.NilError(t, err)
		replicas[v.ID] = r
	}
	suspended := serving.ReplicaID{}
	run := func(from, to time.Duration) {
		for now := from; now < to; now += 5 * time.Millisecond {
			for id, r := range replicas {
				if id != suspended {
					r.Tick(now)
				}
			}
			for pending := true; pending; {
				pending = false
				for id, r := range replicas {
					if id == suspended {
						continue
					}
					rd := r.Ready()
					r.Persisted(rd, nil)
					for _, msg := range append(rd.Immediate, rd.Messages...) {
						pending = true
						if msg.To != suspended {
							replicas[msg.To].Step(now, msg)
						}
					}
				}
			}
		}
	}
	leader := func() (serving.ReplicaID, *ledger.Replica) {
		for id, r := range replicas {
			if id != suspended && r.Status().Role == ledger.Leader {
				return id, r
			}
		}
		t.Fatal("no leader")
		return serving.ReplicaID{}, nil
	}

	run(0, 3*time.Second)
	id, old := leader()
	_, err := old.ReadIndex(3 * time.Second)
	assert.NilError(t, err)
	suspended = id
	run(3*time.Second, 8*time.Second)
	_, current := leader()
	_, _, err = current.Propose(8*time.Second, []byte("newer"))
	assert.NilError(t, err)
	run(8*time.Second, 9*time.Second)

	_, err = old.ReadIndex(9 * time.Second)
	assert.Equal(t, serving.KindOf(err), serving.KindNotLeader)
}
