// Package presence keeps what is known of engines from their heartbeats: where
// each one is, what it serves, whether it is leaving, and when it was last heard.
// There is no other list of engines.
//
// # Usage
//
//	d := presence.NewDirectory()
//	changed := d.Observe(now, record) // a heartbeat
//	d.Leave(now, "engine-1")          // the engine says that it leaves for good
//	d.Expire(now)
//	records, cursor := d.Since(cursor)
//
// Heartbeats may arrive late, after others of the same engine, and after the
// engine has crashed and another one has its address. A record is replaced only
// by one of a later start of the engine, or of the same start with a higher
// sequence number; leaving is never revoked within one start; and of two engines
// with one address the one that started later holds it. The directory has no
// clock, socket or goroutine, and isn't safe for concurrent use.
package presence
