// Package saturation decides when an entry, a process that accepts callers' requests, reports
// that it is not ready because its host is close to the limit of its processor, its link or its
// file descriptors.
//
// A load balancer that divides connections evenly gives the smallest hosts of a data centre as
// much as the largest ones. An entry on a small host that is not ready for some seconds moves
// new connections to larger ones before its own callers wait. It goes on serving what it has.
//
// At most a quarter of the entries of a data centre, rounded down, are not ready at the same
// time for this reason, and none of fewer than four. An entry whose host is saturated sends a
// claim with its polls. The hub that it polls grants claims, the most saturated first, as long
// as at most a quarter of the entries that poll the hub from this data centre are away. Entries
// of one data centre that poll different hubs need no agreement between the hubs, because the
// quarters of the parts add up to a quarter of the whole at most:
//
//   - A hub counts an entry from arrivalTime after its first poll until countedFor after its last
//     one, so that an entry that changes hubs is never counted by two.
//   - A grant is valid for newsTimeout from the poll that it answers, and an entry without a
//     valid grant is ready. The hub counts an entry as away for longer than that.
//   - If fewer entries are counted than before, the latest grants are withdrawn.
//
// It takes effect only in data centres whose entries have hosts of different sizes, see [Size].
//
// # Usage
//
// An entry observes its own use every few hundred milliseconds, and applies each answer:
//
//	c := saturation.Controller{Capacity: capacity}
//	c.Observe(now, saturation.Sample{Processor: used, Bytes: sent, Descriptors: open})
//	c.SetAnswer(pollSentAt, answer)
//	d := c.Decide(now)
//	ready := now >= c.AwayUntil()
//	report(c.State())
//
// A hub keeps a Table of the entries that poll it:
//
//	t.Poll(now, host, incarnation, state)
//	answer, ok := t.Answer(now, host)
//
// No part of this package has a clock, a network or a goroutine, and none is safe for
// concurrent use.
package saturation
