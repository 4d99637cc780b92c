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

// generation is one answer; its tokens follow from its ids, so only counts are kept.
type generation struct {
	request  serving.RequestID
	id       serving.GenerationID
	priority serving.Priority
	prompt   int
	hashes   []uint64
	length   int
	finish   string

	state       state
	arrival     uint64
	started     uint64
	produced    int
	prefillLeft int
	blocks      int
	readers     int
	// delivered is true once a reader has got everything.
	delivered bool
	// since is the time of the last loss of a reader, or of the end.
	since   time.Time
	changed chan struct{}
}

func (g *generation) frame(i int) Frame {
	f := Frame{RequestID: g.request, GenerationID: g.id, Index: i, Token: TokenText(g.request, g.id, i)}
	if i == g.length-1 {
		f.FinishReason = g.finish
	}
	return f
}

func (g *generation) active() bool { return g.state == queued || g.state == running }

// notify wakes the streams that wait for this generation.
func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// batch is the continuous batch of one engine. It has no lock and no clock of its own.
type batch struct {
	capacity    serving.Capacity
	timing      Timing
	all         map[serving.GenerationID]*generation
	queue       []*generation
	running     []*generation
	blocksUsed  int
	seq         uint64
	preemptions int64
	tokensOut   int64
	stepTime    time.Duration
	cache       prefixCache
	ended       func(event string, g *generation)
}

func (b *batch) blocksFor(tokens int) int {
	n := int(b.capacity.BlockTokens)
	return (tokens + n - 1) / n
}

// add queues a generation.
func (b *batch) add(g *generation) {
	b.seq++
	g.arrival, g.changed = b.seq, make(chan struct{})
	b.all[g.id] = g
	b.enqueue(g)
}

func (b *batch) enqueue(g *generation) {
	g.state = queued
	b.queue = append(b.queue, g)
	slices.SortFunc(b.queue, func(x, y *generation) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.arrival, y.arrival))
	})
}

// admit moves queued generations into the batch while blocks and places are free.
func (b *batch) admit() {
	for len(b.queue) > 0 && len(b.running) < int(b.capacity.MaxRunning) {
		g := b.queue[0]
		need := b.blocksFor(g.prompt + g.produced + 1)
		if b.blocksUsed+need > int(b.capacity.MemoryBlocks) {
			return
		}
		b.queue = b.queue[1:]
		b.seq++
		g.state, g.started, g.blocks = running, b.seq, need
		b.blocksUsed += need
		cached := b.cache.lookup(g.hashes) * int(b.capacity.BlockTokens)
		g.prefillLeft = max(1, g.prompt+g.produced-cached)
		b.running = append(b.running, g)
	}
}

// plan starts a step: it returns its duration and the generations that get a
// token at its end.
func (b *batch) plan() (time.Duration, []*generation) {
	b.admit()
	budget, prefill := b.timing.PrefillPerStep, 0
	var decode []*generation
	for _, g := range b.running {
		if g.prefillLeft == 0 {
			decode = append(decode, g)
			continue
		}
		n := min(budget, g.prefillLeft)
		budget, prefill, g.prefillLeft = budget-n, prefill+n, g.prefillLeft-n
		if n > 0 && g.prefillLeft == 0 {
			b.cache.insert(g.hashes)
			decode = append(decode, g)
		}
	}
	slices.SortFunc(decode, func(x, y *generation) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.started, y.started))
	})
	for _, g := range decode {
		b.grow(g)
	}
	decode = slices.DeleteFunc(decode, func(g *generation) bool { return g.state != running })
	b.stepTime = b.timing.Base + time.Duration(len(b.running))*b.timing.PerSequence +
		time.Duration(prefill)*b.timing.PerPrefillToken
	return b.stepTime, decode
}

// grow takes a block for the next token if it needs one, preempting others if none is free.
func (b *batch) grow(g *generation) {
	for g.state == running && b.blocksFor(g.prompt+g.produced+1) > g.blocks {
		if b.blocksUsed < int(b.capacity.MemoryBlocks) {
			g.blocks++
			b.blocksUsed++
			continue
		}
		b.preempt(slices.MinFunc(b.running, func(x, y *generation) int {
			return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(y.started, x.started))
		}))
	}
}

// preempt takes a generation's memory; its prefill is done again later.
func (b *batch) preempt(g *generation) {
	b.release(g)
	b.preemptions++
	b.enqueue(g)
	b.ended("preempted", g)
}

func (b *batch) release(g *generation) {
	b.blocksUsed -= g.blocks
	g.blocks = 0
	is := func(x *generation) bool { return x == g }
	b.running = slices.DeleteFunc(b.running, is)
	b.queue = slices.DeleteFunc(b.queue, is)
}

// commit ends a step: each generation that is still in the batch gets its token.
func (b *batch) commit(decode []*generation, now time.Time) {
	for _, g := range decode {
		if g.state != running || g.prefillLeft > 0 {
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

// end takes a generation out of the batch; it stays known for resuming.
func (b *batch) end(g *generation, s state, now time.Time) {
	if !g.active() {
		return
	}
	b.release(g)
	g.state, g.since = s, now
	b.ended(string(s), g)
	g.notify()
}

// expire cancels generations without a reader after grace and forgets ended ones
// after keep.
func (b *batch) expire(now time.Time, grace, keep time.Duration) {
	for id, g := range b.all {
		switch {
		case g.active():
			if g.readers == 0 && now.Sub(g.since) > grace {
				b.end(g, canceled, now)
			}
		case g.readers == 0 && now.Sub(g.since) > keep:
			delete(b.all, id)
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
