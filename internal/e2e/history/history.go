// Package history has the typed histories that end-to-end tests record, and the
// predicates that check the guarantees P1 to P9 of the design page on them.
//
// # Usage
//
//	err := errors.Join(
//		history.TokensOnce(calls),
//		history.RefusedNotRun(calls, events),
//		history.OrdersOnce(events),
//	)
//
// Times are wall-clock times of one host. Events are the records of the stand-in
// engines, which say what really ran.
package history

import (
	"time"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// The bounds of the guarantees.
const (
	// NoWorkBound is the time after which an engine that leaves, or whose data
	// centre was taken out, gets no new work (P3, P7).
	NoWorkBound = 3 * time.Second
	// InForceBound is the time after which an accepted change is in force (P9).
	InForceBound = 5 * time.Second
)

// Call is one invocation of a caller and what the caller received. A stream that
// was resumed is one call.
type Call struct {
	Client   string
	Entry    string
	Model    string
	Stream   bool
	Length   int
	Invoked  time.Time
	Answered time.Time
	// Status is 0 if no response header arrived.
	Status    int
	RequestID serving.RequestID
	// Frames are those of a stream; Generation, Text and Tokens those of a whole answer.
	Frames     []generation.Frame
	Generation serving.GenerationID
	Text       string
	Tokens     int
	// Done is true if the answer ended as a whole one does.
	Done bool
	// Kind and Ran are those of the error that the caller was told, if any.
	Kind serving.Kind
	Ran  serving.Ran
	// Broken is the transport error that cut the answer off, if any.
	Broken string
}

// Order is one attempt at a call that must run at most once.
type Order struct {
	Client string
	// Key is the idempotency key and Account the client account.
	Account  string
	Key      string
	Entry    string
	Invoked  time.Time
	Answered time.Time
	Status   int
	// AnswerKey is the key that the service's answer names.
	AnswerKey string
	Kind      serving.Kind
	Ran       serving.Ran
	Broken    string
}

// serviceKey is the key that the service sees.
func (o *Order) serviceKey() string { return o.Account + ":" + o.Key }

// Sample is one look at an entry's view.
type Sample struct {
	Entry string
	At    time.Time
	// Revision is 0 if the entry has no view.
	Revision uint64
	// Age is the age of the view; an entry with an older view than its lease
	// dispatches nothing under it.
	Age time.Duration
}

// Change is an accepted change of the configuration.
type Change struct {
	Revision uint64
	// Accepted is the time at which the operator was told.
	Accepted time.Time
}

func wall(ev *standin.Event) time.Time { return time.UnixMilli(ev.WallMS) }
