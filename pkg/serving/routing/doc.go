// Package routing applies the routing configuration to calls. It determines the
// route of a request, whether its key permits it, the service that runs it, and
// the regions in which it may run.
//
// # Usage
//
// Each version of a [Config] is validated and compiled into a [Table] once. A
// table is immutable and may be used by any number of goroutines:
//
//	table, err := routing.Compile(cfg)
//	d, err := table.Decide(call, rand.Float64())
//	fmt.Println(d.Route.Name, d.Service.ID, d.Account)
//
// Decide returns errors of type *serving.Error: not_found for a request that
// matches no route, unauthenticated for an unknown key, and too_large for a body
// or header that exceeds the limits.
package routing
