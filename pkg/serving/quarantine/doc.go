// Package quarantine finds the calls and the prompt parts that crash engines, from the calls
// that were lost with their engines, and blocks them.
//
// A call is lost with its engine if the engine ends the connection before the answer has
// begun. One lost call says little: the engine may have ended for another reason, and
// several calls may wait at it. A part is blocked if calls with it were lost at several
// times with several engines, and no answer has begun with it since. A part with which
// an answer has begun is sound. Parts that were always lost together, of which none is
// known to be sound, are blocked together only: a call that has one of them but not all
// is still sent, and its outcome tells them apart.
//
// The hash of a call, with its account, target and body, is one more part of it. It finds a
// call that comes again and crashes engines although it has no prompt parts, or although
// other calls with the same ones are sound.
//
// # Usage
//
// An entry records the outcomes of its own calls in an [Observer] and reports them:
//
//	parts := append(quarantine.Shareable(prompt), quarantine.HashCall(account, method, host, target, body))
//	o.Lost(now, quarantine.LostCall{Request: id, Engine: engine, Parts: parts})
//	o.Sound(now, parts)
//	send(o.Report(now), o.SoundAmong(now, suspects))
//
// A control host collects the reports of all entries in an [Evidence], returns the
// suspects to the entries, and blocks what it finds:
//
//	suspects := e.Suspects(now, blocks)
//	if f, ok := e.Find(now, blocks); ok {
//		propose(f.Block)
//	}
//
// Entries refuse a call if [Blocklist.Match] finds a block.
//
// # Bounds
//
// An Observer holds up to 2 x 4096 sound prompt parts, as many sound calls and 64 lost
// calls, an Evidence 512 lost calls for ten minutes, and each lost call up to 128 prompt
// parts. A hash of 63 bits of SHA-256 keeps callers from choosing a call with the hash of
// another account's. Only a call that loses its
// engine adds evidence. No part of this package has a clock, a network or a goroutine.
//
// Source: internal/gateway observes, internal/hub collects, and package deployment
// replicates the blocks. In internal/entry each entry does all of it and exchanges
// evidence and blocks with the others.
package quarantine
