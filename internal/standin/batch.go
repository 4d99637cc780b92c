package standin

import (
	"cmp"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

type state string

const (
	queued   state = "queued"
	running  state = "running"
	finished state = "finished"
	canceled state = "canceled"
	failed   state = "failed"
)

// generation is one answer. Its tokens are computed from its ids (see TokenText), so only
// their number is stored.
type generation struct {
	request      serving.RequestID
	id           serving.GenerationID
	priority     serving.Priority
	promptTokens int
	prefixHashes []uint64
	// length is the number of tokens of the complete answer.
	length       int
	finishReason string

	state state
	// arrivalSeq orders the generations by arrival, startSeq by their last admission to
	// the batch.
	arrivalSeq uint64
	startSeq   uint64
	// produced is the number of tokens generated so far, prefillRemaining the number of
	// tokens still to prefill.
	produced         int
	prefillRemaining int
	// blocks is the number of memory blocks held, readers the number of open streams.
	blocks  int
	readers int
	// delivered is true once a stream was sent to its end.
	delivered bool
	// idleSince is when the last reader disconnected, or when the generation ended.
	idleSince time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func (g *generation) frame(i int) Frame {
	f := Frame{RequestID: g.request, GenerationID: g.id, Index: i, Token: TokenText(g.request, g.id, i)}
	if i == g.length-1 {
		f.FinishReason = g.finishReason
	}
	return f
}

func (g *generation) active() bool { return g.state == queued || g.state == running }

// notify wakes the streams that wait for a change of this generation.
func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// batch is the continuous batch of one engine. Callers of its methods must hold Engine.mu.
type batch struct {
	capacity    serving.Capacity
	timing      Timing
	generations map[serving.GenerationID]*generation
	queue       []*generation
	running     []*generation
	blocksUsed  int
	seq         uint64
	preemptions int64
	tokensOut   int64
	// stepTime is the duration of the last step.
	stepTime time.Duration
	cache    prefixCache
	// onEvent is called when a generation is preempted or ends; event is "preempted" or
	// the new state.
	onEvent func(event string, g *generation)
}

func (b *batch) blocksFor(tokens int) int {
	n := int(b.capacity.BlockTokens)
	return (tokens + n - 1) / n
}

// add queues a new generation.
func (b *batch) add(g *generation) {
	b.seq++
	g.arrivalSeq, g.changed = b.seq, make(chan struct{})
	b.generations[g.id] = g
	b.enqueue(g)
}

func (b *batch) enqueue(g *generation) {
	g.state = queued
	b.queue = append(b.queue, g)
	slices.SortFunc(b.queue, func(x, y *generation) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.arrivalSeq, y.arrivalSeq))
	})
}

// admit moves queued generations into the batch while blocks and batch slots are free.
func (b *batch) admit() {
	for len(b.queue) > 0 && len(b.running) < int(b.capacity.MaxRunning) {
		g := b.queue[0]
		need := b.blocksFor(g.promptTokens + g.produced + 1)
		if b.blocksUsed+need > int(b.capacity.MemoryBlocks) {
			return
		}
		b.queue = b.queue[1:]
		b.seq++
		g.state, g.startSeq, g.blocks = running, b.seq, need
		b.blocksUsed += need
		cached := b.cache.lookup(g.prefixHashes) * int(b.capacity.BlockTokens)
		g.prefillRemaining = max(1, g.promptTokens+g.produced-cached)
		b.running = append(b.running, g)
	}
}

// plan starts a step. It returns the duration of the step and the generations that get a
// token at its end.
func (b *batch) plan() (time.Duration, []*generation) {
	b.admit()
	budget, prefill := b.timing.PrefillPerStep, 0
	var decode []*generation
	for _, g := range b.running {
		if g.prefillRemaining == 0 {
			decode = append(decode, g)
			continue
		}
		n := min(budget, g.prefillRemaining)
		budget, prefill, g.prefillRemaining = budget-n, prefill+n, g.prefillRemaining-n
		if n > 0 && g.prefillRemaining == 0 {
			b.cache.insert(g.prefixHashes)
			decode = append(decode, g)
		}
	}
	slices.SortFunc(decode, func(x, y *generation) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.startSeq, y.startSeq))
	})
	for _, g := range decode {
		b.grow(g)
	}
	decode = slices.DeleteFunc(decode, func(g *generation) bool { return g.state != running })
	b.stepTime = b.timing.Base + time.Duration(len(b.running))*b.timing.PerSequence +
		time.Duration(prefill)*b.timing.PerPrefillToken
	return b.stepTime, decode
}

// grow allocates a block if the next token needs one. If no block is free, it preempts the
// running generation of the lowest priority that started last, which may be g itself.
func (b *batch) grow(g *generation) {
	for g.state == running && b.blocksFor(g.promptTokens+g.produced+1) > g.blocks {
		if b.blocksUsed < int(b.capacity.MemoryBlocks) {
			g.blocks++
			b.blocksUsed++
			continue
		}
		b.preempt(slices.MinFunc(b.running, func(x, y *generation) int {
			return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(y.startSeq, x.startSeq))
		}))
	}
}

// preempt frees a generation's memory and queues it again; its prefill is repeated when it
// is next admitted.
func (b *batch) preempt(g *generation) {
	b.release(g)
	b.preemptions++
	b.enqueue(g)
	b.onEvent("preempted", g)
}

func (b *batch) release(g *generation) {
	b.blocksUsed -= g.blocks
	g.blocks = 0
	match := func(x *generation) bool { return x == g }
	b.running = slices.DeleteFunc(b.running, match)
	b.queue = slices.DeleteFunc(b.queue, match)
}

// commit ends a step and adds a token to each generation in decode that is still running.
func (b *batch) commit(decode []*generation, now time.Time) {
	for _, g := range decode {
		if g.state != running || g.prefillRemaining > 0 {
			continue
		}
		g.produced++
		b.tokensOut++
		if g.produced == g.length {
			b.end(g, finished, now)
		}
		g.notify()
	}
}

// end removes a generation from the batch. It stays in b.generations so that its stream can
// be resumed.
func (b *batch) end(g *generation, s state, now time.Time) {
	if !g.active() {
		return
	}
	b.release(g)
	g.state, g.idleSince = s, now
	b.onEvent(string(s), g)
	g.notify()
}

// expire cancels generations that had no reader for longer than grace and deletes those that
// ended longer than retention ago.
func (b *batch) expire(now time.Time, grace, retention time.Duration) {
	for id, g := range b.generations {
		switch {
		case g.active():
			if g.readers == 0 && now.Sub(g.idleSince) > grace {
				b.end(g, canceled, now)
			}
		case g.readers == 0 && now.Sub(g.idleSince) > retention:
			delete(b.generations, id)
		}
	}
}

func (b *batch) load(now time.Time) serving.Load {
	return serving.Load{
		Running: serving.Slots(len(b.running)), Queued: serving.Slots(len(b.queue)),
		BlocksUsed: serving.Blocks(b.blocksUsed), StepMS: float64(b.stepTime) / 1e6,
		Preemptions: b.preemptions, TokensOut: serving.Tokens(b.tokensOut), AsOfMS: now.UnixMilli(),
	}
}
