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
	// clean returns an error without bytes of the answer.
	clean func(error) error
}

// newBody returns the body of an answer whose header has been read.
func newBody(res *http.Response, clean func(error) error) io.ReadCloser {
	if res.Body == nil || res.Body == http.NoBody {
		return res.Body
	}
	return &body{ReadCloser: res.Body, answer: res, clean: clean}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		if malformed := checkNames("trailer field", b.answer.Trailer); malformed != nil {
			return n, malformed
		}
	default:
		err = b.clean(err)
	}
	return n, err
}
