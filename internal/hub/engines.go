package hub

import (
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
)

// refreshInterval is how often heartbeats that change nothing are forwarded to other
// hubs.
const refreshInterval = time.Second

// Heartbeat records the heartbeat of an engine. It returns the control address to
// which the engine should send its next heartbeats: that of a hub in its data centre
// if there is one.
func (h *Hub) Heartbeat(r presence.Record) (next string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	r.LastHeartbeat = now
	changed := h.directory.Observe(now, r)
	h.evidence.Alive(r.Engine, r.Started, now)
	h.lastDirect[r.Engine] = now
	if changed {
		h.notify()
		klog.InfoS("Engine changed", "engine", r.Engine, "service", r.Service, "address", r.Address, "data_centre", r.DataCentre,
			"state", r.State, "started", r.Started, "sequence", r.Sequence, "cold", r.ColdUntil-now)
	}
	return h.controlAddressIn(r.DataCentre)
}

// Deregister records that an engine has announced its shutdown.
func (h *Hub) Deregister(id serving.EngineID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.lastDirect[id] = now
	if h.directory.MarkGone(now, id) {
		h.notify()
		klog.InfoS("Engine gone", "engine", id)
	}
}

// controlAddressIn returns the control address of a reachable hub in a data centre,
// or that of this hub if there is none. The caller holds mu.
func (h *Hub) controlAddressIn(dc serving.DataCentreID) string {
	if dc == h.DataCentre {
		return h.ControlAddress
	}
	now := h.Clock.Now()
	for _, p := range h.peers {
		if p.hub.GetDataCentre() == string(dc) && p.hub.GetControlAddress() != "" && now-p.lastReport < peerTimeout {
			return p.hub.GetControlAddress()
		}
	}
	return h.ControlAddress
}
