package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// maxOtherAnswers is the number of answers to other calls that are discarded before
	// the connection counts as unusable.
	maxOtherAnswers = 2
	// maxInterimAnswers is the number of interim answers that are skipped before the
	// connection counts as unusable.
	maxInterimAnswers = 16
	// maxOtherBody bounds the body of such an answer in bytes.
	maxOtherBody = 256 << 10
)

// Framing is how the end of an answer's body is marked.
type Framing string

// Framings. Only a body that ends with its connection can be truncated without an error.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	EndsWithConnection Framing = "connection"
)

// framingOf returns the framing of an answer to a request with the given method.
func framingOf(res *http.Response, method string) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return FramedByChunks
	case res.ContentLength >= 0, method == http.MethodHead, res.StatusCode == http.StatusNoContent, res.StatusCode == http.StatusNotModified:
		return FramedByLength
	}
	return EndsWithConnection
}

// Request is one call to send to an engine.
type Request struct {
	// Address is the host and port to connect to.
	Address string
	Method  string
	Target  string
	// Host is sent as the Host header. It may differ from Address.
	Host   string
	Header http.Header
	Body   []byte
	// ID is the call's id, which the engine returns in its answer; empty if the call has
	// none.
	ID serving.RequestID
	// AnswerWithoutID means that the engine's answer has no id. One that has belongs to a
	// call, and such requests don't share connections with calls.
	AnswerWithoutID bool
	// MaxIdleTime is the maximum idle time of a connection that is reused for the call;
	// 0 means that a new connection is opened.
	MaxIdleTime time.Duration
	// MaxIdleConns is the maximum number of idle connections to the engine; 0 means that
	// the connection is closed after the call.
	MaxIdleConns int
	// Connected, if set, is called before the first byte is sent. reused reports whether
	// the connection was used for another call before.
	Connected func(reused bool)
}

// key returns the key of the connections that may be used for the request.
func (r *Request) key() poolKey { return poolKey{r.Address, r.AnswerWithoutID} }

// Exchange is a call together with the engine's answer to it. Close must be called.
type Exchange struct {
	serving.Answer
	Header http.Header
	// Body must be read to its end for the connection to be reused.
	Body    io.Reader
	Framing Framing
	// Reused reports whether the connection was used for another call before.
	Reused bool
	// SentAt is when the call was sent, and HeaderAt when the header of the answer had
	// arrived.
	SentAt, HeaderAt time.Duration

	pool         *Pool
	key          poolKey
	maxIdleConns int
	id           serving.RequestID
	conn         *conn
	response     *http.Response
	// stopCloseOnCancel keeps a canceled context from closing conn. It returns false if
	// the context was canceled before.
	stopCloseOnCancel func() bool
}

// Send sends a call and returns once the header of the answer has arrived. Canceling
// ctx closes the connection, also while the body of the answer is read.
func (p *Pool) Send(ctx context.Context, r Request) (*Exchange, error) {
	c, err := p.get(ctx, &r)
	if err != nil {
		return nil, err
	}
	x := &Exchange{pool: p, key: r.key(), maxIdleConns: r.MaxIdleConns, id: r.ID, conn: c, Reused: c.reused}
	x.stopCloseOnCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if r.Connected != nil {
		r.Connected(c.reused)
	}
	x.SentAt = p.Clock.Now()
	if err := c.send(&r); err != nil {
		x.Close(false)
		return nil, sendError(ctx, err, "send to the engine")
	}
	if err := x.readHeader(&r); err != nil {
		x.Close(false)
		return nil, sendError(ctx, err, "read the engine's answer")
	}
	x.HeaderAt = p.Clock.Now()
	return x, nil
}

// sendError returns the error of a call that may have been sent and got no complete
// answer header.
func sendError(ctx context.Context, err error, message string) error {
	if ctx.Err() != nil {
		return serving.WrapError(context.Cause(ctx), serving.KindDeadline, message).WithRan(serving.RanUnknown)
	}
	return serving.WrapError(err, serving.KindEngineFailed, message).WithRan(serving.RanUnknown)
}

// maxCopiedBody is the length up to which a body is copied behind the header of its request. A
// longer one is sent from where it is, because a copy would double the memory of a call.
const maxCopiedBody = 16 << 10

// send sends a request with a body of known length.
func (c *conn) send(r *Request) error {
	head := encode(r)
	if len(r.Body) <= maxCopiedBody {
		_, err := c.Write(append(head, r.Body...))
		return err
	}
	parts := net.Buffers{head, r.Body}
	_, err := parts.WriteTo(c.Conn)
	return err
}

// encode returns the header of a request with a body of known length, with room for a short
// body.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxCopiedBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer can't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads the header of the answer to this call. It discards interim answers
// and answers to other calls.
func (x *Exchange) readHeader(r *Request) error {
	for others, interim := 0, 0; ; {
		res, err := x.conn.readResponse(r.Method) //nolint:bodyclose // Close of the exchange ends its connection.
		if err != nil {
			return err
		}
		if res.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimAnswers {
				return errors.New("the engine sent more than " + strconv.Itoa(maxInterimAnswers) + " interim answers")
			}
			continue
		}
		answer := x.pool.Dialect.DecodeAnswer(res.StatusCode, res.Header)
		// An engine may refuse a call before it has read the id. On a connection that had an
		// answer before, such a refusal may be a copy of an earlier one.
		if answer.RequestID == "" && answer.NotRun && r.ID != "" && (x.Reused || others > 0) {
			return errors.New("the engine sent a refusal without an id on a connection that was used before; it may belong to an earlier call")
		}
		if answer.RequestID == r.ID || r.ID == "" && !r.AnswerWithoutID || answer.RequestID == "" && answer.NotRun {
			x.response, x.Answer, x.Header, x.Body = res, answer, res.Header, res.Body
			x.Framing = framingOf(res, r.Method)
			return nil
		}
		if others++; others > maxOtherAnswers || res.Close {
			return errors.New("the engine answered another call")
		}
		if _, err := io.CopyN(io.Discard, res.Body, maxOtherBody); !errors.Is(err, io.EOF) {
			return errors.New("the engine answered another call at length")
		}
	}
}

// Close ends the exchange. complete reports whether the body was read to its end. The
// connection is kept only if it was, and if the engine doesn't close it.
func (x *Exchange) Close(complete bool) {
	if x.stopCloseOnCancel != nil && !x.stopCloseOnCancel() {
		complete = false
	}
	x.stopCloseOnCancel = nil
	if !complete || x.response == nil || x.response.Close || x.Closes || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.conn.reused = true
	if x.NotRun {
		x.conn.recordRefusal(x.id)
	}
	x.pool.put(x.key, x.conn, x.IdleTimeout, x.maxIdleConns)
}
