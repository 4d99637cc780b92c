// Package fleet decides which orders the control leader sends to engines, so
// that they have the models, versions, adapters and roles that operators want.
// The control leader is the leader of the control replicas. An order is an
// instruction to one engine, such as to load a model. It is not related to the
// orders of package registry, which are calls of clients. The package uses no
// sockets, clocks or goroutines.
//
// An engine carries a model if it has loaded a version of it. A report is the state
// that an engine returns on request or announces.
//
// A [Reconciler] guarantees that:
//
//   - Loads from the weight store stay below one rate for the whole system. A new
//     leader starts without a burst, because the previous one may have used it.
//   - An engine has at most one order in flight.
//   - An order counts as done only when a report that was requested after the
//     order was issued shows its effect, or when the engine is gone or was
//     restarted.
//   - An engine that does not check fencing numbers gets no order from a new
//     leader during the quiet period, in which an order of the previous leader
//     could still arrive.
//
// # Usage
//
// When this control replica becomes leader, the caller calls StartEpoch with the
// index of the first entry of its term in the ledger, the replicated log:
//
//	r, err := fleet.New(fleet.Config{Rate: 0.5, Burst: 2})
//	r.StartEpoch(now, index)
//	for _, order := range r.Reconcile(now, want, engines) {
//		// Immediately before sending. leaseValid states whether this replica still
//		// holds the leader lease, and engine is from a new report.
//		if err := r.Check(now, order, leaseValid, engine); err != nil {
//			continue
//		}
//		send(order)
//	}
//	r.StepDown() // When this replica is no longer the leader.
//
// An order that was issued but not sent is issued again after its time-out.
package fleet
