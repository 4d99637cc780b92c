// Package presence is the directory of engines, built from their heartbeats: the
// address and service of each one, whether it is draining, and the time of its
// last heartbeat. There is no other list of engines. Hubs, the processes of the
// control plane, receive the heartbeats and pass the records on to the entry
// processes, which forward client requests to the engines.
//
// # Usage
//
//	d := presence.NewDirectory()
//	changed := d.Observe(now, record) // a heartbeat
//	d.MarkGone(now, "engine-1")       // the engine has announced that it shuts down
//	d.Expire(now)
//	engines, cursor := d.Since(cursor)
//
// Heartbeats may arrive late, out of order, or after the engine has crashed and
// its address belongs to another one. These rules resolve the conflicts:
//
//   - A record is replaced only by one of a later start of the engine, or by one of
//     the same start with a higher sequence number.
//   - An engine that is leaving never becomes ready again within the same start.
//   - Of two engines with the same address, the one that started later owns it.
//
// The directory has no clock, socket or goroutine, and isn't safe for concurrent
// use.
package presence
