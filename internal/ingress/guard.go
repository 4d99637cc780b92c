package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/shedding"
)

const (
	// dropAtOnce is the length up to which the rest of a body is read before the answer to its
	// request, so that the connection can be kept, and dropAtOnceTime bounds the time for that.
	dropAtOnce     = 64 << 10
	dropAtOnceTime = time.Second
	// firstRead is the size of the first part of a body. Each further part is as long as all
	// before it, so that a stated length alone takes no memory.
	firstRead = 4 << 10
)

// Guard returns a handler that reads the body of a request, accounts for it and for the header,
// and passes the request on. A body over the limit gets 413, one that makes no progress 408, and
// a request without memory 503, before anything runs.
func (l *Listener) Guard(next http.Handler) http.Handler {
	limits := l.Limits.withDefaults()
	refuse := refuse
	if l.Refuse != nil {
		refuse = l.Refuse
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if err := c.Begin(r); err != nil {
			Drop(w, r, func() { refuse(w, err) })
			return
		}
		recorder := &statusRecorder{ResponseWriter: w}
		if r.Body != nil && r.Body != http.NoBody {
			limit := limits.BodyBytes
			if limits.BodyOf != nil {
				limit = limits.BodyOf(r)
			}
			if limit <= 0 {
				Drop(w, r, func() { next.ServeHTTP(recorder, withBody(r, nil)) })
				return
			}
			body := countedBody{c: c, body: r.Body, limit: limit, factor: limits.BodyFactor, cost: limits.DecodeCost}
			defer body.release()
			raw, err := body.readAll(r.ContentLength)
			if err != nil {
				Drop(w, r, func() { refuse(w, err) })
				return
			}
			r = withBody(r, raw)
		}
		next.ServeHTTP(recorder, r)
		if recorder.status < http.StatusBadRequest {
			c.Vouch()
		}
	})
}

// withBody returns the request with another body and without trailer fields.
func withBody(r *http.Request, body []byte) *http.Request {
	out := *r
	out.Body, out.ContentLength, out.TransferEncoding, out.Trailer = http.NoBody, int64(len(body)), nil, nil
	if len(body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(body))
	}
	return &out
}

// refuse answers a request that is not passed on.
func refuse(w http.ResponseWriter, err error) {
	e := serving.AsError(err)
	status := http.StatusServiceUnavailable
	switch e.Kind {
	case serving.KindTooLarge:
		status = http.StatusRequestEntityTooLarge
	case serving.KindDeadline:
		status = http.StatusRequestTimeout
	case serving.KindInvalid:
		status = http.StatusBadRequest
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', -1, 64))
	}
	http.Error(w, e.Error(), status)
}

func (c *Conn) noteRefused(cause string) {
	if c != nil {
		c.l.note(refusals, cause, c)
	}
}

// countedBody is a body whose bytes are charged to its connection until the request ends.
type countedBody struct {
	c             *Conn
	body          io.Reader
	limit, factor int64
	cost          func(body []byte) int64
	held          int64
}

// readAll reads the body. length is its stated length, negative if it has none.
func (b *countedBody) readAll(length int64) ([]byte, error) {
	if length > b.limit {
		return nil, b.tooLarge()
	}
	b.c.Phase(shedding.Body)
	var out bytes.Buffer
	size := int64(firstRead)
	for {
		if length >= 0 {
			size = min(size, length+1)
		}
		if !b.hold(size*b.factor - FreeBytes) {
			return nil, b.noMemory()
		}
		out.Grow(int(size) - out.Len() + bytes.MinRead)
		_, err := io.CopyN(&out, b.body, size-int64(out.Len()))
		switch {
		case int64(out.Len()) > b.limit:
			return nil, b.tooLarge()
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, io.EOF) && !b.c.EndBody():
			return nil, serving.NewError(serving.KindDeadline, "the body was not received in time")
		case errors.Is(err, io.EOF):
			return out.Bytes(), b.decodable(out.Bytes())
		case err != nil:
			return nil, serving.WrapError(err, serving.KindInvalid, "read the body")
		}
		size = min(2*size, b.limit+1)
	}
}

// decodable charges what the decoded body takes.
func (b *countedBody) decodable(raw []byte) error {
	if b.cost == nil {
		return nil
	}
	cost := b.cost(raw)
	if c := b.c; c != nil && c.l.Budget.Bytes > 0 && cost > c.l.Budget.Bytes/100*requestShare {
		return b.tooLarge()
	}
	if !b.hold(int64(len(raw))*b.factor + cost - FreeBytes) {
		return b.noMemory()
	}
	return nil
}

// hold charges n bytes in all.
func (b *countedBody) hold(n int64) bool {
	if n <= b.held {
		return true
	}
	if !b.c.Reserve(n - b.held) {
		return false
	}
	b.held = n
	return true
}

func (b *countedBody) tooLarge() error {
	b.c.noteRefused(causeBodyBytes)
	return serving.NewError(serving.KindTooLarge, "the body is larger than the limit of "+strconv.FormatInt(b.limit, 10)+" bytes, or takes too much memory")
}

// noMemory releases what the body holds, because its rest is dropped.
func (b *countedBody) noMemory() error {
	b.release()
	b.c.noteRefused(causeMemory)
	return errNoMemory()
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
