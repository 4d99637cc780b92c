// Package routing decides where a call goes by the routing configuration: which
// route a request belongs to, whether its key allows it, which service runs it,
// and in which regions.
//
// # Usage
//
// A [Config] is checked and compiled into a [Table] once for each version. A
// table is immutable, so that any number of goroutines may use it:
//
//	table, err := routing.Compile(cfg)
//	d, err := table.Decide(call, rand.Float64())
//	fmt.Println(d.Route.Name, d.Service.ID, d.Account)
//
// Errors of Decide are values of *serving.Error: not_found for a request that
// no route takes, unauthenticated for an unknown key, and too_large for a body
// or header beyond the limits.
package routing
