// Package engine keeps what an entry knows of engines and of other entries, and
// decides which entry owns an engine.
//
// A [Directory] merges what an entry hears itself with what other entries pass
// on. Records carry an incarnation and a version, so that old news never replaces
// new news, and an age in place of wall-clock times. A member that cannot be
// reached from here but that others still hear from is unreachable, not dead.
//
// # Usage
//
//	d := engine.NewDirectory(engine.Config{Self: self})
//	d.Announce(now, announcement)     // an engine announced itself here
//	delta := d.Newer(peerDigest)      // what to send to a peer
//	d.Merge(now, delta)               // what a peer sent
//	events := d.Sweep(now)            // state changes since the last call
//
// Times are time.Durations since a monotonic origin; the package reads no clock.
package engine
