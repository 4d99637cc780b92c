package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/ingress"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/pacing"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/shedding"
)

const (
	// maxBody bounds a request body in bytes before its route is known. It is above the
	// limits in current configurations.
	maxBody = 8 << 20
	// bodyRetryAfter is the Retry-After of a call whose body can't be held. Callers connect to
	// another entry.
	bodyRetryAfter = 100 * time.Millisecond
	// defaultCallerTimeout is assumed for a caller that doesn't state its timeout.
	defaultCallerTimeout = 30 * time.Second
)

// job is one caller's request in progress at this entry.
type job struct {
	g *Gateway
	w http.ResponseWriter
	*serving.Call
	*routing.Decision
	// parts holds the hash of the call and the parts of its prompt that other prompts may
	// have, by which calls that crash engines are recognised.
	parts []quarantine.Part
	// arrivedAt is when the header of the request had been read. deadline is when the
	// caller's or the route's timeout expires, whichever is first.
	arrivedAt, deadline time.Duration
	ctx                 context.Context
	tried               []serving.EngineID
	// possibleRuns counts the engines that may have run the call.
	possibleRuns int
	// crashes counts the engines whose process ended while they had the call.
	crashes  int
	retries  int
	revision uint64
	// limits are those of the configuration.
	limits        routing.Limits
	engine        serving.EngineID
	headerWritten bool
	// held counts the bytes of answers that are held for the call.
	held hold
	// record counts the attempt in progress in the rollout of the service.
	record attemptRecord
	// counted is set if the quota has counted the next attempt.
	counted bool
}

// serve answers one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	inProgress.Add(1)
	defer inProgress.Add(-1)
	arrivedAt := g.Clock.Now()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	// The deadline of an earlier call on the connection is over.
	_ = control.SetWriteDeadline(time.Now().Add(g.BodyTimeout + defaultCallerTimeout))
	conn := ingress.FromContext(r.Context())
	call, err := g.Dialect.DecodeCall(r, nil)
	if err != nil {
		ingress.Drop(w, r, func() { g.Dialect.Refuse(w, nil, serving.AsError(err)) })
		return
	}
	j := &job{g: g, w: w, Call: call, arrivedAt: arrivedAt, ctx: r.Context(), held: hold{of: g.heldAnswers, conn: conn, reserve: conn.ReserveAnswer}}
	defer j.held.end()
	if err := j.admit(conn, r); err != nil {
		ingress.Drop(w, r, func() { j.refuse(err) })
		return
	}
	held := hold{of: g.heldBodies, free: freeBody, conn: conn, reserve: conn.Reserve}
	defer held.end()
	if call.Body, err = g.readBody(w, r, &held, j.bodyLimit()); err != nil {
		if serving.KindOf(err) == serving.KindDeadline {
			callersStalled.Add(1)
			klog.InfoS("Caller did not send its body in time", "caller", r.RemoteAddr, "method", r.Method, "took", g.Clock.Now()-arrivedAt)
		}
		ingress.Drop(w, r, func() { g.Dialect.Refuse(w, call, serving.AsError(err)) })
		return
	}
	conn.Vouch()
	j.parts = append(quarantine.Shareable(call.Parts), quarantine.HashCall(j.accountID(), call.Method, call.Host, call.Target, call.Body))
	if err := j.checkBlocked(); err != nil {
		j.refuse(err)
		return
	}
	if err := j.checkShutdown(); err != nil {
		j.refuse(err)
		return
	}
	ctx, abort := context.WithCancelCause(r.Context())
	defer abort(nil)
	stop := context.AfterFunc(g.ending, func() { abort(errShutdown) })
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, j.deadline-arrivedAt)
	defer cancel()
	_ = control.SetWriteDeadline(time.Now().Add(j.timeLeft() + writeGrace))
	j.ctx = ctx
	if j.Route.Kind == serving.KindStreamRoute {
		j.serveStream()
		return
	}
	j.servePlain()
}

// awaitView returns the current view. If a process that has just started has none
// yet, it waits up to viewWait, which delays callers less than a retry. The result is
// nil if there is still none.
func (g *Gateway) awaitView(ctx context.Context) *view {
	v := g.board.view.Load()
	for waited := time.Duration(0); v == nil && waited < viewWait; waited += viewPollInterval {
		if !sleep(ctx, viewPollInterval) {
			return nil
		}
		v = g.board.view.Load()
	}
	return v
}

const (
	// viewWait is the usual time from the start of all processes to the first view.
	viewWait = time.Second
	// viewPollInterval is the interval between checks for it.
	viewPollInterval = 20 * time.Millisecond
	// viewRetryAfter is the Retry-After of a call that is refused without a view.
	viewRetryAfter = 500 * time.Millisecond
)

// admit decides the route of the call before its body is read.
func (j *job) admit(conn *ingress.Conn, r *http.Request) error {
	if err := conn.Begin(r); err != nil {
		return err
	}
	if err := j.decide(); err != nil {
		return err
	}
	if r.ContentLength > j.bodyLimit() {
		return errBodyTooLarge()
	}
	return nil
}

func errBodyTooLarge() error {
	return serving.NewError(serving.KindTooLarge, "the body is larger than the limit")
}

// bodyLimit returns the limit of the body of a call whose route is known.
func (j *job) bodyLimit() int64 {
	if limit := int64(j.limits.BodyBytes); limit > 0 {
		return min(limit, maxBody)
	}
	return maxBody
}

// readBody reads a body within BodyTimeout, however slowly its bytes come.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, held *hold, most int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	conn := ingress.FromContext(r.Context())
	conn.Phase(shedding.Body)
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.BodyTimeout))
	// The limit is above that of the body, so that its end is always found.
	b, err := held.read(io.LimitReader(r.Body, most+1), r.ContentLength, 2*maxBody)
	switch {
	case int64(len(b)) > most:
		return nil, errBodyTooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The rest of the body is not waited for.
		conn.Phase(shedding.Refused)
		return nil, serving.NewError(serving.KindDeadline, "the body was not received in time, within "+g.BodyTimeout.String()+" or without a pause")
	case err == nil:
		read := len(b)
		held.end()
		klog.InfoS("Body refused, the bodies of other calls take the memory", "caller", r.RemoteAddr, "length", r.ContentLength, "read", read, "limit", held.of.max)
		return nil, serving.NewError(serving.KindOverloaded, "the bodies of other calls take the memory for bodies").WithRetryAfter(pacing.Spread(bodyRetryAfter, rand.Float64()))
	case !errors.Is(err, io.EOF):
		return nil, serving.WrapError(err, serving.KindInvalid, "read the body")
	case !conn.EndBody():
		return nil, serving.NewError(serving.KindDeadline, "the body was not received in time")
	}
	// A read deadline that is left would end the call when it expires.
	_ = control.SetReadDeadline(time.Time{})
	// Trailer fields are not passed on, and may be many.
	r.Trailer = nil
	return b, nil
}

// decide determines the route of the call and its deadline.
func (j *job) decide() error {
	v := j.g.awaitView(j.ctx)
	if v == nil {
		return serving.NewError(serving.KindViewExpired, "no configuration is known yet").WithRetryAfter(viewRetryAfter)
	}
	j.revision, j.limits = v.revision, v.table.Config.Limits
	d, err := v.table.Decide(j.Call, rand.Float64())
	if err != nil {
		return err
	}
	j.Decision = d
	timeout := j.CallerTimeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	j.deadline = j.arrivedAt + min(timeout, d.Route.Timeout)
	return nil
}

// refuse answers the call with an error of this entry, unless the caller has closed
// its connection. Once the header has been written, it aborts the connection instead.
func (j *job) refuse(err error) {
	e := serving.AsError(err)
	if j.ctx != nil && errors.Is(context.Cause(j.ctx), context.Canceled) {
		callersDisconnected.Add(1)
		j.log("Caller disconnected", "kind", e.Kind)
		return
	}
	if spreadsRetries(e) {
		e.RetryAfter = pacing.Spread(e.RetryAfter, rand.Float64())
	}
	refused.Add(string(e.Kind), 1)
	j.log("Call refused", "kind", e.Kind, "ran", e.Ran, "retry_after", e.RetryAfter, "err", e.Message)
	if j.headerWritten {
		panic(http.ErrAbortHandler)
	}
	j.g.Dialect.Refuse(j.w, j.Call, e)
}

// spreadsRetries reports whether many callers may be refused at the same moment for the same
// reason. The time that an engine has named is passed on as it is.
func spreadsRetries(e *serving.Error) bool {
	return e.Detail == "" && (e.Kind == serving.KindOverloaded || e.Kind == serving.KindNoEngine || e.Kind == serving.KindViewExpired || e.Kind == serving.KindDraining)
}

// log logs a message about this call, with the attributes that identify it.
func (j *job) log(message string, keysAndValues ...any) {
	route := ""
	if j.Decision != nil {
		route = j.Route.Name
	}
	all := append([]any{"request", j.ID, "route", route, "revision", j.revision, "engine", j.engine,
		"took", j.g.Clock.Now() - j.arrivedAt, "repeats", j.retries}, keysAndValues...)
	klog.InfoS(message, all...)
}

// accountID returns the call's client account, or empty if it has none.
func (j *job) accountID() serving.ClientAccountID {
	if j.Account == nil {
		return ""
	}
	return j.Account.ID
}

// timeLeft returns how long the call may still take.
func (j *job) timeLeft() time.Duration { return j.deadline - j.g.Clock.Now() }

// endTicket ends a ticket and places waiting calls in the capacity that this frees.
func (g *Gateway) endTicket(t *placement.Ticket, o placement.Outcome, latency time.Duration) {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	now := g.Clock.Now()
	t.End(now, o, latency)
	g.board.placeWaiting(now)
}

// mayRetry reports whether a call that did not run, or may run again, may be sent to
// another engine, and counts the retry. Only a call that may have reached an engine
// counts against the retry budget of all entries.
func (j *job) mayRetry(reached bool) bool {
	if j.timeLeft() <= 0 || j.ctx.Err() != nil || j.retries >= maxRetries {
		return false
	}
	if reached {
		j.g.board.mu.Lock()
		ok := j.g.Retries.AllowRetry(j.g.Clock.Now(), j.Service.ID, j.g.board.pool.Entries())
		j.g.board.mu.Unlock()
		if !ok {
			return false
		}
	}
	j.retries++
	callsRetried.Add(1)
	return true
}

// maxRetries bounds the retries of one call.
const maxRetries = 3

// recordCall records the first attempt of the call in the retry budget, and in the demand
// for its service.
func (j *job) recordCall() {
	j.g.board.mu.Lock()
	defer j.g.board.mu.Unlock()
	now := j.g.Clock.Now()
	j.g.Retries.RecordCall(now, j.Service.ID)
	j.g.board.pool.CountCall(now, j.Service.ID)
}

// recordAnswer records what an engine said of itself in an answer.
func (g *Gateway) recordAnswer(id serving.EngineID, a *serving.Answer) {
	if a.Status == http.StatusMisdirectedRequest {
		// Another engine answered.
		return
	}
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	now := g.Clock.Now()
	if a.HasLoad {
		g.board.pool.SetLoad(now, id, a.Load)
	}
	if a.Pause > 0 {
		pausesAsked.Add(1)
		g.board.pool.Pause(now, id, a.Pause)
	}
	if a.Leaving && g.board.pool.SetLeaving(id) {
		klog.InfoS("Engine says that it leaves", "engine", id, "streams", len(g.board.streams[id]))
		g.moveStreams(id)
	}
	switch {
	case a.LimitUnreadable:
		limitsUnreadable.Add(1)
	case g.board.pool.SetLimit(now, id, a.Limit, a.HasLimit):
		limitsChanged.Add(1)
		if now-g.board.limitLogged >= limitLogInterval {
			g.board.limitLogged = now
			klog.InfoS("Engine limit changed", "engine", id, "limited", a.HasLimit, "per_second", a.Limit)
		}
	}
}

// limitLogInterval bounds the log lines for engines that change their limit often.
const limitLogInterval = 200 * time.Millisecond

// setHeader sets the header of the caller's response from an engine's answer.
func (j *job) setHeader(h http.Header) {
	out := j.w.Header()
	closing := out.Get("Connection")
	for name, values := range j.g.Dialect.CallerHeader(h) {
		out[name] = values
	}
	if closing != "" {
		out.Set("Connection", closing)
	}
	if _, ok := out["Content-Type"]; !ok {
		// Prevents net/http from detecting a content type.
		out["Content-Type"] = nil
	}
}
