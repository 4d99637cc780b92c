// Package rpc has what the twirp servers and clients between the processes of
// turmericdrum share: the mapping between [serving.Error] and twirp errors,
// authentication by bearer key, and a client of the control replicas.
//
// # Usage
//
// A server maps its errors and reads the key of a call:
//
//	handler := schema.NewViewsServer(views, twirp.WithServerInterceptors(rpc.MapErrors))
//	http.ListenAndServe(addr, rpc.RequireKey(rpc.HashKey(clusterKey), handler))
//
// A client calls whichever replica is the leader. It implements
// [schema.Operators], [schema.Views] and [schema.Claims], and resends a call
// with the same command id or attempt id, so that a lost answer does no harm:
//
//	c := &rpc.Client{Addresses: []string{"10.0.0.1:7100", "10.0.1.1:7100"}, Key: key}
//	result, err := c.Apply(ctx, change)
//	if serving.KindOf(err) == serving.KindOutcomeUnknown {
//		// The change may still be applied; send it again with the same command id.
//	}
package rpc
