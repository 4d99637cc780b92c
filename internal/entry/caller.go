package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// errCallerGone means that the caller's connection failed or was closed.
var errCallerGone = errors.New("caller is gone")

// errSlowReader means that the caller did not read within the write timeout.
var errSlowReader = serving.NewError(serving.KindSlowReader, "the caller read too slowly").WithRan(serving.DidRun)

// isCallerError reports whether an error is due to the caller or its request, so that
// neither resuming nor another engine helps.
func isCallerError(err error) bool {
	var p permanentError
	return errors.Is(err, errCallerGone) || errors.Is(err, errSlowReader) || errors.As(err, &p)
}

// callerWriter writes to a caller and sets a deadline for each write.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
}

func newCallerWriter(w http.ResponseWriter, timeout time.Duration) *callerWriter {
	return &callerWriter{ResponseWriter: w, control: http.NewResponseController(innermost(w)), timeout: timeout}
}

// innermost returns the net/http writer below all wrappers. Flushing it directly
// returns the connection's errors, which a wrapper with a plain Flush method would
// hide.
func innermost(w http.ResponseWriter) http.ResponseWriter {
	for {
		u, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = u.Unwrap()
	}
}

// send writes b and flushes. It sets the deadline at most four times per timeout,
// because setting it costs as much as a small write.
func (c *callerWriter) send(b []byte) error {
	if now := time.Now(); now.Sub(c.deadlineSetAt) > c.timeout/4 {
		_ = c.control.SetWriteDeadline(now.Add(c.timeout))
		c.deadlineSetAt = now
	}
	_, err := c.Write(b)
	if err == nil {
		err = c.control.Flush()
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errSlowReader
	default:
		return errCallerGone
	}
}

// clearDeadline removes the write deadline, which would otherwise apply to the
// connection's next request.
func (c *callerWriter) clearDeadline() { _ = c.control.SetWriteDeadline(time.Time{}) }

// readBody reads a request body of at most limit bytes within timeout.
func readBody(w http.ResponseWriter, r *http.Request, limit serving.Bytes, timeout time.Duration) ([]byte, error) {
	if isUnread(r) {
		// The key became known after the body was dropped.
		return nil, serving.NewError(serving.KindViewExpired, "the body was not read, because the key was not known yet").WithRetryAfter(time.Second)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, serving.WrapError(err, serving.KindTooLarge, "read request")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, serving.WrapError(err, serving.KindDeadline, "read request")
	case err != nil:
		return nil, serving.WrapError(err, serving.KindInvalid, "read request")
	}
	_ = control.SetReadDeadline(time.Time{})
	return b, nil
}
