package answer

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
)

// Transport is an http.RoundTripper that returns only answers that keep the rule. Next is set before
// the first use.
type Transport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			return Check(&http.Response{ProtoMajor: 1, StatusCode: status, Header: http.Header(h)})
		},
	}
	res, err := t.Next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		if conn != nil {
			err = clientError(err)
		}
		return nil, err
	}
	// Next regards the connection as idle at the end of the answer, before its rule is checked.
	closeConn := func() {
		if conn != nil {
			_ = conn.Close()
		}
	}
	if err := Check(res); err != nil {
		_ = res.Body.Close()
		closeConn()
		return nil, err
	}
	res.Request, res.Body = r, newBody(res, clientError, closeConn)
	return res, nil
}

// CloseIdleConnections closes the idle connections of Next. http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// clientError returns the error of a client of net/http that has connected: an *Error if it quotes
// bytes of the answer, and as it is otherwise.
func clientError(err error) error {
	var failed net.Error
	if IsMalformed(err) || errors.As(err, &failed) || !strings.Contains(err.Error(), `"`) {
		return err
	}
	return &Error{reason(err)}
}
