package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
	"turmericdrum.org/turmericdrum/pkg/serving/machine"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
	"turmericdrum.org/turmericdrum/pkg/serving/relocation"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// streamWaitFraction is the fraction of the route's latency objective that a stream
	// waits for an engine with room. The rest of the objective is for the prefill.
	streamWaitFraction = 0.55
	// growthHorizon is the number of tokens ahead for which memory is reserved. They
	// take about two seconds, in which a quarter of the generations on current routes
	// end.
	growthHorizon = 256
	// flushBytes is the size at which a batch of events is written to the caller even
	// if more events are buffered.
	flushBytes = 16 << 10
	// freeBatch is the part of a batch that doesn't count as held.
	freeBatch = 2 << 10
)

// riskyFrom is the risk of being late from which a stream counts in streamsAtRisk.
const riskyFrom = 0.25

// relay forwards the events of one generation to a caller.
type relay struct {
	*job
	exchange *upstream.Exchange
	// sentAt is when the call was sent to the engine that began the stream.
	sentAt time.Duration
	// useBefore is the load at the engine before the call was added.
	useBefore usage.Use
	// fitting and full count the engines with and without room when the engine was
	// chosen.
	fitting, full int
	outcome       placement.Outcome

	mu           sync.Mutex
	ticket       *placement.Ticket
	lastEventID  string
	events       int64
	firstEventAt time.Duration
	lastEventAt  time.Duration
	move         *move
	// stays holds what is known of the generation at the engines that had it.
	stays     map[serving.EngineID]*relocation.Stay
	ended     bool
	moveCount int
	// pacedEvents and pacedAt are the number of events and the time up to which the pace of
	// the engine was recorded; 0 before the first event at this engine.
	pacedEvents int64
	pacedAt     time.Duration
	// steppedEvents and steppedAt are the same for the steps of the engine.
	steppedEvents int64
	steppedAt     time.Duration
	// longestPause is the longest pause between two events.
	longestPause time.Duration
	// estimate is what was expected of the engine when it was chosen.
	estimate machine.Estimate
	lateRisk float64
	// unfinished is the number of bytes after the last event when the engine's answer
	// ended.
	unfinished int
}

// serveStream serves a call that is answered by a stream of events.
func (j *job) serveStream() {
	j.recordCall()
	r := &relay{job: j}
	r.observeHint()
	if !r.sendToEngine() {
		return
	}
	defer r.finish()
	r.forwardStream()
}

// sendToEngine sends the call to one engine after another until one answers with a
// stream. It returns false if none does; the call has then been answered.
func (r *relay) sendToEngine() bool {
	for {
		need := r.need()
		ticket := r.placeInRollout(need, len(r.tried) > 0)
		if ticket == nil {
			var err error
			if ticket, err = r.g.placeGeneration(r.ctx, need, r.Rank(), r.accountID(), r.Regions, r.streamWait()); err != nil {
				r.refuse(err)
				return false
			}
		}
		if err := r.checkBlocked(); err != nil {
			// The call was blocked while it waited for an engine.
			r.g.endTicket(ticket, placement.Abandoned, 0)
			r.refuse(err)
			return false
		}
		r.engine, r.sentAt, r.useBefore = ticket.Engine, r.g.Clock.Now(), ticket.Before()
		r.fitting, r.full, r.estimate, r.lateRisk = ticket.Fitting, ticket.Full, ticket.Estimate, ticket.LateRisk
		if r.lateRisk >= riskyFrom {
			streamsAtRisk.Add(1)
		}
		r.attach(ticket)
		r.g.board.mu.Lock()
		r.beginAttempt(ticket, len(r.tried) > 0)
		r.g.board.mu.Unlock()
		x, err := r.g.upstream.Send(r.ctx, r.engineRequest(ticket, nil, upstream.SafeIdleTime))
		if err == nil && x.Status == http.StatusOK && x.Signed && !x.Encoded && !x.NotRun {
			r.exchange = x
			r.g.recordAnswer(ticket.Engine, &x.Answer)
			return true
		}
		r.cancelMove()
		r.detach()
		r.held.end()
		result := r.readFailedStart(ticket, x, err)
		r.tried = append(r.tried, ticket.Engine)
		if !result.notRun || !r.mayRetry(result.reached) {
			r.answer(result, nil)
			return false
		}
		r.log("Call retried", "not_run", result.notRun, "err", result.err)
	}
}

// readFailedStart returns the result of an attempt that started no stream, and ends its
// ticket. x is the engine's answer if err, the error of the send, is nil.
func (r *relay) readFailedStart(t *placement.Ticket, x *upstream.Exchange, err error) attemptResult {
	if err != nil {
		r.logMalformed(err)
		e := serving.AsError(err)
		outcome := sendFailureOutcome(r.ctx, e)
		r.endAttempt(outcome, rollout.Times{})
		r.g.endTicket(t, outcome, 0)
		if r.ctx.Err() == nil && outcome == placement.Broken {
			r.recordLost(t, err)
		}
		return attemptResult{err: err, notRun: e.Ran == serving.NotRun, reached: e.Ran != serving.NotRun}
	}
	res := r.readAnswer(x, t)
	r.recordStatements(t, &res)
	r.endAttempt(res.engineOutcome(r.ctx), rollout.Times{})
	r.g.endTicket(t, res.engineOutcome(r.ctx), 0)
	return res
}

// observeHint adds the caller's length hint to the length estimate of the route.
func (r *relay) observeHint() {
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	r.g.board.lengths.Observe(r.Route.Name, r.LengthHint, r.MaxTokens)
}

// need returns the requirements of the generation.
func (r *relay) need() *placement.Need {
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	n := &placement.Need{Service: r.Service, Allows: r.Allows, Prompt: r.PromptTokens, Output: r.growth(0), Length: r.expectedOutput(0),
		Parts: r.Parts, Exclude: r.tried, MaxPause: r.Route.MaxPause}
	if r.Route.Objective > 0 {
		n.FirstEventBy = r.arrivedAt + r.Route.Objective
	}
	return n
}

// streamWait returns how long the call waits for an engine with room.
func (r *relay) streamWait() time.Duration {
	waited := r.g.Clock.Now() - r.arrivedAt
	return min(time.Duration(streamWaitFraction*float64(r.Route.Objective))-waited, r.timeLeft())
}

// expectedOutput estimates the length of the complete answer, given the number of
// tokens generated so far. The caller holds mu of the blackboard.
func (r *relay) expectedOutput(generated serving.Tokens) serving.Tokens {
	return r.g.board.lengths.Estimate(r.Route.Name, r.LengthHint, r.MaxTokens, generated)
}

// growth estimates by how many tokens the generation grows within growthHorizon.
// Other generations end in that time and free their memory. Reserving memory for the
// final lengths of all generations would therefore leave much of an engine's memory
// unused. The caller holds mu of the blackboard.
func (r *relay) growth(generated serving.Tokens) serving.Tokens {
	return min(max(0, r.expectedOutput(generated)-generated), growthHorizon)
}

// attach sets the ticket and adds the relay to the streams at the ticket's engine.
func (r *relay) attach(t *placement.Ticket) {
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	r.mu.Lock()
	r.ticket = t
	r.mu.Unlock()
	if r.g.board.streams[t.Engine] == nil {
		r.g.board.streams[t.Engine] = map[*relay]bool{}
	}
	r.g.board.streams[t.Engine][r] = true
	if target, ok := r.g.board.pool.Lookup(t.Engine); ok && target.Leaving {
		// The engine started to leave after it was chosen.
		r.g.startMove(r)
	}
}

// detach removes the relay from the streams at its engine.
func (r *relay) detach() {
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	delete(r.g.board.streams[r.ticket.Engine], r)
	if len(r.g.board.streams[r.ticket.Engine]) == 0 {
		delete(r.g.board.streams, r.ticket.Engine)
	}
}

// forwardStream forwards events to the caller until the stream ends. If the
// generation moves, it continues with the stream of the next engine. The header is written
// with the first events, so that a stream without any can still be answered with an error.
func (r *relay) forwardStream() {
	control := http.NewResponseController(r.w)
	for {
		err := r.forwardEvents(control)
		if err == nil {
			r.writeHeader()
			r.outcome = placement.OK
			return
		}
		r.logMalformed(err)
		if r.ctx.Err() != nil {
			r.outcome = placement.Abandoned
			r.abort(err)
			return
		}
		r.outcome = placement.Broken
		if !r.resumeAfterMove(err) {
			if r.moveCount == 0 && !hasBegun(r.events) {
				r.recordLost(r.ticket, err)
			}
			r.abort(err)
			return
		}
	}
}

// writeHeader writes the header of the caller's response if that wasn't done yet.
func (r *relay) writeHeader() {
	if r.headerWritten {
		return
	}
	r.setHeader(r.exchange.Header)
	r.headerWritten = true
	r.w.WriteHeader(http.StatusOK)
}

// abort ends a call whose stream ended early. Before the first event, it answers the call with
// an error. After that it aborts the caller's connection by a panic, so that the answer doesn't
// look complete.
func (r *relay) abort(err error) {
	if errors.Is(context.Cause(r.ctx), context.Canceled) {
		callersDisconnected.Add(1)
		r.log("Caller disconnected", "events", r.events, "moved", r.moveCount)
		panic(http.ErrAbortHandler)
	}
	if r.ctx.Err() != nil {
		err = context.Cause(r.ctx)
	}
	streamsLost.Add(1)
	r.log("Stream lost", "events", r.events, "moved", r.moveCount, "framing", r.exchange.Framing, "unfinished_bytes", r.unfinished,
		"since_last_event", r.sinceLastEvent(), "err", err)
	if r.headerWritten {
		panic(http.ErrAbortHandler)
	}
	r.refuse(r.asDeadlineError(serving.WrapError(err, serving.KindEngineFailed, "the stream ended before its first event").WithRan(serving.RanUnknown)))
}

// sinceLastEvent returns the time since the last event, 0 if there was none.
func (r *relay) sinceLastEvent() time.Duration {
	if r.events == 0 {
		return 0
	}
	return r.g.Clock.Now() - r.lastEventAt
}

// forwardEvents forwards the events of one engine's answer. It returns nil at the
// regular end of the stream.
func (r *relay) forwardEvents(control *http.ResponseController) error {
	events := upstream.NewEventReader(r.exchange.Body)
	arrivals := completion.NewArrivals(r.exchange.SentAt)
	arrivals.Observe(r.exchange.HeaderAt)
	events.MayHold = func(n int) bool { return r.held.extend(int64(n)) }
	var batch []byte
	for {
		waitedFrom := r.g.Clock.Now()
		event, err := events.Next()
		if err == nil {
			arrivals.Observe(r.g.Clock.Now())
			if r.recordEvent(event) {
				batch = append(batch, event...)
			}
			if events.Buffered() && len(batch) < flushBytes && r.mayBatch(len(batch)) {
				continue
			}
		} else {
			r.unfinished = len(event)
			if err = r.classifyEnd(err, event, waitedFrom, &arrivals); errors.Is(err, io.EOF) {
				batch = append(batch, event...)
			}
		}
		if len(batch) > 0 {
			r.writeHeader()
			if _, err := r.w.Write(batch); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
			if batch = batch[:0]; cap(batch) > flushBytes {
				// The room for a long event is not kept for the rest of the stream.
				batch = nil
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// mayBatch reports whether n bytes of events may be held until more events are read.
func (r *relay) mayBatch(n int) bool { return n <= freeBatch || r.held.extend(int64(n)) }

// classifyEnd distinguishes the end of a complete answer from its truncation, which is
// io.ErrUnexpectedEOF. rest holds the bytes after the last event, waitedFrom is when the
// relay began to wait for the next one, and arrivals has the events before.
func (r *relay) classifyEnd(err error, rest []byte, waitedFrom time.Duration, arrivals *completion.Arrivals) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	end := completion.Ending{Framed: r.exchange.Framing != upstream.EndsWithConnection, Empty: r.events == 0 && len(rest) == 0,
		Partial: isEventStream(r.exchange.Header) && completion.InsideEvent(rest), Pause: r.g.Clock.Now() - waitedFrom, Busy: waitedFrom - r.lastEventAt}
	end.Resumed, end.SinceResumed = arrivals.End(r.g.Clock.Now())
	if end.Assess() == completion.Undecided {
		end.Stopped = r.stoppedForMove()
	}
	if r.assess(r.exchange, r.ticket, end) != completion.Complete {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isEventStream reports whether the body of an answer is a series of events.
func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType == "" || strings.EqualFold(mediaType, "text/event-stream")
}

// stoppedForMove reports whether the engine stopped the generation for its move, or may
// have. It waits for the answer to an order to stop it.
func (r *relay) stoppedForMove() bool {
	r.mu.Lock()
	m, may := r.move, r.stay(r.ticket.Engine).MayHaveStopped()
	r.mu.Unlock()
	if m == nil || !may {
		return may
	}
	// Further orders would say nothing of a stream that has ended.
	m.cancel()
	select {
	case <-m.done:
	case <-r.ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stay(r.ticket.Engine).MayHaveStopped()
}

// recordEvent updates the relay and the ticket for an event. It returns false if the
// caller has already received the event.
func (r *relay) recordEvent(event []byte) bool {
	now := r.g.Clock.Now()
	id := r.g.Dialect.EventID(event)
	r.mu.Lock()
	if id != "" && r.lastEventID != "" && !isLaterEvent(id, r.lastEventID) {
		r.mu.Unlock()
		eventsDropped.Add(1)
		return false
	}
	if id != "" {
		r.lastEventID = id
	}
	r.events++
	first := r.lastEventAt == 0
	if first {
		r.firstEventAt = now
		firstEventTimes.observe(now - r.arrivedAt)
	} else {
		eventPauses.observe(now - r.lastEventAt)
		r.longestPause = max(r.longestPause, now-r.lastEventAt)
	}
	late := r.isLate()
	r.lastEventAt = now
	r.mu.Unlock()
	perEvent := r.tokensPerEvent()
	generated := serving.Tokens(r.events) * perEvent
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	if first {
		r.ticket.FirstEvent()
		r.record.firstEvent(now - r.sentAt)
	}
	if r.events == quarantine.SoundEvents {
		r.recordSound()
	}
	r.recordPace(now, perEvent)
	r.recordSteps(now, perEvent, stepsEvery)
	if late {
		r.ticket.Late()
	}
	r.ticket.Progress(perEvent, r.PromptTokens+generated+r.growth(generated))
	return true
}

// pacedEvery is the number of events after which the pace of an engine is recorded.
const pacedEvery = 8

// recordPace records how long the engine took for the last events. The caller holds mu of
// the blackboard.
func (r *relay) recordPace(now time.Duration, perEvent serving.Tokens) {
	if r.pacedAt == 0 {
		r.pacedEvents, r.pacedAt = r.events, now
		return
	}
	if n := r.events - r.pacedEvents; n >= pacedEvery {
		r.g.board.pool.RecordPace(now, r.ticket.Engine, serving.Tokens(n)*perEvent, now-r.pacedAt)
		r.pacedEvents, r.pacedAt = r.events, now
	}
}

const (
	// stepsEvery is the number of events after which the steps of an engine are recorded. A
	// single pause says little, because events may be held back on their way.
	stepsEvery = 4
	// minSteps is the same at the end of a stream. Without the short streams, the speed of
	// engines that get no long ones would be unknown.
	minSteps = 2
)

// recordSteps records how long the engine took for the last events if they are at least
// least. The caller holds mu of the blackboard.
func (r *relay) recordSteps(now time.Duration, perEvent serving.Tokens, least int64) {
	if r.steppedAt == 0 {
		r.steppedEvents, r.steppedAt = r.events, now
		return
	}
	if n := r.events - r.steppedEvents; n >= least {
		r.g.board.pool.RecordSteps(now, r.ticket.Engine, n, perEvent, now-r.steppedAt)
		r.steppedEvents, r.steppedAt = r.events, now
	}
}

// isLate reports whether the first event or a later one came too late for the caller. The
// caller holds mu.
func (r *relay) isLate() bool {
	return r.Route.Objective > 0 && r.firstEventAt-r.arrivedAt > r.Route.Objective || r.Route.MaxPause > 0 && r.longestPause > r.Route.MaxPause
}

func (r *relay) tokensPerEvent() serving.Tokens {
	if m := r.Service.Model; m != nil && m.TokensPerEvent > 0 {
		return m.TokensPerEvent
	}
	return 1
}

// isLaterEvent reports whether event id is greater than last. Ids are normally
// numbers; other ids are only compared for inequality.
func isLaterEvent(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}

// finish cancels the stream's move, closes its exchange and ends its ticket.
func (r *relay) finish() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.cancelMove()
	r.detach()
	if r.outcome == placement.OK && r.events > 0 {
		r.g.board.mu.Lock()
		r.recordSteps(r.lastEventAt, r.tokensPerEvent(), minSteps)
		r.g.board.mu.Unlock()
	}
	r.exchange.Close(r.outcome == placement.OK)
	r.endAttempt(r.outcome, rollout.Times{Token: r.tokenTime()})
	r.g.endTicket(r.ticket, r.outcome, r.tokenTime())
	r.g.board.mu.Lock()
	r.observeStream()
	r.g.board.mu.Unlock()
	if r.outcome == placement.OK {
		if r.events > 0 && !hasBegun(r.events) {
			r.g.board.mu.Lock()
			r.recordSound()
			r.g.board.mu.Unlock()
		}
		answered.Add("stream", 1)
		answerTimes.observe(r.g.Clock.Now() - r.arrivedAt)
		if r.Route.MaxPause > 0 {
			streamsByPace.Add(r.paceResult(), 1)
		}
		r.log("Stream answered", "events", r.events, "moved", r.moveCount, "framing", r.exchange.Framing, "waited", r.sentAt-r.arrivedAt,
			"first", r.firstEventAt-r.sentAt, "prompt", r.PromptTokens, "hint", r.LengthHint, "most", r.MaxTokens, "prefill_before", r.useBefore.Prefill, "running_before", r.useBefore.Running, "expected_before", r.useBefore.Expected, "fitting", r.fitting, "full", r.full,
			"engine_at_end", r.ticket.Engine, "longest_pause", r.longestPause, "pace", r.paceResult(), "expected_first", r.estimate.FirstEvent, "expected_first_bad", r.estimate.FirstEventBad,
			"expected_pause", r.estimate.Pause, "expected_pause_bad", r.estimate.PauseBad, "late_risk", r.lateRisk, "paced_before", r.useBefore.Paced)
	}
}

// paceResult returns whether the stream was on time, and if not, what was late first.
func (r *relay) paceResult() string {
	switch {
	case !r.isLate():
		return "on_time"
	case r.Route.Objective > 0 && r.firstEventAt-r.arrivedAt > r.Route.Objective:
		return "first_event_late"
	}
	return "pause_late"
}

// tokenTime returns the time per token after the first event, or 0 if the stream had
// fewer than 10 events or was moved.
func (r *relay) tokenTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokenTimeLocked()
}

// tokenTimeLocked is tokenTime for a caller that holds mu of the relay.
func (r *relay) tokenTimeLocked() time.Duration {
	const minEvents = 10
	if r.events < minEvents || r.moveCount > 0 {
		return 0
	}
	return (r.lastEventAt - r.firstEventAt) / time.Duration((r.events-1)*int64(r.tokensPerEvent()))
}
