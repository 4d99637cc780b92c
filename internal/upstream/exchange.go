package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// maxForeign bounds the answers to other calls that are dropped before the
	// connection counts as unusable.
	maxForeign = 2
	// maxForeignBody bounds the body of such an answer.
	maxForeignBody = 256 << 10
)

// Request is one call on its way to an engine.
type Request struct {
	Address string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	// ID is the call's id, which the engine's answer repeats; empty for none.
	ID serving.RequestID
	// MaxRest is the longest idle time of a connection that may carry the call;
	// 0 means that a new one is opened.
	MaxRest time.Duration
	// KeepIdle is how many idle connections to the engine may be kept.
	KeepIdle int
	// Connected, if set, is called before the first byte is sent, and told whether the
	// connection had carried another call before.
	Connected func(reused bool)
}

// Exchange is a call that an engine is answering.
type Exchange struct {
	serving.Answer
	Header http.Header
	// Body must be read to its end before the connection can be used again.
	Body io.Reader
	// Framed tells that the end of the body shows whether it is whole; the body of
	// an answer without length ends with its connection.
	Framed bool
	// Reused tells that the connection had carried another call before.
	Reused bool

	pool     *Pool
	address  string
	keepIdle int
	conn     *conn
	response *http.Response
	release  func() bool
}

// Send sends a call and returns once the header of its answer has arrived. The
// end of ctx closes the connection, also while the answer is read.
func (p *Pool) Send(ctx context.Context, r Request) (*Exchange, error) {
	c, err := p.get(ctx, r.Address, r.MaxRest)
	if err != nil {
		return nil, err
	}
	x := &Exchange{pool: p, address: r.Address, keepIdle: r.KeepIdle, conn: c, Reused: c.used}
	x.release = context.AfterFunc(ctx, func() { _ = c.Close() })
	if r.Connected != nil {
		r.Connected(c.used)
	}
	if _, err := c.Write(encode(&r)); err != nil {
		x.Close(false)
		return nil, broken(ctx, err, "send to the engine")
	}
	if err := x.readHeader(&r); err != nil {
		x.Close(false)
		return nil, broken(ctx, err, "read the engine's answer")
	}
	return x, nil
}

// broken is the error of a call that was sent and got no whole answer.
func broken(ctx context.Context, err error, message string) error {
	if ctx.Err() != nil {
		return serving.WrapError(context.Cause(ctx), serving.KindDeadline, message).WithRan(serving.RanUnknown)
	}
	return serving.WrapError(err, serving.KindEngineFailed, message).WithRan(serving.RanUnknown)
}

// encode returns the bytes of a request with a body of known length.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer can't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readHeader reads up to the answer to this call, dropping answers to others.
func (x *Exchange) readHeader(r *Request) error {
	for foreign := 0; ; {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // Close of the exchange ends its connection.
		if err != nil {
			return err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		answer := x.pool.Dialect.DecodeAnswer(res.StatusCode, res.Header)
		// A refusal may come before the engine has read the id.
		if r.ID == "" || answer.RequestID == r.ID || answer.RequestID == "" && answer.NotRun {
			x.response, x.Answer, x.Header, x.Body = res, answer, res.Header, res.Body
			x.Framed = res.ContentLength >= 0 || len(res.TransferEncoding) > 0
			return nil
		}
		if foreign++; foreign > maxForeign || res.Close {
			return errors.New("the engine answered another call")
		}
		if _, err := io.CopyN(io.Discard, res.Body, maxForeignBody); !errors.Is(err, io.EOF) {
			return errors.New("the engine answered another call at length")
		}
	}
}

// Close ends the exchange. The connection is kept if the answer was read whole
// and the engine keeps it too.
func (x *Exchange) Close(whole bool) {
	if x.release != nil && !x.release() {
		whole = false
	}
	x.release = nil
	if !whole || x.response == nil || x.response.Close || x.Closes || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.address, x.conn, x.IdleFor, x.keepIdle)
}
