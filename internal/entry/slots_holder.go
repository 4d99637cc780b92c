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

// slotSource gives the right to run generations on engines.
type slotSource interface {
	// acquire waits for a slot of an engine until ctx ends.
	acquire(ctx context.Context, id serving.EngineID) (dispatch.Slot, error)
	// release ends the use of a slot.
	release(slot dispatch.Slot)
}

// heldEngine is an engine of which this entry holds slots.
type heldEngine struct {
	holder  *dispatch.Holder
	waiters []*slotWaiter
	usedAt  time.Duration
}

// slotWaiter is a request that waits for a slot.
type slotWaiter struct {
	slot chan dispatch.Slot
}

// acquire waits for a slot of an engine until ctx ends. The slot must be released
// when the generation has ended.
func (s *slotController) acquire(ctx context.Context, id serving.EngineID) (dispatch.Slot, error) {
	w := &slotWaiter{slot: make(chan dispatch.Slot, 1)}
	if !s.do(ctx, func() { s.wait(id, w) }) {
		return dispatch.Slot{}, errNoSlot(id)
	}
	select {
	case slot := <-w.slot:
		return slot, nil
	case <-ctx.Done():
	}
	// The controller may have given a slot since; removing the waiter settles it.
	s.events <- func() { s.cancel(id, w) }
	return dispatch.Slot{}, errNoSlot(id)
}

func errNoSlot(id serving.EngineID) error {
	return serving.NewError(serving.KindOverloaded, "engine "+string(id)+" has no free slot").WithRetryAfter(time.Second)
}

// release ends the use of a slot.
func (s *slotController) release(slot dispatch.Slot) {
	s.events <- func() {
		h := s.held[slot.Engine]
		if h == nil {
			return
		}
		h.holder.Release(s.entry.Clock.Now(), slot.ID)
		s.serve(h)
		s.request(context.Background(), slot.Engine, h)
	}
}

func (s *slotController) wait(id serving.EngineID, w *slotWaiter) {
	h := s.held[id]
	if h == nil {
		h = &heldEngine{holder: dispatch.NewHolder(dispatch.HolderConfig{SlotConfig: s.cfg}, id, s.self)}
		s.held[id] = h
	}
	h.usedAt = s.entry.Clock.Now()
	h.waiters = append(h.waiters, w)
	s.serve(h)
	s.request(context.Background(), id, h)
}

func (s *slotController) cancel(id serving.EngineID, w *slotWaiter) {
	h := s.held[id]
	select {
	case slot := <-w.slot:
		h.holder.Release(s.entry.Clock.Now(), slot.ID)
	default:
	}
	for i, other := range h.waiters {
		if other == w {
			h.waiters = append(h.waiters[:i], h.waiters[i+1:]...)
			break
		}
	}
	s.serve(h)
}

// serve gives free slots to those who wait, the longest waiting first.
func (s *slotController) serve(h *heldEngine) {
	now := s.entry.Clock.Now()
	for len(h.waiters) > 0 {
		slot, ok := h.holder.Acquire(now)
		if !ok {
			break
		}
		h.waiters[0].slot <- slot
		h.waiters = h.waiters[1:]
	}
	h.holder.SetDemand(serving.Slots(len(h.waiters)))
}

// updateHeld sends the requests that are due.
func (s *slotController) updateHeld(ctx context.Context, b *Blackboard) {
	now := s.entry.Clock.Now()
	for id, h := range s.held {
		if n := b.Engines[id]; n != nil {
			h.holder.SetIncarnation(n.Incarnation)
		}
		s.serve(h)
		s.request(ctx, id, h)
		if len(h.waiters) == 0 && h.holder.Running() == 0 && now-h.usedAt > heldIdle {
			delete(s.held, id)
		}
	}
}

// request sends a request to the owner if one is due.
func (s *slotController) request(ctx context.Context, id serving.EngineID, h *heldEngine) {
	n := s.entry.board.load().Engines[id]
	if n == nil {
		return
	}
	owner, ok := s.ownerOf(n)
	if !ok {
		return
	}
	q, due := h.holder.Request(s.entry.Clock.Now())
	if !due {
		return
	}
	if owner.Host == s.self.Host {
		if p, ok := s.grant(q); ok {
			s.take(id, p)
		}
		return
	}
	go s.ask(ctx, owner.Address, q)
}

// ask calls the owner and passes its answer back.
func (s *slotController) ask(ctx context.Context, address string, q dispatch.SlotRequest) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.TTL)
	defer cancel()
	client := schema.NewSlotsProtobufClient("http://"+address, s.entry.clusterClient)
	res, err := client.Update(ctx, encodeSlotRequest(q))
	if err != nil {
		klog.V(2).InfoS("Slot request failed", "engine", q.Engine, "owner", address, "err", err)
		return
	}
	s.do(ctx, func() { s.take(q.Engine, decodeSlotReply(q.Engine, res)) })
}

// take takes in an owner's answer.
func (s *slotController) take(id serving.EngineID, p dispatch.SlotReply) {
	h := s.held[id]
	if h == nil {
		return
	}
	h.holder.Reply(s.entry.Clock.Now(), p)
	s.serve(h)
}
