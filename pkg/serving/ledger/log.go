package ledger

import "slices"

// raftLog holds the entries after the index base in memory, and the newest
// snapshot.
type raftLog struct {
	// base and baseTerm are the index and term of the entry before entries[0].
	base     Index
	baseTerm Term
	entries  []Entry
	snapshot Snapshot
	// memberships are in the order of their index. The first one is at or before
	// base.
	memberships []membershipAt
}

// membershipAt is the membership in effect from an index on, with values derived
// from it.
type membershipAt struct {
	index      Index
	membership Membership
	voterSets  [][]Member
	all        []Member
}

func newMembershipAt(i Index, m Membership) membershipAt {
	return membershipAt{i, m, m.voterSets(), m.all()}
}

func newLog(state PersistentState) (*raftLog, error) {
	l := &raftLog{base: state.Snapshot.Index, baseTerm: state.Snapshot.Term, snapshot: state.Snapshot}
	l.memberships = []membershipAt{newMembershipAt(state.Snapshot.Index, state.Snapshot.Membership)}
	return l, l.append(slices.Clone(state.Entries))
}

func (l *raftLog) last() Index { return l.base + Index(len(l.entries)) }

func (l *raftLog) lastTerm() Term { return l.term(l.last()) }

// term returns the term of the entry at index i, 0 if it is not in the log.
func (l *raftLog) term(i Index) Term {
	switch {
	case i == l.base:
		return l.baseTerm
	case i > l.base && i <= l.last():
		return l.entries[i-l.base-1].Term
	case i == l.snapshot.Index:
		return l.snapshot.Term
	}
	return 0
}

// slice returns a copy of the entries from lo to hi inclusive.
func (l *raftLog) slice(lo, hi Index) []Entry {
	lo, hi = max(lo, l.base+1), min(hi, l.last())
	if lo > hi {
		return nil
	}
	return slices.Clone(l.entries[lo-l.base-1 : hi-l.base])
}

// append adds entries and replaces existing ones from the first one's index on.
func (l *raftLog) append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	l.entries = append(l.entries[:first-l.base-1], entries...)
	for l.memberships[len(l.memberships)-1].index >= first && len(l.memberships) > 1 {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	for _, e := range entries {
		if e.Type != EntryMembers {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return err
		}
		l.memberships = append(l.memberships, newMembershipAt(e.Index, m))
	}
	return nil
}

// newestMembership returns the newest membership in the log, which is in effect even
// if it is not committed yet.
func (l *raftLog) newestMembership() *membershipAt { return &l.memberships[len(l.memberships)-1] }

func (l *raftLog) membership() Membership { return l.newestMembership().membership }

func (l *raftLog) membershipIndex() Index { return l.newestMembership().index }

// membershipAtIndex returns the membership in effect at index i.
func (l *raftLog) membershipAtIndex(i Index) Membership {
	m := l.memberships[0].membership
	for _, at := range l.memberships {
		if at.index <= i {
			m = at.membership
		}
	}
	return m
}

// compact makes s the newest snapshot and keeps at most keep entries before it.
func (l *raftLog) compact(s Snapshot, keep int) {
	l.snapshot = s
	if int(s.Index-l.base) > keep {
		base := s.Index - Index(keep)
		term := l.term(base)
		l.entries = slices.Clone(l.entries[base-l.base:])
		l.base, l.baseTerm = base, term
	}
	for len(l.memberships) > 1 && l.memberships[1].index <= l.base {
		l.memberships = l.memberships[1:]
	}
}

// install replaces the log with a snapshot from the leader. Entries after the
// snapshot are kept if the log has the snapshot's last entry.
func (l *raftLog) install(s Snapshot) {
	if l.term(s.Index) == s.Term && s.Index >= l.base {
		l.compact(s, 0)
		return
	}
	*l = raftLog{base: s.Index, baseTerm: s.Term, snapshot: s,
		memberships: []membershipAt{newMembershipAt(s.Index, s.Membership)}}
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this one, by the rule of Raft. The other log then
// has all entries of this log that may be committed.
func (l *raftLog) upToDate(index Index, term Term) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// conflictHint returns the highest index up to i whose term is at most t.
func (l *raftLog) conflictHint(i Index, t Term) Index {
	i = min(i, l.last())
	for i > l.base && l.term(i) > t {
		i--
	}
	return i
}
