package quarantine

import (
	"cmp"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// evidenceTTL is how long a lost call counts.
	evidenceTTL = 10 * time.Minute
	// maxLostCalls bounds the lost calls that are kept; the oldest are dropped first.
	maxLostCalls = 512
	// maxSuspects bounds the suspects that are returned to entries.
	maxSuspects = 256
	// lossWindow is the time within which losses count as one, because engines that lose
	// their power or their network end together, whatever their calls have in common.
	lossWindow = 200 * time.Millisecond
	// minLosses is the number of losses, and of engines lost, from which on a part is
	// blocked with which no answer ever began, and minLossesSound for other parts.
	minLosses      = 2
	minLossesSound = 5
	// minLossesTied is the number of losses from which on one of several parts that
	// explain the losses equally well is blocked.
	minLossesTied = 4
	// settleTime is how long a finding waits for reports of sound parts and of engines
	// that are alive. With only minLosses, every engine should have had the time for a
	// heartbeat that all control hosts know of.
	settleTime      = 250 * time.Millisecond
	settleTimeFirst = 2500 * time.Millisecond
	// aliveAfter is how long after a loss a heartbeat of the same start of the engine
	// shows that it did not crash. Earlier ones may have been sent before the loss.
	aliveAfter = 500 * time.Millisecond
	// suspectsTTL is how long a list of suspects is returned without being computed anew.
	suspectsTTL = time.Second
)

// Evidence collects the reports of all entries. The zero value is ready to use. It is not
// safe for concurrent use.
type Evidence struct {
	lost  map[lossKey]loss
	sound map[Part]soundness

	// suspects is the result of Suspects for suspectsOf, nil if the evidence has changed
	// since.
	suspects   []Part
	suspectsOf *Blocklist
	suspectsAt time.Duration
}

// lossKey identifies a lost call.
type lossKey struct {
	request serving.RequestID
	engineStart
}

// engineStart identifies one run of an engine.
type engineStart struct {
	engine  serving.EngineID
	started int64
}

type loss struct {
	LostCall
	direct bool
	// alive is set if the engine was found to be alive after the loss.
	alive bool
}

type soundness struct {
	at     time.Duration
	direct bool
}

// Lost adds a lost call. direct marks reports that an entry made to this host, which
// [Evidence.Direct] returns. Calls that are already known are ignored.
func (e *Evidence) Lost(now time.Duration, c LostCall, direct bool) {
	if len(c.Parts) == 0 || now-c.At > evidenceTTL {
		return
	}
	if e.lost == nil {
		e.lost = map[lossKey]loss{}
	}
	key := lossKey{c.Request, engineStart{c.Engine, c.EngineStarted}}
	if known, ok := e.lost[key]; ok {
		known.direct = known.direct || direct
		e.lost[key] = known
		return
	}
	c.Parts = c.Parts[:min(len(c.Parts), maxParts)]
	e.lost[key] = loss{LostCall: c, direct: direct}
	e.suspects = nil
	e.expire(now)
}

// Alive records that a start of an engine sent a heartbeat at a time, so that calls which
// it ended before were not lost to a crash.
func (e *Evidence) Alive(engine serving.EngineID, started int64, at time.Duration) {
	for key, l := range e.lost {
		if key.engine == engine && key.started == started && !l.alive && at-l.At > aliveAfter {
			l.alive = true
			e.lost[key] = l
			e.suspects = nil
		}
	}
}

// Sound adds a sound part. It is ignored unless the part is a suspect.
func (e *Evidence) Sound(p SoundPart, direct bool) {
	if e.sound == nil {
		e.sound = map[Part]soundness{}
	}
	known, ok := e.sound[p.Part]
	if !ok && len(e.sound) >= 2*maxSuspects {
		return
	}
	if !ok || p.At > known.at {
		known.at = p.At
	}
	known.direct = known.direct || direct
	e.sound[p.Part] = known
}

// Direct returns the recent reports that entries made to this host, for the other hosts.
func (e *Evidence) Direct(now time.Duration) (lost []LostCall, sound []SoundPart) {
	for _, l := range e.lost {
		if l.direct && now-l.At <= reportFor {
			lost = append(lost, l.LostCall)
		}
	}
	for part, s := range e.sound {
		if s.direct && now-s.at <= reportFor {
			sound = append(sound, SoundPart{part, s.at})
		}
	}
	return lost, sound
}

// Suspects returns the parts of lost calls that no block explains. The result must not be
// modified.
func (e *Evidence) Suspects(now time.Duration, blocks *Blocklist) []Part {
	if len(e.lost) == 0 {
		return nil
	}
	if e.suspects == nil || e.suspectsOf != blocks || now-e.suspectsAt > suspectsTTL {
		e.expire(now)
		all := candidates(e.unexplained(blocks), blocks)
		e.suspects, e.suspectsOf, e.suspectsAt = all[:min(len(all), maxSuspects)], blocks, now
	}
	return e.suspects
}

// Finding is a block that is due, and what it is based on.
type Finding struct {
	Block Block
	// Losses is the number of times at which calls with the block were lost, Engines the
	// number of engines, and Calls the number of calls.
	Losses, Engines, Calls int
}

// Find returns the next block that is due, given the existing ones, and false if there is
// none.
func (e *Evidence) Find(now time.Duration, blocks *Blocklist) (Finding, bool) {
	e.expire(now)
	lost := e.unexplained(blocks)
	best, tied := []Finding(nil), map[string]bool{}
	for _, part := range candidates(lost, blocks) {
		f, ok := e.finding(now, part, lost)
		switch {
		case !ok:
			continue
		case len(best) > 0 && f.Losses < best[0].Losses:
			continue
		case len(best) > 0 && f.Losses > best[0].Losses:
			best, tied = nil, map[string]bool{}
		}
		if key := f.Block.String(); !tied[key] {
			tied[key] = true
			best = append(best, f)
		}
	}
	// Of the blocks that explain the losses equally well, those with fewer parts cover the
	// others.
	best = slices.DeleteFunc(slices.Clone(best), func(f Finding) bool {
		return slices.ContainsFunc(best, func(g Finding) bool { return len(g.Block) < len(f.Block) && g.Block.within(f.Block) })
	})
	if len(best) == 0 || len(best) > 1 && best[0].Losses < minLossesTied {
		return Finding{}, false
	}
	return best[0], true
}

// candidates returns the parts of lost calls that no block matches, sorted.
func candidates(lost []loss, blocks *Blocklist) []Part {
	var out []Part
	for _, l := range lost {
		if blocks.Match(l.Parts) == nil {
			out = append(out, l.Parts...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// finding returns what the losses say about a part: how often calls with it were lost
// since an answer last began with it, and which parts all of these calls have with which
// no answer ever began.
func (e *Evidence) finding(now time.Duration, part Part, lost []loss) (Finding, bool) {
	var f Finding
	var common []Part
	var windowStart, enoughAt time.Duration
	known, wasSound := e.sound[part]
	engines := map[engineStart]bool{}
	for _, l := range lost {
		if !slices.Contains(l.Parts, part) || wasSound && known.at >= l.At {
			continue
		}
		f.Calls++
		engines[engineStart{l.Engine, l.EngineStarted}] = true
		if f.Calls == 1 {
			common = slices.Clone(l.Parts)
		}
		common = slices.DeleteFunc(common, func(p Part) bool { return !slices.Contains(l.Parts, p) })
		if f.Losses == 0 || l.At-windowStart > lossWindow {
			f.Losses++
			windowStart = l.At
			if f.Losses <= minLosses+1 {
				enoughAt = l.At
			}
		}
	}
	f.Engines = len(engines)
	required, settle := minLosses, settleTime
	if wasSound {
		required = minLossesSound
	}
	if min(f.Losses, f.Engines) == minLosses {
		settle = settleTimeFirst
	}
	if min(f.Losses, f.Engines) < required || now-enoughAt < settle {
		return Finding{}, false
	}
	f.Block = NewBlock(slices.DeleteFunc(common, func(p Part) bool {
		_, sound := e.sound[p]
		return p != part && sound
	}))
	return f, true
}

// Repeated reports whether calls were lost with several engines that share a part of these
// with which no answer ever began. A call that was just lost should not be repeated then.
func (e *Evidence) Repeated(parts []Part) bool {
	for _, part := range parts {
		if _, sound := e.sound[part]; sound {
			continue
		}
		engines := map[engineStart]bool{}
		for key, l := range e.lost {
			if !l.alive && slices.Contains(l.Parts, part) {
				engines[key.engineStart] = true
			}
		}
		if len(engines) >= minLosses {
			return true
		}
	}
	return false
}

// unexplained returns the lost calls by their time, without those that were lost
// together with a call that a block matches: that call explains the end of the engine.
func (e *Evidence) unexplained(blocks *Blocklist) []loss {
	explained := map[engineStart]bool{}
	for key, l := range e.lost {
		if !l.alive && blocks.Match(l.Parts) != nil {
			explained[key.engineStart] = true
		}
	}
	var out []loss
	for key, l := range e.lost {
		if !l.alive && (!explained[key.engineStart] || blocks.Match(l.Parts) != nil) {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b loss) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Request, b.Request))
	})
	return out
}

// expire removes old lost calls, the oldest ones above maxLostCalls, and the sound parts
// that no lost call has.
func (e *Evidence) expire(now time.Duration) {
	for key, l := range e.lost {
		if now-l.At > evidenceTTL {
			delete(e.lost, key)
		}
	}
	for len(e.lost) > maxLostCalls {
		var oldest lossKey
		first := true
		for key, l := range e.lost {
			if first || l.At < e.lost[oldest].At {
				oldest, first = key, false
			}
		}
		delete(e.lost, oldest)
	}
	if len(e.sound) == 0 {
		return
	}
	parts := map[Part]bool{}
	for _, l := range e.lost {
		for _, part := range l.Parts {
			parts[part] = true
		}
	}
	for part := range e.sound {
		if !parts[part] {
			delete(e.sound, part)
		}
	}
}
