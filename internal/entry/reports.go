package entry

import (
	"strconv"
	"time"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// engineReport is the part of an engine's last processed announcement that the next one
// is compared with.
type engineReport struct {
	receivedAt  time.Duration
	incarnation serving.Incarnation
	preemptions int64
}

// processReports passes new announcements to the tracker and the calibration.
func (s *dispatcher) processReports(b *Blackboard) {
	if b.View == nil {
		return
	}
	now := s.entry.Clock.Now()
	for id, n := range b.Engines {
		old, known := s.reports[id]
		if n.Kind != engine.KindModel || (known && n.ReceivedAt <= old.receivedAt) {
			continue
		}
		s.reports[id] = engineReport{n.ReceivedAt, n.Incarnation, n.Load.Preemptions}
		s.tracker.Announce(now, trackedAnnouncement(b.View, n))
		if known && old.incarnation == n.Incarnation && n.Load.Running > 0 {
			s.calibration.Record(n.Load.Preemptions > old.preemptions)
		}
	}
	for id := range s.reports {
		if b.Engines[id] == nil {
			delete(s.reports, id)
			s.tracker.Remove(id)
		}
	}
}

// trackedAnnouncement converts an engine's announcement for the tracker, with canonical
// model names.
func trackedAnnouncement(v *View, n *Engine) dispatch.Announcement {
	a := dispatch.Announcement{
		Engine: n.Engine, DataCentre: n.DataCentre, Region: n.Region, Incarnation: n.Incarnation,
		Uptime: time.Duration(n.UptimeMS) * time.Millisecond,
		Role:   n.Role, State: dispatch.EngineState(n.Announcement.State), Capacity: n.Capacity, Load: n.Load,
	}
	if n.State == engine.StateLeaving {
		a.State = dispatch.EngineLeaving
	}
	for _, m := range n.Models {
		a.Models = append(a.Models, dispatch.ServedModel{Model: canonicalModel(v, m.Model), Version: m.Version})
	}
	for _, ev := range n.CacheEvents {
		if prefix, err := strconv.ParseUint(ev.Prefix, 16, 64); err == nil || ev.Op == "clear" {
			a.CacheEvents = append(a.CacheEvents, dispatch.CacheEvent{Seq: ev.Seq, Op: ev.Op, Prefix: prefix})
		}
	}
	return a
}

func canonicalModel(v *View, m serving.ModelID) serving.ModelID {
	if id, ok := v.Resolve(schema.ObjectKind_OBJECT_KIND_MODEL, string(m)); ok {
		return serving.ModelID(id)
	}
	return m
}

// inService reports whether the configuration and the membership permit new work on an
// engine.
func (s *dispatcher) inService(id serving.EngineID, _ serving.DataCentreID) bool {
	b := s.entry.board.load()
	n := b.Engines[id]
	return n != nil && b.View != nil && n.acceptsWork(b.View)
}

// networkDelay returns the one-way network delay to a data centre that placement
// assumes.
func (s *dispatcher) networkDelay(id serving.DataCentreID) time.Duration {
	if id == s.entry.Settings.DataCentre {
		return 0
	}
	if v := s.entry.board.load().View; v != nil {
		if _, place, ok := v.DataCentre(string(id)); ok && place.GetRegion() == string(s.entry.Settings.Region) {
			return sameRegionDelay
		}
	}
	return otherRegionDelay
}

// firstToken records the first token of a generation.
func (s *dispatcher) firstToken(id serving.EngineID, g serving.GenerationID) {
	s.submit(s.ctx, func() { s.tracker.FirstToken(s.entry.Clock.Now(), id, g) })
}

// progress records that a generation has produced soFar tokens.
func (s *dispatcher) progress(id serving.EngineID, g serving.GenerationID, soFar serving.Tokens) {
	s.submit(s.ctx, func() { s.tracker.Progress(s.entry.Clock.Now(), id, g, soFar) })
}

// done records the end of a generation and corrects the account's charge to the tokens
// that were used. The prompt counts only if a token was produced.
func (s *dispatcher) done(r *serving.Request, p placement, soFar serving.Tokens, o dispatch.Outcome) {
	s.submit(s.ctx, func() {
		now := s.entry.Clock.Now()
		s.tracker.Progress(now, p.engine, p.generation, soFar)
		s.tracker.Done(now, p.engine, p.generation, o)
		used := soFar
		if soFar > 0 {
			used += r.PromptTokens
		}
		s.limits.tokens.Charge(now, r.Account, used-p.cost)
		s.queue.Charge(r.Account, used-p.cost)
	})
}
