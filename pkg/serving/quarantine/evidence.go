package quarantine

import (
	"cmp"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/completion"
)

const (
	// evidenceTTL is how long a lost call counts.
	evidenceTTL = 10 * time.Minute
	// maxLostCalls bounds the lost calls that are kept; the oldest are dropped first.
	maxLostCalls = 512
	// maxSuspects bounds the prompt parts, and also the calls, among the suspects that are
	// returned to entries.
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
	// that are alive. Every engine should have had the time for a heartbeat that all control
	// hosts know of if there are only minLosses, unless all processes are known to have
	// ended, or if a process was seen to run.
	settleTime      = 250 * time.Millisecond
	settleTimeFirst = 2500 * time.Millisecond
	// aliveAfter is how long after a loss a heartbeat of the same start of the engine
	// shows that it did not crash. Earlier ones may have been sent before the loss.
	aliveAfter = 500 * time.Millisecond
	// soundStep is the time by which a later report of a sound part must differ. Ages are
	// rounded on the way, so that the same report arrives with slightly different times.
	soundStep = 50 * time.Millisecond
	// maxDirect bounds the lost calls in one report to another host.
	maxDirect = 64
	// suspectsTTL is how long a list of suspects is returned without being computed anew.
	suspectsTTL = time.Second
)

// Evidence collects the reports of all entries. The zero value is ready to use. It is not
// safe for concurrent use.
type Evidence struct {
	lost  map[lossKey]loss
	sound map[Part]soundness
	// changed is set by reports since the last search. lastLossAt is when the last lost call
	// was added, and nothingAt when Find last found nothing, given the list nothingIn.
	changed               bool
	lastLossAt, nothingAt time.Duration
	nothingIn             *Blocklist
	// cursor counts the reports that entries made to this host.
	cursor uint64

	// suspects is the result of Suspects for suspectsOf. It is valid until the evidence
	// changes or suspectsTTL has passed.
	suspects      []Part
	suspectsValid bool
	suspectsOf    *Blocklist
	suspectsAt    time.Duration
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
	// direct is the cursor after the report of an entry to this host, 0 if another host
	// reported the call.
	direct uint64
	// alive is set if the engine was found to be alive after the loss.
	alive bool
}

type soundness struct {
	at     time.Duration
	direct uint64
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
	l, known := e.lost[key]
	if !known {
		c.Parts = NewBlock(c.Parts[:min(len(c.Parts), maxParts+1)])
		l.LostCall = c
	}
	if direct && l.direct == 0 {
		e.cursor++
		l.direct = e.cursor
	}
	e.lost[key] = l
	if known {
		return
	}
	e.suspectsValid, e.changed, e.lastLossAt = false, true, now
	e.expire(now)
}

// Alive records that a start of an engine sent a heartbeat at a time, so that calls which
// it ended before were not lost to a crash.
func (e *Evidence) Alive(engine serving.EngineID, started int64, at time.Duration) {
	for key, l := range e.lost {
		if key.engine == engine && key.started == started && !l.alive && at-l.At > aliveAfter {
			l.alive = true
			e.lost[key] = l
			e.suspectsValid, e.changed = false, true
		}
	}
}

// Sound adds a sound part. Parts that no lost call has are dropped later.
func (e *Evidence) Sound(p SoundPart, direct bool) {
	if e.sound == nil {
		e.sound = map[Part]soundness{}
	}
	known, ok := e.sound[p.Part]
	switch {
	case !ok && len(e.sound) >= 4*maxSuspects:
		return
	case ok && p.At <= known.at+soundStep:
		return
	}
	known.at, e.changed = p.At, true
	if direct {
		e.cursor++
		known.direct = e.cursor
	}
	e.sound[p.Part] = known
}

// Direct returns the recent reports that entries made to this host after a cursor, for the
// other hosts, and the cursor to go on from. If there are more than fit into one report, it
// returns the newest ones.
func (e *Evidence) Direct(now time.Duration, after uint64) (lost []LostCall, sound []SoundPart, cursor uint64) {
	for _, l := range e.lost {
		if l.direct > after && now-l.At <= reportFor {
			lost = append(lost, l.LostCall)
		}
	}
	slices.SortFunc(lost, func(a, b LostCall) int { return cmp.Compare(b.At, a.At) })
	for part, s := range e.sound {
		if s.direct > after && now-s.at <= reportFor {
			sound = append(sound, SoundPart{part, s.at})
		}
	}
	return lost[:min(len(lost), maxDirect)], sound, e.cursor
}

// Suspects returns the parts of lost calls that no block explains. The result must not be
// modified.
func (e *Evidence) Suspects(now time.Duration, blocks *Blocklist) []Part {
	if len(e.lost) == 0 {
		return nil
	}
	if !e.suspectsValid || e.suspectsOf != blocks || now-e.suspectsAt > suspectsTTL {
		e.expire(now)
		all := candidates(e.unexplained(blocks), blocks)
		// Hashes of calls sort behind those of prompt parts.
		firstCall, _ := slices.BinarySearch(all, callBit)
		prompts, calls := all[:firstCall], all[firstCall:]
		e.suspects = slices.Concat(prompts[:min(len(prompts), maxSuspects)], calls[:min(len(calls), maxSuspects)])
		e.suspectsValid, e.suspectsOf, e.suspectsAt = true, blocks, now
	}
	return e.suspects
}

// Finding is a block that is due, and what it is based on.
type Finding struct {
	Block Block
	// Losses is the number of times at which calls with the block were lost, Engines the
	// number of engines, and Calls the number of calls.
	Losses, Engines, Calls int

	// lost holds the calls.
	lost []loss
}

// hashPrime mixes the positions of lost calls into a hash of the set of calls with a part.
const hashPrime = 1099511628211

// Find returns the next block that is due, given the existing ones, and false if there is
// none.
func (e *Evidence) Find(now time.Duration, blocks *Blocklist) (Finding, bool) {
	if len(e.lost) < minLosses || !e.changed && e.nothingIn == blocks && e.nothingAt-e.lastLossAt > settleTimeFirst {
		return Finding{}, false
	}
	e.changed = false
	e.expire(now)
	lost := e.unexplained(blocks)
	byPart := map[Part][]loss{}
	calls := map[Part]uint64{}
	for i, l := range lost {
		for _, part := range l.Parts {
			byPart[part] = append(byPart[part], l)
			calls[part] = calls[part]*hashPrime + uint64(i) + 1
		}
	}
	best, seen := []Finding(nil), map[uint64]bool{}
	for _, part := range candidates(lost, blocks) {
		if len(byPart[part]) < minLosses {
			continue
		}
		f, ok := e.finding(now, part, byPart[part])
		switch {
		case !ok || len(best) > 0 && f.Losses < best[0].Losses:
			continue
		case len(best) > 0 && f.Losses > best[0].Losses:
			best, seen = nil, map[uint64]bool{}
		}
		// Parts that occur in the same calls have the same block, unless one was sound.
		if _, sound := e.sound[part]; !sound && seen[calls[part]] {
			continue
		}
		seen[calls[part]] = true
		f.Block = e.blockOf(part, f.lost)
		if !slices.ContainsFunc(best, func(g Finding) bool { return slices.Equal(f.Block, g.Block) }) {
			best = append(best, f)
		}
	}
	// Of the blocks that explain the losses equally well, those with fewer parts cover the
	// others.
	best = slices.DeleteFunc(slices.Clone(best), func(f Finding) bool {
		return slices.ContainsFunc(best, func(g Finding) bool { return len(g.Block) < len(f.Block) && g.Block.within(f.Block) })
	})
	if len(best) == 0 || len(best) > 1 && best[0].Losses < minLossesTied {
		e.nothingAt, e.nothingIn = now, blocks
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

// finding returns how often the calls with a part were lost since an answer last began with
// it, and false if that is not enough to block it.
func (e *Evidence) finding(now time.Duration, part Part, lost []loss) (Finding, bool) {
	var f Finding
	var windowStart, enoughAt time.Duration
	known, wasSound := e.sound[part]
	engines := map[engineStart]bool{}
	if wasSound {
		lost = slices.DeleteFunc(slices.Clone(lost), func(l loss) bool { return known.at >= l.At })
	}
	// inWindow holds the requests that were lost since windowStart. One that is lost again
	// was sent to another engine in between, so that the engines did not end together.
	inWindow := map[serving.RequestID]bool{}
	ended, running := 0, 0
	for _, l := range lost {
		engines[engineStart{l.Engine, l.EngineStarted}] = true
		switch l.Process {
		case completion.Ended:
			ended++
		case completion.Running:
			running++
		}
		if f.Losses == 0 || l.At-windowStart > lossWindow || inWindow[l.Request] {
			f.Losses++
			windowStart = l.At
			clear(inWindow)
			if f.Losses <= minLosses+1 {
				enoughAt = l.At
			}
		}
		inWindow[l.Request] = true
	}
	f.Calls, f.lost = len(lost), lost
	f.Engines = len(engines)
	required, settle := minLosses, settleTime
	if wasSound {
		required = minLossesSound
	}
	if running > 0 || min(f.Losses, f.Engines) == minLosses && ended < len(lost) {
		settle = settleTimeFirst
	}
	if min(f.Losses, f.Engines) < required || now-enoughAt < settle {
		return Finding{}, false
	}
	return f, true
}

// blockOf returns the part and those that all lost calls with it share and with which no
// answer ever began.
func (e *Evidence) blockOf(part Part, lost []loss) Block {
	var out Block
	for _, p := range lost[0].Parts {
		_, sound := e.sound[p]
		isIn := func(l loss) bool { _, found := slices.BinarySearch(l.Parts, p); return found }
		if p == part || !sound && !slices.ContainsFunc(lost, func(l loss) bool { return !isIn(l) }) {
			out = append(out, p)
		}
	}
	return out
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
			if !l.alive && l.Process != completion.Running && slices.Contains(l.Parts, part) {
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
