package serving

import (
	"net/http"
	"time"
)

// RouteKind determines how often a call may run and whether its answer is streamed.
type RouteKind string

// Kinds of routes.
const (
	// KindIdempotentRoute allows a call to run more than once.
	KindIdempotentRoute RouteKind = "idempotent"
	// KindAtMostOnceRoute allows a call to run at most once.
	KindAtMostOnceRoute RouteKind = "non_idempotent"
	// KindStreamRoute allows a call to run at most once; its answer is a stream of
	// server-sent events.
	KindStreamRoute RouteKind = "stream"
)

// PromptPart is a part of a prompt that other prompts may share. An engine reuses cached
// parts only up to the first part that it has not cached.
type PromptPart struct {
	// Hash identifies the part; the caller assigns it.
	Hash   uint64
	Tokens Tokens
}

// Call is one caller's request to an entry, independent of the platform's wire
// format.
type Call struct {
	ID     RequestID
	Method string
	// Target is the request target as received: path and query.
	Target string
	// Host is the host that the caller addressed, as in the Host header field.
	Host string
	// Path is the path of Target in its escaped form.
	Path string
	// Header holds the header fields to forward to an engine.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, or empty if there is none.
	Key string
	// CallerTimeout is how long the caller waits after the call arrived; 0 means unknown.
	CallerTimeout time.Duration
	Model         ModelID
	PromptTokens  Tokens
	// MaxTokens bounds the length of the answer; 0 means unknown.
	MaxTokens Tokens
	// LengthHint is the caller's estimate of the answer's length; 0 means none.
	LengthHint Tokens
	// Parts are the parts of the prompt in order; the last one is specific to this call.
	Parts []PromptPart
}

// Attempt holds the values that an entry adds to a call when it sends the call to an
// engine.
type Attempt struct {
	// Engine is the intended engine; any other engine refuses the call.
	Engine EngineID
	// TimeLeft is how long the engine may work on the call.
	TimeLeft time.Duration
	Account  ClientAccountID
	// Copy names the memory copy from which a moved generation continues; it is empty
	// if the call runs from the start.
	Copy MemoryCopy
	// LastEventID is the id of the last event that the caller received; it is set for
	// a moved generation.
	LastEventID string
}

// MemoryCopy names a copy of a generation's memory, which is its part of the engine's
// KV cache.
type MemoryCopy struct {
	// Address is the address of the engine that created the copy.
	Address string
	// Handle is the id that this engine assigned to the copy.
	Handle string
}

// Answer is the decoded header of an engine's answer.
type Answer struct {
	Status int
	// RequestID is the call's id as the engine returned it, or empty if there is none.
	RequestID RequestID
	// Signed reports whether the answer carries an engine's signature, which is not
	// verified.
	Signed bool
	// NotRun reports whether the engine states that it did not run the call.
	NotRun bool
	// Encoded reports whether the body has a content encoding.
	Encoded bool
	// Closes reports whether the engine closes the connection after this answer.
	Closes bool
	// IdleTimeout is how long the engine keeps an idle connection open; 0 means unknown.
	IdleTimeout time.Duration
	// Load is valid if HasLoad is set.
	Load    EngineLoad
	HasLoad bool
	// Leaving reports whether the engine says that it leaves.
	Leaving bool
	// Pause is the time for which the engine wants no requests from this entry; 0 if it
	// named none.
	Pause time.Duration
	// Limit is the number of calls per second that the engine takes from all entries
	// together. It is valid if HasLimit is set.
	Limit    float64
	HasLimit bool
	// LimitUnreadable reports whether the engine named a limit that is no such number.
	LimitUnreadable bool
}

// EngineLoad is the load that an engine reports in an answer: its running and waiting
// calls and the number that it can run at the same time. [Load] is the load that an
// engine announces.
type EngineLoad struct {
	Running, Waiting, Slots Slots
	// Factor is how long work currently takes on the engine's machine, where 100 is usual.
	// It is between MinFactor and MaxFactor; 0 means unknown.
	Factor Percent
}

// Bounds of EngineLoad.Factor. A value outside them isn't plausible and counts as unknown.
const (
	MinFactor Percent = 10
	MaxFactor Percent = 10_000
)

// MoveResult is an engine's answer to a request to copy a generation's memory.
type MoveResult struct {
	Outcome MoveOutcome
	// Handle is the handle of the copy, or empty if there is none. It can be set even
	// if the outcome is not Moved.
	Handle string
	// Events is the number of events that the generation had produced when it was copied.
	Events int64
}

// MoveOutcome is the outcome of a request to copy a generation's memory.
type MoveOutcome string

// Outcomes of a move.
const (
	Moved MoveOutcome = "moved"
	// MoveNoSuchGeneration means that the generation has ended or has not begun.
	MoveNoSuchGeneration MoveOutcome = "no_such_run"
	// MoveBusy means that another move request for this generation is in progress.
	MoveBusy MoveOutcome = "busy"
	// MoveNoRoom means that the destination has no capacity or is unreachable.
	MoveNoRoom MoveOutcome = "no_room"
	// MoveFailed means any other failure, for example an answer that could not be decoded.
	MoveFailed MoveOutcome = "failed"
)

// EngineRequest is a short request to an engine that an entry sends for its own
// purposes and not for a caller.
type EngineRequest struct {
	Method, Target string
	Header         http.Header
	Body           []byte
}

// Identity is what an engine says of itself. Fields that it doesn't state are zero.
type Identity struct {
	Engine EngineID
	// Started is the start of its process in Unix milliseconds.
	Started int64
	// Other is true if the engine says that it isn't the one that was asked.
	Other bool
}

// Dialect translates between the types of this package and the messages that callers
// and engines of a platform exchange with an entry.
type Dialect interface {
	// DecodeCall decodes a request whose body was already read.
	DecodeCall(r *http.Request, body []byte) (*Call, error)
	// EngineHeader returns the header with which to send a call to an engine.
	EngineHeader(c *Call, a *Attempt) http.Header
	// DecodeAnswer decodes the header of an engine's answer.
	DecodeAnswer(status int, h http.Header) Answer
	// CallerHeader returns the header fields of an engine's answer to forward to the
	// caller.
	CallerHeader(h http.Header) http.Header
	// Refuse answers a call with an error from the entry itself.
	Refuse(w http.ResponseWriter, c *Call, err *Error)
	// MoveRequest returns the request to copy a generation's memory to the engine at
	// address to. If final is set, the engine stops the generation before it copies;
	// otherwise the generation continues to run.
	MoveRequest(id RequestID, to string, final bool) EngineRequest
	// DecodeMove decodes the answer to a MoveRequest.
	DecodeMove(status int, body []byte) MoveResult
	// DropCopyRequest returns the request to free a memory copy.
	DropCopyRequest(handle string) EngineRequest
	// IdentityRequests returns the requests that ask which engine answers at an address,
	// the cheapest first. healthPath is that of the engine's service.
	IdentityRequests(expected EngineID, healthPath string) []EngineRequest
	// DecodeIdentity decodes the answer to an identity request.
	DecodeIdentity(status int, h http.Header, body []byte) Identity
	// EventID returns the id of a server-sent event, or empty if it has none.
	EventID(event []byte) string
}
