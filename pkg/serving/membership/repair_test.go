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
	linkDelay     = 12 * time.Millisecond
	tickInterval  = 20 * time.Millisecond
	checkInterval = 100 * time.Millisecond
	joinInterval  = 200 * time.Millisecond
	// changeTimeout is how long the leader repeats a change that the log refuses for the
	// moment. No other change is requested meanwhile.
	changeTimeout = 2 * time.Second
	// repairTime is how long after its return a host that lost its disk counts as lost.
	// The next disks may be lost right after it.
	repairTime = 4 * time.Second
)

// simulation is a cluster of replicas in virtual time, with the policy at its leader
// and hosts that ask to join as hubs do.
type simulation struct {
	t        *testing.T
	now      time.Duration
	replicas map[serving.ReplicaID]*ledger.Replica
	inFlight []delivery
	random   *rand.Rand
	// checkPhase is the offset of the policy's checks from the leader's election.
	checkPhase time.Duration
	// silent holds replicas that receive nothing.
	silent map[serving.ReplicaID]bool
	// leaving holds replicas whose processes have announced their end, and timers what
	// happens later.
	leaving map[serving.ReplicaID]bool
	timers  []timer
	// change is the change that the leader repeats until changeUntil, nil if there is none.
	change      *ledger.MemberChange
	changeUntil time.Duration
	log         []string
}

type timer struct {
	at time.Duration
	f  func()
}

// later calls f after a time.
func (s *simulation) later(d time.Duration, f func()) {
	s.timers = append(s.timers, timer{s.now + d, f})
}

type delivery struct {
	at time.Duration
	m  ledger.Message
}

func replicaID(host int, incarnation string) serving.ReplicaID {
	return serving.ReplicaID{Host: serving.HostID(fmt.Sprint("h", host)), Incarnation: incarnation}
}

func newSimulation(t *testing.T, hosts int, checkPhase time.Duration) *simulation {
	s := &simulation{t: t, replicas: map[serving.ReplicaID]*ledger.Replica{}, random: rand.New(rand.NewPCG(7, 1)), checkPhase: checkPhase, silent: map[serving.ReplicaID]bool{}, leaving: map[serving.ReplicaID]bool{}}
	var m ledger.Membership
	for i := range hosts {
		m.Members = append(m.Members, ledger.Member{ID: replicaID(i, "initial"), Address: fmt.Sprint("h", i), Voter: true})
	}
	for _, member := range m.Members {
		s.start(member.ID, ledger.PersistentState{Snapshot: ledger.Snapshot{Index: 1, Term: 1, Membership: m}})
	}
	return s
}

func (s *simulation) start(id serving.ReplicaID, state ledger.PersistentState) {
	r, err := ledger.New(ledger.Config{Self: id, Random: s.random}, state, s.now)
	assert.NilError(s.t, err)
	s.replicas[id] = r
}

// loseDisk replaces the replica of a host by an empty one with a new identity.
func (s *simulation) loseDisk(old serving.ReplicaID, incarnation string) serving.ReplicaID {
	delete(s.replicas, old)
	id := serving.ReplicaID{Host: old.Host, Incarnation: incarnation}
	s.start(id, ledger.PersistentState{})
	return id
}

func (s *simulation) leader() *ledger.Replica {
	for _, r := range s.replicas {
		if r.Status().Role == ledger.Leader {
			return r
		}
	}
	return nil
}

// run advances the time by d in steps of a millisecond.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += time.Millisecond {
		for _, t := range s.timers {
			if t.at == s.now {
				t.f()
			}
		}
		var later []delivery
		due := s.inFlight
		s.inFlight = nil
		for _, msg := range due {
			r := s.replicas[msg.m.To]
			switch {
			case msg.at > s.now:
				later = append(later, msg)
			case r != nil && !s.silent[msg.m.To]:
				r.Step(s.now, msg.m)
			}
		}
		s.inFlight = append(s.inFlight, later...)
		if s.now%tickInterval == 0 {
			for _, r := range s.replicas {
				r.Tick(s.now)
			}
		}
		s.manage()
		for _, r := range s.replicas {
			s.flush(r)
		}
	}
}

func (s *simulation) flush(r *ledger.Replica) {
	for rd := r.Ready(); !rd.Empty(); rd = r.Ready() {
		r.Persisted(rd, nil)
		for _, m := range append(rd.Immediate, rd.Messages...) {
			s.inFlight = append(s.inFlight, delivery{s.now + linkDelay, m})
		}
	}
}

// manage does what hubs do at their intervals: the leader asks the policy for changes,
// and replicas without contact to a leader ask to be added.
func (s *simulation) manage() {
	leader := s.leader()
	if leader == nil {
		return
	}
	status := leader.Status()
	members := membership.Members(&status, s.now)
	if s.change == nil && (s.now-status.ElectedAt)%checkInterval == s.checkPhase && status.MembershipCommitted && !status.Membership.Joint() {
		for i := range members {
			members[i].Leaving = s.leaving[members[i].ID]
		}
		p := membership.Policy{RequiredVoters: 5, MaxBehind: maxBehind}
		s.change, s.changeUntil = p.Next(status.Self, members), s.now+changeTimeout
	}
	if s.change != nil && (s.now-status.ElectedAt)%ledger.DefaultHeartbeat == s.checkPhase {
		_, _, err := leader.ProposeMembers(s.now, *s.change)
		if err == nil || s.now >= s.changeUntil {
			s.log = append(s.log, fmt.Sprintf("%v %s %s: %v", s.now, s.change.Action, s.change.Replica, err))
			s.change = nil
		}
	}
	if s.now%joinInterval != 0 {
		return
	}
	for id, r := range s.replicas {
		own := r.Status()
		_, knows := own.Membership.Find(id)
		_, known := status.Membership.Find(id)
		if known || s.silent[id] || s.leaving[id] || knows && s.now-own.LastContact < membership.PromoteWithin {
			continue
		}
		_, _, _ = leader.ProposeMembers(s.now, ledger.MemberChange{Action: ledger.AddLearner, Replica: id, Address: string(id.Host)})
	}
}

func (s *simulation) isVoter(id serving.ReplicaID) bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	m, ok := leader.Membership().Find(id)
	return ok && m.Voter
}

// Guards against a new learner that is removed as silent before its first heartbeat
// could be acknowledged, because the leader has been in office for longer than a learner
// may be silent. Two hosts that lost their disks must be voters again before the next
// disks may be lost, whatever the time between the checks and the heartbeats.
func TestLostDisksAreReplacedUnderOldLeader(t *testing.T) {
	for _, leading := range []time.Duration{time.Second, membership.DropLearnerAfter + time.Second} {
		for phase := time.Duration(0); phase < checkInterval; phase += 10 * time.Millisecond {
			t.Run(fmt.Sprintf("leading for %v, checks at %v", leading, phase), func(t *testing.T) {
				s := newSimulation(t, 5, phase)
				s.run(2 * time.Second)
				s.run(leading)
				assert.Assert(t, s.leader() != nil)
				var lost []serving.ReplicaID
				for i := range 5 {
					if id := replicaID(i, "initial"); id != s.leader().Status().Self && len(lost) < 2 {
						lost = append(lost, s.loseDisk(id, "second"))
					}
				}
				s.run(repairTime)
				for _, id := range lost {
					assert.Assert(t, s.isVoter(id), "%s is no voter %v after its return: %v", id, repairTime, s.log)
				}
			})
		}
	}
}

// Guards against a host that was removed for good and still counts as a voter when its
// successor has had the time to catch up, so that the next two losses leave no majority.
func TestRemovedHostIsReplacedInTime(t *testing.T) {
	const successorAfter = time.Second
	for _, leader := range []bool{false, true} {
		for phase := time.Duration(0); phase < checkInterval; phase += 10 * time.Millisecond {
			t.Run(fmt.Sprintf("leader %v, checks at %v", leader, phase), func(t *testing.T) {
				s := newSimulation(t, 5, phase)
				s.run(20 * time.Second)
				removed := s.leader().Status().Self
				for i := 0; !leader && removed == s.leader().Status().Self; i++ {
					removed = replicaID(i, "initial")
				}
				delete(s.replicas, removed)
				s.run(successorAfter)
				successor := serving.ReplicaID{Host: "new-host", Incarnation: "first"}
				s.start(successor, ledger.PersistentState{})
				s.run(repairTime)
				assert.Assert(t, s.isVoter(successor), "%s is no voter %v after its start: %v", successor, repairTime, s.log)
				assert.Assert(t, !s.isVoter(removed))
			})
		}
	}
}

// Guards against a learner that falls silent after it was added and that the leader
// tries to promote again and again, while another learner in contact waits.
func TestSilentLearnerDoesNotDelayOthers(t *testing.T) {
	for _, silentAfter := range []time.Duration{0, 2 * linkDelay, 150 * time.Millisecond} {
		for phase := time.Duration(0); phase < checkInterval; phase += 10 * time.Millisecond {
			t.Run(fmt.Sprintf("silent after %v, checks at %v", silentAfter, phase), func(t *testing.T) {
				s := newSimulation(t, 5, phase)
				s.run(20 * time.Second)
				self := s.leader().Status().Self
				var lost []serving.ReplicaID
				for i := range 5 {
					if id := replicaID(i, "initial"); id != self && len(lost) < 2 {
						lost = append(lost, s.loseDisk(id, "second"))
					}
				}
				_, _, err := s.leader().ProposeMembers(s.now, ledger.MemberChange{Action: ledger.AddLearner, Replica: lost[0], Address: "h"})
				assert.NilError(t, err)
				s.run(silentAfter)
				s.silent[lost[0]] = true
				s.run(repairTime - silentAfter)
				assert.Assert(t, s.isVoter(lost[1]), "%s is no voter %v after its return: %v", lost[1], repairTime, s.log)
			})
		}
	}
}
