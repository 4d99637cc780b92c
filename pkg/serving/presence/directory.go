package presence

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/rollout"
)

// State is the state that an engine reports.
type State string

// States of an engine.
const (
	Ready State = "ready"
	// Leaving engines are draining: they complete their calls and accept no new ones.
	Leaving State = "leaving"
	// Gone engines have announced that they shut down. They may still complete calls.
	Gone State = "gone"
)

// Default times of a directory.
const (
	// DefaultSilentAfter is a little over three times the usual heartbeat interval of
	// engines.
	DefaultSilentAfter = 4 * time.Second
	// DefaultRemoveAfter keeps a silent engine available to entry processes that can
	// reach it, for example if only its connection to the hubs is interrupted.
	DefaultRemoveAfter = 30 * time.Second
	// DefaultTombstoneTTL is longer than the delay of any heartbeat, so a late one
	// can't add a gone engine again.
	DefaultTombstoneTTL = 60 * time.Second
	// rejoinDelay is the time after which a gone engine that reports no start time
	// may register again under its id.
	rejoinDelay = 2 * time.Second
)

// Record describes one engine, as reported in its heartbeats.
type Record struct {
	Engine     serving.EngineID
	Service    serving.ServiceID
	Address    string
	DataCentre serving.DataCentreID
	State      State
	Slots      serving.Slots
	// Version is that of the engine's software; empty if unknown.
	Version rollout.Version
	// Started is the start of the engine's process in Unix milliseconds; 0 if unknown.
	Started int64
	// Sequence numbers the heartbeats since the engine's start.
	Sequence int64
	// ColdUntil is when the cold start ends, on the clock of this process.
	ColdUntil time.Duration
	// LastHeartbeat is the time of the engine's last heartbeat, received directly or
	// through another process, on the clock of this process.
	LastHeartbeat time.Duration
}

// EngineStatus is the status of one engine in the directory: its record, and the state
// that the directory derives from the records of all engines.
type EngineStatus struct {
	Record
	// Superseded means that another engine has taken over the address, usually one
	// that started later.
	Superseded bool
	// Silent means that no heartbeat has arrived for SilentAfter.
	Silent bool
	// stateSince is when the directory first saw the state.
	stateSince time.Duration
	// changedAt is the directory's cursor after the engine's last change.
	changedAt uint64
}

// Usable reports whether the engine may get new calls.
func (e *EngineStatus) Usable() bool { return e.State == Ready && !e.Superseded }

// Directory holds the records of all engines.
type Directory struct {
	// SilentAfter and RemoveAfter are the times since the last heartbeat after which
	// an engine counts as silent and is removed. TombstoneTTL is how long the record
	// of a gone engine is kept. NewDirectory sets the defaults of the package.
	SilentAfter, RemoveAfter, TombstoneTTL time.Duration

	engines   map[serving.EngineID]*EngineStatus
	addresses map[string]serving.EngineID
	// cursor is the number of changes so far.
	cursor uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		SilentAfter: DefaultSilentAfter, RemoveAfter: DefaultRemoveAfter, TombstoneTTL: DefaultTombstoneTTL,
		engines: map[serving.EngineID]*EngineStatus{}, addresses: map[string]serving.EngineID{},
	}
}

// Observe updates the directory with a record from a heartbeat or from another
// process. It reports whether anything other than the time of the last heartbeat has
// changed.
func (d *Directory) Observe(now time.Duration, r Record) bool {
	e := d.engines[r.Engine]
	if e == nil {
		e = &EngineStatus{Record: r, stateSince: now}
		d.engines[r.Engine] = e
		d.markChanged(e)
		d.resolveAddress(e)
		return true
	}
	switch {
	case !d.newer(now, &r, e):
		if r.Started == e.Started && r.LastHeartbeat > e.LastHeartbeat && e.State != Gone {
			return d.recordHeartbeat(e, r.LastHeartbeat)
		}
		return false
	case r.Started == e.Started && r.State == Ready && e.State == Leaving:
		// A late heartbeat must not make a leaving engine ready again.
		r.State = Leaving
	}
	if r.Version == "" && r.Started == e.Started {
		// The record came through a process that does not know versions.
		r.Version = e.Version
	}
	lastHeartbeat := max(r.LastHeartbeat, e.LastHeartbeat)
	same := e.State == r.State && e.Address == r.Address && e.Service == r.Service && e.Started == r.Started &&
		e.Slots == r.Slots && e.DataCentre == r.DataCentre && e.Version == r.Version && coldEqual(e.ColdUntil, r.ColdUntil, now)
	moved := e.Address != r.Address || e.Started != r.Started
	if e.State != r.State {
		e.stateSince = now
	}
	e.Record = r
	if moved {
		e.Superseded = false
		d.resolveAddress(e)
	}
	if same {
		return d.recordHeartbeat(e, lastHeartbeat)
	}
	e.LastHeartbeat, e.Silent = lastHeartbeat, false
	d.markChanged(e)
	return true
}

// coldEqual reports whether two ends of a cold start are equal. It allows for the
// varying delay of messages, which carry the remaining time.
func coldEqual(a, b, now time.Duration) bool {
	const tolerance = 300 * time.Millisecond
	a, b = max(a, now), max(b, now)
	return (a - b).Abs() < tolerance
}

// recordHeartbeat updates the time of the last heartbeat, and reports whether the
// engine was silent.
func (d *Directory) recordHeartbeat(e *EngineStatus, lastHeartbeat time.Duration) bool {
	e.LastHeartbeat = max(e.LastHeartbeat, lastHeartbeat)
	if !e.Silent {
		return false
	}
	e.Silent = false
	d.markChanged(e)
	return true
}

// newer reports whether the record r replaces the record of the same engine in e.
func (d *Directory) newer(now time.Duration, r *Record, e *EngineStatus) bool {
	if r.Started != e.Started && r.Started != 0 && e.Started != 0 {
		return r.Started > e.Started
	}
	if e.State == Gone {
		// Without start times, a restart is recognized by its sequence numbers, which
		// begin again. Those of late heartbeats are lower as well, so rejoinDelay must
		// have passed.
		return r.Started == 0 && e.Started == 0 && r.State != Gone && r.Sequence < e.Sequence && now-e.stateSince > rejoinDelay
	}
	return r.State == Gone || r.Sequence > e.Sequence
}

// resolveAddress determines which engine owns the address of e if another engine has
// the same one, and marks the one that doesn't own it as superseded.
func (d *Directory) resolveAddress(e *EngineStatus) {
	other := d.engines[d.addresses[e.Address]]
	if other == nil || other == e || other.Address != e.Address {
		d.addresses[e.Address] = e.Engine
		return
	}
	outdated := other
	if other.Started > e.Started && other.State != Gone {
		outdated = e
	} else {
		d.addresses[e.Address] = e.Engine
	}
	if !outdated.Superseded {
		outdated.Superseded = true
		d.markChanged(outdated)
	}
}

// MarkGone records that an engine has announced its shutdown. It reports whether the
// state has changed.
func (d *Directory) MarkGone(now time.Duration, id serving.EngineID) bool {
	e := d.engines[id]
	if e == nil {
		e = &EngineStatus{Record: Record{Engine: id}}
		d.engines[id] = e
	}
	if e.State == Gone {
		return false
	}
	e.State, e.stateSince, e.LastHeartbeat = Gone, now, now
	d.markChanged(e)
	return true
}

// markChanged makes Since return e for all earlier cursors.
func (d *Directory) markChanged(e *EngineStatus) {
	d.cursor++
	e.changedAt = d.cursor
}

// Expire marks engines as silent, and removes those that have been silent or gone
// for too long. It reports whether an engine has become silent.
func (d *Directory) Expire(now time.Duration) bool {
	changed := false
	for id, e := range d.engines {
		switch {
		case e.State == Gone && now-e.stateSince > d.TombstoneTTL, e.State != Gone && now-e.LastHeartbeat > d.RemoveAfter:
			delete(d.engines, id)
			if d.addresses[e.Address] == id {
				delete(d.addresses, e.Address)
			}
		case e.State != Gone && !e.Silent && now-e.LastHeartbeat > d.SilentAfter:
			e.Silent = true
			d.markChanged(e)
			changed = true
		}
	}
	return changed
}

// Get returns the status of an engine, nil if the engine is not in the directory.
func (d *Directory) Get(id serving.EngineID) *EngineStatus { return d.engines[id] }

// Since returns the engines that changed after a cursor, and the new cursor. The
// results stay valid until the next call of a method that changes them.
func (d *Directory) Since(cursor uint64) ([]*EngineStatus, uint64) {
	if cursor == d.cursor {
		return nil, cursor
	}
	var out []*EngineStatus
	for _, e := range d.engines {
		if e.changedAt > cursor {
			out = append(out, e)
		}
	}
	return out, d.cursor
}

// Cursor returns the current cursor for Since. Each change increases it.
func (d *Directory) Cursor() uint64 { return d.cursor }

// Remove removes an engine that is missing from the complete list of another process.
func (d *Directory) Remove(id serving.EngineID) {
	if e := d.engines[id]; e != nil {
		if d.addresses[e.Address] == id {
			delete(d.addresses, e.Address)
		}
		delete(d.engines, id)
	}
}

// ForEach calls f for every engine.
func (d *Directory) ForEach(f func(*EngineStatus)) {
	for _, e := range d.engines {
		f(e)
	}
}

// ChangedAfter reports whether the engine changed after a cursor.
func (e *EngineStatus) ChangedAfter(cursor uint64) bool { return e.changedAt > cursor }
