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
	// slotReportAge bounds the time that a load report may take from an engine to the
	// owner of its slots. slotReportLag bounds the age of the load in it, which is up to
	// 500 ms old when the engine reports it.
	slotReportAge = time.Second
	slotReportLag = slotReportAge + 500*time.Millisecond
	// slotDrift bounds the relative drift of two monotonic clocks.
	slotDrift = 0.05
)

// ownerOf returns the entry that owns an engine.
func (s *dispatcher) ownerOf(n *Engine) (engine.Entry, bool) {
	return s.ownership.Owner(n.Engine, n.DataCentre, n.Region)
}

// Update implements schema.Slots. It answers another entry's slot request if this entry
// owns the engine or account.
func (s *dispatcher) Update(ctx context.Context, r *schema.SlotRequest) (*schema.SlotResult, error) {
	reply := make(chan *schema.SlotResult, 1)
	sent := s.submit(ctx, func() {
		q := decodeSlotRequest(r)
		s.handleSlowed(q.Engine, r.GetSlowed())
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
		q.Held = append(q.Held, dispatch.HeldSlot{ID: serving.SlotID(h.GetId()), LastUse: h.GetUses(), Running: h.GetRunning()})
	}
	return q
}

func encodeSlotRequest(q dispatch.SlotRequest) *schema.SlotRequest {
	r := &schema.SlotRequest{
		Engine: string(q.Engine), Entry: string(q.Entry.Host), Incarnation: uint64(q.Entry.Incarnation),
		Seq: q.Seq, Ack: q.Ack, Want: int64(q.Want), Forecast: encodeForecast(&q.Forecast),
	}
	for _, h := range q.Held {
		r.Held = append(r.Held, &schema.HeldSlot{Id: string(h.ID), Uses: h.LastUse, Running: h.Running})
	}
	return r
}

func encodeSlotReply(p dispatch.SlotReply) *schema.SlotResult {
	r := &schema.SlotResult{
		Epoch: p.Term.Epoch, Owner: string(p.Term.Owner.Host), OwnerIncarnation: uint64(p.Term.Owner.Incarnation),
		Seq: p.Seq, TtlMs: p.TTL.Milliseconds(), EngineIncarnation: uint64(p.Incarnation),
		Reclaim: p.Reclaim, Limit: int64(p.Limit), RetryAfterMs: p.RetryAfter.Milliseconds(),
		Others: encodeForecast(&p.Others),
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
		Others: decodeForecast(r.GetOthers()),
	}
	for _, id := range r.GetSlots() {
		p.Slots = append(p.Slots, serving.SlotID(id))
	}
	for _, id := range r.GetRetired() {
		p.Retired = append(p.Retired, serving.SlotID(id))
	}
	return p
}

func encodeForecast(f *serving.MemoryForecast) *schema.MemoryForecast {
	if f.Generations == 0 {
		return nil
	}
	out := &schema.MemoryForecast{Generations: int64(f.Generations)}
	for i := range f.Mean {
		out.Mean = append(out.Mean, float32(f.Mean[i]))
		out.Variance = append(out.Variance, float32(f.Variance[i]))
	}
	return out
}

func decodeForecast(in *schema.MemoryForecast) serving.MemoryForecast {
	f := serving.MemoryForecast{Generations: serving.Slots(in.GetGenerations())}
	for i := range min(len(f.Mean), len(in.GetMean()), len(in.GetVariance())) {
		f.Mean[i], f.Variance[i] = float64(in.GetMean()[i]), float64(in.GetVariance()[i])
	}
	return f
}
