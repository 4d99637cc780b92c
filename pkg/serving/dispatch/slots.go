package dispatch

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// SlotConfig holds the settings that owners and holders share. Zero values mean the defaults.
type SlotConfig struct {
	// TTL is the time for which a slot is valid at its owner without renewal (default 1 s).
	TTL time.Duration
	// ViewLease is the age at which a configuration view expires; an owner whose view
	// has expired grants nothing (default 2.5 s).
	ViewLease time.Duration
	// MaxDrift bounds the relative drift of two monotonic clocks (default 0.05).
	MaxDrift float64
	// MaxReportLag is the maximum age of a load report on arrival at the owner (default 500 ms).
	MaxReportLag time.Duration
	// LapsedRetention is the time after the expiry of a slot at which the generation
	// that ran under it counts as ended (default 15 min).
	LapsedRetention time.Duration
}

func (c SlotConfig) withDefaults() SlotConfig {
	c.TTL = orDefault(c.TTL, time.Second)
	c.ViewLease = orDefault(c.ViewLease, 2500*time.Millisecond)
	c.MaxDrift = orDefault(c.MaxDrift, 0.05)
	c.MaxReportLag = orDefault(c.MaxReportLag, 500*time.Millisecond)
	c.LapsedRetention = orDefault(c.LapsedRetention, 15*time.Minute)
	return c
}

// EntryID identifies one run of an entry's process.
type EntryID struct {
	Host        serving.HostID
	Incarnation serving.Incarnation
}

// OwnerTerm identifies the ownership of an engine by one process at one epoch.
type OwnerTerm struct {
	// Epoch numbers the versions of the list of entries, which determines the owners.
	Epoch uint64
	Owner EntryID
}

// HeldSlot is a slot that a holder lists in a request.
type HeldSlot struct {
	ID serving.SlotID
	// LastUse is the sequence number of the last generation started under the slot; a
	// holder numbers its generations from 1 over all of its slots.
	LastUse uint32
	// Running reports whether that generation is still running.
	Running bool
}

// SlotRequest is sent by a holder to the owner of an engine. It lists all slots of the
// holder; a slot that is not listed is released.
type SlotRequest struct {
	Engine serving.EngineID
	Entry  EntryID
	// Seq numbers the requests of this holder. The owner ignores requests that are
	// older than the last one it processed.
	Seq uint64
	// Ack is the Seq of the latest request whose reply the holder accepted.
	Ack  uint64
	Held []HeldSlot
	// Want is the number of additional slots requested.
	Want serving.Slots
	// Forecast is the memory forecast of the generations that this entry runs at the engine.
	Forecast serving.MemoryForecast
}

// SlotReply answers a SlotRequest.
type SlotReply struct {
	Engine serving.EngineID
	Term   OwnerTerm
	Seq    uint64
	// TTL runs from the time at which the holder sent the request.
	TTL time.Duration
	// Incarnation is the engine's incarnation; the slots are valid only for it.
	Incarnation serving.Incarnation
	// Slots lists the granted and the renewed slots.
	Slots []serving.SlotID
	// Retired lists slots that end with the generation that runs under them.
	Retired []serving.SlotID
	// Reclaim asks the holder to release unused slots, because another entry lacks slots.
	Reclaim bool
	// Others is the memory forecast of the generations that the other entries run or
	// may start. It is empty if the owner does not check memory.
	Others serving.MemoryForecast
	// Limit is the engine's current limit. RetryAfter is the time to wait before
	// requesting more slots.
	Limit      serving.Slots
	RetryAfter time.Duration
}

// Slot is the right to start generations, one at a time, on one incarnation of an
// engine. The entry sends the incarnation with the generation, so that a restarted
// engine refuses work that was granted for an earlier incarnation.
type Slot struct {
	ID          serving.SlotID
	Engine      serving.EngineID
	Incarnation serving.Incarnation
	// Expires is the time until which a generation may start under the slot.
	Expires time.Duration
}
