// Package journal stores the log, snapshots and identity of one replica in a data
// folder.
//
// # Usage
//
//	disk, err := journal.OpenFolder("/var/lib/turmericdrum")
//	j, state, err := journal.Open(disk, journal.Options{Host: "leon-1"})
//	r, err := ledger.New(ledger.Config{Self: j.Self(), ...}, state, now)
//	...
//	err = j.Save(rd) // durable when it returns nil
//
// # Files
//
// The folder contains:
//
//   - identity: host and incarnation. A folder without data gets a new random
//     incarnation, so a host that lost its disk is not mistaken for the previous
//     member.
//   - log-N: segments of the log, numbered from 1. Each Save appends one frame
//     with the hard state and the new entries, and syncs once.
//   - snapshot-N: snapshots by index. Only the newest one is used.
//   - lock: locked with flock while the journal is open.
//
// A frame is the payload length (4 bytes), the CRC-32C of the payload, the
// CRC-32C of these two fields, and the payload. Integers are little endian.
//
// # Damage
//
// A crash can leave only the last frame of the last segment incomplete; Open
// discards it. What Open returns is durable, although the process before may have
// ended between a write and its sync: Open writes the last segment anew before it
// creates the next one, so that all earlier segments are durable as well. Damage to that frame after it was synced cannot be distinguished
// from a crash, so Open then discards entries that the replica acknowledged. Any
// other damage is an error of kind damaged. After a failed write or sync it is
// unknown which data is durable, so the journal refuses every further write with
// an error of kind storage_failed.
package journal
