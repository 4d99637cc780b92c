package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/relocation"
)

const (
	// moveWaitTimeout bounds how long an interrupted stream waits for the first copy of its
	// memory. resumeTimeout bounds how long it waits if there is a copy: for the answer to an
	// order in progress and for evidence that its engine no longer works on it.
	moveWaitTimeout = 2 * time.Second
	resumeTimeout   = 5 * time.Second
	// maxUncheckedCopyAge is the age up to which a copy is used without a look at its engine.
	// It is shorter than the time for which an engine takes calls after its notice.
	maxUncheckedCopyAge = time.Second
	// resumeAnswerTimeout bounds the wait for an engine that is to resume a generation. It has the
	// memory, and begins at once.
	resumeAnswerTimeout = 2 * time.Second
	// maxResumeAttempts bounds how often each engine of a move is asked to resume the
	// generation.
	maxResumeAttempts = 3
)

// resumeAfterMove resumes a generation at the destination of its move after its stream
// was interrupted. It returns false if that is not possible.
func (r *relay) resumeAfterMove(cause error) bool {
	r.mu.Lock()
	m := r.move
	hasDest := m != nil && m.dest != nil
	if m != nil && !hasDest {
		m.interrupted = true
	}
	r.mu.Unlock()
	if m == nil {
		return false
	}
	if hasDest {
		// Stops further copies. A request that was already sent is awaited.
		m.cancel()
	}
	begin, wait := r.g.Clock.Now(), moveWaitTimeout
	if hasDest {
		wait = resumeTimeout
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-m.done:
	case <-t.C:
		// runMove returns after the stream has ended. cancelMove then frees its copy.
		r.log("Stream not resumed, a request of its move was not answered", "source", m.source.Engine, "copied", hasDest, "waited", wait, "cause", cause)
		return false
	case <-r.ctx.Done():
		return false
	}
	r.exchange.Close(false)
	if m.dest == nil {
		return false
	}
	dest := m.dest.Engine
	r.mu.Lock()
	r.stay(m.source.Engine).Interrupt()
	r.mu.Unlock()
	until := begin + resumeTimeout
	if !r.confirmEnded(m, m.source, m.dest.Target, until) {
		r.log("Stream not resumed, its engine could not be stopped", "source", m.source.Engine, "destination", dest, "waited", r.g.Clock.Now()-begin, "cause", cause)
		return false
	}
	evidence := r.evidence(m.source.Engine)
	stopped := evidence == relocation.Stopped
	x, err := r.resume(m, until)
	if err != nil {
		r.log("Move failed", "source", m.source.Engine, "destination", dest, "stopped", stopped, "evidence", evidence,
			"at_source", r.evidence(m.source.Engine), "at_destination", r.evidence(dest), "cause", cause, "err", err)
		return false
	}
	r.exchange = x
	r.moveCount++
	r.g.board.mu.Lock()
	r.mu.Lock()
	r.move = nil
	r.mu.Unlock()
	if target, ok := r.g.board.pool.Lookup(r.engine); ok && target.Leaving {
		// The generation was resumed at its source, or the destination is leaving too.
		r.g.startMove(r)
	}
	r.g.board.mu.Unlock()
	movePauses.observe(r.g.Clock.Now() - r.lastEventAt)
	r.log("Stream moved", "source", m.source.Engine, "pause", r.g.Clock.Now()-r.lastEventAt, "waited", r.g.Clock.Now()-begin, "events", r.events, "stopped", stopped, "evidence", evidence)
	return true
}

// resume resumes the generation at the destination of its move, or at the source if that stopped
// it and still has its memory. Neither is asked while the other one may work on it.
func (r *relay) resume(m *move, until time.Duration) (x *upstream.Exchange, err error) {
	for range maxResumeAttempts {
		if !r.destinationTakesCalls(m) {
			err = serving.NewError(serving.KindNoEngine, "engine "+string(m.dest.Engine)+" has begun to leave, or its data centre was taken out of service, since the copy was made")
		} else if x, err = r.resumeAtDestination(m, m.dest); err == nil {
			return x, nil
		} else if !r.confirmEnded(m, m.dest.Target, m.source, until) {
			return nil, err
		}
		if r.sourceCanResume(m) {
			if x, err = r.resumeAtSource(m); err == nil {
				return x, nil
			}
			if !r.confirmEnded(m, m.source, m.dest.Target, until) {
				return nil, err
			}
		}
		if r.g.Clock.Now() >= until || !sleep(r.ctx, moveRetryDelay) {
			break
		}
	}
	return nil, err
}

// destinationTakesCalls reports whether the destination of a move still takes calls. One that has
// begun to leave since a recent copy does for a while.
func (r *relay) destinationTakesCalls(m *move) bool {
	r.mu.Lock()
	age := r.g.Clock.Now() - m.copiedAt
	r.mu.Unlock()
	if age < maxUncheckedCopyAge {
		return true
	}
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	return r.g.board.pool.InService(m.dest.Engine)
}

// sourceCanResume reports whether the source of a move may have the memory of the generation, and
// still takes calls.
func (r *relay) sourceCanResume(m *move) bool {
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	target, ok := r.g.board.pool.Lookup(m.source.Engine)
	if !ok || target.Leaving && !m.plan.SourceRuns(r.g.Clock.Now()) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stay := r.stay(m.source.Engine)
	return stay.MayHaveStopped() && stay.Evidence() != relocation.ProcessEnded
}

// sendResumed sends the call to an engine that is to resume the generation from the newest copy.
// After an error, the stay at the engine shows whether it may have begun.
func (r *relay) sendResumed(m *move, t *placement.Ticket) (*upstream.Exchange, error) {
	r.mu.Lock()
	r.stay(t.Engine).Begin()
	attempt := &serving.Attempt{Copy: m.latestCopy, LastEventID: r.lastEventID}
	r.mu.Unlock()
	// The timeout ends when the engine resumes the generation. Its stream, which uses ctx, may
	// last until the deadline of the call.
	ctx, abort := context.WithCancelCause(r.ctx)
	timeout := time.AfterFunc(resumeAnswerTimeout, func() { abort(context.DeadlineExceeded) })
	defer timeout.Stop()
	x, err := r.g.upstream.Send(ctx, r.engineRequest(t, attempt, upstream.SafeIdleTime))
	if err == nil && x.Status == http.StatusOK && !x.NotRun && !x.Encoded && timeout.Stop() {
		return x, nil
	}
	defer abort(nil)
	notBegun := err != nil && serving.AsError(err).Ran == serving.NotRun
	if err == nil {
		// A malformed answer says nothing, whatever its header states.
		_, readErr := io.CopyN(io.Discard, x.Body, maxEngineAnswer)
		notBegun = x.NotRun && errors.Is(readErr, io.EOF)
		x.Close(false)
		err = serving.NewError(serving.KindEngineFailed, "engine "+string(t.Engine)+" answered "+strconv.Itoa(x.Status)+" and did not resume the generation").WithRan(serving.RanUnknown)
	}
	if notBegun {
		r.mu.Lock()
		r.stay(t.Engine).End(relocation.NotBegun)
		r.mu.Unlock()
	}
	return nil, err
}

// resumeAtDestination sends the call to the engine that holds the copy.
func (r *relay) resumeAtDestination(m *move, target *placement.Ticket) (*upstream.Exchange, error) {
	x, err := r.sendResumed(m, target)
	if err != nil {
		return nil, err
	}
	old := r.ticket
	r.leaveAttempt()
	r.detach()
	r.g.endTicket(old, placement.Abandoned, 0)
	r.g.board.mu.Lock()
	r.beginAttempt(target, true)
	r.g.board.mu.Unlock()
	r.engine = target.Engine
	r.pacedAt, r.steppedAt = 0, 0
	m.dest = nil
	r.attach(target)
	return x, nil
}

// resumeAtSource resumes the generation at the engine that stopped it.
func (r *relay) resumeAtSource(m *move) (*upstream.Exchange, error) {
	r.g.countRequest(m.source.Engine)
	x, err := r.sendResumed(m, &placement.Ticket{Target: m.source})
	if err != nil {
		return nil, err
	}
	r.g.endTicket(m.dest, placement.Abandoned, 0)
	m.dest = nil
	return x, nil
}
