// Package serving is the root package of turmericdrum: it has the named ids and
// units, the typed errors, and the small interfaces that the packages below it
// implement.
//
// Decision logic (routing, admission, membership, replication) has no sockets,
// clocks, files or goroutines of its own. Time is passed as a [time.Duration]
// since an arbitrary monotonic origin of the process; randomness, transport and
// storage come in through interfaces of this package.
//
// # Usage
//
// A program that embeds a part takes the implementation from the package below
// and passes its own clock and source of randomness:
//
//	var clock serving.Clock = serving.NewMonotonicClock()
//	now := clock.Now()
//
// Errors that reach a caller or an operator are values of [*Error]. Its kind is
// stable, its remedy says what to do next, and Ran says whether the request ran:
//
//	err := serving.NewError(serving.KindViewExpired, "no confirmed configuration for 2.5 s")
//	fmt.Println(err.Ran, err.Remedy)
package serving
