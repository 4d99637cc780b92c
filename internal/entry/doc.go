// Package entry is the process on every entry host: the callers' HTTP API,
// engines' announcements, and dispatch.
//
// One goroutine, the control goroutine, owns the [Blackboard] and publishes
// immutable snapshots of it; traffic goroutines read the snapshots and send
// events back.
//
// # Usage
//
// [Providers] construct an entry from its settings and clock with google/wire;
// cmd/turmericdrum has the injector:
//
//	e := newEntry(settings)
//	return e.Run(ctx) // until ctx ends; then drains
package entry
