package replica

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// completePending answers the calls whose outcome is known after a flush. If this
// replica is no longer the leader, it fails proposals with an unknown outcome,
// because a later leader may still commit them, and reads as not run.
func (n *Node) completePending() {
	n.pendingReads = slices.DeleteFunc(n.pendingReads, func(p pendingRead) bool {
		if n.applied >= p.index {
			p.reply <- response{}
			return true
		}
		return false
	})
	s := n.status.Load()
	n.pendingChanges = slices.DeleteFunc(n.pendingChanges, func(p pendingChange) bool {
		switch {
		case s.MembershipCommitted && inEffect(p.change, s.Membership):
			p.reply <- response{}
		case s.Role != ledger.Leader || s.Term != p.term:
			p.reply <- response{err: errLeadershipLost()}
		default:
			return false
		}
		return true
	})
	if s.Role == ledger.Leader {
		return
	}
	for _, p := range n.pendingReads {
		p.reply <- response{err: serving.NewError(serving.KindNoQuorum, "the leadership was lost before the read")}
	}
	n.pendingReads = nil
	for index, p := range n.pendingProposals {
		p.reply <- response{err: errLeadershipLost()}
		delete(n.pendingProposals, index)
	}
}

// failPending fails all pending and queued calls when the replica stops.
func (n *Node) failPending() {
	stopped := func(ran serving.Ran) response {
		return response{err: serving.NewError(serving.KindDraining, "the replica has stopped").WithRan(ran)}
	}
	for _, p := range n.pendingProposals {
		p.reply <- stopped(serving.RanUnknown)
	}
	for _, p := range n.pendingReads {
		p.reply <- stopped(serving.NotRun)
	}
	for _, p := range n.pendingChanges {
		p.reply <- stopped(serving.RanUnknown)
	}
	for {
		select {
		case q := <-n.requests:
			q.reply <- stopped(serving.NotRun)
		default:
			return
		}
	}
}

func (n *Node) handleChange(now time.Duration, q request) {
	s := n.replica.Status()
	if s.Role == ledger.Leader && s.MembershipCommitted && inEffect(*q.change, s.Membership) {
		q.reply <- response{}
		return
	}
	_, term, err := n.replica.ProposeMembers(now, *q.change)
	if err != nil {
		q.reply <- response{err: err}
		return
	}
	n.pendingChanges = append(n.pendingChanges, pendingChange{change: *q.change, term: term, reply: q.reply})
}

// inEffect reports whether the membership fully reflects a change.
func inEffect(c ledger.MemberChange, m ledger.Membership) bool {
	member, ok := m.Find(c.Replica)
	_, oldPresent := m.Find(c.Old)
	switch {
	case m.Joint():
		return false
	case c.Action == ledger.AddLearner:
		return ok && member.Address == c.Address
	case c.Action == ledger.Promote:
		return ok && member.Voter
	case c.Action == ledger.Replace:
		return ok && member.Voter && !oldPresent
	case c.Action == ledger.Remove:
		return !ok
	}
	return false
}
