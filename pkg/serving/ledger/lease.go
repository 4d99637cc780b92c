package ledger

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// broadcastHeartbeat starts a heartbeat round. Send times older than twice
// ElectionMax are deleted, because they can no longer extend a lease.
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
		r.sendImmediate(Message{Type: MsgHeartbeat, To: m.ID, Round: r.round, Commit: min(r.commit, p.match)})
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
	if r.defects.leaseFromAck {
		sent = now
	}
	p.ackedSentAt = max(p.ackedSentAt, sent)
	p.hasAcked = true
}

// quorumRoundSentAt returns the send time of the newest heartbeat round that a
// quorum acknowledged, and false if there is none.
func (r *Replica) quorumRoundSentAt() (time.Duration, bool) {
	ok := quorum(r.log.newestMembership().voterSets, func(id serving.ReplicaID) bool {
		p := r.progress[id]
		return id == r.cfg.Self || p != nil && p.hasAcked
	})
	if !ok {
		return 0, false
	}
	return quorumValue(r.log.newestMembership().voterSets, func(id serving.ReplicaID) time.Duration {
		if id == r.cfg.Self {
			return 1<<63 - 1
		}
		if p := r.progress[id]; p != nil {
			return p.ackedSentAt
		}
		return 0
	}), true
}

// leaseUntil returns the end of the leader lease, 0 if there is none.
func (r *Replica) leaseUntil() time.Duration {
	sent, ok := r.quorumRoundSentAt()
	if !ok {
		return 0
	}
	// For a sole voter, quorumRoundSentAt returns the maximum duration, because no
	// other member has to acknowledge. The send time of its newest round is used.
	sent = min(sent, r.rounds[r.round])
	return sent + time.Duration(float64(r.cfg.ElectionMin)*(1-r.cfg.MaxDrift))
}

// checkQuorum makes the leader step down unless a quorum acknowledged a heartbeat
// round that was sent within the last ElectionMax, or the election was that recent.
// A leader that was frozen or is partitioned therefore does not remain leader.
func (r *Replica) checkQuorum(now time.Duration) {
	if now <= r.quorumUntil {
		return
	}
	since := r.electedAt
	if sent, ok := r.quorumRoundSentAt(); ok {
		since = max(since, min(sent, r.rounds[r.round]))
	}
	if now-since > r.cfg.ElectionMax {
		r.becomeFollower(r.hard.Term, serving.ReplicaID{})
		r.resetElectionDeadline(now)
		return
	}
	// Later acknowledgements only extend this time. A new membership resets it.
	r.quorumUntil = since + r.cfg.ElectionMax
}

// ReadIndex returns the index up to which entries must be applied before a read
// is answered. It succeeds only while the leader lease is valid and after an
// entry of the current term is committed.
func (r *Replica) ReadIndex(now time.Duration) (Index, error) {
	if r.defects.ignoreLease && r.role == Leader {
		return r.commit, nil
	}
	if r.defects.staleClock {
		now = r.defects.lastTick
	}
	if err := r.requireLeader(now); err != nil {
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
