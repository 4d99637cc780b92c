package replica

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// MemberState is one member as the leader sees it.
type MemberState struct {
	ID      serving.ReplicaID
	Address string
	Voter   bool
	// Silent is the time since the member last acknowledged a heartbeat.
	Silent time.Duration
	// Behind is the number of committed entries that the member lacks.
	Behind uint64
}

// State is a short status of a replica.
type State struct {
	Self   serving.ReplicaID
	Leads  bool
	Term   uint64
	Leader string
	// Member tells that the replica is in the membership that it knows.
	Member bool
	// HeardAgo is the time since a leader was last heard; 0 on the leader.
	HeardAgo time.Duration
	// Members are all members; Silent and Behind are valid on the leader only.
	Members []MemberState
	// Settled tells that no change of the members is in progress.
	Settled bool
}

// State returns the status of the replica.
func (n *Node) State() State {
	n.setup()
	s := n.status.Load()
	now := time.Duration(0)
	if n.Clock != nil {
		now = n.Clock.Now()
	}
	out := State{Self: s.Self, Leads: s.Role == ledger.Leader, Term: uint64(s.Term), Leader: s.LeaderAddress,
		Settled: s.MembershipCommitted && !s.Membership.Joint()}
	if !out.Leads {
		out.HeardAgo = now - s.LastContact
	}
	for _, m := range s.Membership.Members {
		member := MemberState{ID: m.ID, Address: m.Address, Voter: m.Voter}
		if m.ID == s.Self {
			out.Member = true
		} else if out.Leads {
			member.Silent = now - max(s.HeartbeatAcked[m.ID], s.ElectedAt)
			member.Behind = uint64(s.Commit - min(s.Commit, s.Match[m.ID]))
		}
		out.Members = append(out.Members, member)
	}
	return out
}
