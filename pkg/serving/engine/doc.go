// Package engine keeps an entry's view of the membership (engines and other
// entries) and decides which entry owns an engine.
//
// A [Directory] merges the announcements that an entry receives with the records
// that other entries forward. Records carry an incarnation and a version, so that
// an old record never replaces a newer one. Entries send each other the age of a
// record instead of a wall-clock time. A member that this entry cannot reach but
// that still sends updates to others is unreachable, not dead.
//
// # Usage
//
//	d := engine.NewDirectory(engine.Config{Self: self})
//	d.Announce(now, announcement, region) // this entry received an announcement
//	missing := d.Newer(peerDigest)        // records that a peer lacks
//	d.Merge(now, received)                // records received from a peer
//	events := d.Sweep(now)                // state changes since the last call
//
// Times are [time.Duration] values since a monotonic origin; the package reads no
// clock.
package engine
