// Package shedding decides which connection of a client is closed first when a process has
// reached its bound of connections or of memory.
//
// # Usage
//
//	worst, at := shedding.Holding{}, -1
//	for i, h := range holdings {
//		if h.Class(limits) <= shedding.Slow && h.Before(worst, limits) {
//			worst, at = h, i
//		}
//	}
//
// The package uses no network, clock or goroutine. A comparison allocates nothing.
package shedding

import "time"

// Phase is what a connection is used for at a moment.
type Phase int32

// Phases of a connection.
const (
	// Opening is the time before the header of the first request is complete.
	Opening Phase = iota
	// Idle is the time between an answer and the first byte of the next request.
	Idle
	// Header is the time from there until the header of that request is complete.
	Header
	// Body is the time in which the body of a request is received.
	Body
	// Serving is the time in which a request is served, as long as no answer is held back by
	// the client.
	Serving
	// Writing is the time in which the process waits for the client to read.
	Writing
	// Refused is the time after a refusal in which the rest of the body is dropped.
	Refused
)

// Limits are the times that clients inside the limits stay below.
type Limits struct {
	// Header is the time for a header, Idle the time that a client keeps a connection idle.
	Header, Idle time.Duration
	// Quiet is the longest time without progress in a body or an answer.
	Quiet time.Duration
}

// Class orders connections by what their closing costs. Connections of a lower class are closed
// first.
type Class int

// Classes of connections.
const (
	// Done connections have had their answer.
	Done Class = iota
	// Stalled connections are outside the limits: their header, body or reading makes no
	// progress.
	Stalled
	// Unused connections are idle and beyond the idle limit, or had no valid request.
	Unused
	// Slow connections have begun a request and are inside the limits.
	Slow
	// Known connections are idle inside the limits and have completed a valid request. The
	// next request may be on its way.
	Known
	// Busy connections wait for an answer. Closing one would leave a call without an answer
	// that may have run.
	Busy
)

// Holding is the state of one connection.
type Holding struct {
	Phase Phase
	// Valid is set once the connection has completed a valid request.
	Valid bool
	// Bytes is the memory that is charged to the connection.
	Bytes int64
	// Age is the time since the phase began, Quiet the time since it last made progress worth
	// counting.
	Age, Quiet time.Duration
}

// Class returns the class of the connection.
func (h Holding) Class(l Limits) Class {
	switch h.Phase {
	case Refused:
		return Done
	case Opening, Header:
		if h.Age > l.Header {
			return Stalled
		}
		return Slow
	case Body:
		if h.Quiet > l.Quiet {
			return Stalled
		}
		return Slow
	case Writing:
		if h.Quiet > l.Quiet {
			return Stalled
		}
		return Busy
	case Idle:
		if !h.Valid || h.Age > l.Idle {
			return Unused
		}
		return Known
	case Serving:
	}
	return Busy
}

// Before reports whether the connection is closed before another one. Within a class it is the
// one with the greatest product of memory and time, so that many bytes that are held for long go
// first.
func (h Holding) Before(other Holding, l Limits) bool {
	a, b := h.Class(l), other.Class(l)
	if a != b {
		return a < b
	}
	return h.cost() > other.cost()
}

func (h Holding) cost() float64 { return float64(h.Bytes) * float64(h.Age+1) }
