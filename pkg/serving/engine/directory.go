package engine

import (
	"maps"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// MemberKind distinguishes entries from engines.
type MemberKind string

// Kinds of members.
const (
	MemberEntry  MemberKind = "entry"
	MemberEngine MemberKind = "engine"
)

// State is the state of a member that the directory derives from its records and
// from failed calls.
type State string

// States of a member.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	// StateUnreachable means that calls from this entry to the member fail although
	// other entries forward recent records of it.
	StateUnreachable State = "unreachable"
	StateDead        State = "dead"
	StateLeaving     State = "leaving"
)

// Member is the latest known record of one entry or engine.
type Member struct {
	ID          string
	Kind        MemberKind
	Address     string
	DataCentre  serving.DataCentreID
	Region      serving.RegionID
	Incarnation serving.Incarnation
	// Version orders the records of one incarnation.
	Version uint64
	Leaving bool
	// DescriptionVersion is the version at which an engine's announcement last changed
	// in anything but its sequence number, uptime, load and cache events.
	DescriptionVersion uint64
	// Announcement is set for engines and nil for entries.
	Announcement *Announcement
	// LastSeen is the local time at which the member published this version.
	LastSeen time.Duration
	// FirstSeen is the local time at which this incarnation was first recorded.
	FirstSeen time.Duration
}

// Digest identifies the known version of a member.
type Digest struct {
	Incarnation serving.Incarnation
	Version     uint64
	// DescriptionVersion identifies the known announcement of an engine.
	DescriptionVersion uint64
}

// Event is a change of a member's state. Old is empty for a new member.
type Event struct {
	Member *Member
	Old    State
	New    State
}

// Config configures a directory. Zero durations mean the defaults.
type Config struct {
	// Self is this entry. The directory increments its Version.
	Self Member
	// SuspectAfter is the time without a new version after which a member is suspect.
	SuspectAfter time.Duration
	// DeadAfter is the time without a new version after which a member counts as dead.
	DeadAfter time.Duration
	// RemoveAfter is the time without a new version after which a member is removed.
	RemoveAfter time.Duration
}

// Default times of a directory. Engines send an announcement and entries exchange
// records every 500 ms, so a member becomes suspect after three consecutive losses.
const (
	DefaultSuspectAfter = 1600 * time.Millisecond
	DefaultDeadAfter    = 5 * time.Second
	DefaultRemoveAfter  = 10 * time.Minute
)

// Directory is one entry's view of the membership. It is not safe for concurrent
// use.
type Directory struct {
	cfg     Config
	members map[string]*Member
	states  map[string]State
	// failedAt holds the time of the last failed call to a member if no later call
	// succeeded.
	failedAt map[string]time.Duration
}

// NewDirectory returns a directory whose only member is this entry.
func NewDirectory(cfg Config) *Directory {
	if cfg.SuspectAfter == 0 {
		cfg.SuspectAfter = DefaultSuspectAfter
	}
	if cfg.DeadAfter == 0 {
		cfg.DeadAfter = DefaultDeadAfter
	}
	if cfg.RemoveAfter == 0 {
		cfg.RemoveAfter = DefaultRemoveAfter
	}
	cfg.Self.Kind = MemberEntry
	d := &Directory{
		cfg:      cfg,
		members:  map[string]*Member{},
		states:   map[string]State{},
		failedAt: map[string]time.Duration{},
	}
	self := cfg.Self
	d.members[self.ID] = &self
	return d
}

// Heartbeat increments the version of this entry. After a call with leaving set, the
// entry stays marked as leaving.
func (d *Directory) Heartbeat(now time.Duration, leaving bool) {
	self := *d.members[d.cfg.Self.ID]
	self.Version++
	self.LastSeen = now
	self.Leaving = self.Leaving || leaving
	d.members[self.ID] = &self
}

// Announce records an announcement that an engine sent to this entry. It returns
// false if a newer version of the engine is known.
func (d *Directory) Announce(now time.Duration, a *Announcement, region serving.RegionID) bool {
	descriptionVersion := a.version()
	if old := d.members[string(a.Engine)]; old != nil && old.Announcement != nil && old.Announcement.sameDescription(a) {
		descriptionVersion = old.DescriptionVersion
	}
	return d.merge(now, Member{
		DescriptionVersion: descriptionVersion,
		ID:                 string(a.Engine), Kind: MemberEngine, Address: a.Address,
		DataCentre: a.DataCentre, Region: region, Incarnation: a.Incarnation,
		Version: a.version(), Leaving: a.State == PhaseLeaving, Announcement: a, LastSeen: now,
	})
}

// Merge stores the members whose version is newer than the known one.
func (d *Directory) Merge(now time.Duration, members []Member) {
	for _, m := range members {
		d.merge(now, m)
	}
}

func (d *Directory) merge(now time.Duration, m Member) bool {
	old := d.members[m.ID]
	if m.ID == d.cfg.Self.ID || (old != nil && !newer(m, old)) {
		return false
	}
	m.FirstSeen = now
	if old != nil && old.Incarnation == m.Incarnation {
		m.FirstSeen = old.FirstSeen
		m.Leaving = m.Leaving || old.Leaving
	}
	d.members[m.ID] = &m
	return true
}

func newer(m Member, old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Version > old.Version
}

// Digest returns the known version of each member.
func (d *Directory) Digest() map[string]Digest {
	digest := make(map[string]Digest, len(d.members))
	for id, m := range d.members {
		digest[id] = Digest{m.Incarnation, m.Version, m.DescriptionVersion}
	}
	return digest
}

// Newer returns the members that a peer with the given digest does not have or has
// only in an older version.
func (d *Directory) Newer(digest map[string]Digest) []Member {
	var result []Member
	for id, m := range d.members {
		known, ok := digest[id]
		if !ok || newer(*m, &Member{Incarnation: known.Incarnation, Version: known.Version}) {
			result = append(result, *m)
		}
	}
	return result
}

// MergeLoadReport stores a load report that another entry forwarded without the
// engine's announcement: m.Announcement is nil, and the known announcement is kept
// with the new load and cache events. It returns false if the known announcement
// has another incarnation or description version than m, or if the report is not
// newer than the known version.
func (d *Directory) MergeLoadReport(now time.Duration, m Member, load serving.Load, events []CacheEvent) bool {
	old := d.members[m.ID]
	if old == nil || old.Announcement == nil || old.Incarnation != m.Incarnation || old.DescriptionVersion != m.DescriptionVersion {
		return false
	}
	a := *old.Announcement
	a.Load, a.CacheEvents, a.Seq = load, events, m.Version
	m.Kind, m.Address, m.DataCentre, m.Region, m.Announcement = old.Kind, old.Address, old.DataCentre, old.Region, &a
	return d.merge(now, m)
}

// RecordContact records whether a call from this entry to a member succeeded.
func (d *Directory) RecordContact(now time.Duration, id string, ok bool) {
	if ok {
		delete(d.failedAt, id)
		return
	}
	d.failedAt[id] = now
}

// State returns the state of a member; an unknown member is dead.
func (d *Directory) State(now time.Duration, id string) State {
	m, ok := d.members[id]
	if !ok {
		return StateDead
	}
	if id == d.cfg.Self.ID {
		return StateAlive
	}
	sinceLastSeen := now - m.LastSeen
	_, failed := d.failedAt[id]
	switch {
	case sinceLastSeen > d.cfg.DeadAfter:
		return StateDead
	case sinceLastSeen > d.cfg.SuspectAfter:
		return StateSuspect
	case m.Leaving:
		return StateLeaving
	case failed:
		return StateUnreachable
	}
	return StateAlive
}

// Sweep removes members that have published no version for RemoveAfter and returns
// the state changes since the last call, ordered by member id.
func (d *Directory) Sweep(now time.Duration) []Event {
	var events []Event
	for _, id := range slices.Sorted(maps.Keys(d.members)) {
		m := d.members[id]
		state := d.State(now, id)
		if old := d.states[id]; old != state {
			events = append(events, Event{Member: m, Old: old, New: state})
			d.states[id] = state
		}
		if now-m.LastSeen > d.cfg.RemoveAfter && id != d.cfg.Self.ID {
			delete(d.members, id)
			delete(d.states, id)
			delete(d.failedAt, id)
		}
	}
	return events
}

// Members returns the members of a kind, ordered by id. The directory replaces
// members instead of modifying them, so the result can be kept.
func (d *Directory) Members(kind MemberKind) []*Member {
	var result []*Member
	for _, id := range slices.Sorted(maps.Keys(d.members)) {
		if m := d.members[id]; m.Kind == kind {
			result = append(result, m)
		}
	}
	return result
}
