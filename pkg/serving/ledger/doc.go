// Package ledger implements the replicated log: leader election, replication,
// membership changes, snapshots and leader leases, following the Raft protocol.
//
// A [Replica] is a single-threaded state machine. It has no sockets, clocks,
// files or goroutines; the caller passes the time as a [time.Duration] since an
// arbitrary monotonic origin of its process, delivers messages and persists what
// [Replica.Ready] returns.
//
// # Usage
//
// A driver calls [Replica.Tick] at least once per heartbeat interval,
// [Replica.Step] for each received message and [Replica.Propose] for each
// command. After any of these calls it processes the pending output:
//
//	rd := r.Ready()
//	send(rd.Immediate)           // does not depend on the write that follows
//	err := journal.Save(rd)      // must be durable when it returns
//	r.Persisted(rd, err)
//	send(rd.Messages)
//	apply(rd.Snapshot, rd.Committed)
//
// Commands that arrive while Save is running are proposed after it. They are part
// of the next Ready and share one sync (group commit). Messages may be lost,
// duplicated, delayed and reordered.
//
// # Leases
//
// [Replica.ReadIndex] succeeds only under a leader lease. The lease runs from the
// send time of the last heartbeat round that a quorum acknowledged, for
// ElectionMin × (1 − MaxDrift). It relies on two assumptions: the monotonic
// clocks of two hosts drift relative to each other by at most MaxDrift, and a
// clock advances while its process is stopped or its host is suspended.
// [serving.MonotonicClock] does so on Linux, the clock of package time doesn't. Wall
// clocks are never used.
//
// # Membership
//
// Members are identified by host and incarnation. The incarnation is created
// with the data folder, so a host that lost its disk counts towards no quorum
// until its new identity has replaced the old one. Changes of the voters go
// through a joint configuration, which requires majorities of both the old and
// the new voters. The leader leaves it automatically once it is committed.
//
// Errors are of type [*serving.Error].
package ledger
