package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/relocation"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// orderTimeout bounds one order to copy memory; engines carry out one after
	// another, so that it covers the orders of all entries.
	orderTimeout = 3 * time.Second
	// orderPause is the pause before an order is repeated.
	orderPause = 50 * time.Millisecond
	// maxOrders bounds the orders for the first copy of one generation; with the
	// pauses they last as long as a usual notice.
	maxOrders = 30
	// maxOrderAnswer bounds the answer to an order.
	maxOrderAnswer = 16 << 10
	// followTimeout bounds the wait of a broken stream for its move.
	followTimeout = 2 * time.Second
)

// move is the move of one generation from an engine that leaves to another one.
type move struct {
	noticed time.Duration
	source  placement.Target
	// dest is the claim at the destination; nil before one is chosen.
	dest *placement.Ticket
	// copied is the copy that a run at the destination can go on from.
	copied serving.MemoryCopy
	// stopping is set before the source is told to stop.
	stopping bool
	stopped  bool
	cancel   context.CancelFunc
	// done is closed when the mover has finished with the move.
	done chan struct{}
}

// moveAway moves all streams away from an engine that leaves. The caller holds
// mu of the blackboard.
func (g *Gateway) moveAway(id serving.EngineID) {
	for r := range g.board.runs[id] {
		g.moveRun(r)
	}
}

// moveRun starts the move of one stream. The caller holds mu of the blackboard.
func (g *Gateway) moveRun(r *run) {
	if m := r.Service.Model; m == nil || !m.Moves {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.move != nil {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.move = &move{noticed: g.Clock.Now(), source: r.ticket.Target, cancel: cancel, done: make(chan struct{})}
	plan := relocation.Plan(g.board.pool.Total(r.ticket.Engine).Held, r.Service.Model)
	go g.carryOut(ctx, r, r.move, plan)
}

// carryOut copies the memory while the generation goes on, waits until the
// copies of the others are through, and then stops the source for the rest. A
// destination that has no room for the rest is replaced by another one.
func (g *Gateway) carryOut(ctx context.Context, r *run, m *move, plan relocation.Schedule) {
	defer close(m.done)
	defer m.cancel()
	exclude := []serving.EngineID{m.source.Engine}
	for g.copyAhead(ctx, r, m, exclude) {
		copied := g.Clock.Now() - m.noticed
		if !sleep(ctx, plan.StopAfter(copied)-copied) || g.stopSource(ctx, r, m, copied) {
			return
		}
		exclude = append(exclude, m.dest.Engine)
	}
}

// stopSource orders the source to stop the generation and to copy the rest. It
// returns false if the generation goes on because the destination has no room.
func (g *Gateway) stopSource(ctx context.Context, r *run, m *move, copied time.Duration) bool {
	r.mu.Lock()
	m.stopping = true
	r.mu.Unlock()
	begin := g.Clock.Now()
	res, err := g.order(ctx, m.source.Address, g.Dialect.MoveOrder(r.ID, m.dest.Address, true))
	moves.Add(string(res.Outcome), 1)
	held := g.totalAt(m.dest.Engine)
	r.mu.Lock()
	defer r.mu.Unlock()
	klog.InfoS("Stream stops for its move", "request", r.ID, "source", m.source.Engine, "destination", m.dest.Engine, "outcome", res.Outcome,
		"after", copied, "took", g.Clock.Now()-begin, "events", r.events, "made", res.Events, "running", held.Running, "held", held.Held,
		"expected", held.Expected, "err", err)
	switch {
	case err != nil:
		// The source may have stopped; the stream shows it.
	case res.Handle != "":
		m.copied, m.stopped = serving.MemoryCopy{Address: m.source.Address, Handle: res.Handle}, true
	case res.Outcome == serving.MoveNoRoom:
		m.stopping = false
		return false
	default:
		// The generation ended by itself before the order arrived.
		m.stopping = false
	}
	return true
}

func (g *Gateway) totalAt(id serving.EngineID) usage.Use {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	return g.board.pool.Total(id)
}

// copyAhead copies the memory of a running generation to a destination with room.
func (g *Gateway) copyAhead(ctx context.Context, r *run, m *move, exclude []serving.EngineID) bool {
	if !r.waitWorthwhile(ctx) {
		return false
	}
	for range maxOrders {
		if ctx.Err() != nil {
			return false
		}
		dest, err := g.placeCopy(r.copyNeed(m.source.DataCentre, exclude))
		if err != nil {
			if !sleep(ctx, orderPause) {
				return false
			}
			continue
		}
		begin := g.Clock.Now()
		res, err := g.order(ctx, m.source.Address, g.Dialect.MoveOrder(r.ID, dest.Address, false))
		klog.InfoS("Memory copied ahead", "request", r.ID, "source", m.source.Engine, "destination", dest.Engine, "outcome", res.Outcome,
			"took", g.Clock.Now()-begin, "made", res.Events, "running", dest.Before().Running, "held", dest.Before().Held, "near", dest.DataCentre == m.source.DataCentre, "err", err)
		if err == nil && res.Outcome == serving.Moved {
			g.dropDestination(r, m)
			r.mu.Lock()
			m.dest, m.copied = dest, serving.MemoryCopy{Address: m.source.Address, Handle: res.Handle}
			r.mu.Unlock()
			return true
		}
		g.end(dest, placement.Abandoned, 0)
		if err != nil {
			return false
		}
		// Either the destination is full, or the source's link is, which passes.
		exclude = append(exclude[:1:1], dest.Engine)
		if !sleep(ctx, orderPause) {
			return false
		}
	}
	return false
}

// dropDestination ends the claim on a destination that is replaced.
func (g *Gateway) dropDestination(r *run, m *move) {
	r.mu.Lock()
	old := m.dest
	m.dest = nil
	r.mu.Unlock()
	if old != nil {
		g.end(old, placement.Abandoned, 0)
	}
}

// remaining returns the tokens that the generation may still make.
func (r *run) remaining() serving.Tokens {
	r.mu.Lock()
	made := serving.Tokens(r.events) * r.tokensPerEvent()
	r.mu.Unlock()
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	return r.expectedOutput(made) - made
}

// waitWorthwhile waits until the generation has begun, since an engine has no
// memory of one that still waits for its first token, and until it is likely to
// outlive its engine: the longer it has become, the longer it is expected to go on.
func (r *run) waitWorthwhile(ctx context.Context) bool {
	for {
		r.mu.Lock()
		begun := r.events > 0
		r.mu.Unlock()
		if begun && relocation.Worthwhile(r.remaining(), r.pace()) {
			return true
		}
		if !sleep(ctx, orderPause) {
			return false
		}
	}
}

// copyNeed is what a copy of the generation's memory needs of its destination.
func (r *run) copyNeed(from serving.DataCentreID, exclude []serving.EngineID) *placement.Need {
	r.mu.Lock()
	made := serving.Tokens(r.events) * r.tokensPerEvent()
	r.mu.Unlock()
	r.g.board.mu.Lock()
	defer r.g.board.mu.Unlock()
	return &placement.Need{Service: r.Service, Allows: r.Allows, Prompt: r.PromptTokens + made, Output: r.growth(made),
		Parts: r.Parts, Exclude: exclude, CopyFrom: from}
}

// order sends an order to an engine and decodes its answer.
func (g *Gateway) order(ctx context.Context, address string, o serving.EngineOrder) (serving.MoveResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	x, err := g.upstream.Send(ctx, upstream.Request{Address: address, Method: o.Method, Target: o.Target, Host: address, Body: o.Body, MaxRest: upstream.SafeIdle})
	if err != nil {
		return serving.MoveResult{Outcome: serving.MoveFailed}, err
	}
	body, err := io.ReadAll(io.LimitReader(x.Body, maxOrderAnswer))
	x.Close(err == nil)
	if err != nil {
		return serving.MoveResult{Outcome: serving.MoveFailed}, serving.WrapError(err, serving.KindEngineFailed, "read the answer to an order").WithRan(serving.RanUnknown)
	}
	return g.Dialect.DecodeMove(x.Status, body), nil
}

// follow goes on with a generation whose stream was cut, at the destination of
// its move. It returns false if there is none.
func (r *run) follow(cause error) bool {
	r.mu.Lock()
	m := r.move
	r.mu.Unlock()
	if m == nil {
		return false
	}
	began := r.g.Clock.Now()
	t := time.NewTimer(followTimeout)
	defer t.Stop()
	select {
	case <-m.done:
	case <-t.C:
		m.cancel()
		<-m.done
	case <-r.ctx.Done():
		return false
	}
	r.exchange.Close(false)
	if m.dest == nil {
		return false
	}
	x, err := r.resume(m, m.dest)
	if err != nil && m.stopped {
		// The source keeps the memory of a generation that it stopped.
		x, err = r.resumeAtSource(m)
	}
	if err != nil {
		r.log("Move failed", "source", m.source.Engine, "destination", m.dest.Engine, "stopped", m.stopped, "cause", cause, "err", err)
		return false
	}
	r.exchange = x
	r.moved++
	r.g.board.mu.Lock()
	r.mu.Lock()
	r.move = nil
	r.mu.Unlock()
	if now, ok := r.g.board.pool.Lookup(r.engine); ok && now.Leaving {
		// The generation went on at its source, or the destination leaves too.
		r.g.moveRun(r)
	}
	r.g.board.mu.Unlock()
	moveTimes.observe(r.g.Clock.Now() - r.lastAt)
	r.log("Stream moved", "source", m.source.Engine, "pause", r.g.Clock.Now()-r.lastAt, "waited", r.g.Clock.Now()-began, "events", r.events, "stopped", m.stopped)
	return true
}

// resume sends the call to the engine that holds the copy.
func (r *run) resume(m *move, at *placement.Ticket) (*upstream.Exchange, error) {
	x, err := r.g.upstream.Send(r.ctx, r.request(at, &serving.Attempt{Copy: m.copied, LastEventID: r.lastID}, upstream.SafeIdle))
	if err != nil {
		return nil, err
	}
	if x.Status != http.StatusOK || x.NotRun || x.Encoded {
		x.Close(false)
		return nil, serving.NewError(serving.KindEngineFailed, "the engine did not take up the generation").WithRan(serving.RanUnknown)
	}
	old := r.ticket
	r.release()
	r.g.end(old, placement.Abandoned, 0)
	r.engine = at.Engine
	m.dest = nil
	r.adopt(at)
	return x, nil
}

// resumeAtSource goes on where the generation was stopped.
func (r *run) resumeAtSource(m *move) (*upstream.Exchange, error) {
	r.g.end(m.dest, placement.Abandoned, 0)
	m.dest = nil
	source := &placement.Ticket{Target: m.source}
	x, err := r.g.upstream.Send(r.ctx, r.request(source, &serving.Attempt{Copy: m.copied, LastEventID: r.lastID}, upstream.SafeIdle))
	if err != nil {
		return nil, err
	}
	if x.Status != http.StatusOK || x.NotRun {
		x.Close(false)
		return nil, serving.NewError(serving.KindEngineFailed, "the engine did not go on with the generation").WithRan(serving.RanUnknown)
	}
	return x, nil
}

// abandonMove gives up a move that is no longer needed and frees its copy.
func (r *run) abandonMove() {
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
		if m.dest != nil {
			g.end(m.dest, placement.Abandoned, 0)
		}
		if m.copied.Handle == "" {
			return
		}
		if _, err := g.order(g.base, m.source.Address, g.Dialect.DropCopyOrder(m.copied.Handle)); err != nil {
			klog.V(1).InfoS("Copy not freed; it expires by itself", "request", r.ID, "source", m.source.Engine, "err", err)
		}
	}()
}

// sleep waits for d; it returns false if ctx ended first.
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
