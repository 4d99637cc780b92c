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
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/relocation"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

const (
	// engineRequestTimeout bounds one request to copy memory or to free a copy. An engine
	// executes the requests of all entries one after another, so the timeout includes the
	// wait for those of other entries.
	engineRequestTimeout = 3 * time.Second
	// moveRetryDelay is the pause before a request to an engine is repeated.
	moveRetryDelay = 50 * time.Millisecond
	// maxCopyAttempts bounds the attempts to make the first copy of one generation.
	// With the pauses between them they take as long as an engine usually runs after it
	// has announced its shutdown.
	maxCopyAttempts = 30
	// maxEngineAnswer bounds the answer to an engine request in bytes.
	maxEngineAnswer = 16 << 10
	// maxFreeAttempts bounds the requests to free one copy.
	maxFreeAttempts = 5
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
