package ledger

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Index is the position of an entry in the log. The first entry has index 1.
type Index uint64

// Term is the number of an election term. A term has at most one leader.
type Term uint64

// EntryType is the type of the data of an entry.
type EntryType uint8

// Types of entries.
const (
	// EntryCommand is a command of the state machine.
	EntryCommand EntryType = iota
	// EntryEmpty is an entry without data, which a new leader appends first.
	EntryEmpty
	// EntryMembers is an encoded Membership.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index Index
	Term  Term
	Type  EntryType
	Data  []byte
}

// HardState is the Raft state that must be durable before messages that depend
// on it are sent.
type HardState struct {
	Term Term
	Vote serving.ReplicaID
}

// Snapshot is the state after all entries up to its index. It replaces these
// entries.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	// Data is the encoded state machine; empty means its initial state.
	Data []byte
}

// PersistentState is the durable state from which a replica starts.
type PersistentState struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Ready is the output of a replica. The driver must process it in this order:
// send Immediate; persist Hard, Snapshot and Entries; call Persisted; send
// Messages; restore Snapshot if Install is set; apply Committed.
type Ready struct {
	// Hard is nil if it is unchanged.
	Hard *HardState
	// Snapshot is nil if there is no new snapshot.
	Snapshot *Snapshot
	// Install is set if Snapshot came from the leader and replaces the state.
	Install bool
	// Entries replace all stored entries from the first one's index on.
	Entries []Entry
	// Immediate can be sent before anything is persisted.
	Immediate []Message
	// Messages must not be sent before Hard, Snapshot and Entries are durable.
	Messages []Message
	// Committed are the entries to apply, in the order of their index.
	Committed []Entry
}

// Empty reports whether there is nothing to persist, send or apply.
func (rd Ready) Empty() bool {
	return rd.Hard == nil && rd.Snapshot == nil && len(rd.Entries)+len(rd.Immediate)+len(rd.Messages)+len(rd.Committed) == 0
}

// Role is the Raft role of a replica in its current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre_candidate", "candidate", "leader"}

// String returns the name of the role in snake case.
func (r Role) String() string { return roleNames[r] }

// Status is a copy of a replica's state.
type Status struct {
	Self          serving.ReplicaID
	Role          Role
	Term          Term
	Leader        serving.ReplicaID
	LeaderAddress string
	Commit        Index
	Last          Index
	Snapshot      Index
	Membership    Membership
	// MembershipCommitted is set if Membership is committed and so cannot be
	// replaced by another leader's log.
	MembershipCommitted bool
	// Match holds, on the leader, the last index known to be durable on each member.
	Match map[serving.ReplicaID]Index
	// Contacts holds, on the leader, the contact with each other member in this term.
	Contacts map[serving.ReplicaID]Contact
	// ElectedAt is, on the leader, the time at which it won its election.
	ElectedAt time.Duration
	// LastContact is the time of the last message from a leader, or the start time of
	// the replica if there was none.
	LastContact time.Duration
	// CaughtUp reports whether this replica has led or heard from a leader since its start,
	// and knows that an entry of the current term is committed. All entries that were
	// committed before the leader's election are then known to be committed.
	CaughtUp bool
	// LeaseUntil is the end of the leader lease, 0 if this replica has none.
	LeaseUntil time.Duration
	// Granted holds, on a candidate or pre-candidate, the voters that have granted their
	// vote, including itself.
	Granted []serving.ReplicaID
}

// Contact is the leader's contact with one other member.
type Contact struct {
	// Since is the send time of the newest heartbeat that the member acknowledged. If
	// it acknowledged none, it is the time since which the leader sends heartbeats to
	// it: that of its election, or that at which the member was added.
	Since time.Duration
	// Acked is true if the member has acknowledged a heartbeat.
	Acked bool
}

// MessageType is the type of a message between replicas.
type MessageType uint8

// Types of messages.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResult
	MsgVote
	MsgVoteResult
	MsgAppend
	MsgAppendResult
	MsgHeartbeat
	MsgHeartbeatResult
	MsgSnapshot
	MsgSnapshotResult
)

var messageNames = [...]string{"", "pre_vote", "pre_vote_result", "vote", "vote_result", "append",
	"append_result", "heartbeat", "heartbeat_result", "snapshot", "snapshot_result"}

// String returns the name of the type in snake case, "" for an unknown type.
func (t MessageType) String() string {
	if int(t) >= len(messageNames) {
		return ""
	}
	return messageNames[t]
}

// ParseMessageType returns the type with the given name, 0 if there is none.
func ParseMessageType(name string) MessageType {
	for t := MsgPreVote; t <= MsgSnapshotResult; t++ {
		if messageNames[t] == name {
			return t
		}
	}
	return 0
}

// Message is a message between replicas.
type Message struct {
	Type     MessageType
	From, To serving.ReplicaID
	// Term is the sender's term. In a MsgPreVote and in the result that grants it,
	// it is the term of the election that would follow.
	Term Term
	// Index and LogTerm identify the entry before Entries, or the last entry of a
	// candidate's log. In a MsgAppendResult, Index is the acknowledged index, or the
	// index at which the logs differ if Reject is set. In a MsgSnapshotResult, Index
	// is the number of bytes received and Commit the index of the snapshot.
	Index   Index
	LogTerm Term
	Commit  Index
	Entries []Entry
	Reject  bool
	// RejectHint is the highest index at which the logs may agree.
	RejectHint Index
	// Round is the number of a heartbeat round within a term. A heartbeat result
	// carries the round that it acknowledges.
	Round    uint64
	Snapshot *SnapshotChunk
}

// SnapshotChunk is a part of a snapshot. Total is the size of the snapshot's data
// and Offset the position of Data in it, both in bytes.
type SnapshotChunk struct {
	Index      Index
	Term       Term
	Membership Membership
	Total      uint64
	Offset     uint64
	Data       []byte
}
