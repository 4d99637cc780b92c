package ledger

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Index is the position of an entry in the log, from 1.
type Index uint64

// Term numbers the periods of leadership.
type Term uint64

// EntryType says what an entry contains.
type EntryType uint8

// Types of entries.
const (
	// EntryCommand is a command of the state machine.
	EntryCommand EntryType = iota
	// EntryEmpty is the first entry of a term.
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

// HardState must be durable before messages that depend on it are sent.
type HardState struct {
	Term Term
	Vote serving.ReplicaID
}

// Snapshot replaces all entries up to its index.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	// Data is the encoded state machine; empty means its initial state.
	Data []byte
}

// Persistent is what a replica has stored.
type Persistent struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Ready is what the driver has to persist, send and apply, in this order:
// send Immediate, persist Hard, Snapshot and Entries, call Persisted, send
// Messages, restore Snapshot if Install is set, apply Committed.
type Ready struct {
	// Hard is nil if it is unchanged.
	Hard *HardState
	// Snapshot is nil if there is no new snapshot.
	Snapshot *Snapshot
	// Install tells that Snapshot came from the leader and replaces the state.
	Install bool
	// Entries replace all stored entries from the first one's index on.
	Entries   []Entry
	Immediate []Message
	Messages  []Message
	Committed []Entry
}

// Empty tells whether there is nothing to do.
func (rd Ready) Empty() bool {
	return rd.Hard == nil && rd.Snapshot == nil && len(rd.Entries)+len(rd.Immediate)+len(rd.Messages)+len(rd.Committed) == 0
}

// Role is the role of a replica in its term.
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

// Status is a copy of a replica's state for display.
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
	// MembershipCommitted tells that Membership can no longer be undone.
	MembershipCommitted bool
	// Match holds, on the leader, the index up to which each member has the log.
	Match map[serving.ReplicaID]Index
	// Acked holds, on the leader, the send time of the newest heartbeat that each
	// other member acknowledged in this term; one that acknowledged none is missing.
	Acked map[serving.ReplicaID]time.Duration
	// Elected is, on the leader, the start of its leadership.
	Elected time.Duration
	// Heard is when a leader was last heard, or the start of the replica.
	Heard time.Duration
	// LeaseUntil is the end of the leader lease, 0 if there is none.
	LeaseUntil time.Duration
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

// String returns the name of the type in snake case.
func (t MessageType) String() string {
	if int(t) >= len(messageNames) {
		return ""
	}
	return messageNames[t]
}

// ParseMessageType returns the type of a name, 0 if there is none.
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
	Term     Term
	// Index and LogTerm denote the entry before Entries, or the last entry of a
	// candidate; in results, Index is the acknowledged index.
	Index   Index
	LogTerm Term
	Commit  Index
	Entries []Entry
	Reject  bool
	// RejectHint is the highest index at which the logs may agree.
	RejectHint Index
	// Round numbers heartbeat rounds within a term; a result repeats it.
	Round    uint64
	Snapshot *SnapshotChunk
}

// SnapshotChunk is a part of a snapshot.
type SnapshotChunk struct {
	Index      Index
	Term       Term
	Membership Membership
	Total      uint64
	Offset     uint64
	Data       []byte
}
