// Package hub runs the hub, the process on each host of the control plane. It keeps one
// replica of the deployment state, receives the heartbeats of engines, and passes both
// on to the entries, the processes that forward callers' requests to engines.
//
// # Usage
//
//	h := &hub.Hub{Host: "10.0.0.4", Address: "http://10.0.0.4:7200", DataFolder: "/data", ...}
//	go func() { errs <- h.Run(ctx) }()
//	err := h.PutConfig(ctx, 7, document)
//	h.Heartbeat(record)
//
// Exported fields are set before Run.
//
// # State
//
// The deployment state (routing configuration, data centres out of service, rollouts) is
// replicated through the log and changed by the leader only. The list of engines and
// their load are soft state: each hub receives the heartbeats and reports of some
// engines and entries, forwards them to the other hubs, and removes those that aren't
// refreshed.
//
// # Rollouts
//
// A rollout shifts the traffic of a service to engines with another version of their
// software. Every hub collects the reports of all entries, its own directly and the others
// through other hubs. The leader evaluates them with package rollout, and commits the phases
// and the counts (rollouts.go, evidence.go, docs/design/rollouts.md).
//
// # Membership
//
// The hubs that are named at the first start are the initial voters. Every other
// hub, and one that has lost its disk, asks the leader to make it a learner. The
// leader promotes learners until there are enough voters to survive the loss of as
// many disks as the deployment tolerates. It also replaces a voter with a learner of
// the same host, or a voter that has been silent with any learner. A new leader
// accepts no change until there are enough voters or votersTimeout has passed since
// its start.
package hub
