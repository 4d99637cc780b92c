// Package fleet decides which orders the control leader sends to engines, so
// that they carry the models, versions, adapters and roles that operators want.
// It has no sockets, clocks or goroutines.
//
// A [Reconciler] keeps four promises. Loads from the weight store stay under one
// rate for the whole system; a new leader starts without any burst, because the
// one before may have used it. An engine has at most one order in flight. An
// order counts as done only when a report that was asked for after the order was
// issued shows its effect. An engine that does not check fencing numbers gets no
// order from a new leader during the quiet period, in which an order of the
// leader before could still arrive.
//
// # Usage
//
// The control goroutine tells the reconciler when this replica becomes leader
// and passes the ledger index of the first entry of its term:
//
//	r, err := fleet.New(fleet.Config{Rate: 0.5, Burst: 2})
//	r.Lead(now, index)
//	for _, order := range r.Reconcile(now, want, engines) {
//		// Right before sending, with the lease of the log and a fresh report.
//		if err := r.Check(now, order, leaseValid, engine); err != nil {
//			continue
//		}
//		send(order)
//	}
//	r.Follow() // When this replica is no longer the leader.
//
// An order that was issued but not sent is issued again after its time-out.
package fleet
