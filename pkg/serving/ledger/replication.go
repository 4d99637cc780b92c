package ledger

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// progress is what the leader knows of one other member.
type progress struct {
	// match is the last index known to be durable there.
	match Index
	// next is the first index to send.
	next Index
	// probing is set until the leader knows where the logs agree; then only one
	// append is in flight, and paused tells that it is.
	probing, paused bool
	// mark is match at the last heartbeat if entries were in flight.
	mark     Index
	inFlight bool
	// acked is the send time of the newest acknowledged heartbeat round.
	acked    time.Duration
	hasAcked bool
	// sending is the snapshot being sent, of which offset bytes arrived.
	sending *Snapshot
	offset  uint64
}

// retryIfStalled resends if nothing was acknowledged for a heartbeat interval.
func (p *progress) retryIfStalled() {
	if p.probing || p.sending != nil {
		p.paused = false
		return
	}
	if p.inFlight && p.mark == p.match {
		p.probe(p.match)
		return
	}
	p.mark, p.inFlight = p.match, p.next > p.match+1
}

func (p *progress) probe(after Index) {
	p.next = max(after, p.match) + 1
	p.probing, p.paused, p.inFlight = true, false, false
}

// syncProgress makes the set of progress records follow the membership. A new
// member is probed from next on.
func (r *Replica) syncProgress(next Index) {
	current := map[serving.ReplicaID]bool{}
	r.eachPeer(func(m Member) {
		current[m.ID] = true
		if r.progress[m.ID] == nil {
			r.progress[m.ID] = &progress{next: next, probing: true}
		}
	})
	for id := range r.progress {
		if !current[id] {
			delete(r.progress, id)
		}
	}
}

func (r *Replica) appendEntry(t EntryType, data []byte) Entry {
	e := Entry{Index: r.log.last() + 1, Term: r.hard.Term, Type: t, Data: data}
	r.appendLog([]Entry{e})
	if t == EntryMembers {
		r.syncProgress(e.Index)
		r.quorumUntil = 0
	}
	return e
}

// appendLog adds entries to the log and marks them for persisting.
func (r *Replica) appendLog(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	if err := r.log.append(entries); err != nil {
		r.err = err
		return
	}
	first := entries[0].Index
	r.unsaved = min(r.unsaved, first)
	r.stable = min(r.stable, first-1)
}

func (r *Replica) broadcastAppend() {
	r.eachPeer(func(m Member) { r.replicate(m.ID) })
}

// replicate sends what a member lacks, as far as flow control allows.
func (r *Replica) replicate(to serving.ReplicaID) {
	p := r.progress[to]
	window := Index(r.cfg.MaxBatch * windowBatches)
	for !p.paused && p.sending == nil && p.next <= r.log.last() && (p.probing || p.next-p.match <= window) {
		if p.next <= r.log.base {
			s := r.log.snapshot
			p.sending, p.offset = &s, 0
			break
		}
		entries := r.batch(p.next)
		r.sendNow(Message{Type: MsgAppend, To: to, Index: p.next - 1, LogTerm: r.log.term(p.next - 1),
			Entries: entries, Commit: r.commit})
		if p.probing {
			p.paused = true
			return
		}
		p.next += Index(len(entries))
	}
	if p.sending != nil && !p.paused {
		r.sendChunk(to, p)
	}
}

func (r *Replica) batch(from Index) []Entry {
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
		// Everything up to the commit index agrees with the leader.
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
		if m.Reject {
			// A reject at or below match is late.
			if m.Index > p.match && p.sending == nil {
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
	if p.sending != nil && index >= p.sending.Index {
		p.sending, p.paused = nil, false
	}
	if p.sending == nil {
		p.probing, p.paused = false, false
	}
	if index > p.match {
		p.match = index
		r.maybeCommit()
	}
	p.next = max(p.next, p.match+1)
}

// maybeCommit advances the commit index to what a quorum has stored. Only an
// entry of the current term is committed by counting; earlier ones are
// committed with it, since a later leader could otherwise still replace them.
func (r *Replica) maybeCommit() {
	i := quorumValue(r.log.current().voterSets, func(id serving.ReplicaID) Index {
		if id == r.cfg.Self {
			return r.stable
		}
		if p := r.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if i > r.commit && (r.log.term(i) == r.hard.Term || r.faults.commitAnyTerm) {
		r.commit = i
		r.finishChange()
	}
}
