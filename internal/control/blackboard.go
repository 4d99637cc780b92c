package control

import (
	"sync/atomic"

	"turmericdrum.org/turmericdrum/pkg/serving/fleet"
)

// Blackboard is the state from which orders to engines are derived: whether this
// replica leads, what operators want and what engines report. A published
// blackboard is immutable.
type Blackboard struct {
	// Leading is true while this replica is the leader under a valid lease.
	Leading bool
	// Epoch is the log index from which fencing numbers start.
	Epoch uint64
	Want  fleet.Want
	// Engines are the engines that the entries report.
	Engines []fleet.Engine
	// Addresses has the address of each engine by the id that the engine announces.
	Addresses map[string]string
}

// board publishes blackboards. The goroutine of engineOrders.run is its only writer.
type board struct{ current atomic.Pointer[Blackboard] }

func (b *board) load() *Blackboard {
	if c := b.current.Load(); c != nil {
		return c
	}
	return &Blackboard{}
}
