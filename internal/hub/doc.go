// Package hub runs the process of a control host: it keeps one replica of the
// deployment state, hears the heartbeats of engines, and passes both on to the
// entries.
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
// The deployment state (routing configuration, data centres out of service) is
// replicated through the log and changed by the leader only. Engines and the use
// of engines are soft state: each hub hears some engines and entries, tells the
// other hubs, and forgets what isn't repeated.
//
// # Membership
//
// The hubs that are named at the first start are the first voters. Every other
// hub, and one that has lost its disk, asks the leader to make it a learner. The
// leader gives learners a vote until there are enough voters to lose as many
// disks as the deployment tolerates, and puts a learner in the place of a voter
// of the same host or of one that has been silent. Until there are enough voters
// no change is accepted.
package hub
