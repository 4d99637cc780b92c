package ingress

import (
	"net/http"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving/shedding"
)

// Limits bound what one client may use of a listener. A zero field means its default.
type Limits struct {
	// Connections bounds the connections of the listener, Backlog those that wait to be
	// accepted.
	Connections, Backlog int
	// HeaderBytes and HeaderFields bound the header of a request.
	HeaderBytes, HeaderFields int
	// HeaderTime bounds the time for a header, IdleTime the time between two requests.
	HeaderTime, IdleTime time.Duration
	// BodyBytes bounds the body of a request that Guard passes on. It is not read if the limit
	// is negative. BodyFactor is the memory that is charged for each of its bytes.
	BodyBytes, BodyFactor int64
	// BodyOf, if set, returns the limit for a request in the place of BodyBytes.
	BodyOf func(r *http.Request) int64
	// DecodeCost, if set, bounds the memory that a body takes when it is decoded.
	DecodeCost func(body []byte) int64
	// BodyTime bounds the time for a whole body.
	BodyTime time.Duration
	// StallTime bounds the time without progress of a body, AnswerStallTime that of a part of an
	// answer.
	StallTime, AnswerStallTime time.Duration
	// DropBytes and DropTime bound the part of a body that is read and dropped after a refusal.
	DropBytes int64
	DropTime  time.Duration
	// ReadBuffer and WriteBuffer are the sizes of the kernel's buffers of a connection; 0 means
	// that the kernel chooses them.
	ReadBuffer, WriteBuffer int
	// Normal are the times that ordinary clients stay below.
	Normal shedding.Limits
}

// Defaults. Clients inside the limits of section 2 of docs/hard-load.md reach none of them.
const (
	defaultConnections = 16 << 10
	// minBacklog is above the connections that ordinary clients open while a process is
	// suspended for some seconds, and maxBacklog the usual limit of the kernel.
	minBacklog, maxBacklog = 256, 4 << 10
	defaultHeaderBytes     = 64 << 10
	// defaultHeaderFields is the largest number of fields in a header of defaultHeaderBytes.
	defaultHeaderFields = defaultHeaderBytes / 3
	defaultHeaderTime   = 10 * time.Second
	defaultIdleTime     = 60 * time.Second
	defaultBodyBytes    = 8 << 20
	// defaultBodyTime is enough for the largest body at a megabit per second.
	defaultBodyTime = 70 * time.Second
	// defaultStallTime is above the pauses of connections that lose packets for some seconds.
	defaultStallTime = 10 * time.Second
	// defaultAnswerStallTime is enough for a part of an answer at 1 KB/s. The kernel takes more
	// of an answer only when a third of its buffer is free, so that a slow reader seems to make
	// no progress for long; where memory is short, it is closed sooner.
	defaultAnswerStallTime = 70 * time.Second
	defaultDropBytes       = 8 << 20
	// defaultDropTime is enough for the largest legal body on the slowest link of an entry host.
	defaultDropTime = 5 * time.Second
	// Normal clients send a header within 3 s and keep connections idle for up to four fifths
	// of 15 s.
	normalHeader = 3 * time.Second
	normalIdle   = 12 * time.Second
	normalQuiet  = 2 * time.Second
)

// Accepted returns the number of connections that may hold bytes in the kernel's buffers.
func (l Limits) Accepted() int {
	l = l.withDefaults()
	return l.Connections + l.Backlog
}

// Defaults returns the limits of a listener whose Limits has no other ones.
func Defaults() Limits { return Limits{}.withDefaults() }

func (l Limits) withDefaults() Limits {
	l.Connections = or(l.Connections, defaultConnections)
	l.Backlog = or(l.Backlog, min(max(l.Connections/2, minBacklog), maxBacklog))
	l.HeaderBytes = or(l.HeaderBytes, defaultHeaderBytes)
	l.HeaderFields = or(l.HeaderFields, defaultHeaderFields)
	l.HeaderTime = or(l.HeaderTime, defaultHeaderTime)
	l.IdleTime = or(l.IdleTime, defaultIdleTime)
	l.BodyBytes = or(l.BodyBytes, defaultBodyBytes)
	l.BodyFactor = or(l.BodyFactor, 1)
	l.BodyTime = or(l.BodyTime, defaultBodyTime)
	l.StallTime = or(l.StallTime, defaultStallTime)
	l.AnswerStallTime = or(l.AnswerStallTime, defaultAnswerStallTime)
	l.DropBytes = or(l.DropBytes, defaultDropBytes)
	l.DropTime = or(l.DropTime, defaultDropTime)
	l.Normal.Header = or(l.Normal.Header, normalHeader)
	l.Normal.Idle = or(l.Normal.Idle, normalIdle)
	l.Normal.Quiet = or(l.Normal.Quiet, normalQuiet)
	return l
}

// or returns v, or def if v is 0.
func or[T int | int64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}
