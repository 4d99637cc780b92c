package serving

import "context"

// StateMachine is what the replicated log applies its entries to. It is
// deterministic: equal commands in equal order give equal results and state.
type StateMachine interface {
	// Apply applies the entry at an index and returns its result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
}

// ReplicatedLog accepts commands for a replicated state machine.
type ReplicatedLog interface {
	// Propose returns the result of a command once it is durable at a quorum and
	// applied here. A KindNotLeader error names the leader's address in Detail;
	// an error with Ran RanUnknown means that the command may still be applied.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns once everything accepted before the call is applied
	// here, and fails unless this replica holds a valid leader lease.
	ReadBarrier(ctx context.Context) error
	// Leader returns the address of the known leader and whether it is this replica.
	Leader() (address string, self bool)
}
