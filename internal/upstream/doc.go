// Package upstream sends calls to engines over HTTP/1.1 connections that it
// keeps, and tells for each failure whether the call may have run.
//
// # Usage
//
//	p := &upstream.Pool{Dialect: dialect, Clock: clock}
//	x, err := p.Send(ctx, upstream.Request{Address: "10.1.0.9:8080", Call: call, Header: header})
//	...
//	x.Close(whole)
//
// An error of Send has Ran set to not_run only if no byte of the call was sent.
// A connection is used again only after a whole answer with nothing behind it.
// An answer that carries the id of another call is read and dropped, since a
// faulty engine may answer a call twice.
//
// net/http's client isn't used here: it sends some calls a second time by
// itself, and gives a late answer to the next call on its connection.
package upstream
