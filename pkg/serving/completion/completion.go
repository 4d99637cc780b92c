// Package completion decides whether an answer that has ended is complete or was
// truncated.
//
// HTTP itself detects a truncated body if the answer has a length or chunks. It doesn't if
// the answer ends with its connection, and it knows nothing of events: a process that
// crashes may end the chunks in order in the middle of an event.
//
// An operating system closes the connections of a process that crashes as it does at the
// end of an answer. The process tells the difference: it accepts no connections after a
// crash. An answer that ends with its connection is therefore complete only if the process
// that sent it still runs.
//
// # Usage
//
// The caller of this package reads an answer until HTTP reports its regular end, and then
// describes the end. It looks for the engine's process only if that decides:
//
//	end := completion.Ending{Pause: pause, Partial: completion.InsideEvent(rest)}
//	if end.Assess() == completion.Undecided {
//		end.Process = look()
//	}
//	if end.Assess() != completion.Complete {
//		// Break off the answer to the caller, so that it does not look complete.
//	}
//
// # Limits
//
// A process that ends one connection early and goes on running can't be told from one that
// ended its answer. A process that crashed and is back within MaxPause can't be told from
// one that never crashed.
//
// No part of this package has a clock, a network or a goroutine.
//
// Source: internal/gateway reads the answers.
package completion

import (
	"bytes"
	"time"
)

// MaxPause is the longest time for which the reader of an answer may wait for the end of its
// connection. A longer wait leaves time for the process to crash and to be started again.
const MaxPause = time.Second

// heldBackTime is the time within which the bytes arrive that the network has held back during
// a silence.
const heldBackTime = 2 * time.Second

// Verdict is what the end of an answer shows.
type Verdict string

// Verdicts.
const (
	Complete  Verdict = "complete"
	Truncated Verdict = "truncated"
	// Undecided means that only the engine's process can tell.
	Undecided Verdict = "undecided"
)

// Process is what is known of the process that sent an answer, after its end.
type Process string

// States of a process.
const (
	// NotChecked means that nobody has looked for the process.
	NotChecked Process = ""
	Running    Process = "running"
	Ended      Process = "ended"
	// Unreachable means that the process gave no sign in time.
	Unreachable Process = "unreachable"
)

// Ending describes an answer that has ended without an error of its connection.
type Ending struct {
	// Framed reports whether a length or chunks marked the end. Otherwise the answer
	// ended with its connection.
	Framed bool
	// Empty reports whether nothing of the answer's body has arrived; no event in the case
	// of a stream.
	Empty bool
	// Partial reports whether a stream ended inside an event.
	Partial bool
	// Stopped reports whether the engine stopped the generation before its end.
	Stopped bool
	// Pause is how long the reader waited for the end. Busy is the time before that, from the
	// last byte of the body, in which the reader did something else, such as writing to a
	// slow caller; the connection may have ended in that time.
	Pause, Busy time.Duration
	// Resumed is true if bytes of the answer came after a silence of more than MaxPause, and
	// SinceResumed is the time from the last such silence to the end.
	Resumed      bool
	SinceResumed time.Duration
	// Process is the state of the engine's process after the end.
	Process Process
}

// Arrivals records when the bytes of an answer arrive. The first time is that of the
// request.
type Arrivals struct {
	last, resumedAt time.Duration
	resumed         bool
}

// NewArrivals returns the arrivals of an answer to a request that was sent at a time.
func NewArrivals(sentAt time.Duration) Arrivals { return Arrivals{last: sentAt} }

// Observe records that bytes have arrived.
func (a *Arrivals) Observe(now time.Duration) {
	if now-a.last > MaxPause {
		a.resumed, a.resumedAt = true, now
	}
	a.last = now
}

// End returns Resumed and SinceResumed of an answer that has ended.
func (a *Arrivals) End(now time.Duration) (resumed bool, since time.Duration) {
	if !a.resumed {
		return false, 0
	}
	return true, now - a.resumedAt
}

// MayHaveRestarted reports whether the process may have ended so long ago that it can have
// been started again since: the reader may not have seen the end of the connection, or the
// network may have held it back together with the last bytes. Then a process that runs is the
// same one only if it says so.
func (e Ending) MayHaveRestarted() bool {
	return e.Busy > MaxPause || e.Resumed && e.SinceResumed <= heldBackTime
}

// Assess returns what the end of the answer shows.
func (e Ending) Assess() Verdict {
	switch {
	case e.Partial:
		return Truncated
	case e.Framed:
		return Complete
	case e.Empty, e.Stopped, e.Pause > MaxPause:
		return Truncated
	case e.Process == NotChecked:
		return Undecided
	case e.Process == Running:
		return Complete
	}
	return Truncated
}

// InsideEvent reports whether the bytes after the last whole event of a stream are the
// beginning of another one. Blank lines and comments are not part of an event.
func InsideEvent(rest []byte) bool {
	for line := range bytes.Lines(rest) {
		content := bytes.TrimRight(line, "\r\n")
		if len(content) > 0 && content[0] != ':' {
			return true
		}
	}
	return false
}
