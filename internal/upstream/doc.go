// Package upstream sends calls to engines over pooled HTTP/1.1 connections. For each
// failure it states whether the call may have run.
//
// # Usage
//
//	p := &upstream.Pool{Dialect: dialect, Clock: clock}
//	x, err := p.Send(ctx, upstream.Request{Address: "10.1.0.9:8080", Method: "POST", Target: "/v1/x", Header: header, Body: body})
//	...
//	x.Close(complete)
//
// An error of Send has Ran set to not_run only if no byte of the call was sent. A
// connection is reused only after a complete answer without further bytes behind it.
// An answer with the id of another call is read and discarded, because a faulty
// engine may answer a call twice.
//
// The client of net/http is not suitable: it retries some calls automatically, and
// takes a late answer for the answer to the next call on the same connection.
package upstream
