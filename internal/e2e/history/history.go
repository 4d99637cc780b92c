// Package history defines the typed histories that end-to-end tests record, and the
// predicates that check them against the guarantees P1 to P9 of the design page.
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
// engines; they show which requests and orders an engine accepted and ran.
package history

import (
	"time"

	"turmericdrum.org/turmericdrum/internal/standin"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// The bounds of the guarantees.
const (
	// NoWorkBound is the time after which an engine that announced that it is leaving,
	// or whose data centre was taken out of service, must get no new work (P3, P7).
	NoWorkBound = 3 * time.Second
	// InForceBound is the time after which every entry must apply an accepted
	// change (P9).
	InForceBound = 5 * time.Second
)

// Call is one completion request of a caller and the answer that it received. A
// stream and its resumptions are one call.
type Call struct {
	Client string
	Entry  string
	Model  string
	Stream bool
	// Length is the number of tokens that the caller requested.
	Length   int
	Invoked  time.Time
	Answered time.Time
	// Status is 0 if no response header arrived.
	Status    int
	RequestID serving.RequestID
	// Frames are the tokens of a streamed answer; Generation, Text and Tokens are
	// those of a plain one.
	Frames     []generation.Frame
	Generation serving.GenerationID
	Text       string
	Tokens     int
	// Done is true if the answer ended normally: a stream with its end mark, a plain
	// answer with status 200 and a full body.
	Done bool
	// Kind and Ran are those of the error that the caller received, if any.
	Kind serving.Kind
	Ran  serving.Ran
	// InterruptedBy is the error that interrupted the answer, such as that of a broken
	// connection or a refused resumption. It is empty if the answer ended normally or
	// with an error that the caller received.
	InterruptedBy string
}

// Order is one attempt at a service call that must run at most once. Attempts with
// the same account and key are the same call. The orders that controllers send to
// engines are of type [standin.Order].
type Order struct {
	Client string
	// Account is the client account and Key the idempotency key.
	Account  string
	Key      string
	Entry    string
	Invoked  time.Time
	Answered time.Time
	Status   int
	// AnswerKey is the key in the body of the service's answer.
	AnswerKey     string
	Kind          serving.Kind
	Ran           serving.Ran
	InterruptedBy string
}

// serviceKey returns the key under which the service receives the order.
func (o *Order) serviceKey() string { return o.Account + ":" + o.Key }

// Sample is one observation of an entry's view of the configuration.
type Sample struct {
	Entry string
	// At is the time at which the sample was requested.
	At time.Time
	// Revision is 0 if the entry has no view.
	Revision uint64
	// Age is the age of the view. An entry dispatches nothing under a view that is
	// older than its lease.
	Age time.Duration
}

// Change is an accepted change of the configuration.
type Change struct {
	Revision uint64
	// Accepted is the time at which the operator received the answer.
	Accepted time.Time
}

func wallTime(ev *standin.Event) time.Time { return time.UnixMilli(ev.WallMS) }
