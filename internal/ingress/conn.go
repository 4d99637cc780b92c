package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/shedding"
)

const (
	// writeStep is the part of an answer that is written at once. A client that reads at a
	// megabit per second takes half a second for it.
	writeStep = 64 << 10
	// solidBytes is the part of a request that counts as progress when memory or connections are
	// short. A client that sends single bytes would otherwise keep what it holds.
	solidBytes = 1 << 10
	// serverBuffer is the size of the read buffer of the HTTP server, which may hold the
	// beginning of the next request.
	serverBuffer = 4 << 10
	// lingerTime bounds the time for the answer to a header that is not passed on.
	lingerTime = 500 * time.Millisecond
)

// Causes of refusals and closings, as in the metrics and in the log.
const (
	causeHeaderBytes  = "header_bytes"
	causeHeaderFields = "header_fields"
	causeBodyBytes    = "body_bytes"
	causeMemory       = "memory"
	causeConnections  = "connections"
	causeDescriptors  = "descriptors"
	causeStalledBody  = "stalled_body"
	causeSlowReader   = "slow_reader"
)

// Canned answers to headers that are not passed on. Nothing has run.
const (
	answerTooManyFields = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	answerNoMemory      = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	l *Listener
	// seq orders connections by their acceptance.
	seq uint64
	// phase, since, moved and solid describe the progress: the phase, the time at which it began,
	// and the times at which bytes, and solidBytes of them, were last moved. Times are those of
	// the listener's clock.
	phase               atomic.Int32
	since, moved, solid atomic.Int64
	// writing is the time at which the write in progress began or last moved bytes, 0 if there
	// is none.
	writing atomic.Int64
	valid   atomic.Bool
	// held is what is charged for the connection beyond ConnectionBytes. queued is the part of
	// it for bytes in the kernel's buffers at the last check.
	held   atomic.Int64
	queued int64
	closed atomic.Bool
	once   sync.Once
	// inHeader is set until the header of a request is complete.
	inHeader atomic.Bool

	// The fields below belong to the goroutine that reads.

	// pending is the number of bytes that were read since solid.
	pending int
	// size, lines and tail describe the header that is being read: its bytes and lines so far,
	// and the last three bytes, in which its end may begin.
	size, lines int
	tail        [3]byte
	// ahead is the number of lines in the last bytes that were read after a header. They may
	// belong to the next header.
	ahead int
	// headerHeld is what is charged for the header.
	headerHeld int64
}

// FromContext returns the connection of a request, nil if it came over another listener. All
// methods of a nil connection do nothing.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

type connKey struct{}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := c.l.now.Load()
	c.moved.Store(now)
	if c.pending += n; c.pending >= solidBytes {
		c.pending = 0
		c.solid.Store(now)
	}
	switch {
	case len(p) == 1:
		// The server reads a byte while it serves a request, which replaces none in its buffer.
		c.ahead += bytes.Count(p[:n], newline)
	case c.inHeader.Load():
		if !c.scan(p[:n]) {
			return 0, io.EOF
		}
	case len(p) <= serverBuffer:
		c.ahead = bytes.Count(p[:n], newline)
	}
	return n, err
}

var newline = []byte{'\n'}

// scan accounts for a part of a header. It returns false if the header was refused.
func (c *Conn) scan(p []byte) bool {
	if c.size == 0 && shedding.Phase(c.phase.Load()) == shedding.Idle {
		c.setPhase(shedding.Header)
	}
	end := c.headerEnd(p)
	head := p
	if end >= 0 {
		head = p[:end]
		c.inHeader.Store(false)
	}
	ahead := c.ahead
	if end >= 0 {
		c.ahead = bytes.Count(p[end:], newline)
	}
	c.size += len(head)
	c.lines += bytes.Count(head, newline)
	switch {
	case c.lines > c.l.limits.HeaderFields+2:
		c.refuseHeader(answerTooManyFields, causeHeaderFields)
		return false
	case c.size > c.l.limits.HeaderBytes+serverBuffer:
		c.refuseHeader(answerTooManyFields, causeHeaderBytes)
		return false
	case !c.holdHeader(2*int64(c.size) + fieldBytes*int64(c.lines+ahead)):
		c.refuseHeader(answerNoMemory, causeMemory)
		return false
	}
	return true
}

// headerEnd returns the index in p after the end of the header, or -1.
func (c *Conn) headerEnd(p []byte) int {
	var joint [6]byte
	n := copy(joint[:], c.tail[:])
	n += copy(joint[n:], p[:min(3, len(p))])
	end := -1
	if at := emptyLine(joint[:n]); at > 3 {
		end = at - 3
	} else if at := emptyLine(p); at >= 0 {
		end = at
	}
	if len(p) >= 3 {
		copy(c.tail[:], p[len(p)-3:])
	} else {
		copy(c.tail[:], joint[n-3:n])
	}
	return end
}

// emptyLine returns the index after the first empty line, or -1. The HTTP server also accepts
// lines without a carriage return.
func emptyLine(p []byte) int {
	for from := 0; ; {
		at := bytes.IndexByte(p[from:], '\n')
		if at < 0 {
			return -1
		}
		from += at + 1
		rest := p[from:]
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			return from + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return from + 2
		}
	}
}

// holdHeader charges n bytes in all for the header.
func (c *Conn) holdHeader(n int64) bool {
	n = max(0, n-FreeBytes)
	if n > c.headerHeld && !c.Reserve(n-c.headerHeld) {
		return false
	}
	if n < c.headerHeld {
		c.Release(c.headerHeld - n)
	}
	c.headerHeld = n
	return true
}

// refuseHeader answers a header that is not passed on and closes the connection. No other
// answer is being written then.
func (c *Conn) refuseHeader(answer, cause string) {
	c.l.note(refusals, cause, c)
	c.setPhase(shedding.Refused)
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, answer); err == nil {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
			// A close with unread bytes would reset the connection, and the answer with it.
			_, _ = io.CopyN(io.Discard, c.Conn, c.l.limits.DropBytes)
		}
	}
	_ = c.Close()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	for {
		c.writing.Store(c.l.now.Load())
		part := p[n:min(n+writeStep, len(p))]
		m, err := c.Conn.Write(part)
		n += m
		if err != nil || n == len(p) {
			c.writing.Store(0)
			c.moved.Store(c.l.now.Load())
			return n, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() { c.l.remove(c) })
	return c.Conn.Close()
}

// shut closes the connection for a cause.
func (c *Conn) shut(cause string) {
	if c.closed.Swap(true) {
		return
	}
	c.l.note(closings, cause, c)
	_ = c.Close()
}

// expire ends the wait for a body, so that its request is answered. It closes a connection that
// waits for something else.
func (c *Conn) expire(cause string) {
	if !c.phase.CompareAndSwap(int32(shedding.Body), int32(shedding.Refused)) {
		c.shut(cause)
		return
	}
	c.l.note(closings, cause, c)
	c.since.Store(c.l.now.Load())
	_ = c.SetReadDeadline(time.Now())
}

// EndBody begins the phase in which a request with a whole body is served. It returns false if
// the wait for the body was ended meanwhile; the request must be refused then.
func (c *Conn) EndBody() bool {
	if c == nil {
		return true
	}
	now := c.l.now.Load()
	c.since.Store(now)
	return c.phase.CompareAndSwap(int32(shedding.Body), int32(shedding.Serving))
}

func (c *Conn) setPhase(p shedding.Phase) {
	now := c.l.now.Load()
	c.since.Store(now)
	c.moved.Store(now)
	c.solid.Store(now)
	c.phase.Store(int32(p))
}

// holding returns the state of the connection.
func (c *Conn) holding(now int64) shedding.Holding {
	h := shedding.Holding{Phase: shedding.Phase(c.phase.Load()), Valid: c.valid.Load(), Bytes: ConnectionBytes + c.held.Load(),
		Age: time.Duration(now - c.since.Load()), Quiet: time.Duration(now - c.solid.Load())}
	if at := c.writing.Load(); at != 0 {
		h.Quiet = time.Duration(now - at)
		h.Phase = shedding.Writing
	}
	return h
}

// observe follows the states of the HTTP server.
func (c *Conn) observe(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.inHeader.Store(false)
		c.setPhase(shedding.Serving)
	case http.StateIdle:
		c.holdHeader(0)
		c.size, c.lines, c.tail = 0, 0, [3]byte{}
		c.inHeader.Store(true)
		c.setPhase(shedding.Idle)
	case http.StateClosed, http.StateHijacked:
		c.holdHeader(0)
	case http.StateNew:
	}
}

// Begin accounts for a request whose header has been read. The error says that there is no
// memory for it; nothing has run then.
func (c *Conn) Begin(r *http.Request) error {
	if c == nil {
		return nil
	}
	if p := shedding.Phase(c.phase.Load()); p != shedding.Serving {
		// The server reports no state for a request that was wholly in its buffer.
		c.inHeader.Store(false)
		c.setPhase(shedding.Serving)
	}
	if !c.holdHeader(headerCost(r.Header)) {
		c.l.note(refusals, causeMemory, c)
		return errNoMemory()
	}
	return nil
}

// headerCost returns the memory that is charged for a header.
func headerCost(h http.Header) int64 {
	n := int64(0)
	for name, values := range h {
		for _, v := range values {
			n += int64(2*(len(name)+len(v))) + fieldBytes
		}
	}
	return n
}

func errNoMemory() error {
	return serving.NewError(serving.KindOverloaded, "the requests of other clients take the memory").WithRetryAfter(memoryRetryAfter)
}

// memoryRetryAfter is the Retry-After of a request without memory.
const memoryRetryAfter = 100 * time.Millisecond

// Phase sets what the connection is used for. The HTTP server sets the phases between requests.
func (c *Conn) Phase(p shedding.Phase) {
	if c != nil {
		c.setPhase(p)
	}
}

// Vouch marks the connection as one that has completed a valid request.
func (c *Conn) Vouch() {
	if c != nil && !c.valid.Load() {
		c.valid.Store(true)
	}
}

// Reserve charges n bytes for a request to the connection. If there is no room, connections
// outside the limits are closed. It reports whether the bytes may be held.
func (c *Conn) Reserve(n int64) bool { return c.reserve(n, requestShare) }

// ReserveAnswer is Reserve for an answer.
func (c *Conn) ReserveAnswer(n int64) bool { return c.reserve(n, 100) }

func (c *Conn) reserve(n, percent int64) bool {
	if c == nil {
		return true
	}
	if c.l.Budget.take(n, percent) {
		c.held.Add(n)
		return true
	}
	if !c.l.makeRoom(n, c) {
		return false
	}
	// The connections that were closed release their memory when their requests have ended.
	for range freeChecks {
		if c.l.Budget.take(n, percent) {
			c.held.Add(n)
			return true
		}
		time.Sleep(freeInterval)
	}
	return false
}

const (
	// maxShed bounds the connections that are closed for one reservation.
	maxShed = 64
	// freeChecks and freeInterval are the number of times that a reservation is tried again,
	// and the pause between them.
	freeChecks   = 20
	freeInterval = 2 * time.Millisecond
)

// chargeQueued sets the charge for bytes in the kernel's buffers. The caller holds mu of the
// listener.
func (c *Conn) chargeQueued(n int64) {
	if delta := n - c.queued; delta != 0 {
		c.queued = n
		c.held.Add(delta)
		c.l.Budget.charge(delta)
	}
}

// Release returns n bytes.
func (c *Conn) Release(n int64) {
	if c != nil {
		c.held.Add(-n)
		c.l.Budget.charge(-n)
	}
}
