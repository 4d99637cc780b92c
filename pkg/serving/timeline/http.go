package timeline

import "net/http"

// Header carries the clock between processes.
const Header = "X-Turmericdrum-Clock"

// observe takes over the time of a header; a missing or bad one is ignored, as a
// call must not fail because of its timeline.
func observe(c *Clock, h http.Header) {
	if t, err := ParseTime(h.Get(Header)); err == nil {
		_ = c.Observe(t)
	}
}

// Handler takes over the clock of each request and sends it with each response.
func Handler(c *Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		observe(c, r.Header)
		cw := &clockWriter{ResponseWriter: w, clock: c}
		next.ServeHTTP(cw, r)
		cw.stamp()
	})
}

// clockWriter sets the header right before the headers are sent.
type clockWriter struct {
	http.ResponseWriter
	clock   *Clock
	stamped bool
}

func (w *clockWriter) stamp() {
	if !w.stamped {
		w.stamped = true
		w.Header().Set(Header, w.clock.Now().String())
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *clockWriter) WriteHeader(status int) {
	w.stamp()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *clockWriter) Write(b []byte) (int, error) {
	w.stamp()
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *clockWriter) Flush() {
	w.stamp()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is for http.ResponseController.
func (w *clockWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// RoundTripper sends the clock with each request and takes over that of each response.
func RoundTripper(c *Clock, next http.RoundTripper) http.RoundTripper {
	return roundTripper{clock: c, next: next}
}

type roundTripper struct {
	clock *Clock
	next  http.RoundTripper
}

// CloseIdleConnections passes the call of http.Client on, which would otherwise
// find no idle connections to close.
func (t roundTripper) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip implements http.RoundTripper.
func (t roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(Header, t.clock.Now().String())
	resp, err := t.next.RoundTrip(r)
	if err == nil {
		observe(t.clock, resp.Header)
	}
	return resp, err
}
