package standin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

func testBatch(capacity serving.Capacity, onEvent func(string, *generation)) *batch {
	return &batch{
		capacity: capacity, timing: DefaultTiming, generations: map[serving.GenerationID]*generation{},
		cache: prefixCache{limit: 4, onChange: func(string, string) {}}, onEvent: onEvent,
	}
}

func step(b *batch) {
	_, decode := b.plan()
	b.commit(decode, time.Time{})
}

// Guards against the preemption of a generation other than the most recently started one
// of the lowest priority, and against preempted generations that lose tokens or are not
// admitted again.
func TestPreemptionChoosesVictim(t *testing.T) {
	tests := []struct {
		name       string
		priorities []serving.Priority
		victim     serving.GenerationID
	}{
		{"lowest priority", []serving.Priority{0, 5, 9}, "g0"},
		{"most recently started", []serving.Priority{5, 5, 9}, "g1"},
		{"itself", []serving.Priority{9, 9, 0}, "g2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var victims []serving.GenerationID
			b := testBatch(serving.Capacity{MaxRunning: 8, MemoryBlocks: 8, BlockTokens: 4}, func(event string, g *generation) {
				if event == "preempted" {
					victims = append(victims, g.id)
				}
			})
			for i, p := range tt.priorities {
				b.add(&generation{id: serving.GenerationID(fmt.Sprintf("g%d", i)), priority: p, promptTokens: 3, length: 12, finishReason: "stop"})
			}
			for range 200 {
				step(b)
			}
			assert.Assert(t, len(victims) > 0)
			assert.Equal(t, victims[0], tt.victim)
			for id, g := range b.generations {
				assert.Equal(t, g.state, finished, string(id))
				assert.Equal(t, g.produced, 12, string(id))
			}
			assert.Equal(t, b.blocksUsed, 0)
		})
	}
}

// Guards against blocks that are leaked, counted twice or allocated beyond the memory under
// any mix of generations and cancellations, and against generations that never end.
func TestBatchMemoryAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := serving.Capacity{MaxRunning: 4, MemoryBlocks: 16, BlockTokens: 4}
		b := testBatch(capacity, func(string, *generation) {})
		n := rapid.IntRange(1, 12).Draw(t, "generations")
		for i := range n {
			promptTokens := rapid.IntRange(1, 30).Draw(t, "prompt")
			b.add(&generation{
				id: serving.GenerationID(fmt.Sprint(i)), priority: serving.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
				promptTokens: promptTokens, length: rapid.IntRange(1, 64-promptTokens).Draw(t, "length"), finishReason: "stop",
			})
			step(b)
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
				b.end(b.generations["0"], canceled, time.Time{})
			}
		}
		for range 20000 {
			sum := 0
			for _, g := range b.running {
				sum += g.blocks
			}
			if sum != b.blocksUsed || sum > 16 || len(b.running) > 4 {
				t.Fatalf("blocks %d, counted %d, running %d", sum, b.blocksUsed, len(b.running))
			}
			if len(b.running)+len(b.queue) == 0 {
				break
			}
			step(b)
		}
		for _, g := range b.generations {
			if g.active() || (g.state == finished && g.produced != g.length) {
				t.Fatalf("generation %s: state %s, %d of %d tokens", g.id, g.state, g.produced, g.length)
			}
		}
	})
}

// Guards against a prefix cache that does not find cached blocks or exceeds its limit.
func TestPrefixCache(t *testing.T) {
	var ops []string
	c := prefixCache{limit: 2, onChange: func(op, _ string) { ops = append(ops, op) }}
	c.insert([]uint64{1, 2})
	assert.Equal(t, c.lookup([]uint64{1, 2, 3}), 2)
	c.insert([]uint64{1, 3})
	assert.Equal(t, c.lookup([]uint64{1, 2}), 1)
	assert.Equal(t, c.lookup([]uint64{1, 3}), 2)
	assert.DeepEqual(t, ops, []string{"add", "add", "add", "remove"})
}

// runInVirtualTime calls f while the step loop of an engine runs in virtual time.
func runInVirtualTime(t *testing.T, e *Engine, f func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		assert.NilError(t, e.Listen())
		defer e.listener.Close()
		ctx, cancel := context.WithCancel(t.Context())
		go e.runBatch(ctx)
		f()
		cancel()
		synctest.Wait()
	})
}

func submitGeneration(e *Engine, id string, length int) *generation {
	g := &generation{request: serving.RequestID("r" + id), id: serving.GenerationID("g" + id), promptTokens: 8, length: length, finishReason: "stop", readers: 1}
	_ = e.submit(g, "")
	return g
}

// stateOf returns the state of a generation and the number of its tokens so far.
func (e *Engine) stateOf(g *generation) (state, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.state, g.produced
}

var testModels = []engine.ModelRef{{Model: "m", Version: "1"}}

// Guards against a generation that is canceled as soon as its reader disconnects, or that
// is never canceled.
func TestGraceTime(t *testing.T) {
	e := &Engine{Models: testModels, ColdFor: -1, Grace: 5 * time.Second}
	runInVirtualTime(t, e, func() {
		g := submitGeneration(e, "1", 100000)
		time.Sleep(time.Second)
		e.removeReader(g)
		time.Sleep(4 * time.Second)
		s, _ := e.stateOf(g)
		assert.Equal(t, s, running)
		time.Sleep(2 * time.Second)
		s, _ = e.stateOf(g)
		assert.Equal(t, s, canceled)
	})
}

// Guards against overload that does not restart a cold engine or restarts a warm one, and
// against a fault "cold" that changes the incarnation at once or after which overload never
// restarts the engine.
func TestColdStart(t *testing.T) {
	tests := []struct {
		name       string
		wait       time.Duration
		injectCold bool
		pause      time.Duration
		submitted  int
		restarts   bool
	}{
		{"cold within its limit", 0, false, 0, 2, false},
		{"cold over its limit", 0, false, 0, 3, true},
		{"warm", 11 * time.Second, false, 0, 16, false},
		{"just turned cold", 11 * time.Second, true, time.Second, 3, false},
		{"turned cold a while ago", 11 * time.Second, true, 3 * time.Second, 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &Engine{Models: testModels}
			runInVirtualTime(t, e, func() {
				incarnation := e.Incarnation
				time.Sleep(tt.wait)
				if tt.injectCold {
					assert.NilError(t, e.Inject(Fault{Name: "cold"}))
					assert.Equal(t, e.Incarnation, incarnation)
				}
				time.Sleep(tt.pause)
				var last *generation
				for i := range tt.submitted {
					last = submitGeneration(e, fmt.Sprint(i), 2000)
				}
				s, _ := e.stateOf(last)
				assert.Equal(t, s == failed, tt.restarts)
				assert.Equal(t, e.Incarnation != incarnation, tt.restarts)
			})
		})
	}
}

// Guards against steps that do not take longer with a larger batch, on a cold engine or under
// the fault "slow".
func TestStepTime(t *testing.T) {
	rate := func(e *Engine, n int, fault string) int {
		produced := 0
		runInVirtualTime(t, e, func() {
			if fault != "" {
				assert.NilError(t, e.Inject(Fault{Name: fault}))
			}
			var g *generation
			for i := range n {
				g = submitGeneration(e, fmt.Sprint(i), 100000)
			}
			time.Sleep(5 * time.Second)
			_, produced = e.stateOf(g)
		})
		return produced
	}
	warm := rate(&Engine{Models: testModels, ColdFor: -1}, 1, "")
	full := rate(&Engine{Models: testModels, ColdFor: -1}, 16, "")
	cold := rate(&Engine{Models: testModels}, 1, "")
	slow := rate(&Engine{Models: testModels, ColdFor: -1}, 1, "slow")
	assert.Assert(t, warm > full && full > cold && cold > slow, "%d %d %d %d", warm, full, cold, slow)
}

// Guards against loads that take no time or exceed the rate limit of the weight store, and
// against a check of the fencing number that does not match ChecksFencing.
func TestOrders(t *testing.T) {
	tests := []struct {
		checks string
		ok     bool
	}{{"yes", false}, {"no", true}, {"unknown", true}}
	for _, tt := range tests {
		t.Run(tt.checks, func(t *testing.T) {
			e := &Engine{ChecksFencing: tt.checks}
			runInVirtualTime(t, e, func() {
				for _, m := range []serving.ModelID{"a", "b"} {
					err := e.runOrder(Order{FencingNumber: 7, Command: "load_model", Model: m, Version: "1"})
					assert.NilError(t, err)
				}
				assert.Equal(t, e.announcement(time.Now()).State, engine.PhaseStarting)
				time.Sleep(4 * time.Second)
				assert.Equal(t, len(e.announcement(time.Now()).Models), 1)
				time.Sleep(3 * time.Second)
				a := e.announcement(time.Now())
				assert.Equal(t, len(a.Models), 2)
				assert.Equal(t, a.State, engine.PhaseReady)
				err := e.runOrder(Order{FencingNumber: 6, Command: "set_role", Role: "draft"})
				assert.Equal(t, err == nil, tt.ok)
				assert.Equal(t, e.announcement(time.Now()).Role == "draft", tt.ok)
			})
		})
	}
}

// Guards against load reports and cache events that are announced without their lag, and
// cache events that are never dropped.
func TestAnnouncementsLag(t *testing.T) {
	e := &Engine{Models: testModels, ColdFor: -1, LoadLag: time.Second, CacheLag: 2 * time.Second, CacheLoss: 0.5, CacheBlocks: 200}
	runInVirtualTime(t, e, func() {
		e.announcement(time.Now())
		g := &generation{request: "r", id: "g", promptTokens: 8, length: 100000, finishReason: "stop", readers: 1}
		for i := range 100 {
			g.prefixHashes = append(g.prefixHashes, uint64(i))
		}
		err := e.submit(g, "")
		assert.NilError(t, err)
		time.Sleep(500 * time.Millisecond)
		a := e.announcement(time.Now())
		assert.Equal(t, int(a.Load.Running), 0)
		assert.Equal(t, len(a.CacheEvents), 0)
		time.Sleep(2 * time.Second)
		a = e.announcement(time.Now())
		assert.Equal(t, int(a.Load.Running), 1)
		n := len(a.CacheEvents)
		assert.Assert(t, n > 10 && n < 90, n)
		assert.Assert(t, a.CacheEvents[n-1].Seq > uint64(n))
	})
}

// Guards against a leaving engine that exits before the reader of an undelivered answer had
// its grace period to resume it, that never exits, or that ignores its deadline.
func TestLeaveWaitsForAnswers(t *testing.T) {
	tests := []struct {
		name           string
		length         int
		disconnected   bool
		deadline, wait time.Duration
		drained        bool
	}{
		{"undelivered answer within grace", 10, true, 0, 3 * time.Second, false},
		{"undelivered answer after grace", 10, true, 0, 6 * time.Second, true},
		{"running answer", 100000, false, 0, time.Minute, false},
		{"running answer before the deadline", 100000, false, 2 * time.Second, time.Second, false},
		{"running answer after the deadline", 100000, false, 2 * time.Second, 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &Engine{Models: testModels, ColdFor: -1, Grace: 5 * time.Second}
			runInVirtualTime(t, e, func() {
				g := submitGeneration(e, "1", tt.length)
				if tt.disconnected {
					e.removeReader(g)
				}
				e.Leave(tt.deadline)
				time.Sleep(tt.wait)
				e.mu.Lock()
				defer e.mu.Unlock()
				assert.Equal(t, e.drained(time.Now()), tt.drained)
			})
		})
	}
}
