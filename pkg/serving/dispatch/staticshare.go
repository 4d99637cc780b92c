package dispatch

import (
	"fmt"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// StaticShare is the alternative to slots granted by an [Owner]: each entry may use a
// fixed share of an engine's limit without exchanging messages. The share of an idle or
// failed entry stays unused.
type StaticShare struct {
	// Index is this entry's position among all entries, counted from 0; Entries is
	// their number.
	Index, Entries int
	limit          serving.Slots
	next           uint64
	running        map[serving.SlotID]bool
}

// NewStaticShare returns the share of the entry with the given index.
func NewStaticShare(index, entries int) *StaticShare {
	return &StaticShare{Index: index, Entries: entries, running: map[serving.SlotID]bool{}}
}

// SetLimit sets the engine's limit for all entries together.
func (s *StaticShare) SetLimit(limit serving.Slots) { s.limit = limit }

// Limit returns this entry's share of the limit.
func (s *StaticShare) Limit() serving.Slots {
	n := serving.Slots(s.Entries)
	part := s.limit / n
	if serving.Slots(s.Index) < s.limit%n {
		part++
	}
	return part
}

// Free returns the number of generations that may start now.
func (s *StaticShare) Free(time.Duration) serving.Slots {
	return max(0, s.Limit()-serving.Slots(len(s.running)))
}

// Acquire reserves a slot for a generation that starts now. It returns false if none is free.
func (s *StaticShare) Acquire(now time.Duration) (Slot, bool) {
	if s.Free(now) == 0 {
		return Slot{}, false
	}
	s.next++
	id := serving.SlotID(fmt.Sprintf("%d/%d", s.Index, s.next))
	s.running[id] = true
	return Slot{ID: id, Expires: now + time.Hour}, true
}

// Release records the end of the generation that ran under a slot.
func (s *StaticShare) Release(_ time.Duration, id serving.SlotID) { delete(s.running, id) }
