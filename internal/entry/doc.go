// Package entry implements the entry, the process through which callers reach engines.
// It serves the callers' HTTP API, receives the announcements of engines, and
// dispatches requests to them.
//
// An engine is a process that generates tokens with a model or answers the calls of a
// plain service. A generation is one run of a request on a model engine, which streams
// it as frames, one for each token.
//
// One goroutine, the control goroutine, owns the state that the parts of an entry share
// and publishes immutable snapshots of it, each a [Blackboard]. The goroutines that
// serve requests read the snapshots and send events back.
//
// Engine limits and account limits apply to all entries together. For each engine and
// each account with a limit, one entry is the owner: it grants slots (each one permits
// one request in progress) and token shares (parts of an account's limit in tokens per
// second) to the others.
//
// The control plane is a replicated group of processes that stores the configuration and
// the claims. Entries poll its replicas, one of which is the leader, for the
// configuration.
//
// An incarnation identifies one run of a process; later runs have higher numbers. A view
// is a revision of the configuration. An order is a call that must run at most once. A
// claim is a record at the control plane that lets one attempt send an order; settling
// the claim records the outcome.
//
// # Usage
//
// [Providers] construct an entry from its settings and clock with google/wire;
// cmd/turmericdrum has the injector:
//
//	e := newEntry(settings)
//	return e.Run(ctx) // serves until ctx ends, then drains
package entry
