// Package entry implements the process that runs on every entry host. It serves the
// callers' HTTP API, receives the announcements of engines, and dispatches requests to
// them.
//
// One goroutine, the control goroutine, owns the [Blackboard] and publishes immutable
// snapshots of it. The goroutines that serve requests read the snapshots and send
// events back.
//
// Engine limits and account limits apply to all entries together. For each engine and
// each account with a limit, one entry is the owner: it grants slots (each one permits
// one request in progress) and token shares to the others.
//
// An incarnation numbers the runs of a process. A view is a revision of the
// configuration. A claim is a record at the control plane that lets one attempt send a
// call that must run at most once, which is called an order.
//
// # Usage
//
// [Providers] construct an entry from its settings and clock with google/wire;
// cmd/turmericdrum has the injector:
//
//	e := newEntry(settings)
//	return e.Run(ctx) // serves until ctx ends, then drains
package entry
