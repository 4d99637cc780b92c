package ingress

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving/shedding"
)

// Limits bound what one client may use of a listener. A zero field means its default.
type Limits struct {
	// Connections bounds the connections of the listener.
	Connections int
	// HeaderBytes and HeaderFields bound the header of a request.
	HeaderBytes, HeaderFields int
	// HeaderTime bounds the time for a header, IdleTime the time between two requests.
	HeaderTime, IdleTime time.Duration
	// BodyBytes bounds the body of a request that Guard passes on; negative means that
	// requests have none. BodyFactor is the memory that is charged for each of its bytes.
	BodyBytes, BodyFactor int64
	// BodyTime bounds the time for a whole body.
	BodyTime time.Duration
	// StallTime bounds the time without progress of a body or of an answer.
	StallTime time.Duration
	// DropBytes and DropTime bound the part of a body that is read and dropped after a refusal.
	DropBytes int64
	DropTime  time.Duration
	// ReadBuffer is the size of the kernel's receive buffer of a connection.
	ReadBuffer int
	// Normal are the times that ordinary clients stay below.
	Normal shedding.Limits
}

// Defaults. Clients inside the limits of section 2 of docs/hard-load.md reach none of them.
const (
	defaultConnections = 16 << 10
	defaultHeaderBytes = 64 << 10
	// defaultHeaderFields is the largest number of fields in a header of defaultHeaderBytes.
	defaultHeaderFields = defaultHeaderBytes / 3
	defaultHeaderTime   = 10 * time.Second
	defaultIdleTime     = 60 * time.Second
	defaultBodyBytes    = 8 << 20
	// defaultBodyTime is enough for the largest body at a megabit per second.
	defaultBodyTime = 70 * time.Second
	// defaultStallTime is above the pauses of connections that lose packets for some seconds.
	defaultStallTime = 10 * time.Second
	defaultDropBytes = 8 << 20
	// defaultDropTime is enough for the largest legal body on the slowest link of an entry host.
	defaultDropTime   = 5 * time.Second
	defaultReadBuffer = 64 << 10
	// Normal clients send a header within 3 s and keep connections idle for up to four fifths
	// of 15 s.
	normalHeader = 3 * time.Second
	normalIdle   = 12 * time.Second
	normalQuiet  = 2 * time.Second
)

func (l Limits) withDefaults() Limits {
	l.Connections = or(l.Connections, defaultConnections)
	l.HeaderBytes = or(l.HeaderBytes, defaultHeaderBytes)
	l.HeaderFields = or(l.HeaderFields, defaultHeaderFields)
	l.HeaderTime = or(l.HeaderTime, defaultHeaderTime)
	l.IdleTime = or(l.IdleTime, defaultIdleTime)
	l.BodyBytes = or(l.BodyBytes, defaultBodyBytes)
	l.BodyFactor = or(l.BodyFactor, 1)
	l.BodyTime = or(l.BodyTime, defaultBodyTime)
	l.StallTime = or(l.StallTime, defaultStallTime)
	l.DropBytes = or(l.DropBytes, defaultDropBytes)
	l.DropTime = or(l.DropTime, defaultDropTime)
	l.ReadBuffer = or(l.ReadBuffer, defaultReadBuffer)
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
