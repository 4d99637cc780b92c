package serving

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is the stable name of a kind of error.
type Kind string

// Kinds of errors. kindRemedies maps each kind to its remedy.
const (
	KindInvalid          Kind = "invalid"
	KindUnauthenticated  Kind = "unauthenticated"
	KindForbidden        Kind = "forbidden"
	KindNotFound         Kind = "not_found"
	KindUnknownModel     Kind = "unknown_model"
	KindTooLarge         Kind = "too_large"
	KindConflict         Kind = "conflict"
	KindCommandIDReused  Kind = "command_id_reused"
	KindAmbiguousName    Kind = "ambiguous_name"
	KindExpired          Kind = "expired"
	KindNotLeader        Kind = "not_leader"
	KindNoQuorum         Kind = "no_quorum"
	KindViewExpired      Kind = "view_expired"
	KindDraining         Kind = "draining"
	KindNoEngine         Kind = "no_engine"
	KindOverloaded       Kind = "overloaded"
	KindRateLimited      Kind = "rate_limited"
	KindDeadline         Kind = "deadline_exceeded"
	KindGenerationLost   Kind = "generation_lost"
	KindEngineFailed     Kind = "engine_failed"
	KindSlowReader       Kind = "slow_reader"
	KindOutcomeUnknown   Kind = "outcome_unknown"
	KindInProgress       Kind = "in_progress"
	KindKeyReused        Kind = "key_reused"
	KindDamaged          Kind = "damaged"
	KindStorage          Kind = "storage_failed"
	KindResumeTokenWrong Kind = "invalid_resume_token"
	KindPromptBlocked    Kind = "prompt_blocked"
	KindInternal         Kind = "internal"
)

var kindRemedies = map[Kind]string{
	KindInvalid:          "correct the request as the message says",
	KindUnauthenticated:  "send a valid key in the Authorization header",
	KindForbidden:        "use a key of the account or operator that owns this",
	KindNotFound:         "list the objects of this kind and use one of their names",
	KindUnknownModel:     "use the name of a configured model, from any naming scheme",
	KindTooLarge:         "send a smaller request",
	KindConflict:         "read the object again and send the change with its current revision",
	KindCommandIDReused:  "send the change with a new command id",
	KindAmbiguousName:    "choose a name that no other object has",
	KindExpired:          "read the current state and decide anew; the old result is no longer kept",
	KindNotLeader:        "send the call to the leader, which the message names",
	KindNoQuorum:         "wait until a majority of control replicas is reachable, or see OPERATIONS.md on recovery",
	KindViewExpired:      "retry after the given time, at another entry host if it persists",
	KindDraining:         "retry at another entry host",
	KindNoEngine:         "retry after the given time; check that engines for the model are announced and in service",
	KindOverloaded:       "retry after the given time",
	KindRateLimited:      "retry after the given time or ask for a higher limit",
	KindDeadline:         "retry with a later deadline",
	KindGenerationLost:   "send the request again; the answer so far is incomplete",
	KindEngineFailed:     "send the request again",
	KindSlowReader:       "read faster or resume from the last event id",
	KindOutcomeUnknown:   "ask for the order's outcome later; do not send it under a new key",
	KindInProgress:       "ask for the order's outcome later with the same key",
	KindKeyReused:        "use a new idempotency key for other content",
	KindDamaged:          "restore the replica from its peers as OPERATIONS.md describes",
	KindStorage:          "free space or replace the disk, then restart the replica",
	KindResumeTokenWrong: "resume with the unmodified id of the last received event",
	KindPromptBlocked:    "send a prompt without the blocked parts, or retry after the given time, when the block may have ended",
	KindInternal:         "report the request id to the operators",
}

// Ran states whether a request that was answered with an error was run.
type Ran string

// Values of Ran.
const (
	NotRun     Ran = "not_run"
	RanUnknown Ran = "unknown"
	DidRun     Ran = "ran"
)

// Error is an error with a kind, a remedy, and a statement on whether the request ran.
// Its text includes the remedy.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	Ran        Ran
	RetryAfter time.Duration
	// Detail depends on the kind, for example the current revision for KindConflict or
	// the address of the leader for KindNotLeader.
	Detail string
	cause  error
}

// NewError returns an error of a kind with the remedy of that kind and Ran set to
// NotRun.
func NewError(kind Kind, message string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: kindRemedies[kind], Ran: NotRun}
}

// WrapError returns an error like NewError that also wraps cause.
func WrapError(cause error, kind Kind, message string) *Error {
	e := NewError(kind, message)
	e.cause = eris.Wrap(cause, message)
	return e
}

// WithRan sets Ran and returns e.
func (e *Error) WithRan(ran Ran) *Error {
	e.Ran = ran
	return e
}

// WithRetryAfter sets the time to wait before a retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithDetail sets Detail and returns e.
func (e *Error) WithDetail(detail string) *Error {
	e.Detail = detail
	return e
}

// Error returns the kind, the message, the cause if there is one, and the remedy.
func (e *Error) Error() string {
	s := string(e.Kind) + ": " + e.Message
	if e.cause != nil {
		s = string(e.Kind) + ": " + e.cause.Error()
	}
	if e.Remedy == "" {
		return s
	}
	return s + " (remedy: " + e.Remedy + ")"
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of an error, or KindInternal if it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}

// AsError returns the *Error in the chain of err. If there is none, it wraps err with
// KindInternal and RanUnknown.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return WrapError(err, KindInternal, "unexpected failure").WithRan(RanUnknown)
}
