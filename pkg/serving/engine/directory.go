package engine

import (
	"maps"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// MemberKind tells entries from engines.
type MemberKind string

// Kinds of members.
const (
	MemberEntry  MemberKind = "entry"
	MemberEngine MemberKind = "engine"
)

// State is what the directory concludes about a member.
type State string

// States of a member.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	// StateUnreachable is a member that cannot be reached from here while others hear from it.
	StateUnreachable State = "unreachable"
	StateDead        State = "dead"
	StateLeaving     State = "leaving"
)

// Member is what is known of one entry or engine.
type Member struct {
	ID          string
	Kind        MemberKind
	Address     string
	DataCentre  serving.DataCentreID
	Region      serving.RegionID
	Incarnation serving.Incarnation
	Version     uint64
	Leaving     bool
	// Described is the version at which the announcement of an engine last changed,
	// apart from its load, sequence number and cache events.
	Described uint64
	// Announcement is set for engines.
	Announcement *Announcement
	// HeardAt is the local time at which the source of this version spoke.
	HeardAt time.Duration
	// FirstSeen is the local time at which this incarnation was first heard of.
	FirstSeen time.Duration
}

// Digest tells which version of a member is known.
type Digest struct {
	Incarnation serving.Incarnation
	Version     uint64
	// Described tells which announcement of an engine is known.
	Described uint64
}

// Event is a change of a member's state.
type Event struct {
	Member *Member
	Old    State
	New    State
}

// Config are the parameters of a directory.
type Config struct {
	// Self is this entry; its Version is counted by the directory.
	Self Member
	// SuspectAfter is the silence after which a member is suspect.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a member counts as dead.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which a dead member is forgotten.
	ForgetAfter time.Duration
}

// Default times of a directory, for announcements and exchanges every 500 ms:
// three lost ones make a member suspect.
const (
	DefaultSuspectAfter = 1600 * time.Millisecond
	DefaultDeadAfter    = 5 * time.Second
	DefaultForgetAfter  = 10 * time.Minute
)

// Directory is the membership as one entry knows it. It is not safe for
// concurrent use.
type Directory struct {
	cfg     Config
	members map[string]*Member
	states  map[string]State
	// failedAt has the time of the last failed contact from here, if none succeeded since.
	failedAt map[string]time.Duration
}

// NewDirectory returns a directory that knows this entry only.
func NewDirectory(cfg Config) *Directory {
	if cfg.SuspectAfter == 0 {
		cfg.SuspectAfter = DefaultSuspectAfter
	}
	if cfg.DeadAfter == 0 {
		cfg.DeadAfter = DefaultDeadAfter
	}
	if cfg.ForgetAfter == 0 {
		cfg.ForgetAfter = DefaultForgetAfter
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

// Beat counts one more version of this entry; leaving is never taken back.
func (d *Directory) Beat(now time.Duration, leaving bool) {
	self := *d.members[d.cfg.Self.ID]
	self.Version++
	self.HeardAt = now
	self.Leaving = self.Leaving || leaving
	d.members[self.ID] = &self
}

// Announce records that an engine announced itself here. It returns false if the
// announcement is older than what is known.
func (d *Directory) Announce(now time.Duration, a *Announcement, region serving.RegionID) bool {
	described := a.version()
	if old := d.members[string(a.Engine)]; old != nil && old.Announcement != nil && old.Announcement.describesSame(a) {
		described = old.Described
	}
	return d.merge(now, Member{
		Described: described,
		ID:        string(a.Engine), Kind: MemberEngine, Address: a.Address,
		DataCentre: a.DataCentre, Region: region, Incarnation: a.Incarnation,
		Version: a.version(), Leaving: a.State == PhaseLeaving, Announcement: a, HeardAt: now,
	})
}

// Merge takes over the members that are newer than what is known here.
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

// Digest returns the versions that are known here.
func (d *Directory) Digest() map[string]Digest {
	digest := make(map[string]Digest, len(d.members))
	for id, m := range d.members {
		digest[id] = Digest{m.Incarnation, m.Version, m.Described}
	}
	return digest
}

// Newer returns the members that a peer with the given digest lacks.
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

// Report takes over a load report that another entry passed on, for an engine
// whose announcement is known; m has no announcement of its own. It returns false
// if the announcement is not the described one, or the report is old.
func (d *Directory) Report(now time.Duration, m Member, load serving.Load, events []CacheEvent) bool {
	old := d.members[m.ID]
	if old == nil || old.Announcement == nil || old.Incarnation != m.Incarnation || old.Described != m.Described {
		return false
	}
	a := *old.Announcement
	a.Load, a.CacheEvents, a.Seq = load, events, m.Version
	m.Kind, m.Address, m.DataCentre, m.Region, m.Announcement = old.Kind, old.Address, old.DataCentre, old.Region, &a
	return d.merge(now, m)
}

// Contact records whether a member answered a call from here.
func (d *Directory) Contact(now time.Duration, id string, ok bool) {
	if ok {
		delete(d.failedAt, id)
		return
	}
	d.failedAt[id] = now
}

// State returns the state of a member.
func (d *Directory) State(now time.Duration, id string) State {
	m, ok := d.members[id]
	if !ok {
		return StateDead
	}
	if id == d.cfg.Self.ID {
		return StateAlive
	}
	silence := now - m.HeardAt
	_, failed := d.failedAt[id]
	switch {
	case silence > d.cfg.DeadAfter:
		return StateDead
	case silence > d.cfg.SuspectAfter:
		return StateSuspect
	case m.Leaving:
		return StateLeaving
	case failed:
		return StateUnreachable
	}
	return StateAlive
}

// Sweep forgets members that were dead for long and returns the changes of state
// since the last call, in the order of the ids.
func (d *Directory) Sweep(now time.Duration) []Event {
	var events []Event
	for _, id := range slices.Sorted(maps.Keys(d.members)) {
		m := d.members[id]
		state := d.State(now, id)
		if old := d.states[id]; old != state {
			events = append(events, Event{Member: m, Old: old, New: state})
			d.states[id] = state
		}
		if now-m.HeardAt > d.cfg.ForgetAfter && id != d.cfg.Self.ID {
			delete(d.members, id)
			delete(d.states, id)
			delete(d.failedAt, id)
		}
	}
	return events
}

// Members returns the members of a kind in the order of their ids. The members
// are not changed later.
func (d *Directory) Members(kind MemberKind) []*Member {
	var result []*Member
	for _, id := range slices.Sorted(maps.Keys(d.members)) {
		if m := d.members[id]; m.Kind == kind {
			result = append(result, m)
		}
	}
	return result
}
