package dispatch

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// SlotConfig has the settings that owner and holders share. Zero values mean the defaults.
type SlotConfig struct {
	// TTL is the time a slot lasts at its owner without renewal (default 1 s).
	TTL time.Duration
	// ViewLease is the age of a configuration view under which an owner grants
	// nothing (default 2.5 s).
	ViewLease time.Duration
	// MaxDrift bounds the relative drift of two monotonic clocks (default 0.05).
	MaxDrift float64
	// MaxReportLag bounds the age of a load report on arrival at the owner (default 500 ms).
	MaxReportLag time.Duration
	// LapseHold is the time after which a generation whose slot was never
	// renewed counts as ended (default 15 min).
	LapseHold time.Duration
}

func (c SlotConfig) withDefaults() SlotConfig {
	c.TTL = orDefault(c.TTL, time.Second)
	c.ViewLease = orDefault(c.ViewLease, 2500*time.Millisecond)
	c.MaxDrift = orDefault(c.MaxDrift, 0.05)
	c.MaxReportLag = orDefault(c.MaxReportLag, 500*time.Millisecond)
	c.LapseHold = orDefault(c.LapseHold, 15*time.Minute)
	return c
}

// EntryID identifies one process of an entry.
type EntryID struct {
	Host        serving.HostID
	Incarnation serving.Incarnation
}

// OwnerTerm identifies the ownership of an engine by one process at one epoch.
type OwnerTerm struct {
	Epoch uint64
	Owner EntryID
}

// HeldSlot is a slot that a holder still has.
type HeldSlot struct {
	ID serving.SlotID
	// Uses is the number of the last generation started under the slot.
	Uses uint32
	// Running tells whether one of them is still running.
	Running bool
}

// SlotRequest is sent by a holder to the owner of an engine. It lists everything
// the holder has: a slot that is missing is released.
type SlotRequest struct {
	Engine serving.EngineID
	Entry  EntryID
	// Seq numbers the requests of this holder; older ones are ignored.
	Seq uint64
	// Ack is the latest request whose reply the holder accepted.
	Ack  uint64
	Held []HeldSlot
	// Want is the number of further slots asked for.
	Want serving.Slots
	// Forecast is the memory of the generations that this entry runs there.
	Forecast serving.MemoryForecast
}

// SlotReply answers a SlotRequest.
type SlotReply struct {
	Engine serving.EngineID
	Term   OwnerTerm
	Seq    uint64
	// TTL runs from the time at which the holder sent the request.
	TTL time.Duration
	// Incarnation is the engine's; a slot holds for that incarnation only.
	Incarnation serving.Incarnation
	// Slots are new or renewed.
	Slots []serving.SlotID
	// Retired slots end with the generation that runs under them.
	Retired []serving.SlotID
	// Reclaim asks for slots that are not in use, because another entry lacks some.
	Reclaim bool
	// Others is the memory forecast of what the other entries run or may start;
	// it is empty if the owner does not check memory.

	Others serving.MemoryForecast
	// Limit is the engine's limit now, and RetryAfter the time to wait before
	// asking for more.
	Limit      serving.Slots
	RetryAfter time.Duration
}

// Slot is the right to start one generation on one incarnation of an engine. The
// entry sends the incarnation along with the generation, so that a restarted
// engine refuses work that was granted to its predecessor.
type Slot struct {
	ID          serving.SlotID
	Engine      serving.EngineID
	Incarnation serving.Incarnation
	// Expires is the time until which a generation may start under the slot.
	Expires time.Duration
}
