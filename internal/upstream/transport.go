package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving/completion"
)

// Transport is an http.RoundTripper that sends requests over the connections of a pool.
// Unlike http.Transport, it never retries a request automatically.
type Transport struct {
	Pool *Pool
	// MaxIdleTime and MaxIdleConns are set in every Request.
	MaxIdleTime  time.Duration
	MaxIdleConns int
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		body, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil {
			return nil, err
		}
	}
	out := Request{Address: r.URL.Host, Method: r.Method, Target: r.URL.RequestURI(), Host: r.URL.Host, Header: r.Header, Body: body,
		MaxIdleTime: t.MaxIdleTime, MaxIdleConns: t.MaxIdleConns}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		out.Connected = func(reused bool) { trace.GotConn(httptrace.GotConnInfo{Reused: reused}) }
	}
	x, err := t.Pool.Send(r.Context(), out)
	if err != nil {
		return nil, err
	}
	length := int64(-1)
	if n, err := strconv.ParseInt(x.Header.Get("Content-Length"), 10, 64); err == nil {
		length = n
	}
	return &http.Response{Status: strconv.Itoa(x.Status) + " " + http.StatusText(x.Status), StatusCode: x.Status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: x.Header, ContentLength: length, Body: newExchangeBody(r.Context(), x), Request: r}, nil
}

// CloseIdleConnections closes the idle connections of the pool. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.Pool.CloseIdle() }

// exchangeBody is the body of an exchange. Closing it ends the exchange.
type exchangeBody struct {
	*VerifiedBody
	complete bool
	closed   bool
}

func newExchangeBody(ctx context.Context, x *Exchange) *exchangeBody {
	return &exchangeBody{VerifiedBody: NewVerifiedBody(x, func(end completion.Ending) completion.Verdict {
		if end.Assess() == completion.Undecided {
			end.Process = x.CheckProcess(ctx)
		}
		return end.Assess()
	})}
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.VerifiedBody.Read(p)
	b.complete = b.complete || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	if !b.closed {
		b.closed = true
		b.exchange.Close(b.complete)
	}
	return nil
}
