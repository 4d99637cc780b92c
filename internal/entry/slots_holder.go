package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// holderIdleTimeout is the time after which the state of an unused engine or account is
// dropped.
const holderIdleTimeout = time.Minute

// slotHolder is this entry's state as a holder of slots of an engine or account.
type slotHolder struct {
	holder *dispatch.Holder
	usedAt time.Duration
}

// holderOf returns the holder of an engine's or account's slots and creates it if
// needed.
func (s *dispatcher) holderOf(id serving.EngineID) *slotHolder {
	h := s.held[id]
	if h == nil {
		h = &slotHolder{holder: dispatch.NewHolder(dispatch.HolderConfig{SlotConfig: s.cfg}, id, s.self)}
		s.held[id] = h
	}
	h.usedAt = s.entry.Clock.Now()
	return h
}

// release releases slots whose generations have ended. It ignores empty slots.
func (s *dispatcher) release(slots ...dispatch.Slot) {
	s.submit(s.ctx, func() {
		for _, slot := range slots {
			s.releaseSlot(slot)
		}
		s.startWaiting()
		for _, slot := range slots {
			if h := s.held[slot.Engine]; h != nil {
				s.request(slot.Engine, h)
			}
		}
	})
}

func (s *dispatcher) releaseSlot(slot dispatch.Slot) {
	if h := s.held[slot.Engine]; h != nil {
		h.holder.Release(s.entry.Clock.Now(), slot.ID)
	}
}

// updateHeld sends the slot requests that are due and drops idle holders.
func (s *dispatcher) updateHeld(b *Blackboard) {
	now := s.entry.Clock.Now()
	for id, h := range s.held {
		if n := b.Engines[id]; n != nil {
			h.holder.SetIncarnation(n.Incarnation)
		}
		s.request(id, h)
		if h.holder.Running() == 0 && now-h.usedAt > holderIdleTimeout {
			delete(s.held, id)
		}
	}
}

// request sends a slot request to the owner if one is due.
func (s *dispatcher) request(id serving.EngineID, h *slotHolder) {
	owner, ok := s.ownerOfKey(id)
	if !ok {
		return
	}
	q, due := h.holder.Request(s.entry.Clock.Now())
	if !due {
		return
	}
	q.Forecast = s.tracker.OwnForecast(id)
	slowed := s.tracker.Slowed(id)
	if owner.Host == s.self.Host {
		s.handleSlowed(id, slowed)
		if p, ok := s.grant(q); ok {
			s.applyReply(id, p)
		}
		return
	}
	go s.sendSlotRequest(owner.Address, q, slowed)
}

// sendSlotRequest calls the owner and passes its reply to the dispatcher's goroutine.
func (s *dispatcher) sendSlotRequest(address string, q dispatch.SlotRequest, slowed bool) {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.TTL)
	defer cancel()
	client := schema.NewSlotsProtobufClient("http://"+address, s.entry.cluster)
	r := encodeSlotRequest(q)
	r.Slowed = slowed
	res, err := client.Update(ctx, r)
	if err != nil {
		klog.V(2).InfoS("Requesting slots failed", "engine", q.Engine, "owner", address, "err", err)
		return
	}
	s.submit(ctx, func() { s.applyReply(q.Engine, decodeSlotReply(q.Engine, res)) })
}

// applyReply applies an owner's reply.
func (s *dispatcher) applyReply(id serving.EngineID, p dispatch.SlotReply) {
	h := s.held[id]
	if h == nil {
		return
	}
	h.holder.HandleReply(s.entry.Clock.Now(), p)
	if _, ok := accountOf(id); !ok {
		others, at := h.holder.Others()
		s.tracker.SetOthers(at, id, others)
		s.tracker.SetLimit(id, h.holder.Limit())
	}
	s.startWaiting()
}
