package answer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

const (
	minStatus = 100
	maxStatus = 599
)

// Error is an answer that breaks the rule. Its text has no bytes of the answer, because a faulty
// server decides what they are.
type Error struct{ Reason string }

// Error implements error.
func (e *Error) Error() string { return "malformed answer: " + e.Reason }

// IsMalformed reports whether err is, or wraps, an *Error.
func IsMalformed(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

// Read reads the header of an answer, which may be interim. req is the request, of which only the
// method matters. If the bytes are no answer, the error is an *Error; other errors are those of the
// connection.
func Read(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	read := http.ReadResponse
	if beginsHTTP10(r) {
		read = readHTTP10
	}
	res, err := read(r, req)
	if err != nil {
		return nil, readError(err)
	}
	if err := Check(res); err != nil {
		return nil, err
	}
	res.Body = newBody(res, readError, nil)
	return res, nil
}

// Check returns an *Error if the header of an answer breaks the rule.
func Check(res *http.Response) error {
	switch {
	case res.ProtoMajor != 1 && res.TLS == nil:
		return &Error{fmt.Sprintf("version %d.%d of the protocol", res.ProtoMajor, res.ProtoMinor)}
	case res.StatusCode < minStatus || res.StatusCode > maxStatus:
		return &Error{fmt.Sprintf("status %d is outside %d to %d", res.StatusCode, minStatus, maxStatus)}
	case res.StatusCode == http.StatusSwitchingProtocols:
		return &Error{"status 101 to a request that did not ask for another protocol"}
	case strings.ContainsFunc(res.Status, isControl):
		return &Error{"the reason in the status line has a control character"}
	}
	return checkNames("field", res.Header)
}

// checkNames returns an *Error if a field has a name that no field may have. kind names the fields.
func checkNames(kind string, h http.Header) error {
	for name, values := range h {
		// A trailer field that was announced and not sent has no values.
		if len(values) > 0 && !isToken(name) {
			return &Error{fmt.Sprintf("the name of a %s, of %d bytes, is empty or has a character that no name may have", kind, len(name))}
		}
	}
	return nil
}

// isToken reports whether s is a token, the syntax of a field name.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool {
		return (c < '0' || c > '9') && (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
	})
}

// isControl reports whether no text of an answer may have a character.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// readError returns the error of reading the bytes of an answer: as it is if the connection failed or
// was closed, and an *Error otherwise.
func readError(err error) error {
	var failed net.Error
	if IsMalformed(err) || errors.As(err, &failed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return &Error{reason(err)}
}

// reason returns the text of an error of net/http without the bytes of the answer, which it quotes at
// its end.
func reason(err error) string {
	text, _, _ := strings.Cut(err.Error(), `"`)
	return strings.TrimRight(text, " :[")
}
