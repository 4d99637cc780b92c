package hub

import (
	"context"
	"time"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
	"turmericdrum.org/turmericdrum/pkg/serving/saturation"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// maxWait bounds the wait of one poll for a change.
	maxWait = 2 * time.Second
	// batchPause is the delay of an answer after a change, which combines changes that
	// follow each other closely.
	batchPause = 5 * time.Millisecond
	// minSharedFailures is the number of recent failures of an engine from which entries are
	// told the outcomes of its calls.
	minSharedFailures = 1.0
	// peerTimeout is how long after its last report a hub counts as reachable.
	peerTimeout = 2 * time.Second
)

// Watch implements schema.Hub. It answers immediately if the entry is not up to date,
// and otherwise after a change or when the wait that the entry asked for is over.
func (h *Hub) Watch(ctx context.Context, in *schema.WatchRequest) (*schema.WatchResult, error) {
	if changed := h.recordPoll(in); changed != nil {
		h.waitForChange(ctx, changed, min(time.Duration(in.GetWaitMs())*time.Millisecond, maxWait))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.watchResult(in), nil
}

// recordPoll records what an entry reports with a poll. If the entry is up to date, it
// returns the channel that is closed at the next change, else nil.
func (h *Hub) recordPoll(in *schema.WatchRequest) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.local.Report(now, in.GetEntry(), usage.FromWire(in.GetUses()))
	h.saturation.Poll(now, serving.HostID(in.GetEntry()), in.GetIncarnation(), saturation.StateFromWire(in.GetSaturation()))
	h.collect(now, in.GetLostCalls(), in.GetSoundParts(), true)
	h.collectRollouts(now, 0, entryProcess{in.GetEntry(), in.GetIncarnation()}, in.GetRollouts(), true)
	if h.hasUpdates(in) {
		return nil
	}
	return h.changed
}

// hasUpdates reports whether the entry is not up to date. The caller holds mu.
func (h *Hub) hasUpdates(in *schema.WatchRequest) bool {
	return in.GetRevision() < h.state.GetRevision() || in.GetHubIncarnation() != h.incarnation || in.GetCursor() != h.directory.Cursor() ||
		h.ServesRollouts && in.RolloutsRevision != nil && in.GetRolloutsRevision() < h.state.GetRolloutsRevision()
}

// waitForChange waits up to d until changed is closed, and then for batchPause.
func (h *Hub) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-t.C:
		return
	case <-changed:
	}
	t.Reset(batchPause)
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// watchResult returns the changes since the state that the entry has. The caller holds
// mu.
func (h *Hub) watchResult(in *schema.WatchRequest) *schema.WatchResult {
	now := h.Clock.Now()
	out := &schema.WatchResult{HubIncarnation: h.incarnation, Confirmed: h.confirmed(now), Complete: h.complete(now)}
	if h.everConfirmed {
		age := max(0, now-h.confirmedAt).Milliseconds()
		out.StateAgeMs = &age
	}
	if in.GetRevision() < h.state.GetRevision() {
		out.State = stateForEntries(h.state)
	}
	h.rolloutsForEntry(now, in, out)
	cursor := in.GetCursor()
	if in.GetHubIncarnation() != h.incarnation {
		cursor = 0
	} else {
		// Only a list that starts at cursor 0 can be complete.
		out.Complete = false
	}
	var engines []*presence.EngineStatus
	engines, out.Cursor = h.directory.Since(cursor)
	for _, e := range engines {
		out.Engines = append(out.Engines, e.ToWire(now))
	}
	h.refreshSpeeds(now)
	totalUse, n := h.totalUse(now)
	for _, u := range totalUse {
		// Entries place few generations themselves, and leave the pace to the hubs.
		u.Pace, u.Steps, u.Factor = usage.Pace{}, nil, 0
		if h.placer.pool.IsUneven(u.Engine) {
			u.Slowness = h.placer.pool.Slowness(u.Engine)
		} else {
			u.Paced, u.MaxPause = 0, 0
		}
		if u.Failures < minSharedFailures {
			u.Calls, u.Failures = 0, 0
		}
		out.Uses = append(out.Uses, u.ToWire())
	}
	h.placer.pool.EachSharing(func(id serving.ServiceID, share, ratio float64) {
		out.Machines = append(out.Machines, &schema.ServiceMachines{Service: string(id), SharedShare: float32(share), SharedRatio: float32(ratio)})
	})
	out.Entries = int32(n)
	out.Hubs = h.reachableHubs(now)
	out.Suspects = quarantine.PartsToWire(h.evidence.Suspects(now, h.blocks))
	if a, ok := h.saturation.Answer(now, serving.HostID(in.GetEntry())); ok {
		out.Saturation = a.ToWire()
	}
	return out
}

// confirmed reports whether a leader has confirmed to this process within confirmPeriod
// that the state of this replica is current. The caller holds mu.
func (h *Hub) confirmed(now time.Duration) bool {
	h.observeConfirmation(now)
	return h.everConfirmed && h.confirmedAt >= h.started && now-h.confirmedAt < confirmPeriod
}

// observeConfirmation sets confirmedAt to the last contact with a leader if the replica has
// applied an entry of the leader's term, and so all that was committed before. The caller
// holds mu.
func (h *Hub) observeConfirmation(now time.Duration) {
	s := h.replica.current().State()
	if s.CaughtUp && (s.Leading || s.IsMember) {
		at := now - s.SinceLeaderContact
		if !h.everConfirmed || at > h.confirmedAt {
			h.everConfirmed, h.confirmedAt = true, at
		}
	}
}

// complete reports whether this process has run long enough to have received a
// heartbeat from every running engine. The caller holds mu.
func (h *Hub) complete(now time.Duration) bool {
	return now-h.started > time.Duration(completeIntervals*float64(h.HeartbeatInterval))
}

// reachableHubs returns the addresses of this hub and of the reachable other ones. The
// caller holds mu.
func (h *Hub) reachableHubs(now time.Duration) []*schema.HubAddress {
	out := []*schema.HubAddress{h.ownAddress()}
	for _, p := range h.peers {
		if now-p.lastReport < peerTimeout && p.hub.GetRegion() != "" {
			out = append(out, p.hub)
		}
	}
	return out
}

func (h *Hub) ownAddress() *schema.HubAddress {
	return &schema.HubAddress{Address: h.Address, DataCentre: string(h.DataCentre), Region: string(h.Region), ControlAddress: h.ControlAddress}
}
