// Package placement chooses the engine that runs a call, from what one entry
// knows: the engines' heartbeats, the work of all entries together, the entry's
// own work since, and the outcomes of its own calls.
//
// # Usage
//
//	p := &placement.Pool{Random: random, DataCentre: "leon-1", RegionOf: regions}
//	p.SetEngines(entries)
//	ticket, err := p.Place(now, &placement.Need{Service: service, Prompt: 3000, Output: 900})
//	ticket.Progress(40)
//	ticket.End(now, placement.OK, latency)
//
// # Memory
//
// The memory of a model engine is filled by what runs there and by cached parts
// of prompts. When it runs out in mid-decode, a generation is preempted and its
// caller sees a pause. A generation is therefore placed only where the memory
// that all generations there are expected to need, over all entries, leaves room
// for it; otherwise it waits at the entry, where it can still go anywhere.
//
// # Failing engines
//
// An engine that can't be reached gets no calls for a time that doubles with each
// failure. One that answers but fails more of its calls than its peers, or is
// slower than they are, gets fewer calls by a penalty on its cost, so that its
// recovery is noticed.
//
// A pool has no clock, socket or goroutine. It isn't safe for concurrent use.
package placement
