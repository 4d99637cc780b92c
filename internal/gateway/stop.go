package gateway

import (
	"cmp"
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/relocation"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// maxStopOrders bounds the orders to stop one generation whose stream goes on.
const maxStopOrders = maxCopyAttempts

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
