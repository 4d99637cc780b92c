// Package rpc contains the code that the twirp servers and clients of turmericdrum
// processes share: the mapping between [serving.Error] and twirp errors,
// authentication by bearer key, and a client of the control replicas.
//
// # Usage
//
// A server maps its errors and reads the key of a call:
//
//	handler := schema.NewViewsServer(views, twirp.WithServerInterceptors(rpc.MapErrors))
//	http.ListenAndServe(addr, rpc.RequireKey(rpc.HashKey(clusterKey), handler))
//
// A [Client] finds the leader among the replicas and calls it. It implements
// [schema.Operators], [schema.Views] and [schema.Claims]. A resent call has the
// same command id or attempt id, so it is not applied twice if only the answer of
// the first attempt was lost:
//
//	c := &rpc.Client{Addresses: []string{"10.0.0.1:7100", "10.0.1.1:7100"}, Key: key}
//	result, err := c.Apply(ctx, change)
//	if serving.KindOf(err) == serving.KindOutcomeUnknown {
//		// The change may still be applied; send it again with the same command id.
//	}
package rpc
