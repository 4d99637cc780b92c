package entry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// publishInterval is the interval at which changes that are not urgent, such as load
// reports, are published. Each snapshot copies the table of engines.
const publishInterval = 50 * time.Millisecond

// Engine is an entry's record of one engine.
type Engine struct {
	*engine.Announcement
	State  engine.State
	Region serving.RegionID
	// ReceivedAt is when the announcement arrived, on this entry's clock.
	ReceivedAt time.Duration
	counters   *engineCounters
}

// Blackboard holds the state that the parts of an entry share. A published blackboard
// is immutable.
type Blackboard struct {
	// View is nil until the first configuration has arrived.
	View *View
	// Engines has every known engine that is not dead.
	Engines map[serving.EngineID]*Engine
	// Peers are the other entries, in any state.
	Peers []Peer
	// OwnerCandidates is nil until the first list has arrived.
	OwnerCandidates *OwnerCandidates
}

// OwnerCandidates is the list of entries among which the owner of each engine is
// chosen. Epoch increases with each change of the list.
type OwnerCandidates struct {
	Epoch   uint64
	Entries []engine.Entry
}

// Peer is the membership record of another entry.
type Peer struct {
	ID      string
	Address string
	State   engine.State
}

// controlState is the mutable state. Only the control goroutine uses it.
type controlState struct {
	Blackboard
	startedAt time.Duration
	directory *engine.Directory
	counters  map[serving.EngineID]*engineCounters
}

// event is a change to the control state. apply reports whether the change is urgent,
// that is, must be published at once.
type event interface {
	apply(s *controlState, now time.Duration) (urgent bool)
}

// board owns the control state and publishes snapshots of it.
type board struct {
	clock    serving.Clock
	events   chan event
	snapshot atomic.Pointer[Blackboard]
	state    *controlState
	eventLog *EventLog
}

func newBoard(clock serving.Clock, self engine.Member, eventLog *EventLog) *board {
	b := &board{clock: clock, events: make(chan event, 1024), eventLog: eventLog}
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

// run applies events and publishes snapshots until ctx ends. It is the control
// goroutine.
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
	c := &Blackboard{View: s.View, OwnerCandidates: s.OwnerCandidates, Engines: map[serving.EngineID]*Engine{}}
	for _, m := range s.directory.Members(engine.MemberEngine) {
		if state := s.directory.State(now, m.ID); state != engine.StateDead {
			id := m.Announcement.Engine
			c.Engines[id] = &Engine{Announcement: m.Announcement, State: state, Region: m.Region, ReceivedAt: m.LastSeen, counters: s.countersOf(id)}
		}
	}
	for _, m := range s.directory.Members(engine.MemberEntry) {
		c.Peers = append(c.Peers, Peer{ID: m.ID, Address: m.Address, State: s.directory.State(now, m.ID)})
	}
	b.logChanges(b.snapshot.Swap(c), c)
}

// logChanges adds the differences between two snapshots to the event log.
func (b *board) logChanges(old, c *Blackboard) {
	if c.View != nil && (old.View == nil || old.View.Revision() != c.View.Revision()) {
		b.eventLog.add(eventViewChanged, "", "revision", strconv.FormatUint(uint64(c.View.Revision()), 10))
	}
	for id, n := range c.Engines {
		if before := old.Engines[id]; before == nil || before.Incarnation != n.Incarnation {
			b.eventLog.add(eventEngineSeen, "", "engine", string(id), "incarnation", strconv.FormatUint(uint64(n.Incarnation), 10))
		}
	}
	for id := range old.Engines {
		if c.Engines[id] == nil {
			b.eventLog.add(eventEngineLost, "", "engine", string(id))
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
