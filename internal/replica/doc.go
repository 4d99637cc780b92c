// Package replica runs one replica of the replicated log: it drives a
// [ledger.Replica] with a [journal.Journal], sends messages to the other
// replicas through twirp and applies committed entries to a state machine.
//
// # Usage
//
//	n := &replica.Node{
//		Host: "leon-1", Address: "http://10.0.0.1:7100",
//		Disk: disk, Machine: machine,
//	}
//	mux.Handle(schema.LogPathPrefix, schema.NewLogServer(n))
//	go func() { errs <- n.Run(ctx) }()
//	result, err := n.Propose(ctx, command)
//
// Exported fields are set before Run. One goroutine, the control goroutine, owns
// the log, the journal and the state machine: Apply, Snapshot and Restore of the
// machine are called there, so that readers of the machine need a lock of its own.
//
// # First start
//
// At the first start of a cluster, every initial replica is started with
// Bootstrap and the same Initial members. On a folder without data it takes the
// identity host/initial and stores the initial members. On a folder with data
// Bootstrap has no effect. Without Bootstrap, a folder without data gets a random
// incarnation, which is not a member and has no vote until an operator adds it
// as a learner and replaces the old identity.
//
// Bootstrap must not be used again for a host that lost its folder: the host
// would vote under an identity whose earlier votes and acknowledgements it no
// longer knows. Run refuses this when a reachable initial member has already
// received messages from that identity; it cannot detect it when no such member
// is reachable or all of them have restarted since. The flag therefore belongs
// in the one manual start, never in a service definition.
//
// # Lost majority
//
// [Recover] makes one replica the only voter; see there for what may be lost.
package replica
