// Package ingress bounds what the clients of a process may use of its memory, descriptors and
// time. Clients that operators don't control may open many connections, stop partway in
// requests, or read no answers; the process must neither end nor stop serving others.
//
// # Usage
//
//	budget := &ingress.Budget{Bytes: 48 << 20}
//	l := &ingress.Listener{Name: "callers", Budget: budget, Limits: ingress.Limits{Connections: 1400}}
//	err := l.Listen("10.0.0.19:8740")
//	err = l.Server(l.Guard(handler), nil).Serve(l)
//
// Exported fields are set before use. Guard accounts for the header and the body of each
// request. A handler that reads bodies on its own calls Begin, Reserve, Release, Phase, Vouch and
// Drop instead.
//
// The order in which connections are closed is that of pkg/serving/shedding. See
// docs/design/ingress-limits.md.
package ingress
