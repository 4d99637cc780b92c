package entry

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// publishInterval bounds how often snapshots are made for mere load reports,
// since each one copies the table of engines.
const publishInterval = 50 * time.Millisecond

// Engine is what an entry knows of one engine.
type Engine struct {
	Announcement
	ReceivedAt time.Duration
	counters   *engineCounters
}

// Blackboard is the state that controllers read and write. A published
// blackboard is immutable.
type Blackboard struct {
	View    *View
	Engines map[serving.EngineID]*Engine
}

// event changes the blackboard; urgent ones are published at once.
type event interface {
	apply(b *Blackboard, now time.Duration) (urgent bool)
}

// board owns the blackboard and publishes snapshots.
type board struct {
	clock    serving.Clock
	events   chan event
	snapshot atomic.Pointer[Blackboard]
}

func newBoard(clock serving.Clock) *board {
	b := &board{clock: clock, events: make(chan event, 1024)}
	b.snapshot.Store(&Blackboard{Engines: map[serving.EngineID]*Engine{}})
	return b
}

// load returns the current snapshot.
func (b *board) load() *Blackboard { return b.snapshot.Load() }

// send passes an event to the control goroutine.
func (b *board) send(ctx context.Context, ev event) {
	select {
	case b.events <- ev:
	case <-ctx.Done():
	}
}

// run is the control goroutine.
func (b *board) run(ctx context.Context) {
	state := &Blackboard{Engines: map[serving.EngineID]*Engine{}}
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	dirty := false
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-b.events:
			if ev.apply(state, b.clock.Now()) {
				b.publish(state)
				dirty = false
				continue
			}
			dirty = true
		case <-ticker.C:
			dropSilentEngines(state, b.clock.Now())
			if dirty {
				b.publish(state)
				dirty = false
			}
		}
	}
}

func (b *board) publish(state *Blackboard) {
	c := *state
	c.Engines = maps.Clone(state.Engines)
	b.snapshot.Store(&c)
}
