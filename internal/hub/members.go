package hub

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
	"turmericdrum.org/turmericdrum/pkg/serving/membership"
)

const (
	// joinInterval is the interval between attempts to become a member.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one request.
	joinTimeout = 700 * time.Millisecond
	// rejoinAfter is how long a member without contact to a leader waits before it asks
	// to join again, in case it was removed. It is longer than an election.
	rejoinAfter = membership.PromoteWithin
	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second
)

// join requests membership while this hub is not a member or has no contact with a
// leader. A hub that shuts down doesn't ask to come back.
func (h *Hub) join(ctx context.Context) {
	every(ctx, joinInterval, func() {
		s := h.replica.current().State()
		h.mu.Lock()
		leaving := h.leaving
		h.mu.Unlock()
		if leaving || s.Self == (serving.ReplicaID{}) || s.Leading || s.IsMember && s.SinceLeaderContact < rejoinAfter {
			return
		}
		h.requestJoin(ctx, s.Self)
	})
}

// requestJoin sends a join request to the known hubs, one after another, until one
// confirms the membership.
func (h *Hub) requestJoin(ctx context.Context, self serving.ReplicaID) {
	_, err := h.askLeader(ctx, func(ctx context.Context, hub schema.Hub) (bool, string, error) {
		res, err := hub.Join(ctx, &schema.JoinRequest{Replica: self.String(), Address: h.Address})
		return res.GetMember(), res.GetLeader(), err
	})
	if err != nil {
		klog.V(1).InfoS("Join request failed", "replica", self, "err", err)
	}
}

// askLeader calls ask with the known hubs, one after another, until one grants the request.
// A hub that isn't the leader names the leader, which is then asked next. The error is that
// of the last hub that did not answer.
func (h *Hub) askLeader(ctx context.Context, ask func(context.Context, schema.Hub) (granted bool, leader string, err error)) (granted bool, last error) {
	h.mu.Lock()
	var addresses []string
	for address := range h.peers {
		addresses = append(addresses, address)
	}
	h.mu.Unlock()
	tried := map[string]bool{h.Address: true}
	for i := 0; i < len(addresses) && ctx.Err() == nil; i++ {
		if tried[addresses[i]] {
			continue
		}
		tried[addresses[i]] = true
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		granted, leader, err := ask(callCtx, schema.NewHubProtobufClient(addresses[i], h.client))
		cancel()
		switch {
		case err != nil:
			last = serving.WrapError(err, serving.KindNoQuorum, "ask the hub at "+addresses[i])
		case granted:
			return true, nil
		case leader != "" && !tried[leader]:
			addresses = append(addresses[:i+1], append([]string{leader}, addresses[i+1:]...)...)
		}
	}
	return false, last
}

// Join implements schema.Hub. The leader makes the sender's replica a learner; other
// hubs answer with the leader's address.
func (h *Hub) Join(ctx context.Context, in *schema.JoinRequest) (*schema.JoinResult, error) {
	h.mu.Lock()
	h.addPeer(&schema.HubAddress{Address: in.GetAddress()})
	h.mu.Unlock()
	node := h.replica.current()
	s := node.State()
	if !s.Leading {
		return &schema.JoinResult{Leader: s.Leader}, nil
	}
	for _, m := range s.Members {
		if m.ID.String() == in.GetReplica() && m.Address == in.GetAddress() {
			return &schema.JoinResult{Member: true}, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	res, err := node.ChangeMember(ctx, &schema.MemberChange{Action: string(ledger.AddLearner), Replica: in.GetReplica(), Address: in.GetAddress()})
	if err != nil {
		return nil, err
	}
	klog.InfoS("Join request handled", "replica", in.GetReplica(), "accepted", res.GetAccepted(), "message", res.GetMessage())
	return &schema.JoinResult{Member: res.GetAccepted()}, nil
}

// manageMembers completes and repairs the set of voters while this hub is the leader.
func (h *Hub) manageMembers(ctx context.Context) {
	every(ctx, checkInterval, func() {
		node := h.replica.current()
		s := node.State()
		recordMembership(s, h.requiredVoters())
		if !s.Leading || !s.Settled {
			return
		}
		next := h.policy().Next(s.Self, h.markLeaving(s.Members))
		if next == nil {
			return
		}
		change := &schema.MemberChange{Action: string(next.Action), Replica: next.Replica.String()}
		if next.Action == ledger.Replace {
			change.OldReplica = next.Old.String()
		}
		changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		start := h.Clock.Now()
		res, err := node.ChangeMember(changeCtx, change)
		membershipChanges.Add(change.GetAction(), 1)
		m := s.Member(next.Replica)
		klog.InfoS("Membership change requested", "action", change.GetAction(), "replica", change.GetReplica(), "old", change.GetOldReplica(),
			"silent", m.SinceContact, "acked", m.Acked, "behind", m.EntriesBehind, "leading", s.SinceElection,
			"voters", s.Voters(), "required", h.requiredVoters(), "took", h.Clock.Now()-start,
			"accepted", res.GetAccepted(), "message", res.GetMessage(), "err", err)
	})
}

func (h *Hub) policy() *membership.Policy {
	return &membership.Policy{RequiredVoters: h.requiredVoters(), MaxBehind: keepEntries}
}

// requiredVoters returns the number of voters that is needed for a majority to survive
// the loss of the tolerated disks.
func (h *Hub) requiredVoters() int { return 2*h.ToleratedDisks + 1 }
