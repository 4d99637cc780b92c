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

// Owner returns the entry that owns an engine: by rendezvous hashing over the
// entries of the engine's data centre, else of its region, else over all. A
// change of one entry moves only the engines that this entry owns.
func Owner(id serving.EngineID, dataCentre serving.DataCentreID, region serving.RegionID, entries []Entry) (Entry, bool) {
	near := func(e Entry) bool { return e.DataCentre == dataCentre }
	if owner, ok := highest(id, entries, near); ok {
		return owner, true
	}
	near = func(e Entry) bool { return region != "" && e.Region == region }
	if owner, ok := highest(id, entries, near); ok {
		return owner, true
	}
	return highest(id, entries, func(Entry) bool { return true })
}

func highest(id serving.EngineID, entries []Entry, eligible func(Entry) bool) (Entry, bool) {
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
