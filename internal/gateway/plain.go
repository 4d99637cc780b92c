package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
)

const (
	// maxHeld is the size up to which an answer is read whole before the caller
	// gets any of it, so that an engine that breaks off can be replaced.
	maxHeld = 512 << 10
	// idempotentRest is how long a connection may have rested for a call that may
	// run again: a broken one costs only another attempt.
	idempotentRest = 5 * time.Second
	// hedgeObjective is the multiple of the objective after which an engine that has
	// not answered a call that may run again is given up for another one.
	hedgeObjective = 1.5
	// minHedge is the least of that time.
	minHedge = 300 * time.Millisecond
	// plainPatience is the part of the objective for which a call waits for room.
	plainPatience = 1.0
)

// outcome is what came of one attempt at an engine.
type outcome struct {
	exchange *upstream.Exchange
	body     []byte
	// rest is what was not read of a long answer.
	rest io.Reader
	err  error
	// notRun tells that the engine did not run the call; reached that it arrived there.
	notRun, reached bool
}

// plain serves a call whose answer is one message.
func (j *job) plain() {
	j.countCall()
	attempts := 1
	if j.Route.Kind == serving.KindIdempotentRoute {
		attempts = max(1, j.Route.MaxAttempts)
	}
	var last outcome
	for {
		need := &placement.Need{Service: j.Service, Allows: j.Allows, Exclude: j.tried}
		ticket, err := j.g.place(j.ctx, need, j.Rank(), j.plainWait())
		if err != nil {
			j.settle(last, err)
			return
		}
		last.drop()
		last = j.try(ticket, attempts)
		j.tried = append(j.tried, ticket.Engine)
		if last.err == nil && !last.notRun && last.exchange.Status < http.StatusInternalServerError {
			break
		}
		if !last.notRun {
			j.ran++
		}
		if j.ran >= attempts || !j.mayRepeat(last.reached) {
			break
		}
		j.log("Call is sent again", "not_run", last.notRun, "err", last.err, "ran", j.ran)
	}
	j.settle(last, nil)
}

// plainWait is how long the call waits for an engine with room.
func (j *job) plainWait() time.Duration {
	wait := time.Duration(plainPatience * float64(j.Route.Objective))
	return min(wait, j.timeLeft()-j.Route.Objective/2)
}

// try sends the call to one engine and reads the answer.
func (j *job) try(t *placement.Ticket, attempts int) outcome {
	j.engine = t.Engine
	ctx, rest := j.ctx, upstream.SafeIdle
	if j.Route.Kind == serving.KindIdempotentRoute {
		rest = idempotentRest
		if j.ran+1 < attempts {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, max(minHedge, time.Duration(hedgeObjective*float64(j.Route.Objective))))
			defer cancel()
		}
	}
	start := j.g.Clock.Now()
	x, err := j.g.upstream.Send(ctx, j.request(t, nil, rest))
	if err != nil {
		e := serving.AsError(err)
		j.g.end(t, brokenOutcome(j.ctx, e), 0)
		return outcome{err: err, notRun: e.Ran == serving.NotRun, reached: e.Ran != serving.NotRun}
	}
	o := readAnswer(x)
	j.g.learn(t.Engine, &x.Answer)
	j.g.end(t, o.judge(j.ctx), j.g.Clock.Now()-start)
	return o
}

// brokenOutcome tells what a failed send says of the engine.
func brokenOutcome(ctx context.Context, e *serving.Error) placement.Outcome {
	switch {
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		return placement.Abandoned
	case e.Ran == serving.NotRun:
		return placement.Unreachable
	default:
		return placement.Broken
	}
}

// request returns the call as it is sent to an engine.
func (j *job) request(t *placement.Ticket, a *serving.Attempt, rest time.Duration) upstream.Request {
	if a == nil {
		a = &serving.Attempt{}
	}
	a.Engine, a.TimeLeft = t.Engine, j.timeLeft()
	a.Account = j.accountID()
	return upstream.Request{Address: t.Address, Method: j.Method, Target: j.Target, Host: j.Host,
		Header: j.g.Dialect.EngineHeader(j.Call, a), Body: j.Body, ID: j.ID, MaxRest: rest, KeepIdle: t.KeepIdle}
}

// readAnswer reads an answer as far as it is held back.
func readAnswer(x *upstream.Exchange) outcome {
	o := outcome{exchange: x, reached: true, notRun: x.NotRun}
	var b bytes.Buffer
	n, err := io.CopyN(&b, x.Body, maxHeld)
	o.body = b.Bytes()
	switch {
	case err == nil && n == maxHeld:
		o.rest = x.Body
	case !errors.Is(err, io.EOF):
		o.err = serving.WrapError(err, serving.KindEngineFailed, "the engine broke off its answer").WithRan(serving.DidRun)
		x.Close(false)
	case x.Status/100 == 2 && (!x.Signed || x.Encoded):
		o.err = serving.NewError(serving.KindEngineFailed, "the engine's answer is not signed").WithRan(serving.DidRun)
		x.Close(false)
	default:
		x.Close(!o.notRun)
	}
	return o
}

// judge tells what an answer says of the engine.
func (o *outcome) judge(ctx context.Context) placement.Outcome {
	switch {
	case o.err != nil && ctx.Err() != nil:
		return placement.Abandoned
	case o.err != nil:
		return placement.Broken
	case o.notRun:
		return placement.Refused
	case o.exchange.Status >= http.StatusInternalServerError:
		return placement.Failed
	}
	return placement.OK
}

// drop gives up an answer that is not passed on.
func (o *outcome) drop() {
	if o.exchange != nil && o.rest != nil {
		o.exchange.Close(false)
		o.rest = nil
	}
}

// settle gives the caller the last answer, or an error in its place.
func (j *job) settle(o outcome, refusal error) {
	switch {
	case o.exchange != nil && o.err == nil && !o.notRun && !promises(o.exchange.Status):
		j.deliver(o)
	case o.exchange != nil && o.err == nil && !o.notRun:
		// Without the engine's word such a status would promise that nothing ran.
		j.refuse(serving.NewError(serving.KindEngineFailed, "the engine answered "+strconv.Itoa(o.exchange.Status)+" without saying that the call did not run").WithRan(serving.RanUnknown))
	case o.err != nil && !o.notRun:
		j.refuse(j.overdue(o.err))
	case j.ran > 0:
		j.refuse(serving.NewError(serving.KindEngineFailed, "no engine answered").WithRan(serving.RanUnknown))
	case refusal != nil:
		j.refuse(refusal)
	default:
		j.refuse(serving.NewError(serving.KindOverloaded, "the engines did not take the call").WithRetryAfter(retrySoon))
	}
}

// retrySoon is the Retry-After of a call that a single engine refused.
const retrySoon = 300 * time.Millisecond

// overdue turns the error of a call whose time is over into one that says so.
func (j *job) overdue(err error) error {
	if j.timeLeft() > 0 {
		return err
	}
	return serving.WrapError(err, serving.KindDeadline, "the time of the call is over").WithRan(serving.AsError(err).Ran)
}

// promises tells whether a status says by itself that the call did not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// deliver passes an engine's answer on to the caller.
func (j *job) deliver(o outcome) {
	j.header(o.exchange.Header)
	if o.rest == nil && j.Method != http.MethodHead {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(o.body)))
	}
	j.wrote = true
	j.w.WriteHeader(o.exchange.Status)
	_, err := j.w.Write(o.body)
	if err == nil && o.rest != nil {
		_, err = io.Copy(j.w, o.rest)
		o.exchange.Close(err == nil)
	}
	answered.Add(strconv.Itoa(o.exchange.Status), 1)
	answerTimes.observe(j.g.Clock.Now() - j.arrived)
	j.log("Call answered", "status", o.exchange.Status, "bytes", len(o.body), "reused", o.exchange.Reused, "err", err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
