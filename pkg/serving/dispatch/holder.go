package dispatch

import (
	"cmp"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// HolderConfig configures a holder. Zero values mean the defaults.
type HolderConfig struct {
	SlotConfig
	// Spare is the number of slots held beyond the demand, so that a generation can
	// start without a round trip to the owner (default 1; negative means none).
	Spare serving.Slots
	// Timeout is the time after which an unanswered request is sent again (default TTL/4).
	Timeout time.Duration
}

// Holder manages the slots of one engine that one entry holds, and requests them from
// the engine's [Owner].
type Holder struct {
	cfg           HolderConfig
	engine        serving.EngineID
	entry         EntryID
	incarnation   serving.Incarnation
	slots         map[serving.SlotID]*heldSlot
	seq, ack      uint64
	sentAt        time.Duration
	awaitingReply bool
	retryAt       time.Duration
	demand        serving.Slots
	// releasePending is true if slots were released since the last request.
	releasePending bool
	// lastNeededAt is the last time at which demand and spare needed all free slots. It
	// is also set when the excess is released.
	lastNeededAt time.Duration

	limit serving.Slots

	others   serving.MemoryForecast
	othersAt time.Duration
	// lastUse is the sequence number of the last generation started by this holder. All
	// slots share the sequence, so that a slot that is released and granted again never
	// repeats a number.
	lastUse uint32
}

type heldSlot struct {
	expires     time.Duration
	incarnation serving.Incarnation
	lastUse     uint32
	running     bool
	retired     bool
}

// NewHolder returns a holder without slots.
func NewHolder(cfg HolderConfig, engine serving.EngineID, entry EntryID) *Holder {
	cfg.SlotConfig = cfg.withDefaults()
	cfg.Spare = orDefault(cfg.Spare, 1)
	cfg.Timeout = orDefault(cfg.Timeout, cfg.TTL/4)
	return &Holder{cfg: cfg, engine: engine, entry: entry, slots: map[serving.SlotID]*heldSlot{}}
}

// SetDemand sets the number of requests that are waiting for a slot at this engine.
func (h *Holder) SetDemand(n serving.Slots) { h.demand = n }

// Others returns the memory forecast of the other entries and the time at which
// the request for it was sent.
func (h *Holder) Others() (serving.MemoryForecast, time.Duration) { return h.others, h.othersAt }

// SetIncarnation records the engine's incarnation and drops the free slots of earlier ones.
func (h *Holder) SetIncarnation(i serving.Incarnation) {
	h.incarnation = max(h.incarnation, i)
	for id, s := range h.slots {
		if s.incarnation < h.incarnation && !s.running {
			delete(h.slots, id)
			h.releasePending = true
		}
	}
}

// Limit returns the engine's limit from the owner's last reply; 0 before the first reply.
func (h *Holder) Limit() serving.Slots { return h.limit }

// Free returns the number of generations that may start now.
func (h *Holder) Free(now time.Duration) serving.Slots {
	var n serving.Slots
	for _, s := range h.slots {
		if h.usable(now, s) {
			n++
		}
	}
	return n
}

// Running returns the number of generations that run under slots.
func (h *Holder) Running() serving.Slots {
	var n serving.Slots
	for _, s := range h.slots {
		if s.running {
			n++
		}
	}
	return n
}

func (h *Holder) usable(now time.Duration, s *heldSlot) bool {
	return !s.running && !s.retired && now < s.expires && s.incarnation >= h.incarnation
}

// Acquire reserves a slot for a generation that starts now. It returns false if none is free.
func (h *Holder) Acquire(now time.Duration) (Slot, bool) {
	var best serving.SlotID
	var found *heldSlot
	for id, s := range h.slots {
		// Map iteration order is random, so ties are broken by ID for reproducible runs.
		if h.usable(now, s) && (found == nil || s.expires > found.expires || s.expires == found.expires && id < best) {
			best, found = id, s
		}
	}
	if found == nil {
		return Slot{}, false
	}
	found.running = true
	h.lastUse++
	found.lastUse = h.lastUse
	return Slot{ID: best, Engine: h.engine, Incarnation: found.incarnation, Expires: found.expires}, true
}

// Release records the end of the generation that ran under a slot.
func (h *Holder) Release(now time.Duration, id serving.SlotID) {
	s := h.slots[id]
	if s == nil {
		return
	}
	s.running = false
	if !h.usable(now, s) {
		delete(h.slots, id)
		h.releasePending = true
	}
}

// Request returns the next request to the owner, or false if none is due. The caller
// sets its Forecast.
func (h *Holder) Request(now time.Duration) (SlotRequest, bool) {
	if h.awaitingReply && now-h.sentAt < h.cfg.Timeout {
		return SlotRequest{}, false
	}
	for id, s := range h.slots {
		if !s.running && !h.usable(now, s) {
			delete(h.slots, id)
			h.releasePending = true
		}
	}
	h.releaseUnused(now)
	want := h.wantedSlots(now)

	due := h.releasePending || want > 0 && now >= h.retryAt
	// Held slots are renewed after a third of their TTL.
	if !due && (len(h.slots) == 0 || now-h.sentAt < h.cfg.TTL/3) {
		return SlotRequest{}, false
	}
	h.seq++
	h.sentAt, h.awaitingReply, h.releasePending = now, true, false
	q := SlotRequest{Engine: h.engine, Entry: h.entry, Seq: h.seq, Ack: h.ack, Want: want}
	for id, s := range h.slots {
		q.Held = append(q.Held, HeldSlot{ID: id, LastUse: s.lastUse, Running: s.running})
	}
	// Slots in use come first, because the owner renews in this order.
	slices.SortFunc(q.Held, func(a, b HeldSlot) int {
		if a.Running != b.Running {
			if a.Running {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return q, true
}

// wantedSlots returns how many more free slots the demand and the spare need.
func (h *Holder) wantedSlots(now time.Duration) serving.Slots {
	if h.demand == 0 && h.Running() == 0 {
		return 0
	}
	return max(0, h.demand+max(0, h.cfg.Spare)-h.Free(now))
}

// HandleReply processes the reply to the latest request. Replies to earlier requests are
// ignored, because the owner may have granted their slots to other entries since. Slots
// expire here before they expire at the owner: the TTL counts from when the request was
// sent and is reduced by the maximum clock drift.
func (h *Holder) HandleReply(now time.Duration, p SlotReply) {
	if p.Engine != h.engine || p.Seq != h.seq || !h.awaitingReply {
		return
	}
	h.awaitingReply, h.ack, h.limit = false, p.Seq, p.Limit
	h.others, h.othersAt = p.Others, h.sentAt
	h.retryAt = now + p.RetryAfter
	expires := h.sentAt + time.Duration(float64(p.TTL)*(1-h.cfg.MaxDrift))
	listed := make(map[serving.SlotID]bool, len(p.Slots))
	for _, id := range p.Slots {
		listed[id] = true
		s := h.slots[id]
		if s == nil {
			s = &heldSlot{incarnation: p.Incarnation}
			h.slots[id] = s
		}
		s.expires, s.retired = expires, false
	}
	for _, id := range p.Retired {
		if s := h.slots[id]; s != nil {
			s.retired = true
		}
	}
	for id, s := range h.slots {
		if !s.running && (s.retired || !listed[id]) {
			delete(h.slots, id)
			h.releasePending = true
		}
	}
	if p.Reclaim {
		h.releaseFree(now, h.demand)
	}
	h.SetIncarnation(p.Incarnation)
}

// releaseUnused releases the free slots beyond demand and spare that have not been
// needed for one TTL.
func (h *Holder) releaseUnused(now time.Duration) {
	if h.Free(now) <= h.demand+max(0, h.cfg.Spare) {
		h.lastNeededAt = now
		return
	}
	if now-h.lastNeededAt >= h.cfg.TTL {
		h.releaseFree(now, h.demand+max(0, h.cfg.Spare))
		h.lastNeededAt = now
	}
}

// releaseFree releases free slots until at most keep of them remain.
func (h *Holder) releaseFree(now time.Duration, keep serving.Slots) {
	var free []serving.SlotID
	for id, s := range h.slots {
		if h.usable(now, s) {
			free = append(free, id)
		}
	}
	slices.Sort(free)
	for i := keep; i < serving.Slots(len(free)); i++ {
		delete(h.slots, free[i])
		h.releasePending = true
	}
}
