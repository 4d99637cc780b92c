package ledger

import (
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// incomingSnapshot is a partially received snapshot. chunk is the first chunk
// received, and data the contents received so far.
type incomingSnapshot struct {
	from  serving.ReplicaID
	chunk SnapshotChunk
	data  []byte
}

// Compact stores state as the newest snapshot and discards entries before it,
// except for the last KeepEntries ones. state must be the encoded state machine
// after the entry at index. Compact does nothing if index is not applied yet or
// not newer than the current snapshot.
func (r *Replica) Compact(index Index, state []byte) {
	if r.err != nil || index > r.applied || index <= r.log.snapshot.Index {
		return
	}
	s := Snapshot{Index: index, Term: r.log.term(index), Membership: r.log.membershipAtIndex(index), Data: state}
	r.log.compact(s, r.cfg.KeepEntries)
	r.newSnapshot = &s
}

func (r *Replica) sendChunk(to serving.ReplicaID, p *progress) {
	s := p.pendingSnapshot
	end := min(p.offset+uint64(r.cfg.SnapshotChunk), uint64(len(s.Data)))
	r.sendImmediate(Message{Type: MsgSnapshot, To: to, Commit: r.commit, Snapshot: &SnapshotChunk{
		Index: s.Index, Term: s.Term, Membership: s.Membership, Total: uint64(len(s.Data)),
		Offset: p.offset, Data: s.Data[p.offset:end],
	}})
	p.paused = true
}

func (r *Replica) onSnapshot(m Message) {
	c := m.Snapshot
	if c == nil {
		return
	}
	if c.Index <= r.commit {
		r.incoming = nil
		r.send(Message{Type: MsgAppendResult, To: m.From, Index: r.commit})
		return
	}
	in := r.incoming
	if in == nil || in.from != m.From || in.chunk.Index != c.Index || in.chunk.Term != c.Term || in.chunk.Total != c.Total {
		in = &incomingSnapshot{from: m.From, chunk: *c}
		r.incoming = in
	}
	if c.Offset == uint64(len(in.data)) {
		in.data = append(in.data, c.Data...)
	}
	if uint64(len(in.data)) < c.Total {
		// In this message Index is the number of bytes received and Commit the
		// snapshot's index.
		r.send(Message{Type: MsgSnapshotResult, To: m.From, Index: Index(len(in.data)), Commit: c.Index})
		return
	}
	r.incoming = nil
	if r.cfg.CheckSnapshot != nil && r.cfg.CheckSnapshot(in.data) != nil {
		return
	}
	s := Snapshot{Index: c.Index, Term: c.Term, Membership: c.Membership, Data: in.data}
	r.log.install(s)
	r.newSnapshot, r.install = &s, true
	r.commit = s.Index
	r.firstUnsaved = min(max(r.firstUnsaved, s.Index+1), r.log.last()+1)
	r.stable = min(max(r.stable, s.Index), r.log.last())
	r.send(Message{Type: MsgAppendResult, To: m.From, Index: s.Index})
}

func (r *Replica) onSnapshotResult(p *progress, m Message) {
	if p.pendingSnapshot == nil || p.pendingSnapshot.Index != m.Commit {
		return
	}
	if offset := uint64(m.Index); offset <= uint64(len(p.pendingSnapshot.Data)) && offset != p.offset {
		p.offset, p.paused = offset, false
	}
}
