package presence

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// State is the state of an engine as it tells it.
type State string

// States of an engine.
const (
	Ready State = "ready"
	// Leaving engines finish what they have and take nothing new.
	Leaving State = "leaving"
	// Gone engines have said that they end; they may still finish work.
	Gone State = "gone"
)

// Default times of a directory.
const (
	// DefaultSilentAfter is a little over three heartbeats of today's platforms.
	DefaultSilentAfter = 4 * time.Second
	// DefaultForgetAfter keeps a silent engine in use by entries that reach it,
	// as when only its way to the hubs is cut.
	DefaultForgetAfter = 30 * time.Second
	// DefaultTombstone is longer than any late heartbeat is on its way.
	DefaultTombstone = 60 * time.Second
	// restartWithoutStart is when a gone engine that never told its start may
	// return under its id.
	restartWithoutStart = 2 * time.Second
)

// Record is what is known of one engine.
type Record struct {
	Engine     serving.EngineID
	Service    serving.ServiceID
	Address    string
	DataCentre serving.DataCentreID
	State      State
	Slots      serving.Slots
	// Started is the start of the engine's process in Unix milliseconds; 0 if unknown.
	Started int64
	// Sequence numbers the heartbeats of one start.
	Sequence int64
	// ColdUntil is when the cold start ends, on the clock of this process.
	ColdUntil time.Duration
	// Heard is when the engine was last heard, directly or through another host.
	Heard time.Duration
}

// Entry is a record with what the directory concludes from all records.
type Entry struct {
	Record
	// Superseded tells that a later engine has the address.
	Superseded bool
	// Silent tells that no heartbeat has come for a while.
	Silent bool
	// since is when the state was first seen.
	since   time.Duration
	changed uint64
}

// Usable tells whether the engine may get new work.
func (e *Entry) Usable() bool { return e.State == Ready && !e.Superseded }

// Directory holds the records of all engines.
type Directory struct {
	// SilentAfter, ForgetAfter and Tombstone default to the constants of the package.
	SilentAfter, ForgetAfter, Tombstone time.Duration

	entries   map[serving.EngineID]*Entry
	addresses map[string]serving.EngineID
	cursor    uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		SilentAfter: DefaultSilentAfter, ForgetAfter: DefaultForgetAfter, Tombstone: DefaultTombstone,
		entries: map[serving.EngineID]*Entry{}, addresses: map[string]serving.EngineID{},
	}
}

// Observe takes in a heartbeat, or what another host knows of an engine. It
// tells whether more than the time of the last heartbeat has changed.
func (d *Directory) Observe(now time.Duration, r Record) bool {
	e := d.entries[r.Engine]
	if e == nil {
		e = &Entry{Record: r, since: now}
		d.entries[r.Engine] = e
		d.touch(e)
		d.claimAddress(e)
		return true
	}
	switch {
	case !d.newer(now, &r, e):
		if r.Started == e.Started && r.Heard > e.Heard && e.State != Gone {
			return d.hear(e, r.Heard)
		}
		return false
	case r.Started == e.Started && r.State == Ready && e.State == Leaving:
		// A late heartbeat must not take back that the engine leaves.
		r.State = Leaving
	}
	heard := max(r.Heard, e.Heard)
	same := e.State == r.State && e.Address == r.Address && e.Service == r.Service && e.Started == r.Started &&
		e.Slots == r.Slots && e.DataCentre == r.DataCentre && coldEqual(e.ColdUntil, r.ColdUntil, now)
	moved := e.Address != r.Address || e.Started != r.Started
	if e.State != r.State {
		e.since = now
	}
	e.Record = r
	if moved {
		e.Superseded = false
		d.claimAddress(e)
	}
	if same {
		return d.hear(e, heard)
	}
	e.Heard, e.Silent = heard, false
	d.touch(e)
	return true
}

// coldEqual tells whether two ends of a cold start differ by no more than the
// inaccuracy of telling the remaining time.
func coldEqual(a, b, now time.Duration) bool {
	const tolerance = 300 * time.Millisecond
	a, b = max(a, now), max(b, now)
	return (a - b).Abs() < tolerance
}

// hear records the time of a heartbeat; it tells whether the engine was silent.
func (d *Directory) hear(e *Entry, heard time.Duration) bool {
	e.Heard = max(e.Heard, heard)
	if !e.Silent {
		return false
	}
	e.Silent = false
	d.touch(e)
	return true
}

// newer tells whether a record replaces the known one of the same engine.
func (d *Directory) newer(now time.Duration, r *Record, e *Entry) bool {
	if r.Started != e.Started && r.Started != 0 && e.Started != 0 {
		return r.Started > e.Started
	}
	if e.State == Gone {
		return r.Started == 0 && e.Started == 0 && r.State != Gone && r.Sequence < e.Sequence && now-e.since > restartWithoutStart
	}
	return r.State == Gone || r.Sequence > e.Sequence
}

// claimAddress settles which engine has an address that several records name.
func (d *Directory) claimAddress(e *Entry) {
	other := d.entries[d.addresses[e.Address]]
	if other == nil || other == e || other.Address != e.Address {
		d.addresses[e.Address] = e.Engine
		return
	}
	loser := other
	if other.Started > e.Started && other.State != Gone {
		loser = e
	} else {
		d.addresses[e.Address] = e.Engine
	}
	if !loser.Superseded {
		loser.Superseded = true
		d.touch(loser)
	}
}

// Leave records that an engine has said that it ends. It tells whether that is new.
func (d *Directory) Leave(now time.Duration, id serving.EngineID) bool {
	e := d.entries[id]
	if e == nil {
		e = &Entry{Record: Record{Engine: id}}
		d.entries[id] = e
	}
	if e.State == Gone {
		return false
	}
	e.State, e.since, e.Heard = Gone, now, now
	d.touch(e)
	return true
}

func (d *Directory) touch(e *Entry) {
	d.cursor++
	e.changed = d.cursor
}

// Expire marks silent engines and forgets those that have been silent or gone
// for long. It tells whether an engine has become silent.
func (d *Directory) Expire(now time.Duration) bool {
	changed := false
	for id, e := range d.entries {
		switch {
		case e.State == Gone && now-e.since > d.Tombstone, e.State != Gone && now-e.Heard > d.ForgetAfter:
			delete(d.entries, id)
			if d.addresses[e.Address] == id {
				delete(d.addresses, e.Address)
			}
		case e.State != Gone && !e.Silent && now-e.Heard > d.SilentAfter:
			e.Silent = true
			d.touch(e)
			changed = true
		}
	}
	return changed
}

// Get returns what is known of an engine, nil if nothing is.
func (d *Directory) Get(id serving.EngineID) *Entry { return d.entries[id] }

// Since returns the entries that changed after a cursor, and the new cursor. The
// entries stay valid until the next call of a method that changes them.
func (d *Directory) Since(cursor uint64) ([]*Entry, uint64) {
	if cursor == d.cursor {
		return nil, cursor
	}
	var out []*Entry
	for _, e := range d.entries {
		if e.changed > cursor {
			out = append(out, e)
		}
	}
	return out, d.cursor
}

// Cursor returns the number of the last change.
func (d *Directory) Cursor() uint64 { return d.cursor }

// Forget drops an engine that another host no longer knows.
func (d *Directory) Forget(id serving.EngineID) {
	if e := d.entries[id]; e != nil {
		if d.addresses[e.Address] == id {
			delete(d.addresses, e.Address)
		}
		delete(d.entries, id)
	}
}

// All calls f for every entry.
func (d *Directory) All(f func(*Entry)) {
	for _, e := range d.entries {
		f(e)
	}
}

// ChangedAfter tells whether the entry changed after a cursor.
func (e *Entry) ChangedAfter(cursor uint64) bool { return e.changed > cursor }
