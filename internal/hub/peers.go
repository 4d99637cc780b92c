package hub

import (
	"context"
	"net/url"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

const (
	// reportInterval is how often the use of engines is told to other hubs.
	reportInterval = 80 * time.Millisecond
	// reportTimeout bounds one report; the next one repeats what it said.
	reportTimeout = 800 * time.Millisecond
	// forgetPeer is how long a hub that was never or long not heard is still tried.
	forgetPeer = 30 * time.Second
)

// peer is another hub.
type peer struct {
	hub *schema.HubAddress
	// heard is when a report of it arrived.
	heard   time.Duration
	added   time.Duration
	entries int
	// cursor is the last change of the directory that was told to it.
	cursor    uint64
	refreshed time.Duration
	lost      bool
	cancel    context.CancelFunc
}

// hostOf returns the host id of a hub: the host of its base URL.
func hostOf(address string) serving.HostID {
	u, err := url.Parse(address)
	if err != nil {
		return serving.HostID(address)
	}
	return serving.HostID(u.Hostname())
}

// addPeer makes another hub known. The caller holds mu or is the only goroutine.
func (h *Hub) addPeer(a *schema.HubAddress) *peer {
	if a.GetAddress() == "" || a.GetAddress() == h.Address {
		return nil
	}
	p := h.peers[a.GetAddress()]
	if p == nil {
		p = &peer{hub: a, added: h.Clock.Now(), heard: -peerFresh}
		h.peers[a.GetAddress()] = p
		klog.InfoS("Hub discovered", "hub", a.GetAddress(), "data_centre", a.GetDataCentre())
	} else if a.GetRegion() != "" {
		p.hub = a
	}
	return p
}

// reportToPeers keeps one goroutine for each other hub, which reports to it.
func (h *Hub) reportToPeers(ctx context.Context) {
	every(ctx, tick, func() {
		members := h.replica.current().State().Members
		h.mu.Lock()
		defer h.mu.Unlock()
		now := h.Clock.Now()
		for _, m := range members {
			h.addPeer(&schema.HubAddress{Address: m.Address})
		}
		for address, p := range h.peers {
			switch {
			case now-max(p.heard, p.added) > forgetPeer && !h.isFirstAddress(address):
				if p.cancel != nil {
					p.cancel()
				}
				delete(h.peers, address)
			case p.cancel == nil:
				var peerCtx context.Context
				peerCtx, p.cancel = context.WithCancel(ctx)
				go h.reportTo(peerCtx, p)
			}
		}
	})
}

func (h *Hub) isFirstAddress(address string) bool {
	for _, a := range h.First {
		if a == address {
			return true
		}
	}
	return false
}

// reportTo tells one hub of changes at once and of the use of engines regularly.
func (h *Hub) reportTo(ctx context.Context, p *peer) {
	h.mu.Lock()
	client := schema.NewHubProtobufClient(p.hub.GetAddress(), h.client)
	h.mu.Unlock()
	for ctx.Err() == nil {
		h.mu.Lock()
		report, cursor := h.report(p)
		wake := h.wake
		h.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := client.Report(callCtx, report)
		cancel()
		h.mu.Lock()
		if err == nil {
			p.cursor = cursor
		} else {
			p.refreshed = 0
		}
		if lost := err != nil; lost != p.lost {
			p.lost = lost
			klog.InfoS("Hub reachable or not", "hub", p.hub.GetAddress(), "reachable", !lost, "err", err)
		}
		h.mu.Unlock()
		h.wait(ctx, wake, reportInterval)
	}
}

// report returns what a hub has to be told. The caller holds mu.
func (h *Hub) report(p *peer) (*schema.HubReport, uint64) {
	now := h.Clock.Now()
	out := &schema.HubReport{Hub: h.self(), Incarnation: h.incarnation}
	refresh := now-p.refreshed > refreshInterval
	if refresh {
		p.refreshed = now
	}
	for id, at := range h.direct {
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
	return out, h.directory.Cursor()
}

// Report implements schema.Hub: it takes in what another hub has heard.
func (h *Hub) Report(_ context.Context, in *schema.HubReport) (*schema.HubReportResult, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if p := h.addPeer(in.GetHub()); p != nil {
		p.heard, p.entries = now, int(in.GetEntries())
		h.remote.Report(now, in.GetHub().GetAddress(), usage.FromWire(in.GetUses()))
	}
	changed := false
	for _, m := range in.GetEngines() {
		if h.directory.Observe(now, presence.FromWire(now, m)) {
			changed = true
		}
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
		if now-p.heard < peerFresh {
			n += p.entries
		}
	}
	return n
}
