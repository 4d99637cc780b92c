package hub

import (
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
)

// refreshInterval is how often mere heartbeats are passed on to other hubs.
const refreshInterval = time.Second

// Heartbeat takes in the heartbeat of an engine. It returns the address at which
// the engine's next heartbeats are welcome: that of a hub in its data centre.
func (h *Hub) Heartbeat(r presence.Record) (next string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	r.LastHeartbeat = now
	changed := h.directory.Observe(now, r)
	h.direct[r.Engine] = now
	if changed {
		h.notify()
		klog.InfoS("Engine changed", "engine", r.Engine, "service", r.Service, "address", r.Address, "data_centre", r.DataCentre,
			"state", r.State, "started", r.Started, "sequence", r.Sequence, "cold", r.ColdUntil-now)
	}
	return h.nearest(r.DataCentre)
}

// Leave takes in that an engine ends.
func (h *Hub) Leave(id serving.EngineID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.direct[id] = now
	if h.directory.MarkGone(now, id) {
		h.notify()
		klog.InfoS("Engine gone", "engine", id)
	}
}

// nearest returns the control address of a hub in a data centre, that of this
// hub if there is none. The caller holds mu.
func (h *Hub) nearest(dc serving.DataCentreID) string {
	if dc == h.DataCentre {
		return h.ControlAddress
	}
	now := h.Clock.Now()
	for _, p := range h.peers {
		if p.hub.GetDataCentre() == string(dc) && p.hub.GetControlAddress() != "" && now-p.heard < peerFresh {
			return p.hub.GetControlAddress()
		}
	}
	return h.ControlAddress
}
