package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Member is one replica identity in the membership.
type Member struct {
	ID serving.ReplicaID
	// Address is where other hosts reach the member. This package does not
	// interpret it.
	Address string
	// Voter is false for a learner, which receives the log but has no vote.
	Voter bool
}

// Membership is the set of members at an index of the log.
type Membership struct {
	Members []Member
	// OldVoters holds, during a change of the voters, the voters before it. A
	// quorum is then a majority of them and a majority of the voters in Members.
	OldVoters []Member
}

// Joint reports whether a change of the voters is in progress.
func (m Membership) Joint() bool { return len(m.OldVoters) > 0 }

// Find returns the member with the given identity, including voters being removed.
func (m Membership) Find(id serving.ReplicaID) (Member, bool) {
	for _, set := range [][]Member{m.Members, m.OldVoters} {
		for _, member := range set {
			if member.ID == id {
				return member, true
			}
		}
	}
	return Member{}, false
}

// IsVoter reports whether an identity counts towards a quorum.
func (m Membership) IsVoter(id serving.ReplicaID) bool {
	for _, set := range m.voterSets() {
		if slices.ContainsFunc(set, func(v Member) bool { return v.ID == id }) {
			return true
		}
	}
	return false
}

// voterSets returns the sets of voters. A quorum needs a majority of each set.
func (m Membership) voterSets() [][]Member {
	var voters []Member
	for _, member := range m.Members {
		if member.Voter {
			voters = append(voters, member)
		}
	}
	if m.Joint() {
		return [][]Member{voters, m.OldVoters}
	}
	return [][]Member{voters}
}

// all returns each member once, including voters being removed.
func (m Membership) all() []Member {
	out := slices.Clone(m.Members)
	for _, old := range m.OldVoters {
		if !slices.ContainsFunc(m.Members, func(v Member) bool { return v.ID == old.ID }) {
			out = append(out, old)
		}
	}
	return out
}

// quorum reports whether ok returns true for a majority of each set.
func quorum(sets [][]Member, ok func(serving.ReplicaID) bool) bool {
	for _, set := range sets {
		n := 0
		for _, v := range set {
			if ok(v.ID) {
				n++
			}
		}
		if n <= len(set)/2 {
			return false
		}
	}
	return true
}

// quorumValue returns the highest value that a majority of each set has reached.
func quorumValue[T ~uint64 | ~int64](sets [][]Member, value func(serving.ReplicaID) T) T {
	var result T
	// Up to 7 voters need no allocation.
	var buffer [7]T
	for i, set := range sets {
		if len(set) == 0 {
			return 0
		}
		values := buffer[:0]
		for _, v := range set {
			values = append(values, value(v.ID))
		}
		slices.Sort(values)
		v := values[(len(values)-1)/2]
		if i == 0 || v < result {
			result = v
		}
	}
	return result
}

type memberJSON struct {
	Replica string `json:"replica"`
	Address string `json:"address"`
	Voter   bool   `json:"voter,omitempty"`
}

type membershipJSON struct {
	Members   []memberJSON `json:"members"`
	OldVoters []memberJSON `json:"old_voters,omitempty"`
}

// Encode returns the membership as JSON.
func (m Membership) Encode() []byte {
	convert := func(members []Member) (out []memberJSON) {
		for _, v := range members {
			out = append(out, memberJSON{v.ID.String(), v.Address, v.Voter})
		}
		return out
	}
	// Encoding strings and booleans cannot fail.
	b, _ := json.Marshal(membershipJSON{convert(m.Members), convert(m.OldVoters)})
	return b
}

// DecodeMembership decodes the output of [Membership.Encode].
func DecodeMembership(b []byte) (Membership, error) {
	var in membershipJSON
	if err := json.Unmarshal(b, &in); err != nil {
		return Membership{}, serving.WrapError(err, serving.KindDamaged, "decode membership")
	}
	var out Membership
	for _, part := range []struct {
		in  []memberJSON
		out *[]Member
	}{{in.Members, &out.Members}, {in.OldVoters, &out.OldVoters}} {
		for _, v := range part.in {
			id, err := serving.ParseReplicaID(v.Replica)
			if err != nil {
				return Membership{}, serving.WrapError(err, serving.KindDamaged, "decode membership")
			}
			*part.out = append(*part.out, Member{ID: id, Address: v.Address, Voter: v.Voter})
		}
	}
	return out, nil
}

// Action is the kind of a membership change.
type Action string

// Actions.
const (
	// AddLearner adds Replica as a learner.
	AddLearner Action = "add_learner"
	// Promote makes the learner Replica a voter.
	Promote Action = "promote"
	// Replace promotes the learner Replica and removes Old in one step.
	Replace Action = "replace"
	// Remove removes Replica, which can be a learner or a voter.
	Remove Action = "remove"
)

// MemberChange is one change of the membership.
type MemberChange struct {
	Action  Action
	Replica serving.ReplicaID
	// Address is the address of a new learner. Only AddLearner uses it.
	Address string
	// Old is the identity that Replace removes.
	Old serving.ReplicaID
}

// apply returns the membership after the change. It is a joint configuration if
// the voters change.
func (c MemberChange) apply(m Membership) (Membership, error) {
	invalid := func(message string) (Membership, error) {
		return Membership{}, serving.NewError(serving.KindInvalid, message)
	}
	next := Membership{Members: slices.Clone(m.Members)}
	at := slices.IndexFunc(next.Members, func(v Member) bool { return v.ID == c.Replica })
	switch c.Action {
	case AddLearner:
		if at >= 0 {
			return invalid(c.Replica.String() + " is already a member")
		}
		if c.Replica.Host == "" || c.Replica.Incarnation == "" || c.Address == "" {
			return invalid("a learner needs a replica id and an address")
		}
		next.Members = append(next.Members, Member{ID: c.Replica, Address: c.Address})
		return next, nil
	case Promote, Replace:
		if at < 0 || next.Members[at].Voter {
			return invalid(c.Replica.String() + " is not a learner")
		}
		next.Members[at].Voter = true
		if c.Action == Replace {
			if old, ok := m.Find(c.Old); !ok || !old.Voter {
				return invalid("replaced identity " + c.Old.String() + " is not a voter")
			}
			next.Members = slices.DeleteFunc(next.Members, func(v Member) bool { return v.ID == c.Old })
		}
	case Remove:
		if at < 0 {
			return invalid(c.Replica.String() + " is not a member")
		}
		wasVoter := next.Members[at].Voter
		next.Members = slices.Delete(next.Members, at, at+1)
		if !wasVoter {
			return next, nil
		}
	default:
		return invalid("unknown action " + string(c.Action))
	}
	if len(next.voterSets()[0]) == 0 {
		return invalid("the last voter cannot be removed")
	}
	next.OldVoters = m.voterSets()[0]
	return next, nil
}

// ProposeMembers appends a membership change to the log. It returns an error
// while another change is in progress and before the leader has committed an
// entry of its term. Promote and Replace also fail until the learner has stored all
// entries that were committed when this leader was first asked to promote the
// learner.
func (r *Replica) ProposeMembers(now time.Duration, change MemberChange) (Index, Term, error) {
	if err := r.requireLeader(now); err != nil {
		return 0, 0, err
	}
	latest := r.log.membershipIndex()
	if r.Membership().Joint() || latest > r.commit {
		return 0, 0, serving.NewError(serving.KindConflict, "another membership change is in progress").WithRetryAfter(r.cfg.Heartbeat)
	}
	if r.log.term(r.commit) != r.hard.Term {
		return 0, 0, serving.NewError(serving.KindNoQuorum, "the leader has not yet committed an entry of its term").WithRetryAfter(r.cfg.Heartbeat)
	}
	next, err := change.apply(r.Membership())
	if err != nil {
		return 0, 0, err
	}
	if change.Action == Promote || change.Action == Replace {
		if err := r.requireCaughtUp(change.Replica); err != nil {
			return 0, 0, err
		}
	}
	if r.defects.skipJoint {
		next.OldVoters = nil
	}
	e := r.appendEntry(EntryMembers, next.Encode())
	r.addProgress(now, e.Index)
	r.broadcastAppend()
	return e.Index, e.Term, nil
}

// requireCaughtUp returns an error until the learner has stored the log up to the
// commit index at the first call for it.
func (r *Replica) requireCaughtUp(learner serving.ReplicaID) error {
	barrier, ok := r.promotionBarriers[learner]
	if !ok {
		barrier = r.commit
		r.promotionBarriers[learner] = barrier
	}
	if p := r.progress[learner]; p == nil || p.match < barrier {
		return serving.NewError(serving.KindConflict, learner.String()+" has not yet received the full log").WithRetryAfter(r.cfg.Heartbeat)
	}
	return nil
}

// finishMembershipChange leaves a committed joint configuration. Once a membership
// without this replica as a voter is committed, the leader steps down.
func (r *Replica) finishMembershipChange() {
	m := r.Membership()
	if r.role != Leader || r.log.membershipIndex() > r.commit {
		return
	}
	if m.Joint() {
		r.appendEntry(EntryMembers, Membership{Members: m.Members}.Encode())
		r.broadcastAppend()
		return
	}
	if !m.IsVoter(r.cfg.Self) {
		r.becomeFollower(r.hard.Term, serving.ReplicaID{})
	}
}
