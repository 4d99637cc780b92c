package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
	"turmericdrum.org/turmericdrum/pkg/serving/membership"
)

const (
	// toleratedLosses is the number of hosts that may be lost at the same time.
	toleratedLosses = 2
	// graceTime is the time from the signal to stop to the forced end of a process, and
	// downTime the time after which a host that lost its disk is back.
	graceTime = 7 * time.Second
	downTime  = 1500 * time.Millisecond
	// recoveryTime is the time after the last event within which changes are accepted again.
	recoveryTime = 12 * time.Second
)

// sequence plays events on a simulation and keeps to the stated fault tolerance.
type sequence struct {
	*simulation
	// hosts are the hosts in use, by the identity of their replica. countsUntil is the time
	// until which a host counts as lost.
	hosts       []serving.ReplicaID
	countsUntil map[serving.HostID]time.Duration
	// incarnations numbers identities and new hosts.
	incarnations int
	acked        []ledger.Index
	events       []string
}

func newSequence(t *testing.T, seed uint64) *sequence {
	s := &sequence{simulation: newSimulation(t, 5, 0), countsUntil: map[serving.HostID]time.Duration{}}
	s.random = rand.New(rand.NewPCG(seed, 3))
	for i := range 5 {
		s.hosts = append(s.hosts, replicaID(i, "initial"))
	}
	s.run(2 * time.Second)
	return s
}

func (s *sequence) note(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// mayLose reports whether the host at index i may be lost now.
func (s *sequence) mayLose(i int) bool {
	lost := 0
	for j, id := range s.hosts {
		if j != i && s.countsUntil[id.Host] > s.now {
			lost++
		}
	}
	return lost < toleratedLosses
}

// change proposes a change and waits until it is acknowledged, or the leader is lost.
func (s *sequence) change() {
	leader := s.leader()
	if leader == nil {
		return
	}
	index, term, err := leader.Propose(s.now, []byte("change"))
	if err != nil {
		return
	}
	for until := s.now + time.Second; s.now < until; s.run(5 * time.Millisecond) {
		if status := leader.Status(); status.Role == ledger.Leader && status.Term == term && status.Commit >= index {
			s.acked = append(s.acked, index)
			s.note("change %d acknowledged by %s", index, status.Self)
			return
		}
	}
}

// loseDisk takes a host down; it comes back with an empty disk.
func (s *sequence) loseDisk(i int) {
	old := s.hosts[i]
	s.note("%s loses its disk", old)
	delete(s.replicas, old)
	s.countsUntil[old.Host] = s.now + downTime + repairTime
	s.incarnations++
	id := serving.ReplicaID{Host: old.Host, Incarnation: fmt.Sprint("i", s.incarnations)}
	s.hosts[i] = id
	s.later(downTime, func() { s.start(id, ledger.PersistentState{}) })
}

// freeze suspends the link of a host for a while.
func (s *sequence) freeze(i int, d time.Duration) {
	id := s.hosts[i]
	s.note("%s is cut off for %v", id, d)
	s.silent[id] = true
	s.countsUntil[id.Host] = s.now + d + repairTime
	s.later(d, func() { delete(s.silent, id) })
}

// replace replaces a host as planned: its successor starts first and has its time to catch up.
func (s *sequence) replace(i int) {
	old := s.hosts[i]
	s.incarnations++
	successor := serving.ReplicaID{Host: serving.HostID(fmt.Sprint("n", s.incarnations)), Incarnation: "first"}
	s.note("%s starts, to replace %s", successor, old)
	s.start(successor, ledger.PersistentState{})
	s.run(repairTime)
	s.note("%s is told to stop", old)
	s.leaving[old] = true
	for until := s.now + graceTime; s.now < until && s.replicas[old] != nil; s.run(10 * time.Millisecond) {
		leader := s.leader()
		if leader == nil {
			continue
		}
		status := leader.Status()
		settled := status.MembershipCommitted && !status.Membership.Joint()
		if settled && (!s.isVoter(old) || !membership.HasSuccessor(membership.Members(&status, s.now))) {
			delete(s.replicas, old)
		}
	}
	delete(s.replicas, old)
	delete(s.leaving, old)
	s.note("%s has ended", old)
	s.hosts[i] = successor
}

// Guards against an order of planned replacements, losses of disks and cut links within the
// stated fault tolerance after which no leader is elected, or an acknowledged change is gone.
// A replacement is often followed at once by the tolerated losses.
func TestSequencesOfReplacementsAndLosses(t *testing.T) {
	const sequences, steps = 40, 6
	for seed := range uint64(sequences) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSequence(t, seed)
			r := rand.New(rand.NewPCG(seed, 9))
			for range steps {
				i := r.IntN(len(s.hosts))
				switch op := r.IntN(4); {
				case op == 0:
					s.replace(i)
					s.change()
					// The tolerated losses, at once.
					for n, j := r.IntN(toleratedLosses+1), i; n > 0; n-- {
						if j = (j + 1) % len(s.hosts); s.mayLose(j) {
							s.loseDisk(j)
						}
					}
				case op == 1 && s.mayLose(i):
					s.loseDisk(i)
				case op == 2 && s.mayLose(i):
					s.freeze(i, time.Duration(500+r.IntN(3000))*time.Millisecond)
				default:
					s.change()
					s.run(time.Duration(r.IntN(3000)) * time.Millisecond)
				}
			}
			s.run(recoveryTime)
			n := len(s.acked)
			s.change()
			assert.Assert(t, len(s.acked) > n, "no change is accepted %v after the last event: %v\n%v", recoveryTime, s.events, s.log)
			last := s.leader().Status().Commit
			for _, index := range s.acked {
				assert.Assert(t, index <= last, "change %d is gone: %v", index, s.events)
			}
		})
	}
}
