package serving

import "context"

// StateMachine is the state to which the replicated log applies its commands. It must
// be deterministic: the same commands in the same order give the same results and
// state.
type StateMachine interface {
	// Apply applies the command of the log entry at index and returns its result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// SnapshotChecker is implemented by a state machine that can check a snapshot without
// restoring it.
type SnapshotChecker interface {
	// CheckSnapshot returns the error that Restore would return.
	CheckSnapshot(snapshot []byte) error
}

// ReplicatedLog accepts commands for a replicated state machine.
type ReplicatedLog interface {
	// Propose returns the result of a command once the command is durable on a quorum
	// and applied on this replica. A KindNotLeader error has the leader's address in
	// Detail. An error with Ran set to RanUnknown means that the command may still be
	// applied.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns once all commands accepted before the call are applied on
	// this replica. It fails if this replica does not hold a valid leader lease.
	ReadBarrier(ctx context.Context) error
	// Leader returns the address of the known leader and whether it is this replica. The
	// address is empty if no leader is known.
	Leader() (address string, self bool)
}
