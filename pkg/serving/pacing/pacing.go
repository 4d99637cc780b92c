// Package pacing limits the rate at which many entries together send calls to an engine
// that takes only a named number of calls per second. An entry is a process that forwards
// client requests to engines.
//
// # Usage
//
// Each entry has a Demand for each service and a Pacer for each engine. It passes on what
// it knows to the other entries, which do the same:
//
//	demand.Count(now)                        // for each call to the service
//	pacer.Hear(now, pacing.Limit{...})       // for each answer of the engine
//	pacer.SetOthers(now, others, entries)    // for each report of the other entries
//	if pacer.Allows(now, demand.Rate(now)) {
//		pacer.Take(now)
//	}
//
// # Shares
//
// The share of an entry is the limit times its part of the demand. An entry learns of
// lower demand of others late on purpose, after holdPeak: entries that are cut off may
// still send, and two halves of a fleet that can't see each other must not both take the
// whole limit. A share is a rate. An entry with a small share gets one call after several
// seconds, which it must send within useWithin; the entries begin at random phases, so that
// few of them have a call to send at the same time. Larger shares save the calls of
// saveTime. An entry without demand saves none.
//
// A Pacer has no clock, network or goroutine, and isn't safe for concurrent use.
package pacing

import (
	"math"
	"time"
)

const (
	// DemandWindow is the time constant of the average of the demand.
	DemandWindow = 3 * time.Second
	// holdPeak is how long a share still counts a demand of other entries that their
	// reports no longer show. Without reports it counts on.
	holdPeak = 10 * time.Second
	// assumeEqual is how long after the first limit reports of the other entries must have
	// arrived. Until then an entry assumes that all have its own demand.
	assumeEqual = time.Second
	// saveTime bounds the calls that are saved if it is enough for more than one.
	saveTime = 250 * time.Millisecond
	// useWithin is how long a single saved call may be sent.
	useWithin = 2 * time.Second
	// smallShareTime is the time within which a share that isn't small allows a call. Small
	// shares are reduced by smallShareFactor, because entries that send rarely, and
	// independently of each other, sometimes send at the same time.
	smallShareTime   = 4 * time.Second
	smallShareFactor = 0.75
	// maxDebtTime bounds how long calls that were sent without being allowed delay others.
	maxDebtTime = 4 * time.Second
	// forgetAfter is how long a limit holds without a new answer of the engine.
	forgetAfter = time.Minute
	// MinPerSecond is the rate at which the entries together still call an engine that
	// names a lower limit, so that they hear when it takes more calls.
	MinPerSecond = 0.25
	// MaxPerSecond is the limit above which an engine counts as unlimited.
	MaxPerSecond = 1e6
	// minDemand is the demand below which an entry counts as idle and saves no calls.
	minDemand = 0.01
)

// Limit is what an engine named in an answer.
type Limit struct {
	// PerSecond is the number of calls per second that the engine takes from all entries
	// together; 0 or less if Limited is not set.
	PerSecond float64
	// Limited is false if the answer named no limit.
	Limited bool
	// HeardAt is when the answer arrived.
	HeardAt time.Duration
}

// Demand is the average rate of the calls to a service at one entry.
type Demand struct {
	perSecond float64
	at        time.Duration
}

// Count counts a call.
func (d *Demand) Count(now time.Duration) {
	d.perSecond = d.Rate(now) + 1/DemandWindow.Seconds()
	d.at = now
}

// Rate returns the average number of calls per second.
func (d *Demand) Rate(now time.Duration) float64 {
	return d.perSecond * math.Exp(-max(0, now-d.at).Seconds()/DemandWindow.Seconds())
}

// Pacer decides at one entry when a call may be sent to one engine. Exported fields are
// set before the first use.
type Pacer struct {
	// Phase is a random number from 0 to less than 1, which the entries draw independently.
	Phase float64

	limit Limit
	// known is set once an answer of the engine is known.
	known bool
	// limitedSince is when the current series of answers with a limit began.
	limitedSince time.Duration
	others       peak
	entries      int
	// othersAt is when the demand of the other entries was last set.
	othersAt time.Duration
	// saved is the number of calls that the share has allowed and that were not sent, at
	// updatedAt. For a small share, the part above 1 tells how long one call is saved.
	saved     float64
	updatedAt time.Duration
	// own is the demand of this entry at updatedAt.
	own float64
}

// Hear records an answer of the engine, heard here or by another entry. Answers older than
// the newest one are ignored. It reports whether the limit has changed.
func (p *Pacer) Hear(now time.Duration, l Limit) (changed bool) {
	l = l.normalize()
	if p.known && l.HeardAt <= p.limit.HeardAt {
		return false
	}
	changed = l.Limited != p.limit.Limited || l.PerSecond != p.limit.PerSecond
	if l.Limited && !p.limit.Limited {
		p.limitedSince, p.updatedAt, p.saved = now, now, p.Phase
	}
	p.limit, p.known = l, true
	return changed
}

// normalize returns the limit with a rate within the bounds of the package. A rate that is
// not a number counts as no limit.
func (l Limit) normalize() Limit {
	if !l.Limited || math.IsNaN(l.PerSecond) || l.PerSecond > MaxPerSecond {
		return Limit{HeardAt: l.HeardAt}
	}
	l.PerSecond = max(l.PerSecond, MinPerSecond)
	return l
}

// Heard returns the newest answer of the engine; ok is false if none is known.
func (p *Pacer) Heard() (l Limit, ok bool) { return p.limit, p.known }

// Limited reports whether the engine takes a limited number of calls.
func (p *Pacer) Limited(now time.Duration) bool {
	return p.limit.Limited && now-p.limit.HeardAt <= forgetAfter
}

// SetOthers sets the demand of the other entries, in calls per second, and the number of
// all entries.
func (p *Pacer) SetOthers(now time.Duration, perSecond float64, entries int) {
	p.others.set(now, perSecond)
	p.entries, p.othersAt = entries, now
}

// share returns the calls per second that this entry may send.
func (p *Pacer) share(now time.Duration, own float64) float64 {
	others := p.others.highest()
	if min(now, p.othersAt)-p.limitedSince < assumeEqual {
		others = max(others, own*float64(p.entries-1))
	}
	share := p.limit.PerSecond * own / (own + others)
	if share*smallShareTime.Seconds() < 1 {
		return share * smallShareFactor
	}
	return share
}

// update adds the calls that the share has allowed since the last update. own is the
// entry's own demand.
func (p *Pacer) update(now time.Duration, own float64) {
	passed := max(0, now-p.updatedAt).Seconds()
	p.updatedAt, p.own = now, own
	if own < minDemand {
		p.saved = min(p.saved, p.Phase)
		return
	}
	share := p.share(now, own)
	p.saved += passed * share
	if burst := share * saveTime.Seconds(); burst > 1 {
		p.saved = min(p.saved, burst)
	} else if period := 1 + share*useWithin.Seconds(); p.saved >= period {
		// The saved call has expired, maybe several times.
		p.saved = math.Mod(p.saved, period)
	}
}

// Allows reports whether one more call may be sent now. own is the demand of this entry.
func (p *Pacer) Allows(now time.Duration, own float64) bool {
	if !p.Limited(now) {
		return true
	}
	p.update(now, own)
	return p.saved >= 1
}

// Wait returns the time until a call may be sent, if the demand stays as it is; 0 if it may
// be sent now.
func (p *Pacer) Wait(now time.Duration, own float64) time.Duration {
	if p.Allows(now, own) {
		return 0
	}
	share := max(p.share(now, max(own, minDemand)), minDemand)
	return time.Duration((1 - p.saved) / share * float64(time.Second))
}

// Take counts a call that is sent to the engine. Calls that weren't allowed delay later
// ones.
func (p *Pacer) Take(now time.Duration) {
	if !p.Limited(now) {
		return
	}
	p.update(now, p.own)
	share := p.share(now, max(p.own, minDemand))
	if p.saved >= 1 && share*saveTime.Seconds() <= 1 {
		p.saved = 0
		return
	}
	p.saved = max(p.saved-1, -max(1, share*maxDebtTime.Seconds()))
}

// peak holds the highest of the values that were set in two periods of holdPeak, the
// current one and the one before. Time passes only when values are set.
type peak struct {
	current, before float64
	// since is when the current period began.
	since time.Duration
}

func (k *peak) set(now time.Duration, v float64) {
	switch passed := now - k.since; {
	case passed >= 2*holdPeak:
		// No value was set for a while. The newest one before still counts.
		k.before, k.current, k.since = k.highest(), 0, now
	case passed >= holdPeak:
		k.before, k.current, k.since = k.current, 0, k.since+holdPeak
	}
	k.current = max(k.current, v)
}

func (k *peak) highest() float64 { return max(k.current, k.before) }
