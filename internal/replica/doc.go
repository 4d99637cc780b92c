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
// the log, the journal and the state machine. It alone calls Apply, Snapshot and
// Restore of the machine. A machine that other goroutines read needs its own lock.
//
// # First start
//
// A replica is identified by its host and by the incarnation that its data folder
// gets at the first start. At the first start of a cluster, every initial replica
// is started with Bootstrap and the same Initial members. On a folder without data
// it takes the identity host/initial and stores the initial members. On a folder
// with data Bootstrap has no effect. Without Bootstrap, a folder without data gets
// a random incarnation. The replica is then not a member and has no vote until an
// operator adds it as a learner and replaces the old identity of the host.
//
// Bootstrap must not be used again for a host that lost its folder: the host
// would vote under an identity whose earlier votes and acknowledgements are lost.
// Run returns an error if a reachable initial member has already received messages
// from that identity. It cannot detect the loss if no such member is reachable or
// all of them have restarted since. Bootstrap must therefore be set only for the
// first start, which is done by hand, and never in a service definition.
//
// # Lost majority
//
// [Recover] makes one replica the only voter. Its documentation describes which
// changes may be lost.
package replica
