// Package gateway runs the entry process. It receives callers' requests, routes them
// by the routing configuration, chooses an engine for each call and forwards the
// engine's answer. The platform defines the protocols of callers and engines, which a
// serving.Dialect implements.
//
// # Usage
//
//	g := &gateway.Gateway{Host: "10.0.0.19", Frontend: "10.0.0.19:8740", Dialect: dialect, ...}
//	err := g.Run(ctx)
//
// Exported fields are set before Run. Canceling ctx starts a graceful shutdown.
//
// # Parts
//
// The blackboard is the state that the parts of the process share: the view of the
// deployment state, the pool of engines and the streams in progress. A watcher polls
// a hub, a process of the control plane, and updates the blackboard with the answers.
// An engine that has announced its shutdown is leaving. The entry tries to move the
// streams of such an engine: it copies the KV cache memory of their generations to
// other engines, which continue them (move.go). Each call runs in the goroutine of its
// request. The entry chooses the engines of plain calls, whose answer is one message.
// The hub chooses the engines of generations, because it sees the choices of all its
// entries immediately (place.go).
//
// While the traffic of a service shifts to engines with another version of their software,
// the entry decides which version a call gets, within a bound that it keeps on its own, and
// reports the outcomes to the hub (rollout.go, docs/design/rollouts.md).
//
// A call never runs twice unless its route allows it. Once the first byte of a call
// that isn't idempotent has been sent, the call is retried only if the engine
// states that it did not run the call.
package gateway
