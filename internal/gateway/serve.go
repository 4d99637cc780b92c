package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

const (
	// maxBody bounds a body before its route is known; it is above the limits of
	// today's configurations.
	maxBody = 8 << 20
	// defaultPatience is assumed of a caller that doesn't tell how long it waits.
	defaultPatience = 30 * time.Second
)

// job is one caller's request in progress at this entry.
type job struct {
	g *Gateway
	w http.ResponseWriter
	*serving.Call
	*routing.Decision
	// arrived is when the request had been read; deadline is when the caller or the
	// route waits no longer.
	arrived, deadline time.Duration
	ctx               context.Context
	tried             []serving.EngineID
	// ran counts the engines that may have run the call.
	ran      int
	repeats  int
	revision uint64
	engine   serving.EngineID
	wrote    bool
}

// serve answers one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	inProgress.Add(1)
	defer inProgress.Add(-1)
	arrived := g.Clock.Now()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	body, err := readBody(w, r)
	if err != nil {
		g.Dialect.Refuse(w, nil, serving.AsError(err))
		return
	}
	call, err := g.Dialect.DecodeCall(r, body)
	if err != nil {
		g.Dialect.Refuse(w, nil, serving.AsError(err))
		return
	}
	j := &job{g: g, w: w, Call: call, arrived: arrived, ctx: r.Context()}
	if err := j.decide(); err != nil {
		j.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), j.deadline-arrived)
	defer cancel()
	j.ctx = ctx
	if j.Route.Kind == serving.KindStreamRoute {
		j.stream()
		return
	}
	j.plain()
}

// awaitView returns the view in force. A process that has just started waits a
// moment for its first one, which costs callers less than coming back.
func (g *Gateway) awaitView(ctx context.Context) *view {
	v := g.board.view.Load()
	for waited := time.Duration(0); v == nil && waited < viewWait; waited += viewPause {
		if !sleep(ctx, viewPause) {
			return nil
		}
		v = g.board.view.Load()
	}
	return v
}

const (
	// viewWait is the usual time from the start of all processes to the first view.
	viewWait = time.Second
	// viewPause is the pause between two looks for it.
	viewPause = 20 * time.Millisecond
	// viewRetry is the Retry-After of a call that found no view.
	viewRetry = 500 * time.Millisecond
)

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, serving.NewError(serving.KindTooLarge, "the body is larger than the limit")
	case err != nil:
		return nil, serving.WrapError(err, serving.KindInvalid, "read the body")
	}
	return b, nil
}

// decide finds the route of the call and how long it may take.
func (j *job) decide() error {
	v := j.g.awaitView(j.ctx)
	if v == nil {
		return serving.NewError(serving.KindViewExpired, "no configuration is known yet").WithRetryAfter(viewRetry)
	}
	j.revision = v.revision
	d, err := v.table.Decide(j.Call, rand.Float64())
	if err != nil {
		return err
	}
	j.Decision = d
	patience := j.CallerTimeout
	if patience <= 0 {
		patience = defaultPatience
	}
	j.deadline = j.arrived + min(patience, d.Route.Timeout)
	return nil
}

// refuse answers the call with an error of this entry, unless the caller has gone.
func (j *job) refuse(err error) {
	e := serving.AsError(err)
	if j.ctx != nil && errors.Is(context.Cause(j.ctx), context.Canceled) {
		callersLeft.Add(1)
		j.log("Caller left", "kind", e.Kind)
		return
	}
	refused.Add(string(e.Kind), 1)
	j.log("Call refused", "kind", e.Kind, "ran", e.Ran, "retry_after", e.RetryAfter, "err", e.Message)
	if j.wrote {
		panic(http.ErrAbortHandler)
	}
	j.g.Dialect.Refuse(j.w, j.Call, e)
}

// log writes the line of a decision on this call.
func (j *job) log(message string, keysAndValues ...any) {
	route := ""
	if j.Decision != nil {
		route = j.Route.Name
	}
	all := append([]any{"request", j.ID, "route", route, "revision", j.revision, "engine", j.engine,
		"took", j.g.Clock.Now() - j.arrived, "repeats", j.repeats}, keysAndValues...)
	klog.InfoS(message, all...)
}

// accountID returns the call's client account, empty if it needs none.
func (j *job) accountID() serving.ClientAccountID {
	if j.Account == nil {
		return ""
	}
	return j.Account.ID
}

// timeLeft returns how long the call may still take.
func (j *job) timeLeft() time.Duration { return j.deadline - j.g.Clock.Now() }

// end ends a ticket and lets waiting calls take the room.
func (g *Gateway) end(t *placement.Ticket, o placement.Outcome, latency time.Duration) {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	now := g.Clock.Now()
	t.End(now, o, latency)
	g.board.serveLine(now)
}

// mayRepeat tells whether a call that did not run, or may run again, may be sent
// to one more engine, and counts it against the joint budget.
func (j *job) mayRepeat(arrivedThere bool) bool {
	if j.timeLeft() <= 0 || j.ctx.Err() != nil || j.repeats >= maxRepeats {
		return false
	}
	if arrivedThere {
		j.g.board.mu.Lock()
		ok := j.g.Retries.AllowRetry(j.g.Clock.Now(), j.Service.ID, j.g.board.pool.Entries())
		j.g.board.mu.Unlock()
		if !ok {
			return false
		}
	}
	j.repeats++
	repeated.Add(1)
	return true
}

// maxRepeats bounds the sends of one call after the first.
const maxRepeats = 3

// countCall counts the call's first send for the joint budget of repeats.
func (j *job) countCall() {
	j.g.board.mu.Lock()
	defer j.g.board.mu.Unlock()
	j.g.Retries.RecordCall(j.g.Clock.Now(), j.Service.ID)
}

// learn takes in what an answer tells of the engine's load.
func (g *Gateway) learn(id serving.EngineID, a *serving.Answer) {
	if !a.HasLoad {
		return
	}
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	g.board.pool.SetLoad(g.Clock.Now(), id, a.Load)
}

// header passes the fields of an engine's answer on to the caller.
func (j *job) header(h http.Header) {
	out := j.w.Header()
	closing := out.Get("Connection")
	for name, values := range j.g.Dialect.CallerHeader(h) {
		out[name] = values
	}
	if closing != "" {
		out.Set("Connection", closing)
	}
	if _, ok := out["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		out["Content-Type"] = nil
	}
}
