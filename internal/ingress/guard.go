package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/shedding"
)

// dropAtOnce is the length up to which the rest of a body is read before the answer to its
// request, so that the connection can be kept, and dropAtOnceTime bounds the time for that.
const (
	dropAtOnce     = 64 << 10
	dropAtOnceTime = time.Second
)

// Guard returns a handler that accounts for the header and the body of a request and passes it
// on. A body over the limit gets 413 and a request without memory 503, before anything runs.
func (l *Listener) Guard(next http.Handler) http.Handler {
	limits := l.Limits.withDefaults()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c.Begin(r) != nil {
			w.Header().Set("Retry-After", strconv.FormatFloat(memoryRetryAfter.Seconds(), 'f', -1, 64))
			Drop(w, r, func() { w.WriteHeader(http.StatusServiceUnavailable) })
			return
		}
		recorder := &statusRecorder{ResponseWriter: w}
		var body *countedBody
		switch {
		case r.Body == nil || r.Body == http.NoBody:
		case limits.BodyBytes < 0:
			// The answer doesn't depend on the body, which is not read.
			r.Body, r.ContentLength = http.NoBody, 0
			w.Header().Set("Connection", "close")
		case r.ContentLength > limits.BodyBytes:
			c.noteRefused(causeBodyBytes)
			Drop(w, r, func() { w.WriteHeader(http.StatusRequestEntityTooLarge) })
			return
		default:
			c.Phase(shedding.Body)
			body = &countedBody{ReadCloser: r.Body, c: c, limit: limits.BodyBytes, factor: limits.BodyFactor}
			r.Body = body
			defer body.release()
		}
		next.ServeHTTP(recorder, r)
		if body != nil && !body.ended {
			body.drop(w, limits)
		}
		if recorder.status < http.StatusBadRequest {
			c.Vouch()
		}
	})
}

func (c *Conn) noteRefused(cause string) {
	if c != nil {
		c.l.note(refusals, cause, c)
	}
}

// countedBody is a body whose bytes are charged to its connection until the request ends.
type countedBody struct {
	io.ReadCloser
	c             *Conn
	limit, factor int64
	read, held    int64
	ended         bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if b.read > b.limit {
		b.c.noteRefused(causeBodyBytes)
		return n, serving.NewError(serving.KindTooLarge, "the body is larger than the limit of "+strconv.FormatInt(b.limit, 10)+" bytes")
	}
	if need := b.read*b.factor - FreeBytes; need > b.held {
		// Charged in steps, because a client may send single bytes.
		step := max(need-b.held, int64(serverBuffer))
		if !b.c.Reserve(step) {
			b.c.noteRefused(causeMemory)
			return n, errNoMemory()
		}
		b.held += step
	}
	if errors.Is(err, io.EOF) && !b.ended {
		b.ended = true
		if !b.c.EndBody() {
			return n, errNoMemory()
		}
	}
	return n, err
}

// drop reads the rest of a body that the handler has not read.
func (b *countedBody) drop(w http.ResponseWriter, limits Limits) {
	control := http.NewResponseController(w)
	if b.c == nil || b.c.phase.CompareAndSwap(int32(shedding.Body), int32(shedding.Refused)) {
		_ = control.SetReadDeadline(time.Now().Add(limits.DropTime))
		if _, err := io.CopyN(io.Discard, b.ReadCloser, limits.DropBytes); errors.Is(err, io.EOF) {
			_ = control.SetReadDeadline(time.Time{})
			return
		}
	}
	// The server must not wait for more of the body.
	_ = control.SetReadDeadline(time.Now())
}

func (b *countedBody) release() {
	b.c.Release(b.held)
	b.held = 0
}

// statusRecorder records the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Unwrap is used by http.ResponseController.
func (s *statusRecorder) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// Drop answers a request whose body was not read, and drops the rest of the body within the
// limits, because clients read no answer before they have sent their body, and a close with
// unread bytes would take the answer from them. The connection closes unless the rest is short.
func Drop(w http.ResponseWriter, r *http.Request, answer func()) {
	if r.Body == nil || r.Body == http.NoBody {
		answer()
		return
	}
	c := FromContext(r.Context())
	limits := Limits{}.withDefaults()
	expired := false
	if c != nil {
		limits = c.l.limits
		expired = shedding.Phase(c.phase.Load()) == shedding.Refused
	}
	c.Phase(shedding.Refused)
	control := http.NewResponseController(w)
	if expired {
		// The rest of the body doesn't come. The server must not wait for it.
		_ = control.SetReadDeadline(time.Now())
		w.Header().Set("Connection", "close")
		answer()
		return
	}
	if r.ContentLength <= dropAtOnce {
		_ = control.SetReadDeadline(time.Now().Add(min(limits.DropTime, dropAtOnceTime)))
		if _, err := io.CopyN(io.Discard, r.Body, dropAtOnce+1); errors.Is(err, io.EOF) {
			_ = control.SetReadDeadline(time.Time{})
			answer()
			return
		}
	}
	w.Header().Set("Connection", "close")
	// The rest can be read after the answer is written.
	if control.EnableFullDuplex() != nil {
		answer()
		return
	}
	answer()
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(limits.DropTime))
	_, _ = io.CopyN(io.Discard, r.Body, limits.DropBytes)
	// The server must not wait for more of the body.
	_ = control.SetReadDeadline(time.Now())
}
