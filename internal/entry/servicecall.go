package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// maxServiceAnswer bounds the answer of a plain service, in bytes.
const maxServiceAnswer = 4 << 20

// callResult is the result of sending a call once.
type callResult struct {
	// answer is nil if no complete answer arrived.
	answer *schema.Answer
	// sent is true once a byte of the call may have been sent.
	sent bool
	// refused is true if the service stated that the call did not run.
	refused bool
	// mayRetry is false if the call was lost with several engines.
	mayRetry bool
	err      error
}

// definite reports whether the answer shows that the call ran to its end, possibly with
// a client error. Server errors, 408 and 429 do not show whether it ran.
func (r *callResult) definite() bool {
	if r.answer == nil || r.refused {
		return false
	}
	switch s := r.answer.Status; {
	case s == http.StatusRequestTimeout, s == http.StatusTooManyRequests, s >= 500:
		return false
	}
	return true
}

// failure returns the error of a result that is not definite.
func (r *callResult) failure() error {
	if r.err != nil {
		return serving.WrapError(r.err, serving.KindEngineFailed, "call service")
	}
	if r.refused {
		return serving.NewError(serving.KindOverloaded, "the service refused the call").WithRetryAfter(serviceRetryAfter)
	}
	return serving.NewError(serving.KindEngineFailed, fmt.Sprintf("the service answered %d", r.answer.Status))
}

// serviceKey returns the key that the service receives. It contains the account,
// because accounts may use equal keys and a lookup must not find another account's
// order.
func (c *serviceCall) serviceKey() string { return serviceKey(c.account, c.key) }

func serviceKey(account serving.ClientAccountID, key string) string {
	return string(account) + ":" + key
}

// sendCall sends a call to an engine once.
func (e *Entry) sendCall(ctx context.Context, client *http.Client, n *Engine, c *serviceCall) *callResult {
	n.counters.inFlight.Add(1)
	defer n.counters.inFlight.Add(-1)
	e.metrics.attempts.Add(1)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	target := url.URL{Scheme: "http", Host: n.Address, Path: "/v1/call" + c.path, RawQuery: c.query}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return &callResult{err: err}
	}
	r.Header.Set("X-Request-Id", string(c.id))
	r.Header.Set("Content-Type", c.contentType)
	if c.key != "" {
		r.Header.Set(headerIdempotencyKey, c.serviceKey())
	}
	res, err := client.Do(r)
	if err != nil {
		logMalformed(c.id, n, err)
		return &callResult{err: err, sent: sent.Load(), mayRetry: !sent.Load() || e.mayRetryLost(ctx, n, c, err)}
	}
	defer res.Body.Close()
	got, err := readAnswer(res)
	if err != nil {
		logMalformed(c.id, n, err)
		tooLarge := serving.AsError(err).Kind == serving.KindTooLarge
		return &callResult{sent: true, err: err, mayRetry: tooLarge || e.mayRetryLost(ctx, n, c, err)}
	}
	result := &callResult{answer: got, sent: true, mayRetry: true, refused: reportsNotRun(got)}
	if !result.refused {
		e.prompts.recordSound(c.parts())
	}
	return result
}

// mayRetryLost records that a call got no answer, because of cause, and reports whether it may be sent
// to another engine.
func (e *Entry) mayRetryLost(ctx context.Context, n *Engine, c *serviceCall, cause error) bool {
	return ctx.Err() != nil || e.recordLost(ctx, c.id, n, c.parts(), e.prompts.clock.Now(), cause)
}

func readAnswer(res *http.Response) (*schema.Answer, error) {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxServiceAnswer+1))
	if err == nil && len(b) > maxServiceAnswer {
		err = serving.NewError(serving.KindTooLarge, "the answer of the service is too large")
	}
	if err != nil {
		return nil, err
	}
	return &schema.Answer{Status: int32(res.StatusCode), ContentType: res.Header.Get("Content-Type"), Body: b}, nil
}

// reportsNotRun reports whether an error answer of the service states that nothing ran.
func reportsNotRun(a *schema.Answer) bool {
	if a.Status < http.StatusBadRequest {
		return false
	}
	var body errorAnswer
	return json.Unmarshal(a.Body, &body) == nil && body.Error.Ran == serving.NotRun
}

// logMalformed logs a malformed answer of an engine to a request. Other errors are ignored.
func logMalformed(id serving.RequestID, n *Engine, err error) {
	if answer.IsMalformed(err) {
		klog.InfoS("Malformed answer", "request", id, "engine", n.Engine, "err", err)
	}
}

// lookupResult is the answer of a service to the lookup of a key.
type lookupResult struct {
	Status string `json:"status"`
}

// Values of the status of a lookup. With any other value the outcome stays unknown.
const (
	lookupRan        = "ran"
	lookupInProgress = "in_progress"
)

// lookUpAt asks one engine for the status of the call with a key. The status is "" if
// the engine gives none.
func (e *Entry) lookUpAt(ctx context.Context, n *Engine, path, key string) (string, *schema.Answer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Address+lookupPath(path, key), nil)
	if err != nil {
		return "", nil, err
	}
	res, err := e.upstream.Do(r)
	if err != nil {
		return "", nil, err
	}
	defer res.Body.Close()
	got, err := readAnswer(res)
	if err != nil || got.Status != http.StatusOK {
		return "", nil, err
	}
	var l lookupResult
	if err := json.Unmarshal(got.Body, &l); err != nil {
		return "", nil, err
	}
	return l.Status, got, nil
}

// lookupPath inserts a key at {key}, or appends it to a path without {key}.
func lookupPath(path, key string) string {
	escaped := url.PathEscape(key)
	if strings.Contains(path, "{key}") {
		return strings.ReplaceAll(path, "{key}", escaped)
	}
	return strings.TrimSuffix(path, "/") + "/" + escaped
}
