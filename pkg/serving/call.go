package serving

import (
	"net/http"
	"time"
)

// RouteKind says how often a call may run and what its answer is.
type RouteKind string

// Kinds of routes.
const (
	// KindIdempotentRoute allows a call to run more than once.
	KindIdempotentRoute RouteKind = "idempotent"
	// KindOnceRoute allows a call to run at most once.
	KindOnceRoute RouteKind = "non_idempotent"
	// KindStreamRoute is the same, answered by a stream of events.
	KindStreamRoute RouteKind = "stream"
)

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	Hash   uint64
	Tokens Tokens
}

// Call is one caller's request as an entry received it, in the project's terms.
type Call struct {
	ID     RequestID
	Method string
	// Target is the request target as received: path and query.
	Target string
	Host   string
	Path   string
	// Header holds the fields that are passed on to an engine.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, empty if there is none.
	Key string
	// Patience is how long the caller waits from the arrival; 0 means unknown.
	Patience     time.Duration
	Model        ModelID
	PromptTokens Tokens
	// MaxTokens bounds the answer; 0 means unknown.
	MaxTokens Tokens
	// LengthHint is the caller's estimate of the answer's length; 0 means none.
	LengthHint Tokens
	// Parts are the parts of the prompt in order; the last one is the call's own.
	Parts []PromptPart
}

// Attempt is what an entry adds to a call when it sends it to an engine.
type Attempt struct {
	// Engine must be the one that answers; another one refuses the call.
	Engine EngineID
	// TimeLeft is how long the engine may work.
	TimeLeft time.Duration
	Account  ClientAccountID
	// Copy names the memory from which a moved generation goes on; empty for a
	// call from the start.
	Copy MemoryCopy
	// LastEventID is the last event that the caller has, for a moved generation.
	LastEventID string
}

// MemoryCopy names a copy of a generation's memory.
type MemoryCopy struct {
	// Address is that of the engine that made the copy.
	Address string
	Handle  string
}

// Answer is what the header of an engine's answer says.
type Answer struct {
	Status int
	// RequestID is the echo of the call's id; empty if there is none.
	RequestID RequestID
	// Signed tells that the answer has the engine's signature.
	Signed bool
	// NotRun tells that the engine states that it did not run the call.
	NotRun bool
	// Encoded tells that the body has a content encoding.
	Encoded bool
	// Closes tells that the engine closes the connection after this answer.
	Closes bool
	// IdleFor is how long the engine keeps the connection idle; 0 means unknown.
	IdleFor time.Duration
	// Load is valid if HasLoad is set.
	Load    EngineLoad
	HasLoad bool
}

// EngineLoad is the load that an engine tells in an answer.
type EngineLoad struct {
	Running, Waiting, Slots Slots
}

// MoveResult is an engine's answer to the order to copy a generation's memory.
type MoveResult struct {
	Outcome MoveOutcome
	Handle  string
	// Events is the number of events that the generation had made.
	Events int64
}

// MoveOutcome is the outcome of an order to copy a generation's memory.
type MoveOutcome string

// Outcomes of a move.
const (
	Moved MoveOutcome = "moved"
	// MoveNoSuchRun means that the generation has ended or not begun.
	MoveNoSuchRun MoveOutcome = "no_such_run"
	// MoveBusy means that another order for this generation is in progress.
	MoveBusy MoveOutcome = "busy"
	// MoveNoRoom means that the destination has no room or is unreachable.
	MoveNoRoom MoveOutcome = "no_room"
	// MoveFailed means an answer without meaning.
	MoveFailed MoveOutcome = "failed"
)

// EngineOrder is a short call to an engine that is not on behalf of a caller.
type EngineOrder struct {
	Method, Target string
	Body           []byte
}

// Dialect translates between the project's terms and the messages that callers
// and engines of a platform exchange with an entry.
type Dialect interface {
	// DecodeCall decodes a request whose body is already read.
	DecodeCall(r *http.Request, body []byte) (*Call, error)
	// EngineHeader returns the header of a call on its way to an engine.
	EngineHeader(c *Call, a *Attempt) http.Header
	// DecodeAnswer decodes the header of an engine's answer.
	DecodeAnswer(status int, h http.Header) Answer
	// CallerHeader returns the fields of an engine's answer that the caller gets.
	CallerHeader(h http.Header) http.Header
	// Refuse answers a call with an error of the entry.
	Refuse(w http.ResponseWriter, c *Call, err *Error)
	// MoveOrder orders an engine to copy a generation's memory to another engine;
	// final stops the generation first.
	MoveOrder(id RequestID, to string, final bool) EngineOrder
	// DecodeMove decodes the answer to a MoveOrder.
	DecodeMove(status int, body []byte) MoveResult
	// DropCopyOrder orders an engine to free a copy.
	DropCopyOrder(handle string) EngineOrder
	// EventID returns the id of a server-sent event, empty if it has none.
	EventID(event []byte) string
}
