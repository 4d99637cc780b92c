// Package membership decides how the leader of a replicated log completes and repairs
// the set of voters. Together with the log of package ledger it decides how many losses
// of disks a deployment survives: a host that lost its disk counts towards no quorum
// until its new identity has replaced the old one.
//
// # Usage
//
// The driver of the leader asks at an interval for the next change, with the members as
// the leader knows them, and proposes it if there is one:
//
//	p := membership.Policy{RequiredVoters: 5, MaxBehind: 32}
//	if change := p.Next(status.Self, membership.Members(status, now)); change != nil {
//		index, term, err := replica.ProposeMembers(now, *change)
//	}
//
// Source: internal/hub runs the policy for the hubs of a deployment.
package membership

import (
	"cmp"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

const (
	// PromoteWithin is how long a learner may be silent to be made a voter.
	PromoteWithin = 2500 * time.Millisecond
	// ReplaceAfter is how long a voter is silent before a learner of another host
	// replaces it. It is longer than a restart, after which a voter needs no replacement,
	// and short enough that the successor of a removed host, which comes a second or more
	// later, is a voter 4 s after its start.
	ReplaceAfter = 3 * time.Second
	// DropLearnerAfter is how long a learner is silent before it is removed.
	DropLearnerAfter = 15 * time.Second
)

// Member is one member as known to the leader.
type Member struct {
	ledger.Member
	// SinceContact is how long the leader has sent heartbeats without an
	// acknowledgement: since it sent the newest one that the member acknowledged or, if
	// there is none, since its election or the addition of the member, whichever is
	// later. It is 0 for the leader itself, and on other replicas.
	SinceContact time.Duration
	// Acked is true if the member has acknowledged a heartbeat of this leader.
	Acked bool
	// EntriesBehind is the number of committed entries that are not known to be
	// durable on the member. It is 0 on replicas that do not lead.
	EntriesBehind uint64
	// Leaving is true if the process of the member has announced its end. Members doesn't
	// set it.
	Leaving bool
}

// Members returns the members in the status of a replica at time now.
func Members(s *ledger.Status, now time.Duration) []Member {
	var out []Member
	for _, m := range s.Membership.Members {
		member := Member{Member: m}
		if s.Role == ledger.Leader && m.ID != s.Self {
			contact := s.Contacts[m.ID]
			member.SinceContact, member.Acked = now-contact.Since, contact.Acked
			member.EntriesBehind = uint64(s.Commit - min(s.Commit, s.Match[m.ID]))
		}
		out = append(out, member)
	}
	return out
}

// Policy decides which membership change is due. A member is silent while it
// acknowledges no heartbeat of this leader.
type Policy struct {
	// RequiredVoters is the number of voters up to which learners are promoted.
	RequiredVoters int
	// MaxBehind is the number of entries that a learner may lack to be made a voter.
	MaxBehind uint64
}

// Next returns the next membership change, or nil if none is due. Learners in contact
// come first, so that one that falls silent does not delay the others. A learner that is
// up to date replaces a voter of the same host, whose data is lost. Otherwise it is
// promoted if there are fewer voters than required, or else replaces the voter that has
// been silent for longest, if that is longer than ReplaceAfter, or else one that is leaving.
// Learners that have been silent for longer than DropLearnerAfter are removed last.
func (p *Policy) Next(self serving.ReplicaID, members []Member) *ledger.MemberChange {
	voters := 0
	var silent, leaving *Member
	hosts := map[serving.HostID]*Member{}
	var learners []*Member
	for i := range members {
		m := &members[i]
		if !m.Voter {
			learners = append(learners, m)
			continue
		}
		voters++
		hosts[m.ID.Host] = m
		if m.ID != self && m.SinceContact > ReplaceAfter && (silent == nil || m.SinceContact > silent.SinceContact) {
			silent = m
		}
		if m.Leaving && leaving == nil {
			leaving = m
		}
	}
	replaceable := silent
	if replaceable == nil {
		replaceable = leaving
	}
	slices.SortStableFunc(learners, func(a, b *Member) int { return cmp.Compare(a.SinceContact, b.SinceContact) })
	for _, m := range learners {
		if !m.Acked || m.SinceContact > PromoteWithin || m.EntriesBehind > p.MaxBehind {
			continue
		}
		old := hosts[m.ID.Host]
		switch {
		case old != nil:
			return &ledger.MemberChange{Action: ledger.Replace, Replica: m.ID, Old: old.ID}
		case voters < p.RequiredVoters:
			return &ledger.MemberChange{Action: ledger.Promote, Replica: m.ID}
		case replaceable != nil:
			return &ledger.MemberChange{Action: ledger.Replace, Replica: m.ID, Old: replaceable.ID}
		}
	}
	for _, m := range learners {
		if m.SinceContact > DropLearnerAfter {
			return &ledger.MemberChange{Action: ledger.Remove, Replica: m.ID}
		}
	}
	return nil
}

// HasSuccessor reports whether a learner is in contact that can get the vote of a leaving
// member, now or once it has the entries that it lacks.
func HasSuccessor(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return !m.Voter && m.SinceContact <= PromoteWithin })
}
