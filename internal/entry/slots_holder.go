package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// heldIdle is the time after which an engine that is no longer used is forgotten.
const heldIdle = time.Minute

// heldEngine is an engine of which this entry holds slots.
type heldEngine struct {
	holder *dispatch.Holder
	usedAt time.Duration
}

// holderOf returns the holder of an engine's slots.
func (s *dispatcher) holderOf(id serving.EngineID) *heldEngine {
	h := s.held[id]
	if h == nil {
		h = &heldEngine{holder: dispatch.NewHolder(dispatch.HolderConfig{SlotConfig: s.cfg}, id, s.self)}
		s.held[id] = h
	}
	h.usedAt = s.entry.Clock.Now()
	return h
}

// release ends the use of slots; empty ones are passed over.
func (s *dispatcher) release(slots ...dispatch.Slot) {
	s.do(s.ctx, func() {
		for _, slot := range slots {
			s.giveBack(slot)
		}
		s.pump()
		for _, slot := range slots {
			if h := s.held[slot.Engine]; h != nil {
				s.request(slot.Engine, h)
			}
		}
	})
}

func (s *dispatcher) giveBack(slot dispatch.Slot) {
	if h := s.held[slot.Engine]; h != nil {
		h.holder.Release(s.entry.Clock.Now(), slot.ID)
	}
}

// updateHeld sends the requests that are due.
func (s *dispatcher) updateHeld(b *Blackboard) {
	now := s.entry.Clock.Now()
	for id, h := range s.held {
		if n := b.Engines[id]; n != nil {
			h.holder.SetIncarnation(n.Incarnation)
		}
		s.request(id, h)
		if h.holder.Running() == 0 && now-h.usedAt > heldIdle {
			delete(s.held, id)
		}
	}
}

// request sends a request to the owner if one is due.
func (s *dispatcher) request(id serving.EngineID, h *heldEngine) {
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
		s.slowed(id, slowed)
		if p, ok := s.grant(q); ok {
			s.take(id, p)
		}
		return
	}
	go s.ask(owner.Address, q, slowed)
}

// ask calls the owner and passes its answer back.
func (s *dispatcher) ask(address string, q dispatch.SlotRequest, slowed bool) {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.TTL)
	defer cancel()
	client := schema.NewSlotsProtobufClient("http://"+address, s.entry.cluster)
	r := encodeSlotRequest(q)
	r.Slowed = slowed
	res, err := client.Update(ctx, r)
	if err != nil {
		klog.V(2).InfoS("Slot request failed", "engine", q.Engine, "owner", address, "err", err)
		return
	}
	s.do(ctx, func() { s.take(q.Engine, decodeSlotReply(q.Engine, res)) })
}

// take takes in an owner's answer.
func (s *dispatcher) take(id serving.EngineID, p dispatch.SlotReply) {
	h := s.held[id]
	if h == nil {
		return
	}
	h.holder.Reply(s.entry.Clock.Now(), p)
	if _, ok := accountOf(id); !ok {
		others, at := h.holder.Others()
		s.tracker.SetOthers(at, id, others)
		s.tracker.SetLimit(id, h.holder.Limit())
	}
	s.pump()
}
