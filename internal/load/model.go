package load

import (
	"container/heap"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// simulation runs events in the order of their virtual time. Events with the same time
// run in the order in which they were scheduled.
type simulation struct {
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

func (s *simulation) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, f})
}

// every runs f at intervals of d until the given time.
func (s *simulation) every(d, until time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		if s.now+d < until {
			s.after(d, again)
		}
	}
	s.after(d, again)
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// Step times and limits of the engine model. A step with a full batch takes about
// 35 ms. An engine that turns cold has warmUpUnits units of warm-up to complete. Until
// then, a step takes coldFactor times as long and completes 4 units, or 1 unit while
// more than ColdRunning generations run.
const (
	stepBase           = 15 * time.Millisecond
	stepPerRunning     = 300 * time.Microsecond
	stepPerPrefill     = 60 * time.Microsecond
	prefillChunkTokens = 512
	coldFactor         = 4
	warmUpUnits        = 1600
	maxCachedPrefixes  = 1024
)

// modelEngine models an engine with continuous batching, finite block memory and
// a prefix cache. When its memory fills up during decoding, it preempts the
// generation that was started most recently.
type modelEngine struct {
	sim         *simulation
	id          serving.EngineID
	region      int
	capacity    serving.Capacity
	incarnation serving.Incarnation
	down        bool
	// stepping is set while a step is scheduled.
	stepping     bool
	stalledUntil time.Duration
	// warmUpRemaining is the number of warm-up units to complete; the engine is warm at
	// 0 or below.
	warmUpRemaining int
	startedAt       time.Duration
	blocksUsed      serving.Blocks
	running         []*generation
	queue           []*generation
	// cache maps the hash of a cached prefix to the time of its last use, as counted
	// by cacheClock.
	cache      map[uint64]int
	cacheClock int
	// cacheUses has the uses of prefixes, oldest first. Eviction skips an entry if
	// its prefix was used again later.
	cacheUses                    []cacheUse
	promptTokens, cacheHitTokens serving.Tokens

	cacheSeq    uint64
	cacheEvents []dispatch.CacheEvent
	preemptions int64
	tokensOut   serving.Tokens
	lastStep    time.Duration
	onPreempted func()
}

type cacheUse struct {
	prefix uint64
	// at is the value of cacheClock at the use.
	at int
}

// generation is the state of a generation on one engine.
type generation struct {
	request *serving.Request
	id      serving.GenerationID
	// answerTokens is the full length of the answer, produced the number of tokens
	// generated so far.
	answerTokens serving.Tokens
	produced     serving.Tokens
	// prefillRemaining is the number of tokens to prefill before decoding.
	prefillRemaining serving.Tokens
	blocks           serving.Blocks
	canceled         bool
	onToken          func(n serving.Tokens, last bool)
	onFailed         func()
}

func (e *modelEngine) blocksFor(n serving.Tokens) serving.Blocks {
	return serving.Blocks((n + e.capacity.BlockTokens - 1) / e.capacity.BlockTokens)
}

func (e *modelEngine) enqueue(g *generation) {
	if e.down {
		g.onFailed()
		return
	}
	e.queue = append(e.queue, g)
	if !e.stepping {
		e.stepping = true
		e.sim.after(0, e.stepFor(e.incarnation))
	}
}

// stepFor returns a step that does nothing if the engine has failed or restarted in
// the meantime.
func (e *modelEngine) stepFor(incarnation serving.Incarnation) func() {
	return func() {
		if e.incarnation == incarnation && !e.down {
			e.step()
		}
	}
}

// step decodes one token of each running generation that is prefilled, admits
// waiting generations, prefills up to one chunk, and schedules the next step.
func (e *modelEngine) step() {
	if e.sim.now < e.stalledUntil {
		e.sim.after(e.stalledUntil-e.sim.now, e.stepFor(e.incarnation))
		return
	}
	e.decode()
	e.admit()
	chunk := serving.Tokens(prefillChunkTokens)
	for _, g := range e.running {
		n := min(chunk, g.prefillRemaining)
		g.prefillRemaining -= n
		chunk -= n
	}
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	n := time.Duration(len(e.running))
	d := stepBase + n*stepPerRunning + time.Duration(prefillChunkTokens-chunk)*stepPerPrefill
	if e.warmUpRemaining > 0 {
		d *= coldFactor
		if over := int(n) - int(e.capacity.ColdRunning); over > 0 {
			// An overloaded cold engine is slower still and takes longer to warm up.
			d += d * time.Duration(over) / time.Duration(4*e.capacity.ColdRunning)
			e.warmUpRemaining--
		} else {
			e.warmUpRemaining -= 4
		}
	}
	e.lastStep = d
	e.sim.after(d, e.stepFor(e.incarnation))
}

func (e *modelEngine) admit() {
	for len(e.queue) > 0 && serving.Slots(len(e.running)) < e.capacity.MaxRunning {
		g := e.queue[0]
		if g.canceled {
			e.queue = e.queue[1:]
			continue
		}
		g.blocks = e.blocksFor(g.request.PromptTokens + g.produced + 1)
		if e.blocksUsed+g.blocks > e.capacity.MemoryBlocks {
			return
		}
		e.queue = e.queue[1:]
		e.blocksUsed += g.blocks
		g.prefillRemaining = g.request.PromptTokens + g.produced - e.lookupAndCache(g.request)
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
		if g.prefillRemaining > 0 {
			continue
		}
		for need := e.blocksFor(g.request.PromptTokens + g.produced + 1); need > g.blocks; {
			if e.blocksUsed < e.capacity.MemoryBlocks {
				g.blocks++
				e.blocksUsed++
				continue
			}
			if e.preempt(); len(e.running) <= i || e.running[i] != g {
				break
			}
		}
		if len(e.running) <= i || e.running[i] != g {
			break // g itself was preempted, and no generations follow it
		}
		g.produced++
		e.tokensOut++
		last := g.produced >= g.answerTokens
		if last {
			e.remove(i)
			i--
		}
		g.onToken(g.produced, last)
	}
}

// preempt moves the most recently started generation to the front of the queue. Its
// prefill, which then includes the answer so far, starts from the beginning.
func (e *modelEngine) preempt() {
	i := len(e.running) - 1
	g := e.running[i]
	e.remove(i)
	e.queue = append([]*generation{g}, e.queue...)
	e.preemptions++
	e.onPreempted()
}

func (e *modelEngine) remove(i int) {
	e.blocksUsed -= e.running[i].blocks
	e.running[i].blocks = 0
	e.running = append(e.running[:i], e.running[i+1:]...)
}

// lookupAndCache returns the number of prompt tokens that are cached and adds the
// shared prefixes of the prompt to the cache.
func (e *modelEngine) lookupAndCache(r *serving.Request) serving.Tokens {
	hit := serving.Tokens(0)
	for i, p := range r.PrefixHashes {
		e.cacheClock++
		if _, ok := e.cache[p]; ok {
			hit = serving.Tokens(i+1) * e.capacity.BlockTokens
		} else {
			e.publishCacheEvent("add", p)
		}
		e.cache[p] = e.cacheClock
		e.cacheUses = append(e.cacheUses, cacheUse{p, e.cacheClock})

	}
	for len(e.cache) > maxCachedPrefixes {
		u := e.cacheUses[0]
		e.cacheUses = e.cacheUses[1:]
		if e.cache[u.prefix] == u.at {
			delete(e.cache, u.prefix)
			e.publishCacheEvent("evict", u.prefix)
		}
	}
	hit = min(hit, r.PromptTokens-1)
	e.promptTokens += r.PromptTokens
	e.cacheHitTokens += hit
	return hit

}

func (e *modelEngine) publishCacheEvent(op string, prefix uint64) {
	e.cacheEvents = append(e.cacheEvents, dispatch.CacheEvent{Seq: e.cacheSeq, Op: op, Prefix: prefix})
	e.cacheSeq++
}

// kill fails all generations. The engine sends no announcements until it restarts.
func (e *modelEngine) kill() {
	lost := append(e.running, e.queue...)
	e.down, e.running, e.queue, e.blocksUsed, e.stepping = true, nil, nil, 0, false
	for _, g := range lost {
		if !g.canceled {
			g.onFailed()
		}
	}
}

// restart starts the engine cold, with an empty cache and a new incarnation.
func (e *modelEngine) restart() {
	e.down = false
	e.incarnation++
	e.startedAt = e.sim.now
	e.warmUpRemaining = warmUpUnits
	e.cache, e.cacheUses, e.cacheSeq, e.cacheEvents = map[uint64]int{}, nil, 0, nil
}

func (e *modelEngine) load() serving.Load {
	return serving.Load{
		Running: serving.Slots(len(e.running)), Queued: serving.Slots(len(e.queue)), BlocksUsed: e.blocksUsed,
		StepMS: float64(e.lastStep) / float64(time.Millisecond), Preemptions: e.preemptions,
		TokensOut: e.tokensOut, AsOfMS: e.sim.now.Milliseconds(),
	}
}
