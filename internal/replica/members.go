package replica

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// MemberState is the state of one member, as known to the leader.
type MemberState struct {
	ID      serving.ReplicaID
	Address string
	Voter   bool
	// SinceAckedHeartbeat is the time since this replica sent the newest heartbeat
	// that the member acknowledged, or since its election if the member
	// acknowledged none.
	SinceAckedHeartbeat time.Duration
	// Acked is true if the member has acknowledged a heartbeat of this leader.
	Acked bool
	// EntriesBehind is the number of committed entries that are not known to be
	// durable on the member.
	EntriesBehind uint64
}

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
	// Members lists all members. Their SinceAckedHeartbeat and EntriesBehind are
	// set on the leader only.
	Members []MemberState
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
		Settled: s.MembershipCommitted && !s.Membership.Joint()}
	if out.Leading {
		out.SinceElection = now - s.ElectedAt
	} else {
		out.SinceLeaderContact = now - s.LastContact
	}
	for _, m := range s.Membership.Members {
		member := MemberState{ID: m.ID, Address: m.Address, Voter: m.Voter}
		if m.ID == s.Self {
			out.IsMember = true
		} else if out.Leading {
			acked, ok := s.HeartbeatAcked[m.ID]
			member.Acked = ok
			member.SinceAckedHeartbeat = now - max(acked, s.ElectedAt)
			member.EntriesBehind = uint64(s.Commit - min(s.Commit, s.Match[m.ID]))
		}
		out.Members = append(out.Members, member)
	}
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

// Member returns the member with the given replica id in its wire form, or the zero
// value if there is none.
func (s State) Member(id string) MemberState {
	for _, m := range s.Members {
		if m.ID.String() == id {
			return m
		}
	}
	return MemberState{}
}
