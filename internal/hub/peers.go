package hub

import (
	"context"
	"net/url"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// reportInterval is how often the load at engines is reported to other hubs.
	reportInterval = 80 * time.Millisecond
	// reportTimeout bounds one report. The next report repeats the contents of a failed
	// one.
	reportTimeout = 800 * time.Millisecond
	// removePeerAfter is how long a hub from which no report arrives is still contacted.
	removePeerAfter = 30 * time.Second
)

// peer is another hub.
type peer struct {
	hub *schema.HubAddress
	// lastReport is when its last report arrived.
	lastReport time.Duration
	addedAt    time.Duration
	// entries is the number of entries that poll it.
	entries int
	reportCursors
	// refreshedAt is when unchanged engines were last reported to it.
	refreshedAt time.Duration
	unreachable bool
	cancel      context.CancelFunc
}

// reportCursors are the positions up to which changes of the directory and evidence were
// reported to a hub.
type reportCursors struct {
	cursor, evidenceCursor, rolloutCursor uint64
}

// hostOf returns the host id of a hub, which is the host in its base URL.
func hostOf(address string) serving.HostID {
	u, err := url.Parse(address)
	if err != nil {
		return serving.HostID(address)
	}
	return serving.HostID(u.Hostname())
}

// addPeer adds another hub, or updates its data if a is a complete address, which has a
// region. Addresses from the settings have none. It returns nil for this hub itself. The
// caller holds mu or is the only goroutine.
func (h *Hub) addPeer(a *schema.HubAddress) *peer {
	if a.GetAddress() == "" || a.GetAddress() == h.Address {
		return nil
	}
	p := h.peers[a.GetAddress()]
	if p == nil {
		p = &peer{hub: a, addedAt: h.Clock.Now(), lastReport: -peerTimeout}
		h.peers[a.GetAddress()] = p
		klog.InfoS("Hub discovered", "hub", a.GetAddress(), "data_centre", a.GetDataCentre())
	} else if a.GetRegion() != "" {
		p.hub = a
	}
	return p
}

// managePeers adds the members of the log as peers, and runs a reportLoop for each peer.
// It removes peers from which no report arrives, except the InitialHubs.
func (h *Hub) managePeers(ctx context.Context) {
	every(ctx, checkInterval, func() {
		members := h.replica.current().State().Members
		h.mu.Lock()
		defer h.mu.Unlock()
		now := h.Clock.Now()
		for _, m := range members {
			h.addPeer(&schema.HubAddress{Address: m.Address})
		}
		for address, p := range h.peers {
			switch {
			case now-max(p.lastReport, p.addedAt) > removePeerAfter && !h.isInitialHub(address):
				if p.cancel != nil {
					p.cancel()
				}
				delete(h.peers, address)
			case p.cancel == nil:
				var peerCtx context.Context
				peerCtx, p.cancel = context.WithCancel(ctx)
				go h.reportLoop(peerCtx, p)
			}
		}
	})
}

func (h *Hub) isInitialHub(address string) bool {
	for _, a := range h.InitialHubs {
		if a == address {
			return true
		}
	}
	return false
}

// reportLoop reports changes of engines to one hub immediately, and the load at engines
// at an interval.
func (h *Hub) reportLoop(ctx context.Context, p *peer) {
	h.mu.Lock()
	client := schema.NewHubProtobufClient(p.hub.GetAddress(), h.client)
	h.mu.Unlock()
	for ctx.Err() == nil {
		h.mu.Lock()
		report, cursors := h.report(p)
		changed := h.changed
		h.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := client.Report(callCtx, report)
		cancel()
		h.mu.Lock()
		if err == nil {
			p.reportCursors = cursors
		} else {
			// The hub may have restarted. It gets everything that is recent again.
			p.refreshedAt, p.evidenceCursor, p.rolloutCursor = 0, 0, 0
		}
		if unreachable := err != nil; unreachable != p.unreachable {
			p.unreachable = unreachable
			klog.InfoS("Hub reachability changed", "hub", p.hub.GetAddress(), "reachable", !unreachable, "err", err)
		}
		h.mu.Unlock()
		h.waitForChange(ctx, changed, reportInterval)
	}
}

// report returns the report for a hub and the cursors that it covers. The caller holds mu.
func (h *Hub) report(p *peer) (*schema.HubReport, reportCursors) {
	now := h.Clock.Now()
	out := &schema.HubReport{Hub: h.ownAddress(), Incarnation: h.incarnation}
	refresh := now-p.refreshedAt > refreshInterval
	if refresh {
		p.refreshedAt = now
	}
	for id, at := range h.lastDirect {
		e := h.directory.Get(id)
		if e == nil || now-at > h.directory.SilentAfter && e.State != presence.Gone {
			continue
		}
		if refresh || e.ChangedAfter(p.cursor) {
			out.Engines = append(out.Engines, e.ToWire(now))
		}
	}
	sums, n := h.local.Sums(now)
	for _, u := range sums {
		out.Uses = append(out.Uses, u.ToWire())
	}
	out.Entries = int32(n)
	lost, sound, evidenceCursor := h.evidence.Direct(now, p.evidenceCursor)
	out.LostCalls, out.SoundParts = quarantine.LostToWire(now, lost), quarantine.SoundToWire(now, sound)
	rolloutCursor := p.rolloutCursor
	if !p.unreachable {
		// A hub that has restarted gets all reports of a rollout, which are too many to encode
		// for each attempt to reach it.
		out.Rollouts, rolloutCursor = h.rollouts.changedReports(now, rolloutCursor)
	}
	return out, reportCursors{h.directory.Cursor(), evidenceCursor, rolloutCursor}
}

// Report implements schema.Hub. It applies the report of another hub.
func (h *Hub) Report(_ context.Context, in *schema.HubReport) (*schema.HubReportResult, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if p := h.addPeer(in.GetHub()); p != nil {
		p.lastReport, p.entries = now, int(in.GetEntries())
		h.remote.Report(now, in.GetHub().GetAddress(), usage.FromWire(in.GetUses()))
	}
	changed := false
	for _, m := range in.GetEngines() {
		r := presence.FromWire(now, m)
		h.evidence.Alive(r.Engine, r.Started, r.LastHeartbeat)
		if h.directory.Observe(now, r) {
			changed = true
		}
	}
	h.collect(now, in.GetLostCalls(), in.GetSoundParts(), false)
	for _, e := range in.GetRollouts() {
		h.collectRollouts(now, time.Duration(min(max(0, e.GetAgeMs()), time.Hour.Milliseconds()))*time.Millisecond, entryProcess{e.GetEntry(), e.GetIncarnation()}, e.GetReports(), false)
	}
	if changed {
		h.notify()
	}
	return &schema.HubReportResult{}, nil
}

// remoteEntries returns the number of entries that poll other hubs. The caller holds mu.
func (h *Hub) remoteEntries(now time.Duration) int {
	n := 0
	for _, p := range h.peers {
		if now-p.lastReport < peerTimeout {
			n += p.entries
		}
	}
	return n
}
