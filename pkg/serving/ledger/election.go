package ledger

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// resetElectionDeadline sets the election deadline to a random time between ElectionMin
// and ElectionMax from now.
func (r *Replica) resetElectionDeadline(now time.Duration) {
	spread := r.cfg.ElectionMax - r.cfg.ElectionMin
	r.electionDeadline = now + r.cfg.ElectionMin + time.Duration(r.cfg.Random.Float64()*float64(spread))
}

func (r *Replica) becomeFollower(term Term, leader serving.ReplicaID) {
	if term > r.hard.Term {
		r.hard = HardState{Term: term}
	}
	r.role, r.leader = Follower, leader
	r.votes, r.progress, r.rounds, r.promotionBarriers = nil, nil, nil, nil
}

// startPreVote asks the voters whether they would vote for this replica. It
// increments the term only if a quorum would, so a replica that was partitioned
// does not depose a working leader when it reconnects.
func (r *Replica) startPreVote(now time.Duration) {
	r.resetElectionDeadline(now)
	if !r.Membership().IsVoter(r.cfg.Self) {
		return
	}
	r.becomeFollower(r.hard.Term, serving.ReplicaID{})
	r.role = PreCandidate
	r.requestVotes(now, MsgPreVote, r.hard.Term+1)
}

func (r *Replica) startVote(now time.Duration) {
	r.resetElectionDeadline(now)
	r.role = Candidate
	r.hard = HardState{Term: r.hard.Term + 1, Vote: r.cfg.Self}
	r.requestVotes(now, MsgVote, r.hard.Term)
}

func (r *Replica) requestVotes(now time.Duration, t MessageType, term Term) {
	r.votes = map[serving.ReplicaID]bool{r.cfg.Self: true}
	r.eachPeer(func(m Member) {
		if r.Membership().IsVoter(m.ID) {
			r.send(Message{Type: t, To: m.ID, Term: term, Index: r.log.last(), LogTerm: r.log.lastTerm()})
		}
	})
	r.countVotes(now)
}

func (r *Replica) countVotes(now time.Duration) {
	if !quorum(r.log.newestMembership().voterSets, func(id serving.ReplicaID) bool { return r.votes[id] }) {
		return
	}
	if r.role == PreCandidate {
		r.startVote(now)
		return
	}
	r.becomeLeader(now)
}

// withholdsVote reports whether granting a vote could violate a leader's lease.
// That is so while this replica is the leader, within ElectionMin of the last
// message from a leader, and within ElectionMin of the start, because a leader's
// message may have arrived shortly before the restart.
func (r *Replica) withholdsVote(now time.Duration) bool {
	if r.defects.voteAfterContact {
		return false
	}
	return r.role == Leader || now-r.lastContact < r.cfg.ElectionMin
}

func (r *Replica) onPreVote(now time.Duration, m Message) {
	grant := m.Term > r.hard.Term && !r.withholdsVote(now) && r.log.upToDate(m.Index, m.LogTerm)
	res := Message{Type: MsgPreVoteResult, To: m.From, Reject: !grant}
	if grant {
		res.Term = m.Term
	}
	r.send(res)
}

func (r *Replica) onVote(now time.Duration, m Message) {
	if r.withholdsVote(now) {
		// Adopting the higher term would depose a leader that may hold a lease.
		return
	}
	if m.Term > r.hard.Term {
		r.becomeFollower(m.Term, serving.ReplicaID{})
	}
	canVote := r.hard.Vote == serving.ReplicaID{} || r.hard.Vote == m.From
	grant := m.Term == r.hard.Term && canVote && r.role != Candidate && r.log.upToDate(m.Index, m.LogTerm)
	if grant {
		r.becomeFollower(m.Term, serving.ReplicaID{})
		r.hard.Vote = m.From
		r.resetElectionDeadline(now)
	}
	r.send(Message{Type: MsgVoteResult, To: m.From, Reject: !grant})
}

func (r *Replica) onVoteResult(now time.Duration, m Message) {
	switch {
	case m.Reject:
	case m.Type == MsgPreVoteResult && r.role == PreCandidate && m.Term == r.hard.Term+1,
		m.Type == MsgVoteResult && r.role == Candidate && m.Term == r.hard.Term:
		r.votes[m.From] = true
		r.countVotes(now)
	}
}

func (r *Replica) becomeLeader(now time.Duration) {
	r.role, r.leader, r.votes = Leader, r.cfg.Self, nil
	r.hadLeader = true
	r.progress = map[serving.ReplicaID]*progress{}
	r.promotionBarriers = map[serving.ReplicaID]Index{}
	r.rounds = map[uint64]time.Duration{}
	r.round, r.electedAt, r.quorumUntil = 0, now, 0
	r.addProgress(now, r.log.last()+1)
	r.appendEntry(EntryEmpty, nil)
	r.broadcastHeartbeat(now)
	r.broadcastAppend()
}

// eachPeer calls f for each other member, in the order of the membership.
func (r *Replica) eachPeer(f func(Member)) {
	for _, member := range r.log.newestMembership().all {
		if member.ID != r.cfg.Self {
			f(member)
		}
	}
}
