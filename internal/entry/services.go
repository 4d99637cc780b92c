package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

const (
	// defaultCallTimeout bounds a call whose route configures no timeout.
	defaultCallTimeout = 30 * time.Second
	// minRetryBackoff and maxRetryBackoff bound the exponential backoff between
	// attempts of an idempotent call, before jitter.
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = time.Second
	// maxKeyLength bounds the length of an idempotency key, in bytes.
	maxKeyLength = 128

	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotency-Replayed"
)

// serviceCall is a decoded call of a plain service, that is, one that does not generate
// tokens.
type serviceCall struct {
	id          serving.RequestID
	account     serving.ClientAccountID
	service     serving.ServiceID
	spec        *schema.Service
	path        string
	query       string
	contentType string
	body        []byte
	// key is the caller's idempotency key, or one that the entry generated.
	key        string
	idempotent bool
	timeout    time.Duration
}

// callService handles POST /v1/services/{service}/{path}.
func (e *Entry) callService(r *restful.Request, w *restful.Response) {
	c, err := e.acceptCall(r, w)
	if err != nil {
		e.refuse(w, err)
		return
	}
	e.eventLog.add(eventRequestReceived, c.id, "account", string(c.account), "service", string(c.service))
	e.metrics.inFlight.Add(1)
	defer e.metrics.inFlight.Add(-1)
	w.Header().Set("X-Request-Id", string(c.id))
	if c.key != "" {
		w.Header().Set(headerIdempotencyKey, c.key)
	}
	var answer *schema.Answer
	if c.idempotent {
		answer, err = e.runIdempotent(r.Request.Context(), c)
	} else {
		var replayed bool
		if answer, replayed, err = e.runOrder(r.Request.Context(), c); replayed {
			w.Header().Set(headerReplayed, "true")
		}
	}
	e.metrics.countOutcome(err)
	e.eventLog.addEnd(c.id, true, err)
	if err != nil {
		writeError(w, err)
		return
	}
	e.writeAnswer(w, answer)
}

func (e *Entry) writeAnswer(w *restful.Response, a *schema.Answer) {
	caller := newCallerWriter(w.ResponseWriter, e.Settings.Entry.WriteTimeout.Duration)
	if a.ContentType != "" {
		caller.Header().Set("Content-Type", a.ContentType)
	}
	caller.WriteHeader(int(a.Status))
	if errors.Is(caller.send(a.Body), errSlowReader) {
		panic(http.ErrAbortHandler)
	}
	caller.clearDeadline()
}

func (e *Entry) acceptCall(r *restful.Request, w *restful.Response) (*serviceCall, error) {
	b := e.board.load()
	account, err := e.authenticate(b, r.Request)
	if err != nil {
		return nil, err
	}
	if err := e.mayStart(b); err != nil {
		return nil, err
	}
	id, spec, ok := b.View.Service(r.PathParameter("service"))
	if !ok || spec.GetGenerates() {
		return nil, serving.NewError(serving.KindNotFound, "no plain service "+r.PathParameter("service")+" is configured")
	}
	key := r.Request.Header.Get(headerIdempotencyKey)
	if !validKey(key) {
		return nil, serving.NewError(serving.KindInvalid, "the idempotency key may have up to 128 letters, digits and any of ._:-")
	}
	c := &serviceCall{
		id: serving.RequestID(newID()), account: account, service: id, spec: spec,
		path: "/" + r.PathParameter("path"), query: r.Request.URL.RawQuery,
		contentType: r.Request.Header.Get("Content-Type"), key: key, timeout: defaultCallTimeout,
	}
	if route := routeFor(spec, c.path); route != nil {
		c.idempotent = route.Idempotent
		if route.TimeoutMs > 0 {
			c.timeout = time.Duration(route.TimeoutMs) * time.Millisecond
		}
	}
	if c.key == "" && !c.idempotent {
		c.key = newID()
	}
	c.body, err = readBody(w, r.Request, e.Settings.Entry.MaxBody.Bytes, bodyTimeout)
	return c, err
}

// validKey reports whether key is empty or short enough and free of characters that
// need escaping in a path.
func validKey(key string) bool {
	return len(key) <= maxKeyLength && !strings.ContainsFunc(key, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("._:-", r)
	})
}

// routeFor returns the route with the longest matching path prefix, or nil. A prefix
// only matches whole path segments: /stock does not match /stock-orders.
func routeFor(s *schema.Service, path string) *schema.Route {
	var best *schema.Route
	for _, r := range s.GetRoutes() {
		prefix := strings.TrimSuffix(r.PathPrefix, "/")
		rest, ok := strings.CutPrefix(path, prefix)
		if !ok || rest != "" && rest[0] != '/' {
			continue
		}
		if best == nil || len(prefix) > len(strings.TrimSuffix(best.PathPrefix, "/")) {
			best = r
		}
	}
	return best
}

// placeCall chooses an engine of a service. It prefers engines that were not tried.
func (e *Entry) placeCall(b *Blackboard, s serving.ServiceID, tried map[serving.EngineID]bool) (*Engine, error) {
	var best *Engine
	for _, n := range b.Engines {
		if n.Kind != engine.KindService || !n.acceptsWork(b.View) || !n.servesService(b.View, s) {
			continue
		}
		if best == nil || n.preferredOver(best, tried) {
			best = n
		}
	}
	if best == nil {
		return nil, serving.NewError(serving.KindNoEngine, "no engine in service answers for "+string(s)).WithRetryAfter(time.Second)
	}
	return best, nil
}

// preferredOver reports whether n is preferred over m: untried engines first, then
// those with fewer requests in flight.
func (n *Engine) preferredOver(m *Engine, tried map[serving.EngineID]bool) bool {
	if tried[n.Engine] != tried[m.Engine] {
		return tried[m.Engine]
	}
	return n.counters.inFlight.Load() < m.counters.inFlight.Load()
}

// servesService reports whether the engine has announced a service, under any of its
// names.
func (n *Engine) servesService(v *View, s serving.ServiceID) bool {
	for _, name := range n.Services {
		if id, _, ok := v.Service(string(name)); ok && id == s {
			return true
		}
	}
	return false
}

// runIdempotent runs an idempotent call. After a failure it retries on another engine
// within the retry budget.
func (e *Entry) runIdempotent(ctx context.Context, c *serviceCall) (*schema.Answer, error) {
	e.retries.request()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	tried := map[serving.EngineID]bool{}
	ran := serving.NotRun
	for n := 0; ; n++ {
		b := e.board.load()
		err := e.mayDispatch(b)
		var target *Engine
		if err == nil {
			err = e.prompts.check(c.parts())
		}
		if err == nil {
			target, err = e.placeCall(b, c.service, tried)
		}
		if err != nil {
			return nil, withRan(err, ran)
		}
		tried[target.Engine] = true
		res := e.sendCall(ctx, e.upstream, target, c)
		if res.definite() {
			return res.answer, nil
		}
		if res.sent && !res.refused {
			ran = serving.RanUnknown
		}
		if !res.mayRetry || n+1 >= maxAttempts || ctx.Err() != nil || !e.retries.retry() || !waitRetryBackoff(ctx, n) {
			return nil, withRan(res.failure(), ran)
		}
	}
}

// waitRetryBackoff waits before retry n, and reports whether it waited to the end.
// Jitter spreads the retries of callers that failed at the same time.
func waitRetryBackoff(ctx context.Context, n int) bool {
	pause := min(minRetryBackoff<<n, maxRetryBackoff)
	t := time.NewTimer(pause/2 + rand.N(pause))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// withRan returns a copy of err that states whether the request ran.
func withRan(err error, ran serving.Ran) error {
	t := *serving.AsError(err)
	return t.WithRan(ran)
}
