package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
)

const (
	// maxBufferedAnswer is the size in bytes up to which an answer is read completely
	// before any of it is forwarded, as long as the held answers of all calls allow it. If
	// the engine fails while sending a shorter answer, the call can still be retried at
	// another engine.
	maxBufferedAnswer = 512 << 10
	// idempotentMaxIdleTime is the maximum idle time of a connection for a call that
	// may run again. If the connection turns out to be closed, the call is retried.
	idempotentMaxIdleTime = 5 * time.Second
	// attemptTimeoutFactor times the route's latency objective is the timeout of one
	// attempt of a call that may run again. The call is then retried at another engine.
	attemptTimeoutFactor = 1.5
	// minAttemptTimeout is the lower bound of that timeout.
	minAttemptTimeout = 300 * time.Millisecond
	// plainWaitFraction is the fraction of the route's latency objective that a call
	// waits for an engine with room.
	plainWaitFraction = 1.0
)

// attemptResult is the result of sending a call to one engine.
type attemptResult struct {
	exchange *upstream.Exchange
	body     []byte
	// remainder is the unread part of an answer that is too long to be held.
	remainder io.Reader
	err       error
	// notRun means that the engine did not run the call, reached that the call may have
	// arrived at the engine, and brokenOff that the answer was truncated.
	notRun, reached, brokenOff bool
}

// servePlain serves a call whose answer is one message and not a stream.
func (j *job) servePlain() {
	j.recordCall()
	defer j.observeAnswer()
	maxAttempts := 1
	if j.Route.Kind == serving.KindIdempotentRoute {
		maxAttempts = max(1, j.Route.MaxAttempts)
	}
	var last attemptResult
	for {
		need := &placement.Need{Service: j.Service, Allows: j.Allows, Exclude: j.tried}
		ticket := j.placeInRollout(need, len(j.tried) > 0)
		if ticket == nil {
			var err error
			if ticket, err = j.g.place(j.ctx, need, j.Rank(), j.plainWait()); err != nil {
				j.answer(last, err)
				return
			}
		}
		if err := j.checkBlocked(); err != nil {
			// The call was blocked while it waited for an engine or was retried.
			j.g.endTicket(ticket, placement.Abandoned, 0)
			j.answer(last, err)
			return
		}
		last.discard()
		j.held.end()
		last = j.attempt(ticket, maxAttempts)
		j.tried = append(j.tried, ticket.Engine)
		if last.err == nil && !last.notRun && last.exchange.Status < http.StatusInternalServerError {
			break
		}
		if !last.notRun {
			j.possibleRuns++
		}
		if j.possibleRuns >= maxAttempts || j.crashes >= maxCrashes || !j.mayRetry(last.reached) {
			break
		}
		j.log("Call retried", "not_run", last.notRun, "err", last.err, "ran", j.possibleRuns)
	}
	j.answer(last, nil)
}

// plainWait returns how long the call waits for an engine with room.
func (j *job) plainWait() time.Duration {
	wait := time.Duration(plainWaitFraction * float64(j.Route.Objective))
	return min(wait, j.timeLeft()-j.Route.Objective/2)
}

// attempt sends the call to one engine and reads the answer.
func (j *job) attempt(t *placement.Ticket, maxAttempts int) attemptResult {
	j.engine = t.Engine
	ctx, maxIdleTime := j.ctx, upstream.SafeIdleTime
	if j.Route.Kind == serving.KindIdempotentRoute {
		maxIdleTime = idempotentMaxIdleTime
		if j.possibleRuns+1 < maxAttempts {
			// The timeout ends with the attempt. The rest of a long answer is read later, until
			// the deadline of the call.
			var abort context.CancelCauseFunc
			ctx, abort = context.WithCancelCause(ctx)
			t := time.AfterFunc(max(minAttemptTimeout, time.Duration(attemptTimeoutFactor*float64(j.Route.Objective))), func() { abort(context.DeadlineExceeded) })
			defer t.Stop()
		}
	}
	j.g.board.mu.Lock()
	j.beginAttempt(t, len(j.tried) > 0)
	j.g.board.mu.Unlock()
	start := j.g.Clock.Now()
	x, err := j.g.upstream.Send(ctx, j.engineRequest(t, nil, maxIdleTime))
	if err != nil {
		j.logMalformed(err)
		e := serving.AsError(err)
		outcome := sendFailureOutcome(j.ctx, e)
		j.endAttempt(outcome, rollout.Times{})
		j.g.endTicket(t, outcome, 0)
		if outcome == placement.Broken && ctx.Err() == nil {
			j.recordLost(t, err)
		}
		return attemptResult{err: err, notRun: e.Ran == serving.NotRun, reached: e.Ran != serving.NotRun}
	}
	res := j.readAnswer(x, t)
	j.recordStatements(t, &res)
	j.endAttempt(res.engineOutcome(j.ctx), rollout.Times{Whole: j.g.Clock.Now() - start})
	j.g.endTicket(t, res.engineOutcome(j.ctx), j.g.Clock.Now()-start)
	switch {
	case res.brokenOff && ctx.Err() == nil:
		j.recordLost(t, res.err)
	case res.err == nil && !res.notRun:
		j.g.board.mu.Lock()
		j.recordSound()
		j.g.board.mu.Unlock()
	}
	return res
}

// logMalformed logs a malformed answer of the engine that has the call. Other errors are ignored.
func (j *job) logMalformed(err error) {
	if answer.IsMalformed(err) {
		answersMalformed.Add(1)
		j.log("Malformed answer", "err", err)
	}
}

// recordStatements records what an engine said of itself in an answer that has been read.
func (j *job) recordStatements(t *placement.Ticket, res *attemptResult) {
	if !answer.IsMalformed(res.err) {
		j.g.recordAnswer(t.Engine, &res.exchange.Answer)
	}
}

// sendFailureOutcome returns the outcome to record in the engine's health for a failed
// send.
func sendFailureOutcome(ctx context.Context, e *serving.Error) placement.Outcome {
	switch {
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		return placement.Abandoned
	case e.Ran == serving.NotRun:
		return placement.Unreachable
	default:
		return placement.Broken
	}
}

// engineRequest returns the call as it is sent to an engine. a is nil unless the call
// resumes a moved generation.
func (j *job) engineRequest(t *placement.Ticket, a *serving.Attempt, maxIdleTime time.Duration) upstream.Request {
	if a == nil {
		a = &serving.Attempt{}
	}
	a.Engine, a.TimeLeft = t.Engine, j.timeLeft()
	a.Account = j.accountID()
	return upstream.Request{Address: t.Address, Method: j.Method, Target: j.Target, Host: j.Host,
		Header: j.g.Dialect.EngineHeader(j.Call, a), Body: j.Body, ID: j.ID, MaxIdleTime: maxIdleTime, MaxIdleConns: t.MaxIdleConns}
}

// readAnswer reads an answer up to maxBufferedAnswer bytes. An unread remainder is
// left in the result. The body of an answer that can't be forwarded isn't read.
func (j *job) readAnswer(x *upstream.Exchange, t *placement.Ticket) attemptResult {
	res := attemptResult{exchange: x, reached: true, notRun: x.NotRun}
	if x.Status/100 == 2 && (!x.Signed || x.Encoded) {
		answersUnsigned.Add(1)
		j.log("Answer not forwarded", "engine", t.Engine, "status", x.Status, "signed", x.Signed, "encoded", x.Encoded, "framing", x.Framing)
		res.err = serving.NewError(serving.KindEngineFailed, "the engine's answer is not signed").WithRan(serving.DidRun)
		x.Close(false)
		return res
	}
	body := upstream.NewVerifiedBody(x, func(end completion.Ending) completion.Verdict { return j.assess(x, t, end) })
	var err error
	res.body, err = j.held.read(body, -1, maxBufferedAnswer)
	switch {
	case err == nil:
		res.remainder = body
	case !errors.Is(err, io.EOF):
		// A malformed answer says nothing about the call, whatever its header states.
		res.brokenOff, res.notRun = true, res.notRun && !answer.IsMalformed(err)
		j.logMalformed(err)
		res.err = serving.WrapError(err, serving.KindEngineFailed, "the engine broke off its answer").WithRan(serving.DidRun)
		x.Close(false)
	default:
		x.Close(!res.notRun)
	}
	return res
}

// assess returns whether the answer of an engine is complete. It looks for the engine's
// process if that decides.
func (j *job) assess(x *upstream.Exchange, t *placement.Ticket, end completion.Ending) completion.Verdict {
	if end.Assess() == completion.Undecided {
		begin := j.g.Clock.Now()
		end.Process = x.CheckProcess(j.ctx)
		if end.Process == completion.Running && end.MayHaveRestarted() {
			end.Process = j.identifyProcess(t)
		}
		if j.g.restarted(t, end.MayHaveRestarted()) {
			end.Process = completion.Ended
		}
		processChecks.Add(string(end.Process), 1)
		j.log("Answer ended with its connection", "process", end.Process, "pause", end.Pause, "busy", end.Busy, "resumed", end.Resumed, "since_resumed", end.SinceResumed, "check_took", j.g.Clock.Now()-begin)
	}
	verdict := end.Assess()
	if verdict != completion.Complete {
		answersTruncated.Add(string(x.Framing), 1)
	}
	return verdict
}

// identifyProcess asks the process at the address of a ticket's engine who it is.
func (j *job) identifyProcess(t *placement.Ticket) completion.Process {
	process := completion.Unreachable
	for _, req := range j.g.Dialect.IdentityRequests(t.Engine, j.Service.HealthPath) {
		begin := j.g.Clock.Now()
		x, body, err := j.g.callEngine(j.ctx, t.Address, req, identityTimeout)
		if err != nil {
			j.log("Engine not identified", "engine", t.Engine, "target", req.Target, "took", j.g.Clock.Now()-begin, "err", err)
			continue
		}
		id := j.g.Dialect.DecodeIdentity(x.Status, x.Header, body)
		j.log("Engine identified", "engine", t.Engine, "target", req.Target, "status", x.Status, "is", id.Engine, "other", id.Other,
			"started", id.Started, "expected_started", t.Started, "took", j.g.Clock.Now()-begin)
		switch {
		case id.Other, id.Engine != "" && id.Engine != t.Engine, id.Started != 0 && t.Started != 0 && id.Started != t.Started:
			return completion.Ended
		case id.Started != 0 && t.Started != 0:
			return completion.Running
		case id.Engine != "":
			process = completion.Running
		}
	}
	return process
}

// identityTimeout bounds one request for the identity of an engine.
const identityTimeout = 500 * time.Millisecond

// restarted reports whether the engine of a ticket is known to have been started again
// since. If strict is set, the engine must also be known to run still.
func (g *Gateway) restarted(t *placement.Ticket, strict bool) bool {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	target, ok := g.board.pool.Lookup(t.Engine)
	return !ok && strict || ok && target.Started != t.Started && t.Started != 0
}

// engineOutcome returns the outcome to record in the engine's health for an answer.
func (res *attemptResult) engineOutcome(ctx context.Context) placement.Outcome {
	switch {
	case res.err != nil && ctx.Err() != nil:
		return placement.Abandoned
	case res.err != nil:
		return placement.Broken
	case res.notRun:
		return placement.Refused
	case res.exchange.Status >= http.StatusInternalServerError:
		return placement.Failed
	}
	return placement.OK
}

// discard closes the exchange of an answer that is not forwarded.
func (res *attemptResult) discard() {
	if res.exchange != nil && res.remainder != nil {
		res.exchange.Close(false)
		res.remainder = nil
	}
}

// answer sends the result of the last attempt to the caller, or an error if there is
// no usable answer. refusal is the reason why there was no further attempt, if any.
func (j *job) answer(res attemptResult, refusal error) {
	switch {
	case res.exchange != nil && res.err == nil && !res.notRun && !impliesNotRun(res.exchange.Status):
		j.forwardAnswer(res)
	case res.exchange != nil && res.err == nil && !res.notRun:
		// The caller would conclude from this status that the call did not run, but the
		// engine does not state so.
		j.refuse(serving.NewError(serving.KindEngineFailed, "the engine answered "+strconv.Itoa(res.exchange.Status)+" without saying that the call did not run").WithRan(serving.RanUnknown))
	case res.err != nil && !res.notRun:
		j.refuse(j.asDeadlineError(res.err))
	case j.possibleRuns > 0:
		j.refuse(serving.NewError(serving.KindEngineFailed, "no engine answered").WithRan(serving.RanUnknown))
	case refusal != nil:
		j.refuse(refusal)
	default:
		j.refuse(serving.NewError(serving.KindOverloaded, "the engines did not take the call").WithRetryAfter(refusedRetryAfter))
	}
}

// refusedRetryAfter is the Retry-After of a call that was refused by the engines it
// was sent to.
const refusedRetryAfter = 300 * time.Millisecond

// asDeadlineError returns a deadline error that wraps err if the call's deadline has
// passed, and err otherwise.
func (j *job) asDeadlineError(err error) error {
	if j.timeLeft() > 0 {
		return err
	}
	return serving.WrapError(err, serving.KindDeadline, "the time of the call is over").WithRan(serving.AsError(err).Ran)
}

// impliesNotRun reports whether a caller concludes from a status that the call did
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardAnswer forwards an engine's answer to the caller. It aborts the connection
// if the answer is incomplete.
func (j *job) forwardAnswer(res attemptResult) {
	j.setHeader(res.exchange.Header)
	if res.remainder == nil && j.Method != http.MethodHead {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	j.headerWritten = true
	j.w.WriteHeader(res.exchange.Status)
	_, err := j.w.Write(res.body)
	if err == nil && res.remainder != nil {
		_, err = io.Copy(j.w, res.remainder)
		j.logMalformed(err)
		res.exchange.Close(err == nil)
	}
	answered.Add(strconv.Itoa(res.exchange.Status), 1)
	answerTimes.observe(j.g.Clock.Now() - j.arrivedAt)
	j.log("Call answered", "status", res.exchange.Status, "framing", res.exchange.Framing, "bytes", len(res.body), "reused", res.exchange.Reused, "err", err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
