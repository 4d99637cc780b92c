package timeline

import "net/http"

// Header is the HTTP header that carries the clock's time between processes.
const Header = "X-Turmericdrum-Clock"

// observe updates the clock from a header. A missing or invalid header is ignored,
// so that a fault of the timeline does not make the call fail.
func observe(c *Clock, h http.Header) {
	if t, err := ParseTime(h.Get(Header)); err == nil {
		_ = c.Observe(t)
	}
}

// Handler updates the clock from each request and sends its time with each response.
func Handler(c *Clock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		observe(c, r.Header)
		cw := &clockWriter{ResponseWriter: w, clock: c}
		next.ServeHTTP(cw, r)
		cw.stamp()
	})
}

// clockWriter sets the clock header immediately before the headers are sent.
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

// Unwrap returns the underlying writer for http.ResponseController.
func (w *clockWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// RoundTripper sends the clock's time with each request and updates the clock from
// each response.
func RoundTripper(c *Clock, next http.RoundTripper) http.RoundTripper {
	return roundTripper{clock: c, next: next}
}

type roundTripper struct {
	clock *Clock
	next  http.RoundTripper
}

// CloseIdleConnections forwards the call of http.Client, which would otherwise have
// no effect on the wrapped transport.
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
