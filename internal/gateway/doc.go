// Package gateway runs the process of an entry host on a platform that brings its
// own protocols: it takes callers' requests, decides by the routing
// configuration, places each call on an engine and relays the answer.
//
// # Usage
//
//	g := &gateway.Gateway{Host: "10.0.0.19", Frontend: "10.0.0.19:8740", Dialect: dialect, ...}
//	err := g.Run(ctx)
//
// Exported fields are set before Run. The end of ctx begins a graceful shutdown.
//
// # Parts
//
// The blackboard holds what all parts share: the view of the deployment state,
// the pool of engines and the streams in progress. A watcher polls a hub and
// writes what it hears to the blackboard; streams are moved away from engines
// that leave (move.go); each call runs in the goroutine of its request. Plain
// calls are placed here; the engine of a generation is chosen by the hub, which
// knows the choices of all its entries at once (place.go). A call
// never runs twice unless its route allows it: after the first byte has left, a
// call that isn't idempotent is sent again only when the engine states that it
// did not run.
package gateway
