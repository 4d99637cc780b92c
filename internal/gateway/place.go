package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
)

const (
	// placeTimeout bounds one request for an engine to the hub, which is in the same
	// region.
	placeTimeout = 60 * time.Millisecond
	// placeBackoff is how long the entry doesn't ask the hub for engines after the hub
	// failed to answer.
	placeBackoff = 500 * time.Millisecond
	// placeInterval is the time between two requests for the same call if the hub
	// found no engine with room.
	placeInterval = 60 * time.Millisecond
)

// placeGeneration claims an engine for a generation. The current hub chooses the
// engine, because it sees the choices of all its entries immediately. If the hub
// doesn't answer, the entry chooses from its own data. While no engine has room,
// only the first waiting call of each account keeps asking the hub.
func (g *Gateway) placeGeneration(ctx context.Context, need *placement.Need, rank int, account serving.ClientAccountID, regions []serving.RegionID, maxWait time.Duration) (*placement.Ticket, error) {
	deadline := g.Clock.Now() + maxWait
	var waiter *placement.Waiter
	defer func() {
		if waiter != nil {
			waiter.Leave()
		}
	}()
	for {
		if ticket := g.placePaced(need); ticket != nil {
			return ticket, nil
		}
		hub := g.watcher.availablePlacementHub()
		if hub == nil {
			return g.place(ctx, need, rank, deadline-g.Clock.Now())
		}
		need.LastAttempt = g.Clock.Now()+2*placeInterval >= deadline
		id, err := g.requestEngine(ctx, hub, need, regions)
		switch {
		case err != nil:
			klog.InfoS("Hub failed to choose an engine", "err", err)
			g.watcher.pausePlacement()
			continue
		case id != "":
			if ticket := g.claim(id, need); ticket != nil {
				return ticket, nil
			}
			need.Exclude = append(need.Exclude, id)
			continue
		case g.endComparison(need):
			continue
		case g.Clock.Now()+placeInterval >= deadline:
			return nil, g.overloadedError(need)
		case waiter == nil:
			enqueuedAt := g.Clock.Now()
			waiter = g.fairQueue.Enqueue(need.Service.ID, account, rank)
			if !await(ctx, waiter.Ready(), deadline-enqueuedAt) || !sleep(ctx, placeInterval-(g.Clock.Now()-enqueuedAt)) {
				return nil, g.overloadedError(need)
			}
		default:
			if !sleep(ctx, placeInterval) {
				return nil, g.overloadedError(need)
			}
		}
	}
}

// placePaced claims an engine that has named a limit, within this entry's share of it.
func (g *Gateway) placePaced(need *placement.Need) *placement.Ticket {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	g.board.restrict(g.Clock.Now(), need)
	return g.board.pool.PlacePaced(g.Clock.Now(), need)
}

// requestEngine asks the hub to choose an engine. The result is empty if no engine
// has room.
func (g *Gateway) requestEngine(ctx context.Context, hub schema.Hub, need *placement.Need, regions []serving.RegionID) (serving.EngineID, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	in := &schema.PlaceRequest{Service: string(need.Service.ID), PromptTokens: int64(need.Prompt), GrowthTokens: int64(need.Output),
		Restricted: regions != nil, OutputTokens: int64(need.Length), MaxPauseMs: need.MaxPause.Milliseconds(), LastAttempt: need.LastAttempt}
	if g.watcher.placesRemotely() {
		in.DataCentre = string(g.DataCentre)
	}
	if need.FirstEventBy > 0 {
		left := max(1, (need.FirstEventBy - g.Clock.Now()).Milliseconds())
		in.FirstEventMs = &left
	}
	for _, r := range regions {
		in.Regions = append(in.Regions, string(r))
	}
	g.board.mu.Lock()
	g.board.restrict(g.Clock.Now(), need)
	if s := need.Software; s != nil {
		in.OnlyVersion, in.NotVersion = string(s.Only), string(s.Not)
	}
	for _, id := range append(g.board.pool.Avoid(g.Clock.Now(), need), need.Exclude...) {
		in.Exclude = append(in.Exclude, string(id))
	}
	g.board.mu.Unlock()
	res, err := hub.Place(ctx, in)
	return serving.EngineID(res.GetEngine()), err
}

// claim claims an engine that the hub chose. It returns nil if the engine can't take
// the call according to this entry's own data.
func (g *Gateway) claim(id serving.EngineID, need *placement.Need) *placement.Ticket {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	g.board.restrict(g.Clock.Now(), need)
	return g.board.pool.Claim(g.Clock.Now(), id, need)
}

// endComparison is that of the blackboard.
func (g *Gateway) endComparison(need *placement.Need) bool {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	return g.board.endComparison(need)
}

// overloadedError returns the error for a generation if no engine has room for it.
func (g *Gateway) overloadedError(need *placement.Need) error {
	return serving.NewError(serving.KindOverloaded, "all engines of service "+string(need.Service.ID)+" are full").WithRetryAfter(time.Second)
}

// availablePlacementHub returns the hub that chooses engines. It returns nil if the
// current hub is in another region, where a request would take too long, or has
// recently failed to answer.
func (w *watcher) availablePlacementHub() schema.Hub {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.placementHub == nil || w.g.Clock.Now() < w.placementPausedUntil {
		return nil
	}
	return w.placementHub
}

// placesRemotely reports whether the hub that chooses engines is in another region.
func (w *watcher) placesRemotely() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.placementRemote
}

// pausePlacement stops requests for engines to the hub for placeBackoff.
func (w *watcher) pausePlacement() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.placementPausedUntil = w.g.Clock.Now() + placeBackoff
}

// setPlacementHub makes h, the current hub, the one that chooses engines if it is in
// the entry's region. h is nil if there is no current hub.
func (w *watcher) setPlacementHub(h *hubState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.placementHub, w.placementRemote = nil, false
	if h != nil && (h.region == w.g.Region || w.g.ScarceMemory) {
		w.placementHub, w.placementRemote = h.client, h.region != w.g.Region
	}
}

// await waits up to d until ready is closed. It returns false if d has passed or ctx
// is canceled first.
func await(ctx context.Context, ready <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ready:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}
