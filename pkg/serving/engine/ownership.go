package engine

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Ownership decides whether this entry may act as the owner of an engine.
//
// The list of entries comes with the configuration view, and no view is in force
// for longer than its lease. An entry that was the owner under every list of the
// last settle time therefore knows that no other entry acts as owner, and that
// every right an earlier owner granted has expired.
type Ownership struct {
	// Self is the host of this entry.
	Self serving.HostID
	// Settle is the view lease plus the time after which rights expire, with a
	// margin for clock drift.
	Settle time.Duration

	lists []entryList
}

type entryList struct {
	epoch   uint64
	entries []Entry
	// from is the time from which the list counts, the earlier lists until then.
	from time.Duration
}

// Update takes over the list of entries of a view. It returns false if lists were
// missed in between, under which another entry may have been the owner.
func (o *Ownership) Update(now time.Duration, epoch uint64, entries []Entry) bool {
	n := len(o.lists)
	if n > 0 && o.lists[n-1].epoch >= epoch {
		return true
	}
	complete := n > 0 && o.lists[n-1].epoch+1 == epoch
	if !complete {
		o.lists = nil
	}
	o.lists = append(o.lists, entryList{epoch: epoch, entries: entries, from: now})
	for len(o.lists) > 1 && now-o.lists[1].from > o.Settle {
		o.lists = o.lists[1:]
	}
	return complete
}

// Epoch returns the epoch of the current list, 0 if there is none.
func (o *Ownership) Epoch() uint64 {
	if len(o.lists) == 0 {
		return 0
	}
	return o.lists[len(o.lists)-1].epoch
}

// Owner returns the owner of an engine under the current list.
func (o *Ownership) Owner(id serving.EngineID, dataCentre serving.DataCentreID, region serving.RegionID) (Entry, bool) {
	if len(o.lists) == 0 {
		return Entry{}, false
	}
	return Owner(id, dataCentre, region, o.lists[len(o.lists)-1].entries)
}

// Settled tells whether this entry owns an engine and every right that another
// owner granted has expired.
func (o *Ownership) Settled(now time.Duration, id serving.EngineID, dataCentre serving.DataCentreID, region serving.RegionID) bool {
	covered := false
	for i, l := range o.lists {
		if i+1 < len(o.lists) && now-o.lists[i+1].from > o.Settle {
			continue // This list ended before the settle time began.
		}
		owner, ok := Owner(id, dataCentre, region, l.entries)
		if !ok || owner.Host != o.Self {
			return false
		}
		covered = covered || now-l.from >= o.Settle
	}
	return covered
}
