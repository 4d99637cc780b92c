package ledger

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// broadcastHeartbeat starts a heartbeat round.
func (r *Replica) broadcastHeartbeat(now time.Duration) {
	r.nextHeartbeat = now + r.cfg.Heartbeat
	r.round++
	r.rounds[r.round] = now
	for round, sent := range r.rounds {
		if now-sent > 2*r.cfg.ElectionMax {
			delete(r.rounds, round)
		}
	}
	r.eachPeer(func(m Member) {
		p := r.progress[m.ID]
		p.retryIfStalled()
		r.sendNow(Message{Type: MsgHeartbeat, To: m.ID, Round: r.round, Commit: min(r.commit, p.match)})
	})
}

func (r *Replica) onHeartbeat(m Message) {
	r.commitTo(min(m.Commit, r.log.last()))
	r.send(Message{Type: MsgHeartbeatResult, To: m.From, Round: m.Round})
}

func (r *Replica) onHeartbeatResult(now time.Duration, p *progress, m Message) {
	sent, ok := r.rounds[m.Round]
	if !ok {
		return
	}
	if r.faults.leaseFromAck {
		sent = now
	}
	p.acked = max(p.acked, sent)
	p.hasAcked = true
}

// confirmed returns the send time of the newest round that a quorum
// acknowledged, and false if there is none.
func (r *Replica) confirmed() (time.Duration, bool) {
	ok := quorum(r.log.current().voterSets, func(id serving.ReplicaID) bool {
		p := r.progress[id]
		return id == r.cfg.Self || p != nil && p.hasAcked
	})
	if !ok {
		return 0, false
	}
	return quorumValue(r.log.current().voterSets, func(id serving.ReplicaID) time.Duration {
		if id == r.cfg.Self {
			return 1<<63 - 1
		}
		if p := r.progress[id]; p != nil {
			return p.acked
		}
		return 0
	}), true
}

// leaseUntil returns the end of the lease, 0 if there is none.
func (r *Replica) leaseUntil() time.Duration {
	sent, ok := r.confirmed()
	if !ok {
		return 0
	}
	// A sole voter needs no acknowledgement of others; its rounds count at once.
	sent = min(sent, r.rounds[r.round])
	return sent + time.Duration(float64(r.cfg.ElectionMin)*(1-r.cfg.MaxDrift))
}

// checkQuorum steps down when no round sent within ElectionMax was acknowledged
// by a quorum, so that a frozen or partitioned leader stops leading.
func (r *Replica) checkQuorum(now time.Duration) {
	if now <= r.quorumUntil {
		return
	}
	since := r.elected
	if sent, ok := r.confirmed(); ok {
		since = max(since, min(sent, r.rounds[r.round]))
	}
	if now-since > r.cfg.ElectionMax {
		r.becomeFollower(r.hard.Term, serving.ReplicaID{})
		r.resetElection(now)
		return
	}
	// Later acknowledgements only extend this, except for a new membership.
	r.quorumUntil = since + r.cfg.ElectionMax
}

// ReadIndex returns the index up to which entries must be applied before a read
// is answered. It succeeds only under a valid leader lease and after an entry
// of this term is committed.
func (r *Replica) ReadIndex(now time.Duration) (Index, error) {
	if r.faults.ignoreLease && r.role == Leader {
		return r.commit, nil
	}
	if r.faults.staleClock {
		now = r.faults.lastTick
	}
	if err := r.leading(now); err != nil {
		return 0, err
	}
	refuse := func(message string) (Index, error) {
		return 0, serving.NewError(serving.KindNoQuorum, message).WithRetryAfter(r.cfg.Heartbeat)
	}
	if now >= r.leaseUntil() {
		return refuse("the leader lease has expired")
	}
	if r.log.term(r.commit) != r.hard.Term {
		return refuse("the leader has not yet committed an entry of its term")
	}
	return r.commit, nil
}
