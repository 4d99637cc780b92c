package replica

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
	"turmericdrum.org/turmericdrum/pkg/serving/membership"
)

// State is a summary of the status of a replica for code in the same process.
type State struct {
	Self    serving.ReplicaID
	Leading bool
	// SinceElection is the time since this replica became the leader. It is 0 on other
	// replicas.
	SinceElection time.Duration
	Term          uint64
	// Leader is the address of the leader; it is empty if no leader is known.
	Leader string
	// IsMember is true if the replica is part of the newest membership in its log.
	IsMember bool
	// SinceLeaderContact is the time since the last message from a leader, or since
	// the start if there was none. It is 0 on the leader.
	SinceLeaderContact time.Duration
	// CaughtUp is true if the replica has had contact with a leader since its start and
	// has applied an entry of the current term, and so all entries that were committed
	// before the leader's election.
	CaughtUp bool
	// Members lists all members.
	Members []membership.Member
	// Settled is true if no membership change is in progress.
	Settled bool
}

// State returns the current state of the replica. Status returns the form that is
// sent to operators.
func (n *Node) State() State {
	n.setup()
	s := n.status.Load()
	now := time.Duration(0)
	if n.Clock != nil {
		now = n.Clock.Now()
	}
	out := State{Self: s.Self, Leading: s.Role == ledger.Leader, Term: uint64(s.Term), Leader: s.LeaderAddress,
		Settled: s.MembershipCommitted && !s.Membership.Joint(), CaughtUp: s.CaughtUp && s.applied >= s.Commit}
	if out.Leading {
		out.SinceElection = now - s.ElectedAt
	} else {
		out.SinceLeaderContact = now - s.LastContact
	}
	out.Members = membership.Members(&s.Status, now)
	out.IsMember = slices.ContainsFunc(out.Members, func(m membership.Member) bool { return m.ID == s.Self })
	return out
}

// Voters returns the number of members that are voters.
func (s State) Voters() (n int) {
	for _, m := range s.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Member returns the member with the given identity, or the zero value if there is none.
func (s State) Member(id serving.ReplicaID) membership.Member {
	for _, m := range s.Members {
		if m.ID == id {
			return m
		}
	}
	return membership.Member{}
}
