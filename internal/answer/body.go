package answer

import (
	"errors"
	"io"
	"net/http"
)

// body is the body of an answer. It ends with an *Error if its trailer breaks the rule.
type body struct {
	io.ReadCloser
	answer *http.Response
	// check returns an error of reading the body without bytes of the answer, as an *Error if the
	// body broke the rule.
	check func(error) error
	// malformed, if set, is called if the trailer breaks the rule.
	malformed func()
}

// newBody returns the body of an answer whose header has been read.
func newBody(res *http.Response, check func(error) error, malformed func()) io.ReadCloser {
	if res.Body == nil || res.Body == http.NoBody {
		return res.Body
	}
	return &body{ReadCloser: res.Body, answer: res, check: check, malformed: malformed}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		if wrong := checkNames("trailer field", b.answer.Trailer); wrong != nil {
			if b.malformed != nil {
				b.malformed()
			}
			return n, wrong
		}
	default:
		err = b.check(err)
	}
	return n, err
}
