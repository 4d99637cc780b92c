package saturation

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// countedFor is how long a hub counts an entry after its last poll. It is longer than a
	// poll that times out (0.7 s).
	countedFor = time.Second
	// arrivalTime is how long an entry has polled before it is counted. Until countedFor after its
	// last poll, another hub may have counted it, and a grant that rests on that is valid for
	// newsTimeout longer.
	arrivalTime = countedFor + newsTimeout + 500*time.Millisecond
	// awayFor is how long an entry counts as away after its last poll. It is longer than
	// newsTimeout, after which the entry is ready again.
	awayFor = 3 * time.Second
	// claimTime is how long a claim waits for others that are more saturated: two intervals of
	// the samples at the entries, so that all claims of one wave are compared.
	claimTime = 500 * time.Millisecond
	// sumsFor is how long a hub uses sums once they are computed.
	sumsFor = 50 * time.Millisecond
	// unevenRatio is the ratio of the largest to the smallest host of a data centre from which
	// an even division of connections does not fit: highLevel at the small host is less than
	// lowLevel at the large one.
	unevenRatio = 1.34

	// Bounds of what a table keeps, above two-year sizes.
	maxEntries = 8192
	maxName    = 128
)

// Table decides which entries may be away, among those that poll one hub. The zero value is an
// empty table.
type Table struct {
	entries map[serving.HostID]*record
	// active holds the entries that are not ready.
	active map[serving.HostID]*record
	// sums are the sums for each data centre as of sumsAt.
	sums   map[serving.DataCentreID]*sum
	sumsAt time.Duration
}

// record is what a hub knows of one entry.
type record struct {
	State
	incarnation uint64
	// arrivedAt is when the current sequence of polls began, at when the last one came.
	arrivedAt, at time.Duration
	claimedAt     time.Duration
	// granted is set while the hub permits the entry to be away, since grantedAt.
	granted   bool
	grantedAt time.Duration
}

// sum describes the entries of one data centre that are counted.
type sum struct {
	entries           int
	smallest, largest Size
}

func (s *sum) add(z Size) {
	if s.entries++; s.entries == 1 {
		s.smallest, s.largest = z, z
		return
	}
	s.smallest = Size{min(s.smallest.MilliCores, z.MilliCores), min(s.smallest.KilobitsPerSecond, z.KilobitsPerSecond), min(s.smallest.Descriptors, z.Descriptors)}
	s.largest = Size{max(s.largest.MilliCores, z.MilliCores), max(s.largest.KilobitsPerSecond, z.KilobitsPerSecond), max(s.largest.Descriptors, z.Descriptors)}
}

// uneven reports whether an even division of connections does not fit the hosts.
func (s *sum) uneven() bool {
	differ := func(a, b uint32) bool { return float64(b) >= unevenRatio*float64(a) }
	return differ(s.smallest.MilliCores, s.largest.MilliCores) || differ(s.smallest.KilobitsPerSecond, s.largest.KilobitsPerSecond) ||
		differ(s.smallest.Descriptors, s.largest.Descriptors)
}

// Poll records a poll of an entry's process. state is nil if the poll had none, which means that
// nothing has changed. Invalid states and those that arrive late are ignored.
func (t *Table) Poll(now time.Duration, host serving.HostID, incarnation uint64, state *State) {
	r := t.entries[host]
	if state == nil {
		if r != nil && r.incarnation == incarnation {
			r.touch(now)
		}
		return
	}
	if !state.valid() || host == "" || len(host) > maxName {
		return
	}
	if r == nil || r.incarnation != incarnation {
		if r == nil && len(t.entries) >= maxEntries {
			return
		}
		if t.entries == nil {
			t.entries, t.active = map[serving.HostID]*record{}, map[serving.HostID]*record{}
		}
		r = &record{incarnation: incarnation, arrivedAt: now, at: now}
		t.entries[host] = r
	} else if state.Sequence <= r.Sequence {
		return
	}
	r.touch(now)
	if state.Phase == Claiming && r.Phase != Claiming {
		r.claimedAt = now
	}
	r.State = *state
	delete(t.active, host)
	if r.Phase == Ready {
		r.granted = false
	} else {
		t.active[host] = r
	}
}

func (r *record) touch(now time.Duration) {
	if now-r.at > countedFor {
		r.arrivedAt = now
	}
	r.at = now
}

// Answer returns what to tell an entry, and grants or withdraws its claim. ok is false if nothing
// is to be decided, because the entry is not known or the hosts of its data centre are alike.
func (t *Table) Answer(now time.Duration, host serving.HostID) (a Answer, ok bool) {
	r := t.entries[host]
	if r == nil {
		return Answer{}, false
	}
	s := t.sum(now, r.DataCentre)
	if s == nil || !s.uneven() {
		r.granted = false
		return Answer{}, false
	}
	granted := t.mayBeAway(now, host, r, MaxAway(s.entries))
	if granted && !r.granted {
		r.grantedAt = now
	}
	r.granted = granted
	return Answer{Entries: s.entries, Granted: granted}, true
}

// away reports whether the entry counts as away.
func (r *record) away(now time.Duration) bool {
	return (r.granted || r.Phase >= Away) && now-r.at <= awayFor
}

// mayBeAway reports whether an entry may be away if at most k may.
func (t *Table) mayBeAway(now time.Duration, host serving.HostID, r *record, k int) bool {
	keeps := r.granted || r.Phase == Away
	if r.Phase != Claiming && r.Phase != Away || !keeps && now-r.claimedAt < claimTime {
		return false
	}
	// before counts the entries that go before this one.
	before := 0
	for otherHost, other := range t.active {
		if other == r || other.DataCentre != r.DataCentre {
			continue
		}
		switch away := other.away(now); {
		case away && !keeps:
			before++
		case away:
			if other.Phase == Leaving || other.grantedAt < r.grantedAt || other.grantedAt == r.grantedAt && otherHost < host {
				before++
			}
		case !keeps && other.Phase == Claiming && now-other.at <= countedFor:
			if other.Level > r.Level || other.Level == r.Level && otherHost < host {
				before++
			}
		}
	}
	return before < k
}

// sum returns the sum for a data centre, nil if there is none. It computes all sums and drops
// entries that no longer poll if the sums are older than sumsFor.
func (t *Table) sum(now time.Duration, dc serving.DataCentreID) *sum {
	if t.sums != nil && now-t.sumsAt < sumsFor {
		return t.sums[dc]
	}
	t.sums, t.sumsAt = map[serving.DataCentreID]*sum{}, now
	for host, r := range t.entries {
		if now-r.at > awayFor {
			delete(t.entries, host)
			delete(t.active, host)
			continue
		}
		if now-r.at > countedFor || now-r.arrivedAt < arrivalTime {
			continue
		}
		if t.sums[r.DataCentre] == nil {
			t.sums[r.DataCentre] = &sum{}
		}
		t.sums[r.DataCentre].add(r.Size)
	}
	return t.sums[dc]
}
