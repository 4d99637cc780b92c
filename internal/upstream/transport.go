package upstream

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"
)

// Transport is an http.RoundTripper over a pool, for callers that build requests of
// net/http. Unlike http.Transport it sends no request a second time by itself.
type Transport struct {
	Pool *Pool
	// MaxRest and KeepIdle are those of all requests.
	MaxRest  time.Duration
	KeepIdle int
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
		MaxRest: t.MaxRest, KeepIdle: t.KeepIdle}
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
		Header: x.Header, ContentLength: length, Body: &exchangeBody{exchange: x}, Request: r}, nil
}

// CloseIdleConnections closes the connections that no call uses.
func (t *Transport) CloseIdleConnections() { t.Pool.CloseIdle() }

// exchangeBody is the body of an exchange; its end or its closing ends the exchange.
type exchangeBody struct {
	exchange *Exchange
	whole    bool
	closed   bool
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.exchange.Body.Read(p)
	b.whole = b.whole || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	if !b.closed {
		b.closed = true
		b.exchange.Close(b.whole)
	}
	return nil
}
