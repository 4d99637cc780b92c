// Package completion decides whether an answer that has ended is complete or was
// truncated.
//
// HTTP itself detects a truncated body if the answer has a length or chunks. It doesn't if
// the answer ends with its connection, and it knows nothing of events: a process that
// crashes may end the chunks in order in the middle of an event.
//
// # Usage
//
// The caller of this package reads an answer until HTTP reports its regular end, and then
// describes the end:
//
//	end := completion.Ending{Framed: true, Partial: completion.InsideEvent(rest)}
//	if end.Assess() == completion.Truncated {
//		// Break off the answer to the caller, so that it does not look complete.
//	}
//
// No part of this package has a clock, a network or a goroutine.
//
// Source: internal/gateway reads the answers.
package completion

import (
	"bytes"
)

// Verdict is what the end of an answer shows.
type Verdict string

// Verdicts.
const (
	Complete  Verdict = "complete"
	Truncated Verdict = "truncated"
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
}

// Assess returns what the end of the answer shows.
func (e Ending) Assess() Verdict {
	switch {
	case e.Partial:
		return Truncated
	case e.Framed:
		return Complete
	case e.Empty || e.Stopped:
		return Truncated
	}
	return Complete
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
