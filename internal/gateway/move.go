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
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/relocation"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
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
	// departureKept is how long the plan for an engine that leaves is kept; engines
	// end within about two seconds.
	departureKept = 5 * time.Second
	// cutCopyFactor times the time for which copies are kept is how long a
	// destination waits for the rest of one: the platform's pages say that it is well
	// over that time; on a day of the users' bench it was at least 1.7 times.
	cutCopyFactor = 2
)

// errLinkBusy means that a copy would not end before its engine does.
var errLinkBusy = errors.New("the engine's link has no time for the copy")

// move is the move of one generation from an engine that leaves to another one.
type move struct {
	noticed time.Duration
	source  placement.Target
	plan    *relocation.Plan
	// taken is the size of the copy for which time of the source's link is claimed,
	// and near tells that the claim is for a copy within the data centre.
	taken serving.Tokens
	near  bool
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

// moveAway moves all streams away from an engine that leaves, the smallest first,
// since the time may not suffice for all. The caller holds mu of the blackboard.
func (g *Gateway) moveAway(id serving.EngineID) {
	runs := slices.Collect(maps.Keys(g.board.runs[id]))
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.ticket.Use().Held, b.ticket.Use().Held) })
	for _, r := range runs {
		g.moveRun(r)
	}
}

// departure returns the plan for an engine that leaves. The caller holds mu of
// the blackboard.
func (g *Gateway) departure(id serving.EngineID, m *routing.ModelService) *relocation.Plan {
	now := g.Clock.Now()
	for old, d := range g.board.departures {
		if now-d.NoticeAt() > departureKept {
			delete(g.board.departures, old)
		}
	}
	d := g.board.departures[id]
	if d == nil {
		d = relocation.NewPlan(now, g.board.pool.Total(id).Held, g.board.pool.OwnAt(id).Held, m, rand.Float64())
		if g.board.departures == nil {
			g.board.departures = map[serving.EngineID]*relocation.Plan{}
		}
		g.board.departures[id] = d
	}
	return d
}

// moveRun starts the move of one stream. The caller holds mu of the blackboard.
func (g *Gateway) moveRun(r *run) {
	if m := r.Service.Model; m == nil || !m.SupportsMoves {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.move != nil {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.move = &move{noticed: g.Clock.Now(), source: r.ticket.Target, plan: g.departure(r.ticket.Engine, r.Service.Model),
		cancel: cancel, done: make(chan struct{})}
	if size := r.ticket.Use().Held; r.worthMoving() && r.move.plan.Reserve(g.Clock.Now(), size, true) {
		r.move.taken, r.move.near = size, true
	}
	go g.carryOut(ctx, r, r.move)
}

// carryOut copies the memory while the generation goes on, and stops the source
// for the rest once its link is free. A destination that has no room for the rest
// is replaced by another one.
func (g *Gateway) carryOut(ctx context.Context, r *run, m *move) {
	defer close(m.done)
	defer m.cancel()
	exclude := []serving.EngineID{m.source.Engine}
	for g.copyAhead(ctx, r, m, exclude) {
		if !g.refresh(ctx, r, m) || g.stopSource(ctx, r, m) {
			return
		}
		exclude = append(exclude, m.dest.Engine)
	}
}

// refresh brings the copy up to date until the source's link is free, so that the
// last copy is quick, and the destination has little to read if the source ends
// before. It returns false if the source must not be stopped any more.
func (g *Gateway) refresh(ctx context.Context, r *run, m *move) bool {
	for copied := g.Clock.Now(); ; {
		begin := g.Clock.Now()
		res, err := g.order(ctx, m.source.Address, g.Dialect.MoveRequest(r.ID, m.dest.Address, false))
		took := g.Clock.Now() - begin
		klog.V(1).InfoS("Copy brought up to date", "request", r.ID, "source", m.source.Engine, "outcome", res.Outcome, "took", took, "made", res.Events, "err", err)
		switch {
		case err != nil || ctx.Err() != nil || res.Outcome == serving.MoveNoSuchGeneration:
			return false
		case res.Outcome == serving.Moved:
			r.mu.Lock()
			m.copied.Handle = res.Handle
			r.mu.Unlock()
		}
		if m.plan.ShouldStop(took, g.Clock.Now()-copied) {
			return true
		}
		if !sleep(ctx, orderPause) {
			return false
		}
	}
}

// stopSource orders the source to stop the generation and to copy the rest. It
// returns false if the generation goes on because the destination has no room.
func (g *Gateway) stopSource(ctx context.Context, r *run, m *move) bool {
	r.mu.Lock()
	m.stopping = true
	r.mu.Unlock()
	begin := g.Clock.Now()
	res, err := g.order(ctx, m.source.Address, g.Dialect.MoveRequest(r.ID, m.dest.Address, true))
	moves.Add(string(res.Outcome), 1)
	held := g.totalAt(m.dest.Engine)
	r.mu.Lock()
	defer r.mu.Unlock()
	klog.InfoS("Stream stops for its move", "request", r.ID, "source", m.source.Engine, "destination", m.dest.Engine, "outcome", res.Outcome,
		"after", begin-m.noticed, "took", g.Clock.Now()-begin, "events", r.events, "made", res.Events, "running", held.Running, "held", held.Held,
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
// An order outlives the run: its answer names the copy, which must be freed.
func (g *Gateway) copyAhead(ctx context.Context, r *run, m *move, exclude []serving.EngineID) bool {
	if !r.waitWorthwhile(ctx) {
		return false
	}
	for range maxOrders {
		dest, err := g.destination(r, m, exclude)
		if err != nil {
			klog.V(1).InfoS("Copy waits", "request", r.ID, "source", m.source.Engine, "err", err)
			if !sleep(ctx, orderPause) {
				klog.InfoS("Stream isn't moved", "request", r.ID, "source", m.source.Engine, "after", g.Clock.Now()-m.noticed, "err", err)
				return false
			}
			continue
		}
		begin := g.Clock.Now()
		res, err := g.order(ctx, m.source.Address, g.Dialect.MoveRequest(r.ID, dest.Address, false))
		klog.InfoS("Memory copied ahead", "request", r.ID, "source", m.source.Engine, "destination", dest.Engine, "outcome", res.Outcome,
			"took", g.Clock.Now()-begin, "made", res.Events, "running", dest.Before().Running, "held", dest.Before().Held, "near", dest.DataCentre == m.source.DataCentre, "err", err)
		switch {
		case err != nil:
			g.endLater(dest, r.Service.Model)
			return false
		case res.Outcome == serving.Moved:
			g.replaceCopy(r, m, dest, serving.MemoryCopy{Address: m.source.Address, Handle: res.Handle})
			return true
		}
		g.end(dest, placement.Abandoned, 0)
		g.giveBack(m)
		// Either the destination is full, or the source's link is, which passes.
		exclude = append(exclude[:1:1], dest.Engine)
		if !sleep(ctx, orderPause) {
			return false
		}
	}
	return false
}

// destination claims an engine for a copy, and time of the source's link. An
// engine in another data centre comes second, since copies there take longer.
func (g *Gateway) destination(r *run, m *move, exclude []serving.EngineID) (ticket *placement.Ticket, err error) {
	need := r.copyNeed(m.source.DataCentre, exclude)
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	now := g.Clock.Now()
	for _, near := range []bool{true, false} {
		if (!near || m.taken == 0) && !m.plan.Reserve(now, need.Prompt, near) {
			return nil, errLinkBusy
		}
		if !near || m.taken == 0 {
			m.taken, m.near = need.Prompt, near
		}
		need.SameDataCentre = near
		if ticket, err = g.board.pool.Place(now, need); err == nil {
			return ticket, nil
		}
		m.plan.Release(m.taken, m.near)
		m.taken = 0
	}
	return nil, err
}

// giveBack returns the time of the source's link that a refused copy had claimed.
func (g *Gateway) giveBack(m *move) {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	m.plan.Release(m.taken, m.near)
	m.taken = 0
}

// endLater ends the claim of a copy that was cut off once its destination has
// given up waiting for the rest; nothing names the copy, so that it can't be freed.
func (g *Gateway) endLater(t *placement.Ticket, m *routing.ModelService) {
	time.AfterFunc(cutCopyFactor*m.CopyTTL, func() { g.end(t, placement.Abandoned, 0) })
}

// replaceCopy makes a new copy that of the move, and frees an older one.
func (g *Gateway) replaceCopy(r *run, m *move, dest *placement.Ticket, copied serving.MemoryCopy) {
	g.dropDestination(r, m)
	r.mu.Lock()
	old := m.copied
	m.dest, m.copied = dest, copied
	r.mu.Unlock()
	if old.Handle != "" && old.Handle != copied.Handle {
		go g.freeCopy(r.ID, old)
	}
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

// worthMoving tells whether the generation has begun, since an engine has no
// memory of one that still waits for its first token, and is likely to outlive its
// engine. The caller holds mu of the blackboard and of the run.
func (r *run) worthMoving() bool {
	made := serving.Tokens(r.events) * r.tokensPerEvent()
	return r.events > 0 && relocation.WorthMoving(r.expectedOutput(made)-made, r.paceNow())
}

// waitWorthwhile waits until the generation is worth moving: the longer it has
// become, the longer it is expected to go on.
func (r *run) waitWorthwhile(ctx context.Context) bool {
	for {
		r.g.board.mu.Lock()
		r.mu.Lock()
		worth := r.worthMoving()
		r.mu.Unlock()
		r.g.board.mu.Unlock()
		if worth {
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

// order sends an order to an engine and decodes its answer. The end of ctx doesn't
// cut it short, since the engine would carry it out all the same.
func (g *Gateway) order(ctx context.Context, address string, o serving.EngineRequest) (serving.MoveResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	x, err := g.upstream.Send(ctx, upstream.Request{Address: address, Method: o.Method, Target: o.Target, Host: address, Body: o.Body, MaxRest: upstream.SafeIdle, KeepIdle: 1})
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
	copied := m != nil && m.dest != nil
	r.mu.Unlock()
	if m == nil {
		return false
	}
	if copied {
		// There is nothing more to wait for but an order that is on its way.
		m.cancel()
	}
	began := r.g.Clock.Now()
	t := time.NewTimer(followTimeout)
	defer t.Stop()
	select {
	case <-m.done:
	case <-t.C:
		// The mover ends with the run; what it still copies is freed then.
		return false
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
		g.freeCopy(r.ID, m.copied)
	}()
}

// freeCopy orders the source of a copy to free it at both ends.
func (g *Gateway) freeCopy(id serving.RequestID, c serving.MemoryCopy) {
	if _, err := g.order(g.base, c.Address, g.Dialect.DropCopyRequest(c.Handle)); err != nil {
		klog.InfoS("Copy not freed; it expires by itself", "request", id, "source", c.Address, "err", err)
	}
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
