package entry

import (
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// ownedEngine is an engine whose slots this entry grants.
type ownedEngine struct {
	owner *dispatch.Owner
	ramp  *dispatch.Ramp
	// reportAt is the time of the last report that was taken in.
	reportAt time.Duration
}

// updateOwned follows the entry list, the engines and their reports.
func (s *dispatcher) updateOwned(b *Blackboard) {
	if b.View == nil || b.Owners == nil {
		return
	}
	now := s.entry.Clock.Now()
	s.limits.follow(now, b.Owners.Epoch, b.Owners.Entries)
	if !s.ownership.Update(now, b.Owners.Epoch, b.Owners.Entries) {
		clear(s.owned)
	}
	returned := s.returnedDataCentres(b)
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
			o = s.newOwned(now, n)
			o.owner.ViewConfirmed(b.View.ConfirmedAt)
			s.owned[id] = o
		}
		if returned[n.DataCentre] {
			o.ramp.TurnCold(now)
			s.tracker.TurnCold(now, id)
		}
		if o.update(now, n, s.tracker.Reference(id), !n.takesWork(b.View)) && len(n.Models) > 0 {
			memory := serving.Tokens(n.Capacity.MemoryBlocks) * n.Capacity.BlockTokens
			o.owner.SetMemory(memory, s.calibration.Quantile(), s.tracker.TypicalForecast(canonicalModel(b.View, n.Models[0].Model)))
		}
	}
}

func (s *dispatcher) owns(n *Engine) bool {
	owner, ok := s.ownerOf(n)
	return ok && owner.Host == s.self.Host
}

// newOwned returns the owner of an engine. It waits for the slots of earlier
// owners to expire, unless there cannot be any.
func (s *dispatcher) newOwned(now time.Duration, n *Engine) *ownedEngine {
	term := dispatch.OwnerTerm{Epoch: s.ownership.Epoch(), Owner: s.self}
	var from *dispatch.Handover
	idle := n.Load.Running+n.Load.Queued == 0
	if idle && s.ownership.Settled(now, n.Engine, n.DataCentre, n.Region) {
		from = &dispatch.Handover{}
	}
	klog.V(1).InfoS("Engine owned", "engine", n.Engine, "epoch", term.Epoch, "wait", from == nil)
	return &ownedEngine{
		owner: dispatch.NewOwner(s.cfg, n.Engine, term, now, from),
		ramp:  dispatch.NewRamp(dispatch.RampConfig{}),
	}
}

// update takes in what the engine announced and tells whether that was new.
func (o *ownedEngine) update(now time.Duration, n *Engine, reference time.Duration, noNewWork bool) (reported bool) {
	o.ramp.Announce(now, n.Incarnation, n.Capacity)
	o.ramp.SetUptime(now, time.Duration(n.UptimeMS)*time.Millisecond)
	o.ramp.SetReference(reference)
	// A report that took longer could be from before a start that it does not show.
	if n.ReceivedAt > o.reportAt && now-n.ReceivedAt <= slotReportAge {
		o.reportAt = n.ReceivedAt
		o.owner.Report(now, n.Incarnation, n.Load)
		o.ramp.Report(now, n.Load)
		reported = true
	}
	o.owner.SetNoNewWork(noNewWork)
	o.owner.SetLimit(o.ramp.Limit())
	return reported
}

// slowed takes in that an entry saw an engine turn cold, before its reports show it.
func (s *dispatcher) slowed(id serving.EngineID, seen bool) {
	o := s.owned[id]
	if o == nil || o.ramp == nil || !seen || o.ramp.Cold() {
		return
	}
	o.ramp.TurnCold(s.entry.Clock.Now())
	o.owner.SetLimit(o.ramp.Limit())
}

// returnedDataCentres returns the data centres that operators have just brought back.
func (s *dispatcher) returnedDataCentres(b *Blackboard) map[serving.DataCentreID]bool {
	if s.outRevision == b.View.Revision() {
		return nil
	}
	s.outRevision = b.View.Revision()
	returned := map[serving.DataCentreID]bool{}
	for _, o := range b.View.List(schema.ObjectKind_OBJECT_KIND_DATA_CENTRE) {
		id, out := serving.DataCentreID(o.GetId()), o.GetDataCentre().GetOut()
		returned[id] = s.wasOut[id] && !out
		s.wasOut[id] = out
	}
	return returned
}

// grant answers a request for an engine that this entry owns.
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

// takesWork tells whether new work may go to an engine: it is reachable, ready,
// and operators have taken neither it nor its data centre out.
func (n *Engine) takesWork(v *View) bool {
	return n.State == engine.StateAlive && n.Announcement.State == engine.PhaseReady &&
		!v.DataCentreOut(string(n.DataCentre)) && !v.EngineOut(string(n.Engine))
}
