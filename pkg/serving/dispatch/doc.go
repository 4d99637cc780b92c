// Package dispatch implements the decision logic of the serving path: placement of
// requests on engines, length estimates, memory admission, the cold-start ramp,
// shared slots, circuit breakers, stall detection and retry budgets.
//
// An entry is a process that accepts requests and sends them to engines. Several
// entries share each engine, and one of them owns it at a time. A slot permits one
// generation at a time on an engine. Incarnations number the runs of an engine's or an
// entry's process. A decode step adds one token to each generation that runs on the
// engine. An engine is cold while its steps are slow, for example after a start. Entries
// poll the control plane for the configuration view, which lists the entries and so
// determines the owners.
//
// All types are state machines without sockets, clocks, files or goroutines.
// They are not safe for concurrent use: each value belongs to one goroutine. Times
// are [time.Duration] values since an arbitrary monotonic origin of the process.
//
// # Usage
//
// A [Tracker] turns announcements and the entry's own calls into candidates, a
// [serving.Placer] chooses one of them and a [serving.Admitter] decides whether
// the request may start there now:
//
//	lengths := dispatch.NewLengths(dispatch.LengthsConfig{})
//	tracker := dispatch.NewTracker(dispatch.TrackerConfig{Lengths: lengths, Random: rng})
//	admitter := &dispatch.MemoryAdmitter{Lengths: lengths}
//	placer := dispatch.NewAffinity(&dispatch.CostPlacer{Lengths: lengths, Random: rng}, 1.25)
//
//	tracker.Announce(now, announcement)
//	candidates = tracker.Candidates(now, request, candidates[:0])
//	i, err := placer.Place(now, request, candidates)
//	a := admitter.Admit(now, request, &candidates[i])
//	tracker.Sent(now, candidates[i].Engine, generation, request)
//
// The concurrency limit of an engine applies to all entries together. Its [Owner]
// grants slots that expire, and every entry has a [Holder] for each engine:
//
//	q, due := holder.Request(now)
//	q.Forecast = tracker.OwnForecast(engine) // send q to the owner
//	p, ok := owner.Grant(now, q) // send p back
//	holder.HandleReply(now, p)
//	tracker.SetLimit(engine, holder.Limit())
//	others, at := holder.Others()
//	tracker.SetOthers(at, engine, others)
//	slot, ok := holder.Acquire(now) // start one generation under slot
//
// Errors returned to callers are [*serving.Error] values of kind
// [serving.KindNoEngine] or [serving.KindOverloaded]. The request was not executed in
// either case.
package dispatch
