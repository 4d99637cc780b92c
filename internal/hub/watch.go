package hub

import (
	"context"
	"time"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// maxWait bounds the wait of one poll.
	maxWait = 2 * time.Second
	// batchPause collects changes that come together into one answer.
	batchPause = 5 * time.Millisecond
	// peerFresh is the age up to which a hub counts as reachable.
	peerFresh = 2 * time.Second
)

// Watch implements schema.Hub. It answers at once if the entry lacks something,
// else after a change or the wait that the entry asked for.
func (h *Hub) Watch(ctx context.Context, in *schema.WatchRequest) (*schema.WatchResult, error) {
	h.mu.Lock()
	h.local.Report(h.Clock.Now(), in.GetEntry(), usage.FromWire(in.GetUses()))
	if !h.hasNews(in) {
		wake := h.wake
		h.mu.Unlock()
		h.wait(ctx, wake, min(time.Duration(in.GetWaitMs())*time.Millisecond, maxWait))
		h.mu.Lock()
	}
	defer h.mu.Unlock()
	return h.watchResult(in), nil
}

// hasNews tells whether the entry lacks something. The caller holds mu.
func (h *Hub) hasNews(in *schema.WatchRequest) bool {
	return in.GetRevision() < h.state.GetRevision() || in.GetHubIncarnation() != h.incarnation || in.GetCursor() != h.directory.Cursor()
}

func (h *Hub) wait(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-t.C:
		return
	case <-wake:
	}
	t.Reset(batchPause)
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// watchResult returns what the entry lacks. The caller holds mu.
func (h *Hub) watchResult(in *schema.WatchRequest) *schema.WatchResult {
	now := h.Clock.Now()
	out := &schema.WatchResult{HubIncarnation: h.incarnation, Confirmed: h.confirmed(now), Complete: h.complete(now)}
	if in.GetRevision() < h.state.GetRevision() {
		out.State = h.state
	}
	cursor := in.GetCursor()
	if in.GetHubIncarnation() != h.incarnation {
		cursor = 0
	} else {
		// Only a list from the start can be complete.
		out.Complete = false
	}
	var entries []*presence.Entry
	entries, out.Cursor = h.directory.Since(cursor)
	for _, e := range entries {
		out.Engines = append(out.Engines, e.ToWire(now))
	}
	sums, n := h.sums(now)
	for _, u := range sums {
		out.Uses = append(out.Uses, u.ToWire())
	}
	out.Entries = int32(n)
	out.Hubs = h.hubs(now)
	return out
}

// confirmed tells whether the served state is the newest one as far as a leader
// that was heard just now has told. The caller holds mu.
func (h *Hub) confirmed(now time.Duration) bool {
	s := h.replica.current().State()
	return now-h.started > confirmAfter && (s.Leads || s.Member && s.HeardAgo < confirmAfter)
}

// complete tells whether this process has run long enough to have heard every
// live engine. The caller holds mu.
func (h *Hub) complete(now time.Duration) bool {
	return now-h.started > time.Duration(completeBeats*float64(h.HeartbeatInterval))
}

// hubs returns this hub and those that are reachable. The caller holds mu.
func (h *Hub) hubs(now time.Duration) []*schema.HubAddress {
	out := []*schema.HubAddress{h.self()}
	for _, p := range h.peers {
		if now-p.heard < peerFresh && p.hub.GetRegion() != "" {
			out = append(out, p.hub)
		}
	}
	return out
}

func (h *Hub) self() *schema.HubAddress {
	return &schema.HubAddress{Address: h.Address, DataCentre: string(h.DataCentre), Region: string(h.Region), ControlAddress: h.ControlAddress}
}
