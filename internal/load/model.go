package load

import (
	"container/heap"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// schedule runs events in virtual time.
type schedule struct {
	now    time.Duration
	seq    int
	events events
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

func (s *schedule) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, f})
}

// every runs f periodically until the given time.
func (s *schedule) every(d, until time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		if s.now+d < until {
			s.after(d, again)
		}
	}
	s.after(d, again)
}

func (s *schedule) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// Costs of the engine model. They give about 35 ms per token at a full batch. A
// step takes 4 off coldSteps, or 1 when the cold engine is overloaded.
const (
	stepBase       = 15 * time.Millisecond
	stepPerRunning = 300 * time.Microsecond
	stepPerPrefill = 60 * time.Microsecond
	prefillChunk   = 512
	coldFactor     = 4
	coldSteps      = 1600
	cachedPrefixes = 1024
)

// modelEngine models an engine with continuous batching, finite block memory and
// a prefix cache. It preempts the most recently started generation when its
// memory fills in mid-decode.
type modelEngine struct {
	s            *schedule
	id           serving.EngineID
	region       int
	capacity     serving.Capacity
	incarnation  serving.Incarnation
	dead         bool
	stepping     bool
	stalledUntil time.Duration
	cold         int
	used         serving.Blocks
	running      []*run
	queue        []*run
	cache        map[uint64]int
	cacheClock   int
	// cacheUses is in order of time; a use that is not the latest is skipped.
	cacheUses               []cacheUse
	promptTokens, cachedHit serving.Tokens

	cacheSeq    uint64
	cacheEvents []dispatch.CacheEvent
	preemptions int64
	tokensOut   serving.Tokens
	lastStep    time.Duration
	onPreempted func()
}

type cacheUse struct {
	prefix uint64
	at     int
}

// run is one generation at an engine.
type run struct {
	request  *serving.Request
	id       serving.GenerationID
	answer   serving.Tokens
	soFar    serving.Tokens
	prefill  serving.Tokens
	blocks   serving.Blocks
	canceled bool
	onToken  func(n serving.Tokens, last bool)
	onFailed func()
}

func (e *modelEngine) blocksFor(n serving.Tokens) serving.Blocks {
	return serving.Blocks((n + e.capacity.BlockTokens - 1) / e.capacity.BlockTokens)
}

func (e *modelEngine) start(g *run) {
	if e.dead {
		g.onFailed()
		return
	}
	e.queue = append(e.queue, g)
	if !e.stepping {
		e.stepping = true
		e.s.after(0, e.stepFor(e.incarnation))
	}
}

func (e *modelEngine) stepFor(incarnation serving.Incarnation) func() {
	return func() {
		if e.incarnation == incarnation && !e.dead {
			e.step()
		}
	}
}

// step admits waiting generations, does a chunk of prefill, decodes one token of
// each running generation, and schedules the next step.
func (e *modelEngine) step() {
	if e.s.now < e.stalledUntil {
		e.s.after(e.stalledUntil-e.s.now, e.stepFor(e.incarnation))
		return
	}
	e.decode()
	e.admit()
	chunk := serving.Tokens(prefillChunk)
	for _, g := range e.running {
		n := min(chunk, g.prefill)
		g.prefill -= n
		chunk -= n
	}
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	n := time.Duration(len(e.running))
	d := stepBase + n*stepPerRunning + time.Duration(prefillChunk-chunk)*stepPerPrefill
	if e.cold > 0 {
		d *= coldFactor
		if over := int(n) - int(e.capacity.ColdRunning); over > 0 {
			// Overload slows a cold engine further, and it warms up more slowly.
			d += d * time.Duration(over) / time.Duration(4*e.capacity.ColdRunning)
			e.cold--
		} else {
			e.cold -= 4
		}
	}
	e.lastStep = d
	e.s.after(d, e.stepFor(e.incarnation))
}

func (e *modelEngine) admit() {
	for len(e.queue) > 0 && serving.Slots(len(e.running)) < e.capacity.MaxRunning {
		g := e.queue[0]
		if g.canceled {
			e.queue = e.queue[1:]
			continue
		}
		g.blocks = e.blocksFor(g.request.PromptTokens + g.soFar + 1)
		if e.used+g.blocks > e.capacity.MemoryBlocks {
			return
		}
		e.queue = e.queue[1:]
		e.used += g.blocks
		g.prefill = g.request.PromptTokens + g.soFar - e.cachedTokens(g.request)
		e.running = append(e.running, g)
	}
}

func (e *modelEngine) decode() {
	for i := 0; i < len(e.running); i++ {
		g := e.running[i]
		if g.canceled {
			e.remove(i)
			i--
			continue
		}
		if g.prefill > 0 {
			continue
		}
		for need := e.blocksFor(g.request.PromptTokens + g.soFar + 1); need > g.blocks; {
			if e.used < e.capacity.MemoryBlocks {
				g.blocks++
				e.used++
				continue
			}
			if e.preempt(); len(e.running) <= i || e.running[i] != g {
				break
			}
		}
		if len(e.running) <= i || e.running[i] != g {
			break
		}
		g.soFar++
		e.tokensOut++
		last := g.soFar >= g.answer
		if last {
			e.remove(i)
			i--
		}
		g.onToken(g.soFar, last)
	}
}

// preempt puts the most recently started generation back to the front of the
// queue; its prefill, including the answer so far, starts anew.
func (e *modelEngine) preempt() {
	i := len(e.running) - 1
	g := e.running[i]
	e.remove(i)
	e.queue = append([]*run{g}, e.queue...)
	e.preemptions++
	e.onPreempted()
}

func (e *modelEngine) remove(i int) {
	e.used -= e.running[i].blocks
	e.running[i].blocks = 0
	e.running = append(e.running[:i], e.running[i+1:]...)
}

// cachedTokens returns the cached part of a prompt and then caches all of it.
func (e *modelEngine) cachedTokens(r *serving.Request) serving.Tokens {
	hit := serving.Tokens(0)
	for i, p := range r.PrefixHashes {
		e.cacheClock++
		if _, ok := e.cache[p]; ok {
			hit = serving.Tokens(i+1) * e.capacity.BlockTokens
		} else {
			e.publish("add", p)
		}
		e.cache[p] = e.cacheClock
		e.cacheUses = append(e.cacheUses, cacheUse{p, e.cacheClock})

	}
	for len(e.cache) > cachedPrefixes {
		u := e.cacheUses[0]
		e.cacheUses = e.cacheUses[1:]
		if e.cache[u.prefix] == u.at {
			delete(e.cache, u.prefix)
			e.publish("evict", u.prefix)
		}
	}
	hit = min(hit, r.PromptTokens-1)
	e.promptTokens += r.PromptTokens
	e.cachedHit += hit
	return hit

}

func (e *modelEngine) publish(op string, prefix uint64) {
	e.cacheEvents = append(e.cacheEvents, dispatch.CacheEvent{Seq: e.cacheSeq, Op: op, Prefix: prefix})
	e.cacheSeq++
}

// kill fails all generations; the engine announces nothing until revived.
func (e *modelEngine) kill() {
	lost := append(e.running, e.queue...)
	e.dead, e.running, e.queue, e.used, e.stepping = true, nil, nil, 0, false
	for _, g := range lost {
		if !g.canceled {
			g.onFailed()
		}
	}
}

func (e *modelEngine) revive() {
	e.dead = false
	e.incarnation++
	e.cold = coldSteps
	e.cache, e.cacheUses, e.cacheSeq, e.cacheEvents = map[uint64]int{}, nil, 0, nil
}

func (e *modelEngine) load() serving.Load {
	return serving.Load{
		Running: serving.Slots(len(e.running)), Queued: serving.Slots(len(e.queue)), BlocksUsed: e.used,
		StepMS: float64(e.lastStep) / float64(time.Millisecond), Preemptions: e.preemptions,
		TokensOut: e.tokensOut, AsOfMS: e.s.now.Milliseconds(),
	}
}
