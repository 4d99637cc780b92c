package ledger

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// progress is the leader's replication state of one other member.
type progress struct {
	// match is the last index that is known to be durable on the member.
	match Index
	// next is the first index to send.
	next Index
	// probing is set until the leader has found the index up to which the logs
	// agree. While probing, at most one append is in flight. paused is set while
	// this append or a snapshot chunk is in flight.
	probing, paused bool
	// matchAtHeartbeat is match at the last heartbeat, and inFlightAtHeartbeat is
	// set if entries were in flight then.
	matchAtHeartbeat    Index
	inFlightAtHeartbeat bool
	// ackedSentAt is the send time of the newest heartbeat round that the member
	// acknowledged. It is valid if hasAcked is set.
	ackedSentAt time.Duration
	hasAcked    bool
	// addedAt is the time since which the leader sends heartbeats to the member.
	addedAt time.Duration
	// pendingSnapshot is the snapshot being sent, nil if there is none. The member
	// has received offset bytes of it.
	pendingSnapshot *Snapshot
	offset          uint64
}

// retryIfStalled is called at each heartbeat, because messages may have been lost.
// A probe or snapshot chunk may then be sent again. Otherwise, if entries were in
// flight at the last heartbeat and the member has acknowledged none since, the
// leader returns to probing.
func (p *progress) retryIfStalled() {
	if p.probing || p.pendingSnapshot != nil {
		p.paused = false
		return
	}
	if p.inFlightAtHeartbeat && p.matchAtHeartbeat == p.match {
		p.probe(p.match)
		return
	}
	p.matchAtHeartbeat, p.inFlightAtHeartbeat = p.match, p.next > p.match+1
}

// probe resumes sending with the entry after the given index, in probing mode.
func (p *progress) probe(after Index) {
	p.next = max(after, p.match) + 1
	p.probing, p.paused, p.inFlightAtHeartbeat = true, false, false
}

func (p *progress) contact() Contact {
	if !p.hasAcked {
		return Contact{Since: p.addedAt}
	}
	return Contact{Since: p.ackedSentAt, Acked: true}
}

// addProgress adds progress records for the members that have none, which are new at
// time now. Probing of them starts at index next.
func (r *Replica) addProgress(now time.Duration, next Index) {
	r.eachPeer(func(m Member) {
		if r.progress[m.ID] == nil {
			r.progress[m.ID] = &progress{next: next, probing: true, addedAt: now}
		}
	})
}

// removeProgress removes the progress records of former members.
func (r *Replica) removeProgress() {
	for id := range r.progress {
		if _, ok := r.Membership().Find(id); !ok {
			delete(r.progress, id)
		}
	}
}

func (r *Replica) appendEntry(t EntryType, data []byte) Entry {
	e := Entry{Index: r.log.last() + 1, Term: r.hard.Term, Type: t, Data: data}
	r.appendLog([]Entry{e})
	if t == EntryMembers {
		r.removeProgress()
		r.quorumUntil = 0
	}
	return e
}

// appendLog adds entries to the log and includes them in the next Ready.
func (r *Replica) appendLog(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	if err := r.log.append(entries); err != nil {
		r.err = err
		return
	}
	first := entries[0].Index
	r.firstUnsaved = min(r.firstUnsaved, first)
	r.stable = min(r.stable, first-1)
}

func (r *Replica) broadcastAppend() {
	r.eachPeer(func(m Member) { r.replicate(m.ID) })
}

// replicate sends the entries or the snapshot that a member lacks, within the
// limits of flow control.
func (r *Replica) replicate(to serving.ReplicaID) {
	p := r.progress[to]
	window := Index(r.cfg.MaxBatch * windowBatches)
	for !p.paused && p.pendingSnapshot == nil && p.next <= r.log.last() && (p.probing || p.next-p.match <= window) {
		if p.next <= r.log.base {
			s := r.log.snapshot
			p.pendingSnapshot, p.offset = &s, 0
			break
		}
		entries := r.nextBatch(p.next)
		r.sendImmediate(Message{Type: MsgAppend, To: to, Index: p.next - 1, LogTerm: r.log.term(p.next - 1),
			Entries: entries, Commit: r.commit})
		if p.probing {
			p.paused = true
			return
		}
		p.next += Index(len(entries))
	}
	if p.pendingSnapshot != nil && !p.paused {
		r.sendChunk(to, p)
	}
}

func (r *Replica) nextBatch(from Index) []Entry {
	entries := r.log.slice(from, from+Index(r.cfg.MaxBatch)-1)
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxBatchBytes {
			return entries[:i]
		}
	}
	return entries
}

func (r *Replica) onAppend(m Message) {
	if m.Index < r.commit {
		// Committed entries are the same on the leader and need no comparison.
		skip := min(int(r.commit-m.Index), len(m.Entries))
		if skip == len(m.Entries) {
			r.send(Message{Type: MsgAppendResult, To: m.From, Index: r.commit})
			return
		}
		m.Entries = m.Entries[skip:]
		m.Index, m.LogTerm = r.commit, r.log.term(r.commit)
	}
	if m.Index > r.log.last() || r.log.term(m.Index) != m.LogTerm {
		hint := r.log.conflictHint(m.Index, m.LogTerm)
		// The entry at m.Index is known to differ.
		if hint == m.Index && hint > 0 {
			hint--
		}
		r.send(Message{Type: MsgAppendResult, To: m.From, Index: m.Index, Reject: true, RejectHint: hint})
		return
	}
	last := m.Index + Index(len(m.Entries))
	for i, e := range m.Entries {
		if e.Index > r.log.last() || r.log.term(e.Index) != e.Term {
			r.appendLog(m.Entries[i:])
			break
		}
	}
	r.commitTo(min(m.Commit, last))
	r.send(Message{Type: MsgAppendResult, To: m.From, Index: last})
}

func (r *Replica) commitTo(i Index) {
	r.commit = max(r.commit, i)
}

func (r *Replica) onReplicationResult(now time.Duration, m Message) {
	p := r.progress[m.From]
	if p == nil {
		return
	}
	switch m.Type {
	case MsgHeartbeatResult:
		r.onHeartbeatResult(now, p, m)
	case MsgSnapshotResult:
		r.onSnapshotResult(p, m)
	case MsgAppendResult:
		if m.Index > r.log.last() {
			// The leader has sent no such entry, so that nobody can have stored it.
			break
		}
		if m.Reject {
			// A rejection at or below match is outdated.
			if m.Index > p.match && p.pendingSnapshot == nil {
				p.probe(min(m.RejectHint, p.next-1))
			}
			break
		}
		r.onAppended(p, m.Index)
	}
	if r.role == Leader && r.progress[m.From] != nil {
		r.replicate(m.From)
	}
}

func (r *Replica) onAppended(p *progress, index Index) {
	if p.pendingSnapshot != nil && index >= p.pendingSnapshot.Index {
		p.pendingSnapshot, p.paused = nil, false
	}
	if p.pendingSnapshot == nil {
		p.probing, p.paused = false, false
	}
	if index > p.match {
		p.match = index
		r.maybeCommit()
	}
	p.next = max(p.next, p.match+1)
}

// maybeCommit advances the commit index to the last index that a quorum has
// stored. Only entries of the current term are committed by counting replicas.
// Entries of earlier terms are committed together with them, because a later
// leader could otherwise still replace them.
func (r *Replica) maybeCommit() {
	i := quorumValue(r.log.newestMembership().voterSets, func(id serving.ReplicaID) Index {
		if id == r.cfg.Self {
			return r.stable
		}
		if p := r.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if i > r.commit && (r.log.term(i) == r.hard.Term || r.defects.commitAnyTerm) {
		r.commit = i
		r.finishMembershipChange()
	}
}
