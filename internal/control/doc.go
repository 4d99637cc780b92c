// Package control implements `turmericdrum control`: the twirp services Operators,
// Views and Claims, backed by a replicated log and the registry, the state machine
// to which the log applies its entries.
//
// Every call but Status is answered under a leader lease: reads wait for
// [serving.ReplicatedLog.ReadBarrier], and changes and claims are proposed to the
// log. A replica that is not the leader answers with an error of kind not_leader
// that contains the leader's address.
//
// The leader also compares the desired state of the engines with the state that they
// report, and sends them orders, such as to load a model.
//
// An entry is a process that accepts the calls of clients and polls the control
// replicas for the configuration; an entry of the log is called a log entry. In the
// service Claims, an order is a call of a client that must run at most once. An
// order to an engine is a command of the control process.
//
// # Usage
//
// The fields of a [Server] are set before Run:
//
//	s := &control.Server{
//		Log:          replica,
//		Replica:      replica,
//		Machine:      machine,
//		ClusterKey:   rpc.HashKey(clusterKey),
//		BootstrapKey: bootstrapHash,
//	}
//	err := s.Run(ctx, listener)
//
// [Server.Handler] returns only the handler, for a process that serves other paths
// on the same listener. Calls to Views and Claims need the cluster key. Calls to
// Operators need the key of a client account that is marked as operator, or the
// bootstrap key of the settings.
package control
