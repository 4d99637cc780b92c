// Package serving is the root package of turmericdrum. It defines the types of ids
// and units, the typed errors, and the interfaces that its subpackages implement.
//
// Decision logic (routing, admission, membership, replication) uses no sockets,
// clocks, files or goroutines of its own. Time is passed as a [time.Duration]
// since an arbitrary monotonic origin of the process. Randomness, transport and
// storage are passed in as interfaces.
//
// # Terms
//
// An entry is a process that accepts callers' requests and sends them to engines. An
// engine is a process that generates tokens or answers calls of a service. A generation
// is one run of a request on one engine. A platform is an environment with its own
// protocols, to which a [Dialect] adapts an entry. Without a platform, one entry at a
// time owns each engine and grants slots for it to all entries; a slot permits one
// generation at a time.
//
// # Usage
//
// A program that embeds one of the subpackages passes its own clock and source of
// randomness:
//
//	var clock serving.Clock = serving.NewMonotonicClock()
//	now := clock.Now()
//
// Errors that reach a caller or an operator are of type [*Error]. Kind is a stable
// name, Remedy says what to do next, and Ran says whether the request ran:
//
//	err := serving.NewError(serving.KindViewExpired, "no confirmed configuration for 2.5 s")
//	fmt.Println(err.Ran, err.Remedy)
package serving
