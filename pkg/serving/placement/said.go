package placement

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/pacing"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
)

// The functions below record what engines say of themselves in their answers, and apply it
// to the calls that they get: that they leave, that they want no calls for a time, and how
// many calls per second they take from all entries together.

// CountCall counts a call to a service at this entry, towards its share of the limits that
// the engines of the service name.
func (p *Pool) CountCall(now time.Duration, id serving.ServiceID) {
	if p.demand == nil {
		p.demand = map[serving.ServiceID]*pacing.Demand{}
	}
	if p.demand[id] == nil {
		p.demand[id] = &pacing.Demand{}
	}
	p.demand[id].Count(now)
}

func (p *Pool) demandRate(now time.Duration, id serving.ServiceID) float64 {
	if d := p.demand[id]; d != nil {
		return d.Rate(now)
	}
	return 0
}

// SetLeaving records that an engine has said in an answer that it leaves. Until another
// process runs there, it gets no new calls. It returns true at the first such answer.
func (p *Pool) SetLeaving(id serving.EngineID) (startsLeaving bool) {
	e := p.engines[id]
	if e == nil || e.saidLeaving {
		return false
	}
	e.saidLeaving = true
	return e.State == presence.Ready
}

// Pause keeps calls of this entry from an engine for a time.
func (p *Pool) Pause(now time.Duration, id serving.EngineID, d time.Duration) {
	if e := p.engines[id]; e != nil {
		e.pausedUntil = max(e.pausedUntil, now+d)
	}
}

// SetLimit records what an engine named in an answer to this entry: the number of calls
// per second that it takes, or no limit. It reports whether that has changed.
func (p *Pool) SetLimit(now time.Duration, id serving.EngineID, perSecond float64, limited bool) (changed bool) {
	e := p.engines[id]
	if e == nil || !limited && e.heard == nil && !e.pacer.Limited(now) {
		return false
	}
	l := pacing.Limit{PerSecond: perSecond, Limited: limited, HeardAt: now}
	e.heard = &l
	return e.pacer.Hear(now, l)
}

// CountRequest counts a request to an engine that isn't a call, such as one to copy memory,
// towards the limit that the engine has named.
func (p *Pool) CountRequest(now time.Duration, id serving.EngineID) {
	if e := p.engines[id]; e != nil {
		e.pacer.Take(now)
	}
}

// DetailEngineLimit is the detail of the error of Place if all engines that may run the
// call have named a limit that is used up, or want no calls for a time. RetryAfter of the
// error is the time until the first of them takes a call of this entry.
const DetailEngineLimit = "engine_limit"

// paceWait returns the time until the first engine takes a call; ok is false unless all
// of the eligible engines have named a reason not to take it now.
func (p *Pool) paceWait(now time.Duration, n *Need) (wait time.Duration, ok bool) {
	for _, e := range p.engines {
		if !p.eligible(e, n) {
			continue
		}
		if p.takesCalls(now, e) {
			return 0, false
		}
		if w := max(e.pausedUntil-now, e.pacer.Wait(now, p.demandRate(now, e.Service))); !ok || w < wait {
			wait, ok = w, true
		}
	}
	return wait, ok
}

// PlacePaced chooses, among the engines that have named a limit, one that can take a
// generation now. It returns nil if there is none. A hub doesn't choose such engines,
// because each entry has its own share of their limits.
func (p *Pool) PlacePaced(now time.Duration, n *Need) *Ticket {
	limited := false
	for _, e := range p.engines {
		limited = limited || e.pacer.Limited(now)
	}
	if !limited {
		return nil
	}
	fitting, _ := p.fitting(now, n)
	fitting = slices.DeleteFunc(fitting, func(e *engine) bool { return !e.pacer.Limited(now) })
	if len(fitting) == 0 {
		return nil
	}
	return p.admit(now, p.cheapest(now, fitting, n), n)
}

// takesCalls reports whether an engine may get one more call under what it has named: a
// limit, or a time without calls.
func (p *Pool) takesCalls(now time.Duration, e *engine) bool {
	return now >= e.pausedUntil && e.pacer.Allows(now, p.demandRate(now, e.Service))
}
