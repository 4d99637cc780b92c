package engine

import (
	"github.com/cespare/xxhash/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Entry is an entry that may own engines.
type Entry struct {
	Host       serving.HostID
	Address    string
	DataCentre serving.DataCentreID
	Region     serving.RegionID
}

// Owner selects the entry that owns an engine by rendezvous hashing. The
// candidates are the entries in the engine's data centre; if there are none, the
// entries in its region; if there are none either, all entries. Adding or
// removing one entry changes the owner only of engines that this entry gains or
// loses. Owner returns false if entries is empty.
func Owner(id serving.EngineID, dataCentre serving.DataCentreID, region serving.RegionID, entries []Entry) (Entry, bool) {
	eligible := func(e Entry) bool { return e.DataCentre == dataCentre }
	if owner, ok := highestWeight(id, entries, eligible); ok {
		return owner, true
	}
	eligible = func(e Entry) bool { return region != "" && e.Region == region }
	if owner, ok := highestWeight(id, entries, eligible); ok {
		return owner, true
	}
	return highestWeight(id, entries, func(Entry) bool { return true })
}

func highestWeight(id serving.EngineID, entries []Entry, eligible func(Entry) bool) (Entry, bool) {
	var best Entry
	var bestWeight uint64
	found := false
	for _, e := range entries {
		if !eligible(e) {
			continue
		}
		weight := xxhash.Sum64String(string(id) + "\x00" + string(e.Host))
		if !found || weight > bestWeight || (weight == bestWeight && e.Host < best.Host) {
			best, bestWeight, found = e, weight, true
		}
	}
	return best, found
}
