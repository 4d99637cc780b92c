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
	// askTimeout bounds the question to the hub, which is in the same region.
	askTimeout = 60 * time.Millisecond
	// askPause is how long the hub is not asked after it failed to answer.
	askPause = 500 * time.Millisecond
	// fullPause is the pause before a hub that found no room is asked again.
	fullPause = 60 * time.Millisecond
)

// placeGeneration claims an engine for a generation. The hub in use chooses it,
// since it knows the choices of all its entries at once; without an answer of
// the hub the entry chooses by what it knows itself. Of the calls of one account
// that find no room, only the first one goes on to ask.
func (g *Gateway) placeGeneration(ctx context.Context, need *placement.Need, rank int, account serving.ClientAccountID, regions []serving.RegionID, patience time.Duration) (*placement.Ticket, error) {
	deadline := g.Clock.Now() + patience
	var turn *placement.Waiter
	defer func() {
		if turn != nil {
			turn.Leave()
		}
	}()
	for {
		hub := g.watcher.placingHub()
		if hub == nil {
			return g.place(ctx, need, rank, deadline-g.Clock.Now())
		}
		id, err := g.askHub(ctx, hub, need, regions)
		switch {
		case err != nil:
			klog.InfoS("Hub does not place", "err", err)
			g.watcher.pausePlacing()
			continue
		case id != "":
			if ticket := g.claim(id, need); ticket != nil {
				return ticket, nil
			}
			need.Exclude = append(need.Exclude, id)
			continue
		case g.Clock.Now()+fullPause >= deadline:
			return nil, g.noRoom(need)
		case turn == nil:
			asked := g.Clock.Now()
			turn = g.turns.Enqueue(need.Service.ID, account, rank)
			if !await(ctx, turn.Ready(), deadline-asked) || !sleep(ctx, fullPause-(g.Clock.Now()-asked)) {
				return nil, g.noRoom(need)
			}
		default:
			if !sleep(ctx, fullPause) {
				return nil, g.noRoom(need)
			}
		}
	}
}

func (g *Gateway) askHub(ctx context.Context, hub schema.Hub, need *placement.Need, regions []serving.RegionID) (serving.EngineID, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	in := &schema.PlaceRequest{Service: string(need.Service.ID), PromptTokens: int64(need.Prompt), GrowthTokens: int64(need.Output),
		Restricted: regions != nil}
	for _, r := range regions {
		in.Regions = append(in.Regions, string(r))
	}
	g.board.mu.Lock()
	for _, id := range append(g.board.pool.Avoid(g.Clock.Now(), need), need.Exclude...) {
		in.Exclude = append(in.Exclude, string(id))
	}
	g.board.mu.Unlock()
	res, err := hub.Place(ctx, in)
	return serving.EngineID(res.GetEngine()), err
}

// claim claims an engine that the hub chose; nil if this entry knows that it
// takes no new work.
func (g *Gateway) claim(id serving.EngineID, need *placement.Need) *placement.Ticket {
	g.board.mu.Lock()
	defer g.board.mu.Unlock()
	return g.board.pool.Claim(g.Clock.Now(), id, need)
}

// noRoom is the refusal of a generation that no engine has room for.
func (g *Gateway) noRoom(need *placement.Need) error {
	return serving.NewError(serving.KindOverloaded, "all engines of service "+string(need.Service.ID)+" are full").WithRetryAfter(time.Second)
}

// placingHub returns the hub to ask for an engine; nil if there is none or it has
// just failed to answer. A hub of another region is too far away.
func (w *watcher) placingHub() schema.Hub {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.placing == nil || w.g.Clock.Now() < w.placingAgain {
		return nil
	}
	return w.placing
}

func (w *watcher) pausePlacing() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.placingAgain = w.g.Clock.Now() + askPause
}

// setPlacing records whether the hub in use may be asked for engines.
func (w *watcher) setPlacing(h *hubState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.placing = nil
	if h != nil && h.region == w.g.Region {
		w.placing = h.client
	}
}

// await waits for a channel to be closed, up to d; it returns false if that does
// not happen or ctx ends first.
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
