package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// streamPatience is the part of the objective for which a stream waits for room;
	// what is left must suffice to read its prompt.
	streamPatience = 0.55
	// growthHorizon is the number of tokens ahead for which memory is kept: about two
	// seconds, in which a quarter of the generations of today's routes end.
	growthHorizon = 256
	// flushBytes bounds the events that go to the caller in one write.
	flushBytes = 16 << 10
)

// run is one generation whose events are passed on to a caller.
type run struct {
	*job
	exchange *upstream.Exchange
	// started is when the call was sent to the engine.
	started time.Duration
	// before is the known work at the engine when it was chosen.
	before usage.Use
	// fitting and full count the engines with and without room then.
	fitting, full int
	outcome       placement.Outcome

	mu      sync.Mutex
	ticket  *placement.Ticket
	lastID  string
	events  int64
	firstAt time.Duration
	lastAt  time.Duration
	move    *move
	ended   bool
	moved   int
}

// stream serves a call that is answered by a stream of events.
func (j *job) stream() {
	j.countCall()
	r := &run{job: j}
	r.observeHint()
	if !r.start() {
		return
	}
	defer r.finish()
	r.relay()
}

// start sends the call to an engine until one begins to answer with a stream.
func (r *run) start() bool {
	for {
		ticket, err := r.g.placeGeneration(r.ctx, r.need(), r.Rank(), r.accountID(), r.Regions, r.patience())
		if err != nil {
			r.refuse(err)
			return false
		}
		r.engine, r.started, r.before = ticket.Engine, r.g.Clock.Now(), ticket.Before()
		r.fitting, r.full = ticket.Fitting, ticket.Full
		r.adopt(ticket)
		x, err := r.g.upstream.Send(r.ctx, r.request(ticket, nil, upstream.SafeIdle))
		if err == nil && x.Status == http.StatusOK && x.Signed && !x.Encoded && !x.NotRun {
			r.exchange = x
			r.g.learn(ticket.Engine, &x.Answer)
			return true
		}
		r.abandonMove()
		r.release()
		o := r.failedStart(ticket, x, err)
		r.tried = append(r.tried, ticket.Engine)
		if !o.notRun || !r.mayRepeat(o.reached) {
			r.settle(o, nil)
			return false
		}
		r.log("Call is sent again", "not_run", o.notRun, "err", o.err)
	}
}

// failedStart reads an answer that is no stream, and ends the ticket.
func (r *run) failedStart(t *placement.Ticket, x *upstream.Exchange, err error) outcome {
	if err != nil {
		e := serving.AsError(err)
		r.g.end(t, brokenOutcome(r.ctx, e), 0)
		return outcome{err: err, notRun: e.Ran == serving.NotRun, reached: e.Ran != serving.NotRun}
	}
	o := readAnswer(x)
	r.g.learn(t.Engine, &x.Answer)
	r.g.end(t, o.judge(r.ctx), 0)
	return o
}

func (r *run) observeHint() {
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	r.g.board.lengths.Observe(r.Route.Name, r.LengthHint, r.MaxTokens)
}

// need is what the generation needs of an engine.
func (r *run) need() *placement.Need {
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	return &placement.Need{Service: r.Service, Allows: r.Allows, Prompt: r.PromptTokens, Output: r.growth(0),
		Parts: r.Parts, Exclude: r.tried}
}

// patience is how long the call waits for room.
func (r *run) patience() time.Duration {
	waited := r.g.Clock.Now() - r.arrived
	return min(time.Duration(streamPatience*float64(r.Route.Objective))-waited, r.timeLeft())
}

// expectedOutput estimates the tokens of the whole answer when made tokens of it
// exist. The caller holds mu of the blackboard.
func (r *run) expectedOutput(made serving.Tokens) serving.Tokens {
	return r.g.board.lengths.Estimate(r.Route.Name, r.LengthHint, r.MaxTokens, made)
}

// growth estimates how much memory the generation still takes in the near
// future. Others end in this time and free theirs, so that the sum of all final
// lengths would leave much of an engine's memory unused. The caller holds mu of
// the blackboard.
func (r *run) growth(made serving.Tokens) serving.Tokens {
	return min(max(0, r.expectedOutput(made)-made), growthHorizon)
}

// adopt makes the run one of those at the ticket's engine.
func (r *run) adopt(t *placement.Ticket) {
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	r.mu.Lock()
	r.ticket = t
	r.mu.Unlock()
	if r.g.board.runs[t.Engine] == nil {
		r.g.board.runs[t.Engine] = map[*run]bool{}
	}
	r.g.board.runs[t.Engine][r] = true
	if now, ok := r.g.board.pool.Lookup(t.Engine); ok && now.Leaving {
		// The engine began to leave after it was chosen.
		r.g.moveRun(r)
	}
}

// release takes the run off its engine's list.
func (r *run) release() {
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	delete(r.g.board.runs[r.ticket.Engine], r)
	if len(r.g.board.runs[r.ticket.Engine]) == 0 {
		delete(r.g.board.runs, r.ticket.Engine)
	}
}

// relay passes events on until the stream has ended, moving on with the
// generation when it changes its engine.
func (r *run) relay() {
	r.header(r.exchange.Header)
	r.wrote = true
	r.w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(r.w)
	for {
		err := r.relayOne(control)
		if err == nil {
			r.outcome = placement.OK
			return
		}
		if r.ctx.Err() != nil {
			r.outcome = placement.Abandoned
			r.broken(err)
		}
		r.outcome = placement.Broken
		if !r.follow(err) {
			r.broken(err)
		}
	}
}

// broken ends the caller's connection, so that the answer doesn't look whole.
func (r *run) broken(err error) {
	if errors.Is(context.Cause(r.ctx), context.Canceled) {
		callersLeft.Add(1)
		r.log("Caller left", "events", r.events, "moved", r.moved)
	} else {
		streamsLost.Add(1)
		r.log("Stream lost", "events", r.events, "moved", r.moved, "err", err)
	}
	panic(http.ErrAbortHandler)
}

// relayOne passes on the events of one engine's answer. It returns nil at the
// proper end of the stream.
func (r *run) relayOne(control *http.ResponseController) error {
	events := upstream.NewEventReader(r.exchange.Body)
	var batch []byte
	for {
		event, err := events.Next()
		if err == nil {
			if r.take(event) {
				batch = append(batch, event...)
			}
			if events.Buffered() && len(batch) < flushBytes {
				continue
			}
		} else if err = r.endOf(err); errors.Is(err, io.EOF) {
			batch = append(batch, event...)
		}
		if len(batch) > 0 {
			if _, err := r.w.Write(batch); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
			batch = batch[:0]
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// endOf tells apart the end of an answer from the stop of its generation for a
// move, which look the same when the answer has no framing.
func (r *run) endOf(err error) error {
	if !errors.Is(err, io.EOF) || r.exchange.Framed {
		return err
	}
	r.mu.Lock()
	m := r.move
	ordered := m != nil && m.stopping
	r.mu.Unlock()
	if !ordered {
		return err
	}
	<-m.done
	if m.stopped {
		return io.ErrUnexpectedEOF
	}
	return err
}

// take notes an event; it returns false for one that the caller has already.
func (r *run) take(event []byte) bool {
	now := r.g.Clock.Now()
	id := r.g.Dialect.EventID(event)
	r.mu.Lock()
	if id != "" && r.lastID != "" && !after(id, r.lastID) {
		r.mu.Unlock()
		foreignEvents.Add(1)
		return false
	}
	if id != "" {
		r.lastID = id
	}
	r.events++
	first := r.lastAt == 0
	if first {
		r.firstAt = now
		firstTimes.observe(now - r.arrived)
	} else {
		pauseTimes.observe(now - r.lastAt)
	}
	r.lastAt = now
	r.mu.Unlock()
	perEvent := r.tokensPerEvent()
	made := serving.Tokens(r.events) * perEvent
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	if first {
		r.ticket.FirstEvent()
	}
	r.ticket.Progress(perEvent, r.PromptTokens+made+r.growth(made))
	return true
}

func (r *run) tokensPerEvent() serving.Tokens {
	if m := r.Service.Model; m != nil && m.TokensPerEvent > 0 {
		return m.TokensPerEvent
	}
	return 1
}

// after tells whether an event id is above another one; ids are numbers.
func after(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}

// finish ends the run's claims and its exchange.
func (r *run) finish() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.abandonMove()
	r.release()
	r.exchange.Close(r.outcome == placement.OK)
	r.g.end(r.ticket, r.outcome, r.pace())
	if r.outcome == placement.OK {
		answered.Add("stream", 1)
		answerTimes.observe(r.g.Clock.Now() - r.arrived)
		r.log("Stream answered", "events", r.events, "moved", r.moved, "waited", r.started-r.arrived,
			"first", r.firstAt-r.started, "prompt", r.PromptTokens, "hint", r.LengthHint, "most", r.MaxTokens, "prefill_before", r.before.Prefill, "running_before", r.before.Running, "expected_before", r.before.Expected, "fitting", r.fitting, "full", r.full)
	}
}

// pace returns the time for each token after the first event; 0 if the stream was
// short or changed its engine.
func (r *run) pace() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paceNow()
}

// paceNow is pace for a caller that holds mu.
func (r *run) paceNow() time.Duration {
	const enough = 10
	if r.events < enough || r.moved > 0 {
		return 0
	}
	return (r.lastAt - r.firstAt) / time.Duration((r.events-1)*int64(r.tokensPerEvent()))
}
