package entry

import (
	"context"
	"time"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

const (
	// slotTick is the time between checks for requests that are due.
	slotTick = 50 * time.Millisecond
	// slotReportLag bounds the age of a load report at the owner: the lag of the
	// engine's report and one announcement interval.
	slotReportLag = 1500 * time.Millisecond
	// slotDrift bounds the relative drift of two monotonic clocks.
	slotDrift = 0.05
)

// slotController grants the slots of the engines that this entry owns and holds
// slots of the engines that it uses. One goroutine owns its state.
type slotController struct {
	entry     *Entry
	cfg       dispatch.SlotConfig
	self      dispatch.EntryID
	events    chan func()
	ownership engine.Ownership
	owned     map[serving.EngineID]*ownedEngine
	held      map[serving.EngineID]*heldEngine
	wasOut    map[serving.DataCentreID]bool
}

func newSlotController(e *Entry, incarnation serving.Incarnation) *slotController {
	cfg := dispatch.SlotConfig{
		TTL:          e.Settings.Entry.SlotTTL.Duration,
		ViewLease:    e.Settings.Entry.ViewLease.Duration,
		MaxDrift:     slotDrift,
		MaxReportLag: slotReportLag,
	}
	settle := time.Duration(float64(cfg.ViewLease+cfg.TTL) * (1 + slotDrift))
	return &slotController{
		entry:     e,
		cfg:       cfg,
		self:      dispatch.EntryID{Host: e.Settings.Host, Incarnation: incarnation},
		events:    make(chan func(), 256),
		ownership: engine.Ownership{Self: e.Settings.Host, Settle: settle},
		owned:     map[serving.EngineID]*ownedEngine{},
		held:      map[serving.EngineID]*heldEngine{},
		wasOut:    map[serving.DataCentreID]bool{},
	}
}

// run is the goroutine that owns the state.
func (s *slotController) run(ctx context.Context) {
	ticker := time.NewTicker(slotTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.events:
			f()
		case <-ticker.C:
			b := s.entry.board.load()
			s.updateOwned(b)
			s.updateHeld(ctx, b)
		}
	}
}

// do runs f on the goroutine that owns the state.
func (s *slotController) do(ctx context.Context, f func()) bool {
	select {
	case s.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// ownerOf returns the address of the entry that owns an engine.
func (s *slotController) ownerOf(n *Engine) (engine.Entry, bool) {
	return s.ownership.Owner(n.Engine, n.DataCentre, n.Region)
}

// Update answers a holder's request as the owner of the engine.
func (s *slotController) Update(ctx context.Context, r *schema.SlotRequest) (*schema.SlotResult, error) {
	reply := make(chan *schema.SlotResult, 1)
	sent := s.do(ctx, func() {
		q := decodeSlotRequest(r)
		p, ok := s.grant(q)
		if !ok {
			reply <- nil
			return
		}
		reply <- encodeSlotReply(p)
	})
	if !sent {
		return nil, ctx.Err()
	}
	select {
	case res := <-reply:
		if res == nil {
			return nil, serving.NewError(serving.KindNotLeader, "this entry grants no slots of the engine now")
		}
		return res, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func decodeSlotRequest(r *schema.SlotRequest) dispatch.SlotRequest {
	q := dispatch.SlotRequest{
		Engine: serving.EngineID(r.GetEngine()),
		Entry:  dispatch.EntryID{Host: serving.HostID(r.GetEntry()), Incarnation: serving.Incarnation(r.GetIncarnation())},
		Seq:    r.GetSeq(), Ack: r.GetAck(), Want: serving.Slots(r.GetWant()),
	}
	for _, h := range r.GetHeld() {
		q.Held = append(q.Held, dispatch.HeldSlot{ID: serving.SlotID(h.GetId()), Uses: h.GetUses(), Running: h.GetRunning()})
	}
	return q
}

func encodeSlotRequest(q dispatch.SlotRequest) *schema.SlotRequest {
	r := &schema.SlotRequest{
		Engine: string(q.Engine), Entry: string(q.Entry.Host), Incarnation: uint64(q.Entry.Incarnation),
		Seq: q.Seq, Ack: q.Ack, Want: int64(q.Want),
	}
	for _, h := range q.Held {
		r.Held = append(r.Held, &schema.HeldSlot{Id: string(h.ID), Uses: h.Uses, Running: h.Running})
	}
	return r
}

func encodeSlotReply(p dispatch.SlotReply) *schema.SlotResult {
	r := &schema.SlotResult{
		Epoch: p.Term.Epoch, Owner: string(p.Term.Owner.Host), OwnerIncarnation: uint64(p.Term.Owner.Incarnation),
		Seq: p.Seq, TtlMs: p.TTL.Milliseconds(), EngineIncarnation: uint64(p.Incarnation),
		Reclaim: p.Reclaim, Limit: int64(p.Limit), RetryAfterMs: p.RetryAfter.Milliseconds(),
	}
	for _, id := range p.Slots {
		r.Slots = append(r.Slots, string(id))
	}
	for _, id := range p.Retired {
		r.Retired = append(r.Retired, string(id))
	}
	return r
}

func decodeSlotReply(id serving.EngineID, r *schema.SlotResult) dispatch.SlotReply {
	p := dispatch.SlotReply{
		Engine: id,
		Term: dispatch.OwnerTerm{Epoch: r.GetEpoch(), Owner: dispatch.EntryID{
			Host: serving.HostID(r.GetOwner()), Incarnation: serving.Incarnation(r.GetOwnerIncarnation()),
		}},
		Seq: r.GetSeq(), TTL: time.Duration(r.GetTtlMs()) * time.Millisecond,
		Incarnation: serving.Incarnation(r.GetEngineIncarnation()), Reclaim: r.GetReclaim(),
		Limit: serving.Slots(r.GetLimit()), RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
	for _, id := range r.GetSlots() {
		p.Slots = append(p.Slots, serving.SlotID(id))
	}
	for _, id := range r.GetRetired() {
		p.Retired = append(p.Retired, serving.SlotID(id))
	}
	return p
}
