package engine

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Ownership decides whether this entry may act as the owner of an engine.
//
// The list of entries is part of the configuration view that entries poll from the
// control plane, and no view is used for longer than its lease. If this entry was the
// owner under every list of the last SettleTime, no other entry acts as owner, and all
// slots or shares that an earlier owner granted have expired.
//
// Ownership is not safe for concurrent use.
type Ownership struct {
	// Self is the host of this entry.
	Self serving.HostID
	// SettleTime is the view lease plus the TTL of a granted slot or share, with a
	// margin for clock drift.
	SettleTime time.Duration

	lists []entryList
}

type entryList struct {
	// epoch numbers the lists; each change of the list increments it by one.
	epoch   uint64
	entries []Entry
	// from is the time at which this list replaced the previous one.
	from time.Duration
}

// Update stores the list of entries of a view and ignores lists that are not newer
// than the current one. It returns false for the first list and if lists between the
// current and the new epoch were missed: another entry may have been the owner under
// an unknown list.
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
	for len(o.lists) > 1 && now-o.lists[1].from > o.SettleTime {
		o.lists = o.lists[1:]
	}
	return complete
}

// Epoch returns the epoch of the current list, or 0 if there is none.
func (o *Ownership) Epoch() uint64 {
	if len(o.lists) == 0 {
		return 0
	}
	return o.lists[len(o.lists)-1].epoch
}

// Owner returns the owner of an engine under the current list, or false if there is
// no list or the list is empty.
func (o *Ownership) Owner(id serving.EngineID, dataCentre serving.DataCentreID, region serving.RegionID) (Entry, bool) {
	if len(o.lists) == 0 {
		return Entry{}, false
	}
	return Owner(id, dataCentre, region, o.lists[len(o.lists)-1].entries)
}

// Settled reports whether this entry owns an engine and all slots or shares that
// another owner granted have expired.
func (o *Ownership) Settled(now time.Duration, id serving.EngineID, dataCentre serving.DataCentreID, region serving.RegionID) bool {
	coversSettleTime := false
	for i, l := range o.lists {
		if i+1 < len(o.lists) && now-o.lists[i+1].from > o.SettleTime {
			continue // This list was replaced more than SettleTime ago.
		}
		owner, ok := Owner(id, dataCentre, region, l.entries)
		if !ok || owner.Host != o.Self {
			return false
		}
		coversSettleTime = coversSettleTime || now-l.from >= o.SettleTime
	}
	return coversSettleTime
}
