package entry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// publishInterval bounds how often snapshots are made for mere load reports,
// since each one copies the table of engines.
const publishInterval = 50 * time.Millisecond

// Engine is what an entry knows of one engine.
type Engine struct {
	*engine.Announcement
	State      engine.State
	Region     serving.RegionID
	ReceivedAt time.Duration
	counters   *engineCounters
}

// Blackboard is the state that controllers read and write. A published
// blackboard is immutable.
type Blackboard struct {
	View *View
	// Engines are those that may still run work: dead ones are absent.
	Engines map[serving.EngineID]*Engine
	// Entries are the other entries, with their states.
	Entries []Peer
	// Owners has the entries that may own engines, as the view gave them.
	Owners *OwnerList
}

// OwnerList is the list of entries that may own engines, at one epoch.
type OwnerList struct {
	Epoch   uint64
	Entries []engine.Entry
}

// Peer is another entry.
type Peer struct {
	ID      string
	Address string
	State   engine.State
}

// controlState is what only the control goroutine uses.
type controlState struct {
	Blackboard
	startedAt time.Duration
	directory *engine.Directory
	counters  map[serving.EngineID]*engineCounters
}

// event changes the control state; urgent ones are published at once.
type event interface {
	apply(s *controlState, now time.Duration) (urgent bool)
}

// board owns the control state and publishes snapshots.
type board struct {
	clock    serving.Clock
	events   chan event
	snapshot atomic.Pointer[Blackboard]
	state    *controlState
	log      *Events
}

func newBoard(clock serving.Clock, self engine.Member, log *Events) *board {
	b := &board{clock: clock, events: make(chan event, 1024), log: log}
	b.snapshot.Store(&Blackboard{})
	b.state = &controlState{
		startedAt: clock.Now(),
		directory: engine.NewDirectory(engine.Config{Self: self}),
		counters:  map[serving.EngineID]*engineCounters{},
	}
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
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	dirty := false
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-b.events:
			if ev.apply(b.state, b.clock.Now()) {
				b.publish()
				dirty = false
				continue
			}
			dirty = true
		case <-ticker.C:
			if b.sweep() || dirty {
				b.publish()
				dirty = false
			}
		}
	}
}

func (b *board) publish() {
	now := b.clock.Now()
	s := b.state
	c := &Blackboard{View: s.View, Owners: s.Owners, Engines: map[serving.EngineID]*Engine{}}
	for _, m := range s.directory.Members(engine.MemberEngine) {
		if state := s.directory.State(now, m.ID); state != engine.StateDead {
			id := m.Announcement.Engine
			c.Engines[id] = &Engine{Announcement: m.Announcement, State: state, Region: m.Region, ReceivedAt: m.LastSeen, counters: s.countersOf(id)}
		}
	}
	for _, m := range s.directory.Members(engine.MemberEntry) {
		c.Entries = append(c.Entries, Peer{ID: m.ID, Address: m.Address, State: s.directory.State(now, m.ID)})
	}
	b.logChanges(b.snapshot.Swap(c), c)
}

// logChanges records what differs between two snapshots.
func (b *board) logChanges(old, c *Blackboard) {
	if c.View != nil && (old.View == nil || old.View.Revision() != c.View.Revision()) {
		b.log.add(eventViewChanged, "", "revision", strconv.FormatUint(uint64(c.View.Revision()), 10))
	}
	for id, n := range c.Engines {
		if before := old.Engines[id]; before == nil || before.Incarnation != n.Incarnation {
			b.log.add(eventEngineSeen, "", "engine", string(id), "incarnation", strconv.FormatUint(uint64(n.Incarnation), 10))
		}
	}
	for id := range old.Engines {
		if c.Engines[id] == nil {
			b.log.add(eventEngineLost, "", "engine", string(id))
		}
	}
}

func (s *controlState) countersOf(id serving.EngineID) *engineCounters {
	c, ok := s.counters[id]
	if !ok {
		c = newEngineCounters()
		s.counters[id] = c
	}
	return c
}
