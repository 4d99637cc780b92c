// Package control is the server side of `turmericdrum control`: the twirp
// services Operators, Views and Claims over a replicated log and the registry
// machine that the log applies its entries to.
//
// Every answer but that of Status is given under a leader lease: reads pass
// [serving.ReplicatedLog.ReadBarrier], changes and claims are proposed to the
// log. A replica that is not the leader answers with an error of kind not_leader
// that names the leader.
//
// # Usage
//
// The fields of a [Server] are set before Run:
//
//	s := &control.Server{
//		Log:        replica,
//		Replica:    replica,
//		Machine:    machine,
//		ClusterKey: rpc.HashKey(clusterKey),
//		Bootstrap:  bootstrapHash,
//	}
//	err := s.Run(ctx, listener)
//
// [Server.Handler] returns the handler alone, for a process that serves more on
// the same listener. Views and Claims need the cluster key; Operators needs the
// key of a client account that is marked as operator, or the bootstrap key of
// the settings.
package control
