// Package placement chooses the engine that runs a call. An entry is a process
// that accepts client requests and forwards them to engines. Its choice is based
// on the heartbeats of the engines, the summed load that all entries reported,
// its own load since then, and the outcomes of its own calls. A hub, a process of
// the control plane, collects the reports and can choose engines for the entries
// of its data centre.
//
// # Usage
//
//	p := &placement.Pool{Random: random, DataCentre: "leon-1", RegionOf: regions}
//	p.SetEngine(status) // from the directory of engines, package presence
//	ticket, err := p.Place(now, &placement.Need{Service: service, Prompt: 3000, Output: 900})
//	ticket.Progress(40, 3900)
//	ticket.End(now, placement.OK, latency)
//
// # Memory
//
// The KV cache memory of a model engine holds running generations and cached
// prompt parts. If it runs out during decoding, a generation is preempted and its
// caller sees a pause. A generation is therefore placed only on an engine that has
// room for it in addition to the memory that the generations of all entries there
// are expected to need. Otherwise it waits at the entry, which can still send it to
// any engine.
//
// # Failing engines
//
// An unreachable engine gets no calls for a backoff period that doubles with each
// failure. Of the other engines, those with a lower cost are preferred. The cost of
// an engine grows with its load and its distance. It is also higher for an engine
// that responds, but fails more of its calls than its peers or is slower. This
// engine still receives some calls, which show when it has recovered.
//
// A pool has no clock, socket or goroutine. It isn't safe for concurrent use.
package placement
