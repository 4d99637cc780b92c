package entry

import (
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// slotOwner is this entry's state as the owner of the slots of an engine or account.
type slotOwner struct {
	owner *dispatch.Owner
	// ramp limits an engine that is cold, that is, not warmed up. It is nil for an
	// account.
	ramp *dispatch.Ramp
	// reportedAt is when the last processed load report arrived.
	reportedAt time.Duration
}

// updateOwned updates the set of owned engines to the current entry list, and their
// state to the current view and load reports.
func (s *dispatcher) updateOwned(b *Blackboard) {
	if b.View == nil || b.OwnerCandidates == nil {
		return
	}
	now := s.entry.Clock.Now()
	s.limits.updateEntries(now, b.OwnerCandidates.Epoch, b.OwnerCandidates.Entries)
	if !s.ownership.Update(now, b.OwnerCandidates.Epoch, b.OwnerCandidates.Entries) {
		clear(s.owned)
	}
	restored := s.restoredDataCentres(b)
	for id, o := range s.owned {
		if _, ok := accountOf(id); ok {
			s.updateOwnedAccount(now, id, b)
			continue
		}
		n := b.Engines[id]
		if n == nil || !s.owns(n) {
			delete(s.owned, id)
			continue
		}
		o.owner.ViewConfirmed(b.View.ConfirmedAt)
	}
	for id, n := range b.Engines {
		if !s.owns(n) {
			continue
		}
		o := s.owned[id]
		if o == nil {
			o = s.newSlotOwner(now, n)
			o.owner.ViewConfirmed(b.View.ConfirmedAt)
			s.owned[id] = o
		}
		if restored[n.DataCentre] {
			o.ramp.TurnCold(now)
			s.tracker.TurnCold(now, id)
		}
		if o.update(now, n, s.tracker.Reference(id), !n.acceptsWork(b.View)) && len(n.Models) > 0 {
			memory := serving.Tokens(n.Capacity.MemoryBlocks) * n.Capacity.BlockTokens
			o.owner.SetMemory(memory, s.calibration.Quantile(), s.tracker.TypicalForecast(canonicalModel(b.View, n.Models[0].Model)))
		}
	}
}

// owns reports whether this entry owns an engine.
func (s *dispatcher) owns(n *Engine) bool {
	owner, ok := s.ownerOf(n)
	return ok && owner.Host == s.self.Host
}

// newSlotOwner returns the owner of an engine. It grants nothing until the slots of
// earlier owners have expired, unless there can be none.
func (s *dispatcher) newSlotOwner(now time.Duration, n *Engine) *slotOwner {
	term := dispatch.OwnerTerm{Epoch: s.ownership.Epoch(), Owner: s.self}
	var from *dispatch.Handover
	idle := n.Load.Running+n.Load.Queued == 0
	if idle && s.ownership.Settled(now, n.Engine, n.DataCentre, n.Region) {
		from = &dispatch.Handover{}
	}
	klog.V(1).InfoS("Became owner of engine", "engine", n.Engine, "epoch", term.Epoch, "wait", from == nil)
	return &slotOwner{
		owner: dispatch.NewOwner(s.cfg, n.Engine, term, now, from),
		ramp:  dispatch.NewRamp(dispatch.RampConfig{}),
	}
}

// update applies an engine's announcement and reports whether its load report was new.
// warmStep is the step time of the engine when it is warm, or 0 if that is unknown.
func (o *slotOwner) update(now time.Duration, n *Engine, warmStep time.Duration, noNewWork bool) (reported bool) {
	o.ramp.Announce(now, n.Incarnation, n.Capacity)
	o.ramp.SetUptime(now, time.Duration(n.UptimeMS)*time.Millisecond)
	o.ramp.SetReference(warmStep)
	// A report that is older than slotReportAge may lack generations started since.
	if n.ReceivedAt > o.reportedAt && now-n.ReceivedAt <= slotReportAge {
		o.reportedAt = n.ReceivedAt
		o.owner.Report(now, n.Incarnation, n.Load)
		o.ramp.Report(now, n.Load)
		reported = true
	}
	o.owner.SetNoNewWork(noNewWork)
	o.owner.SetLimit(o.ramp.Limit())
	return reported
}

// handleSlowed marks an engine as cold if an entry has measured that the engine has
// slowed down. This takes effect before the engine's own load reports show it.
func (s *dispatcher) handleSlowed(id serving.EngineID, slowed bool) {
	o := s.owned[id]
	if o == nil || o.ramp == nil || !slowed || o.ramp.Cold() {
		return
	}
	o.ramp.TurnCold(s.entry.Clock.Now())
	o.owner.SetLimit(o.ramp.Limit())
}

// restoredDataCentres returns the data centres that operators have brought back into
// service since the previous view.
func (s *dispatcher) restoredDataCentres(b *Blackboard) map[serving.DataCentreID]bool {
	if s.outOfServiceRevision == b.View.Revision() {
		return nil
	}
	s.outOfServiceRevision = b.View.Revision()
	restored := map[serving.DataCentreID]bool{}
	for _, o := range b.View.List(schema.ObjectKind_OBJECT_KIND_DATA_CENTRE) {
		id, out := serving.DataCentreID(o.GetId()), o.GetDataCentre().GetOut()
		restored[id] = s.outOfService[id] && !out
		s.outOfService[id] = out
	}
	return restored
}

// grant answers a slot request, or returns false if this entry does not own the engine
// or may not grant now.
func (s *dispatcher) grant(q dispatch.SlotRequest) (dispatch.SlotReply, bool) {
	b := s.entry.board.load()
	s.updateOwned(b)
	o := s.owned[q.Engine]
	if _, ok := accountOf(q.Engine); ok {
		o = s.updateOwnedAccount(s.entry.Clock.Now(), q.Engine, b)
	}
	if o == nil {
		return dispatch.SlotReply{}, false
	}
	return o.owner.Grant(s.entry.Clock.Now(), q)
}

// acceptsWork reports whether an engine may receive new work: it is reachable and
// ready, and operators have taken neither it nor its data centre out of service.
func (n *Engine) acceptsWork(v *View) bool {
	return n.State == engine.StateAlive && n.Announcement.State == engine.PhaseReady &&
		!v.DataCentreOut(string(n.DataCentre)) && !v.EngineOut(string(n.Engine))
}
