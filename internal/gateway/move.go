package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/relocation"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// engineRequestTimeout bounds one request to copy memory or to free a copy. An engine
	// executes the requests of all entries one after another, so the timeout includes the
	// wait for those of other entries.
	engineRequestTimeout = 3 * time.Second
	// moveRetryDelay is the pause before a request to copy memory is repeated.
	moveRetryDelay = 50 * time.Millisecond
	// maxCopyAttempts bounds the attempts to make the first copy of one generation.
	// With the pauses between them they take as long as an engine usually runs after it
	// has announced its shutdown.
	maxCopyAttempts = 30
	// maxEngineAnswer bounds the answer to an engine request in bytes.
	maxEngineAnswer = 16 << 10
	// maxStopOrders bounds the orders to stop one generation whose stream goes on.
	maxStopOrders = maxCopyAttempts
	// moveWaitTimeout bounds how long an interrupted stream waits for the first copy of its
	// memory. resumeTimeout bounds how long it waits if there is a copy: for the answer to an
	// order in progress and for evidence that its engine no longer works on it.
	moveWaitTimeout = 2 * time.Second
	resumeTimeout   = 5 * time.Second
	// maxUncheckedCopyAge is the age up to which a copy is used without a look at its engine.
	// It is shorter than the time for which an engine takes calls after its notice.
	maxUncheckedCopyAge = time.Second
	// maxFreeAttempts bounds the requests to free one copy.
	maxFreeAttempts = 5
	// resumeAnswerTimeout bounds the wait for an engine that is to resume a generation. It has the
	// memory, and begins at once.
	resumeAnswerTimeout = 2 * time.Second
	// maxResumeAttempts bounds how often each engine of a move is asked to resume the
	// generation.
	maxResumeAttempts = 3
	// movePlanTTL is how long the plan for an engine that is leaving is kept. Engines
	// shut down within about two seconds after they have announced it.
	movePlanTTL = 5 * time.Second
	// copyExpiryFactor times the service's CopyTTL is how long a destination waits for
	// the rest of an interrupted copy. The platform's documentation states only that it
	// waits well over CopyTTL. On the users' test bench it waited at least 1.7 times
	// CopyTTL.
	copyExpiryFactor = 2
)

// errLinkBusy means that the plan has too little time left on the source's link for the
// copy.
var errLinkBusy = errors.New("the copy would not complete before the source engine shuts down")

// move is the move of one generation from an engine that is leaving to another one.
type move struct {
	startedAt time.Duration
	source    placement.Target
	plan      *relocation.Plan
	// reserved is the size of the copy for which time on the source's link is reserved,
	// 0 if none is. sameDC reports whether that copy stays in the data centre.
	reserved serving.Tokens
	sameDC   bool
	// dest is the claim at the destination; nil until there is a copy there.
	dest *placement.Ticket
	// latestCopy is the copy from which the generation can be resumed, and copiedFrom the engine
	// that made it.
	latestCopy serving.MemoryCopy
	copiedFrom placement.Target
	// copiedAt is when the copy was last known to be up to date.
	copiedAt time.Duration
	// interrupted is set once the stream has ended without a copy; mu of the relay guards it.
	interrupted bool
	// orders counts the orders to stop the generation that are in progress.
	orders sync.WaitGroup
	cancel context.CancelFunc
	// done is closed when runMove has returned.
	done chan struct{}
}

// moveStreams starts to move all streams away from an engine that is leaving. The
// smallest ones are first, because there may not be enough time for all. The caller
// holds mu of the blackboard.
func (g *Gateway) moveStreams(id serving.EngineID) {
	g.moveStreamsIf(id, func(*relay) bool { return true })
}

// moveStreamsIf is moveStreams for the streams for which include returns true.
func (g *Gateway) moveStreamsIf(id serving.EngineID, include func(*relay) bool) {
	streams := slices.DeleteFunc(slices.Collect(maps.Keys(g.board.streams[id])), func(r *relay) bool { return !include(r) })
	slices.SortFunc(streams, func(a, b *relay) int { return cmp.Compare(a.ticket.Use().Held, b.ticket.Use().Held) })
	for _, r := range streams {
		g.startMove(r)
	}
}

// movePlan returns the plan for an engine that is leaving. The caller holds mu of
// the blackboard.
func (g *Gateway) movePlan(id serving.EngineID, m *routing.ModelService) *relocation.Plan {
	now := g.Clock.Now()
	for engine, plan := range g.board.movePlans {
		if now-plan.NoticeAt() > movePlanTTL {
			delete(g.board.movePlans, engine)
		}
	}
	plan := g.board.movePlans[id]
	if plan == nil {
		plan = relocation.NewPlan(now, g.board.pool.Total(id).Held, g.board.pool.OwnUseAt(id).Held, m, rand.Float64())
		if g.board.movePlans == nil {
			g.board.movePlans = map[serving.EngineID]*relocation.Plan{}
		}
		g.board.movePlans[id] = plan
	}
	return plan
}

// startMove starts the move of one stream. It does nothing if the service doesn't
// support moves or the stream is already moving. The caller holds mu of the blackboard.
func (g *Gateway) startMove(r *relay) {
	if m := r.Service.Model; m == nil || !m.SupportsMoves {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.move != nil {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.move = &move{startedAt: g.Clock.Now(), source: r.ticket.Target, plan: g.movePlan(r.ticket.Engine, r.Service.Model),
		cancel: cancel, done: make(chan struct{})}
	if size := r.ticket.Use().Held; r.worthMoving() && r.move.plan.Reserve(g.Clock.Now(), size, true) {
		r.move.reserved, r.move.sameDC = size, true
	}
	go func(m *move) {
		// The error has been logged, and the stream goes on at its source.
		_ = recovered("move the stream", func() error { g.runMove(ctx, r, m); return nil })
	}(r.move)
}

// runMove copies the memory while the generation continues at the source. Once the
// source's link is idle, it stops the generation there and copies the rest. If the
// destination has no room for the rest, it is replaced by another one.
func (g *Gateway) runMove(ctx context.Context, r *relay, m *move) {
	defer close(m.done)
	defer m.cancel()
	exclude := []serving.EngineID{m.source.Engine}
	for g.copyWhileRunning(ctx, r, m, exclude) {
		if !g.updateCopy(ctx, r, m) || g.stopSource(ctx, r, m) {
			return
		}
		exclude = append(exclude, m.dest.Engine)
	}
}

// updateCopy repeats incremental copies until the source's link is idle. The final
// copy is then fast. If the source shuts down before the final copy, the destination
// has few tokens to prefill. A copy that failed leaves the earlier one as it is. updateCopy
// returns false if the move was canceled or the source no longer runs the generation. The
// generation must then not be stopped.
func (g *Gateway) updateCopy(ctx context.Context, r *relay, m *move) bool {
	for copiedAt := g.Clock.Now(); ; {
		begin := g.Clock.Now()
		res, err := g.sendEngineRequest(ctx, m.source, g.Dialect.MoveRequest(r.ID, m.dest.Address, false))
		took := g.Clock.Now() - begin
		klog.V(1).InfoS("Memory copy updated", "request", r.ID, "source", m.source.Engine, "outcome", res.Outcome, "took", took, "made", res.Events, "err", err)
		switch {
		case ctx.Err() != nil || res.Outcome == serving.MoveNoSuchGeneration || err != nil && g.processEnded(m.source, err):
			return false
		case res.Outcome == serving.Moved:
			r.mu.Lock()
			m.latestCopy.Handle, m.copiedAt = res.Handle, g.Clock.Now()
			r.mu.Unlock()
		}
		if m.plan.ShouldStop(took, g.Clock.Now()-copiedAt) {
			return true
		}
		if !sleep(ctx, moveRetryDelay) {
			return false
		}
	}
}

// stopSource orders the source to stop the generation and to copy the rest, until the source
// no longer works on it. It returns false if the generation continues because the destination
// has no room.
func (g *Gateway) stopSource(ctx context.Context, r *relay, m *move) bool {
	for range maxStopOrders {
		// An order that was sent is awaited, also if its stream has ended because of it.
		res, _ := g.orderStop(context.WithoutCancel(ctx), r, m, m.source, m.dest.Target)
		switch {
		case r.evidence(m.source.Engine) != relocation.NoEvidence:
			return true
		case res.Outcome == serving.MoveNoRoom:
			return false
		}
		if !sleep(ctx, moveRetryDelay) {
			return true
		}
	}
	klog.InfoS("Stream not moved, its engine did not say that it stopped it", "request", r.ID, "source", m.source.Engine, "orders", maxStopOrders,
		"after", g.Clock.Now()-m.startedAt)
	return true
}

// orderStop orders an engine to stop the generation and to copy the rest of its memory to
// another one. What the answer shows is recorded in the stay at the engine, also if it comes
// after ctx was canceled, when orderStop doesn't wait for it any longer.
func (g *Gateway) orderStop(ctx context.Context, r *relay, m *move, at, to placement.Target) (serving.MoveResult, error) {
	r.mu.Lock()
	r.stay(at.Engine).Order()
	r.mu.Unlock()
	var res serving.MoveResult
	answered := make(chan error, 1)
	m.orders.Go(func() {
		answered <- recovered("stop the generation", func() (err error) {
			res, err = g.sendStop(r, m, at, to)
			return err
		})
	})
	select {
	case err := <-answered:
		return res, err
	case <-ctx.Done():
		return serving.MoveResult{Outcome: serving.MoveFailed}, context.Cause(ctx)
	}
}

// sendStop sends the order of orderStop and records its answer.
func (g *Gateway) sendStop(r *relay, m *move, at, to placement.Target) (serving.MoveResult, error) {
	begin := g.Clock.Now()
	res, err := g.sendEngineRequest(g.baseCtx, at, g.Dialect.MoveRequest(r.ID, to.Address, true))
	moves.Add(string(res.Outcome), 1)
	ended := err != nil && g.processEnded(at, err)
	use := g.totalUse(to.Engine)
	r.mu.Lock()
	defer r.mu.Unlock()
	stay := r.stay(at.Engine)
	switch {
	case ended:
		stay.End(relocation.ProcessEnded)
	case err == nil:
		stay.Answer(res)
	}
	if stay.Evidence() == relocation.Stopped && res.Handle != "" {
		m.latestCopy, m.copiedFrom, m.copiedAt = serving.MemoryCopy{Address: at.Address, Handle: res.Handle}, at, g.Clock.Now()
	}
	stopEvidence.Add(cmp.Or(string(stay.Evidence()), "none"), 1)
	klog.InfoS("Generation stop requested for move", "request", r.ID, "source", at.Engine, "destination", to.Engine, "outcome", res.Outcome, "evidence", stay.Evidence(),
		"after", begin-m.startedAt, "took", g.Clock.Now()-begin, "events", r.events, "made", res.Events, "running", use.Running, "held", use.Held,
		"expected", use.Expected, "err", err)
	return res, err
}

// processEnded reports whether the process of an engine is gone, given the error of a request to
// it: no process runs at its address, or the engine has been started again since.
func (g *Gateway) processEnded(t placement.Target, err error) bool {
	if g.upstream.ProcessEnded(t.Address, err) {
		return true
	}
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	now, ok := g.board.pool.Lookup(t.Engine)
	return ok && t.Started != 0 && now.Started > t.Started
}

// stay returns what is known of the generation at an engine. The caller holds mu.
func (r *relay) stay(id serving.EngineID) *relocation.Stay {
	if r.stays == nil {
		r.stays = map[serving.EngineID]*relocation.Stay{}
	}
	if r.stays[id] == nil {
		r.stays[id] = &relocation.Stay{}
	}
	return r.stays[id]
}

// evidence returns what shows that an engine no longer works on the generation.
func (r *relay) evidence(id serving.EngineID) relocation.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stay(id).Evidence()
}

// confirmEnded makes sure that an engine doesn't go on with a generation whose stream there has
// ended. Most engines drop a generation with its connection, but not all. It orders the engine to
// stop the generation, and returns true once there is evidence that the engine no longer works on
// it. Without evidence, for example from an engine that can't be reached or doesn't answer, it
// returns false at the given time, and the generation must not be resumed elsewhere.
func (r *relay) confirmEnded(m *move, at, to placement.Target, until time.Duration) bool {
	ctx, cancel := context.WithTimeout(r.ctx, until-r.g.Clock.Now())
	defer cancel()
	for r.evidence(at.Engine) == relocation.NoEvidence {
		res, err := r.g.orderStop(ctx, r, m, at, to)
		if err == nil && res.Outcome == serving.MoveFailed && r.identifyProcess(&placement.Ticket{Target: at}) == completion.Ended {
			r.mu.Lock()
			r.stay(at.Engine).End(relocation.ProcessEnded)
			r.mu.Unlock()
		}
		if r.evidence(at.Engine) == relocation.NoEvidence && !sleep(ctx, moveRetryDelay) {
			return false
		}
	}
	return true
}

func (g *Gateway) totalUse(id serving.EngineID) usage.Use {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	return g.board.pool.Total(id)
}

// copyWhileRunning makes the first copy of the memory of a running generation, at a
// destination with room. It returns false if there is no copy. The request to copy
// isn't canceled when the generation ends, because its answer names the copy, which
// must be freed.
func (g *Gateway) copyWhileRunning(ctx context.Context, r *relay, m *move, exclude []serving.EngineID) bool {
	if !r.waitWorthMoving(ctx) {
		return false
	}
	// unanswered is the claim of a request that failed. The copy may have been made, and the
	// next request for the same destination names it.
	var unanswered *placement.Ticket
	defer func() {
		if unanswered != nil {
			g.endAfterCopyExpiry(unanswered, r.Service.Model)
		}
	}()
	for range maxCopyAttempts {
		dest := unanswered
		if dest == nil {
			var err error
			if dest, err = g.claimDestination(r, m, exclude); err != nil {
				klog.V(1).InfoS("Copy is waiting for a destination", "request", r.ID, "source", m.source.Engine, "err", err)
				if !sleep(ctx, moveRetryDelay) {
					klog.InfoS("Stream not moved", "request", r.ID, "source", m.source.Engine, "after", g.Clock.Now()-m.startedAt, "err", err)
					return false
				}
				continue
			}
		}
		begin := g.Clock.Now()
		res, err := g.sendEngineRequest(ctx, m.source, g.Dialect.MoveRequest(r.ID, dest.Address, false))
		klog.InfoS("First memory copy requested", "request", r.ID, "source", m.source.Engine, "destination", dest.Engine, "outcome", res.Outcome,
			"took", g.Clock.Now()-begin, "made", res.Events, "running", dest.Before().Running, "held", dest.Before().Held, "near", dest.DataCentre == m.source.DataCentre, "err", err)
		switch {
		case res.Outcome == serving.MoveFailed, res.Outcome == serving.MoveBusy && unanswered != nil:
			unanswered = dest
			if r.isInterrupted(m) || g.processEnded(m.source, err) || !sleep(ctx, moveRetryDelay) {
				return false
			}
			continue
		case res.Outcome == serving.Moved:
			unanswered = nil
			g.setCopy(r, m, dest, serving.MemoryCopy{Address: m.source.Address, Handle: res.Handle})
			return true
		}
		if unanswered == nil {
			g.endTicket(dest, placement.Abandoned, 0)
		} else {
			g.endAfterCopyExpiry(dest, r.Service.Model)
			unanswered = nil
		}
		g.releaseLink(m)
		// Either the destination is full, or the source's link is busy for the moment.
		// The next attempt excludes only the source and this destination.
		exclude = append(exclude[:1:1], dest.Engine)
		if !sleep(ctx, moveRetryDelay) {
			return false
		}
	}
	return false
}

// isInterrupted reports whether the stream of a move has ended without a copy.
func (r *relay) isInterrupted(m *move) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return m.interrupted
}

// claimDestination claims an engine for a copy and reserves time on the source's
// link. Engines in the source's data centre are preferred, because copies to other
// data centres take longer.
func (g *Gateway) claimDestination(r *relay, m *move, exclude []serving.EngineID) (ticket *placement.Ticket, err error) {
	need := r.copyNeed(m.source.DataCentre, exclude)
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	now := g.Clock.Now()
	for _, sameDC := range []bool{true, false} {
		if (!sameDC || m.reserved == 0) && !m.plan.Reserve(now, need.Prompt, sameDC) {
			return nil, errLinkBusy
		}
		if !sameDC || m.reserved == 0 {
			m.reserved, m.sameDC = need.Prompt, sameDC
		}
		need.SameDataCentre = sameDC
		g.board.restrict(now, need)
		if ticket, err = g.board.pool.Place(now, need); err == nil {
			return ticket, nil
		}
		m.plan.Release(m.reserved, m.sameDC)
		m.reserved = 0
	}
	return nil, err
}

// releaseLink releases the time on the source's link that was reserved for a refused
// copy.
func (g *Gateway) releaseLink(m *move) {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	m.plan.Release(m.reserved, m.sameDC)
	m.reserved = 0
}

// endAfterCopyExpiry ends the claim for an interrupted copy when the destination has
// stopped waiting for the rest of it. The copy can't be freed earlier, because its
// handle is unknown.
func (g *Gateway) endAfterCopyExpiry(t *placement.Ticket, m *routing.ModelService) {
	time.AfterFunc(copyExpiryFactor*m.CopyTTL, func() { g.endTicket(t, placement.Abandoned, 0) })
}

// setCopy sets the destination and the copy of the move. It frees the previous copy and ends the
// claim there.
func (g *Gateway) setCopy(r *relay, m *move, dest *placement.Ticket, latestCopy serving.MemoryCopy) {
	r.mu.Lock()
	old, oldDest := m.latestCopy, m.dest
	m.dest, m.latestCopy, m.copiedFrom, m.copiedAt = dest, latestCopy, m.source, g.Clock.Now()
	r.mu.Unlock()
	switch {
	case oldDest == nil:
	case old.Handle == latestCopy.Handle:
		g.endTicket(oldDest, placement.Abandoned, 0)
	default:
		go g.freeCopy(r, m.source, old, oldDest)
	}
}

// worthMoving reports whether the generation has started and is likely to run longer
// than its engine. Before the first token an engine has no memory to copy. The caller
// holds mu of the blackboard and of the relay.
func (r *relay) worthMoving() bool {
	generated := serving.Tokens(r.events) * r.tokensPerEvent()
	return r.events > 0 && relocation.WorthMoving(r.expectedOutput(generated)-generated, r.tokenTimeLocked())
}

// waitWorthMoving waits until the generation is worth moving. The expected number of
// further tokens grows with the number of tokens generated. It returns false if ctx is
// canceled first.
func (r *relay) waitWorthMoving(ctx context.Context) bool {
	for {
		r.g.board.mu.Lock()
		r.mu.Lock()
		worth := r.worthMoving()
		r.mu.Unlock()
		r.g.board.mu.Unlock()
		if worth {
			return true
		}
		if !sleep(ctx, moveRetryDelay) {
			return false
		}
	}
}

// copyNeed returns the requirements for the destination of a copy of the generation's
// memory. from is the data centre of the source.
func (r *relay) copyNeed(from serving.DataCentreID, exclude []serving.EngineID) *placement.Need {
	r.mu.Lock()
	generated := serving.Tokens(r.events) * r.tokensPerEvent()
	r.mu.Unlock()
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	return &placement.Need{Service: r.Service, Allows: r.Allows, Prompt: r.PromptTokens + generated, Output: r.growth(generated),
		Parts: r.Parts, Exclude: exclude, CopyFrom: from, MaxPause: r.Route.MaxPause}
}

// sendEngineRequest sends a request to an engine and decodes its answer. Canceling
// ctx doesn't abort the request, because the engine would still execute it.
func (g *Gateway) sendEngineRequest(ctx context.Context, target placement.Target, req serving.EngineRequest) (serving.MoveResult, error) {
	g.countRequest(target.Engine)
	x, body, err := g.callEngine(context.WithoutCancel(ctx), target.Address, req, engineRequestTimeout)
	if err != nil {
		return serving.MoveResult{Outcome: serving.MoveFailed}, err
	}
	return g.Dialect.DecodeMove(x.Status, body), nil
}

// callEngine sends a request of this entry to an engine and reads the answer.
func (g *Gateway) callEngine(ctx context.Context, address string, req serving.EngineRequest, timeout time.Duration) (*upstream.Exchange, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	x, err := g.upstream.Send(ctx, upstream.Request{Address: address, Method: req.Method, Target: req.Target, Host: address, Header: req.Header, Body: req.Body,
		AnswerWithoutID: true, MaxIdleTime: upstream.SafeIdleTime, MaxIdleConns: 1})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(x.Body, maxEngineAnswer+1))
	// The rest of a longer body would come before the next answer.
	x.Close(err == nil && len(body) <= maxEngineAnswer)
	if err != nil {
		return nil, nil, serving.WrapError(err, serving.KindEngineFailed, "read the answer to an engine request").WithRan(serving.RanUnknown)
	}
	return x, body, nil
}

// countRequest counts a request towards the limit that the engine has named. Requests that
// move a generation aren't delayed by the limit, but calls after them are.
func (g *Gateway) countRequest(id serving.EngineID) {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	g.board.pool.CountRequest(g.Clock.Now(), id)
}

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
// just begun to leave does.
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
	// The timeout ends when the engine resumes the generation. The stream may last until the
	// deadline of the call.
	ctx, abort := context.WithCancelCause(r.ctx)
	timeout := time.AfterFunc(resumeAnswerTimeout, func() { abort(context.DeadlineExceeded) })
	defer timeout.Stop()
	x, err := r.g.upstream.Send(ctx, r.engineRequest(t, attempt, upstream.SafeIdleTime))
	if err == nil && x.Status == http.StatusOK && !x.NotRun && !x.Encoded && timeout.Stop() {
		return x, nil
	}
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

// cancelMove cancels the stream's move, if any, and frees its copy.
func (r *relay) cancelMove() {
	r.mu.Lock()
	m := r.move
	r.move = nil
	r.mu.Unlock()
	if m == nil {
		return
	}
	m.cancel()
	g := r.g
	go func() {
		<-m.done
		m.orders.Wait()
		if m.latestCopy.Handle != "" {
			g.freeCopy(r, m.copiedFrom, m.latestCopy, m.dest)
		}
	}()
}

// freeCopy requests the source of a copy to free it at both engines, and ends the claim for it, if
// any, once the memory is free. After a request that failed, the copy may still be there.
func (g *Gateway) freeCopy(r *relay, source placement.Target, c serving.MemoryCopy, claim *placement.Ticket) {
	for range maxFreeAttempts {
		g.countRequest(source.Engine)
		x, _, err := g.callEngine(context.WithoutCancel(g.baseCtx), source.Address, g.Dialect.DropCopyRequest(c.Handle), engineRequestTimeout)
		if err == nil && (x.Status/100 == 2 || x.Status == http.StatusNotFound) {
			if claim != nil {
				g.endTicket(claim, placement.Abandoned, 0)
			}
			return
		}
		if err == nil {
			err = serving.NewError(serving.KindEngineFailed, "the engine answered "+strconv.Itoa(x.Status))
		}
		klog.InfoS("Copy not freed", "request", r.ID, "source", source.Engine, "err", err)
		if g.processEnded(source, err) || !sleep(g.baseCtx, moveRetryDelay) {
			break
		}
	}
	klog.InfoS("Copy not freed; it expires by itself", "request", r.ID, "source", c.Address, "after", copyExpiryFactor*r.Service.Model.CopyTTL)
	if claim != nil {
		g.endAfterCopyExpiry(claim, r.Service.Model)
	}
}

// sleep waits for d. It returns false if ctx is canceled first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
