package hub

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/replica"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

const (
	// joinInterval is the pause between requests to become a member.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one request.
	joinTimeout = 700 * time.Millisecond
	// orphanAfter is how long a member without a leader waits before it asks
	// whether it still is one: longer than an election.
	orphanAfter = 2500 * time.Millisecond
	// replaceAfter is the silence after which a learner takes a voter's place. It is
	// longer than usual freezes and restarts, which need no repair.
	replaceAfter = 6 * time.Second
	// dropLearnerAfter is the silence after which a learner is removed.
	dropLearnerAfter = 15 * time.Second
	// changeTimeout bounds one change of the members.
	changeTimeout = 2 * time.Second
)

// join asks for membership while this hub is no member or hears no leader.
func (h *Hub) join(ctx context.Context) {
	every(ctx, joinInterval, func() {
		s := h.replica.current().State()
		if s.Self == (serving.ReplicaID{}) || s.Leads || s.Member && s.HeardAgo < orphanAfter {
			return
		}
		h.askToJoin(ctx, s.Self)
	})
}

// askToJoin asks the known hubs in turn, and the leader that they name.
func (h *Hub) askToJoin(ctx context.Context, self serving.ReplicaID) {
	h.mu.Lock()
	var addresses []string
	for address := range h.peers {
		addresses = append(addresses, address)
	}
	h.mu.Unlock()
	asked := map[string]bool{h.Address: true}
	for i := 0; i < len(addresses) && ctx.Err() == nil; i++ {
		if asked[addresses[i]] {
			continue
		}
		asked[addresses[i]] = true
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		res, err := schema.NewHubProtobufClient(addresses[i], h.client).Join(callCtx, &schema.JoinRequest{Replica: self.String(), Address: h.Address})
		cancel()
		if err != nil {
			klog.V(1).InfoS("Hub did not take the request to join", "hub", addresses[i], "err", err)
			continue
		}
		if res.GetMember() {
			return
		}
		if leader := res.GetLeader(); leader != "" && !asked[leader] {
			addresses = append(addresses[:i+1], append([]string{leader}, addresses[i+1:]...)...)
		}
	}
}

// Join implements schema.Hub: the leader makes the sender's replica a learner.
func (h *Hub) Join(ctx context.Context, in *schema.JoinRequest) (*schema.JoinResult, error) {
	h.mu.Lock()
	h.addPeer(&schema.HubAddress{Address: in.GetAddress()})
	h.mu.Unlock()
	node := h.replica.current()
	s := node.State()
	if !s.Leads {
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
	klog.InfoS("Hub asked to join", "replica", in.GetReplica(), "accepted", res.GetAccepted(), "message", res.GetMessage())
	return &schema.JoinResult{Member: res.GetAccepted()}, nil
}

// manageMembers lets the leader complete and repair the set of voters.
func (h *Hub) manageMembers(ctx context.Context) {
	every(ctx, tick, func() {
		node := h.replica.current()
		s := node.State()
		if !s.Leads || !s.Settled {
			return
		}
		change := nextChange(s, h.wantedVoters())
		if change == nil {
			return
		}
		changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		res, err := node.ChangeMember(changeCtx, change)
		klog.InfoS("Members changed", "action", change.GetAction(), "replica", change.GetReplica(), "old", change.GetOldReplica(),
			"accepted", res.GetAccepted(), "message", res.GetMessage(), "err", err)
	})
}

// wantedVoters returns the number of voters of which a majority survives the
// loss of the tolerated disks.
func (h *Hub) wantedVoters() int { return 2*h.ToleratedDisks + 1 }

// nextChange returns the next change of the members, nil if none is due. A
// learner that keeps up replaces the lost identity of its own host, then fills
// the voters up, then replaces a voter that has been silent for long.
func nextChange(s replica.State, wanted int) *schema.MemberChange {
	voters, silent := 0, (*replica.MemberState)(nil)
	hosts := map[serving.HostID]*replica.MemberState{}
	for i := range s.Members {
		m := &s.Members[i]
		if !m.Voter {
			continue
		}
		voters++
		hosts[m.ID.Host] = m
		if m.ID != s.Self && m.Silent > replaceAfter && (silent == nil || m.Silent > silent.Silent) {
			silent = m
		}
	}
	for i := range s.Members {
		m := &s.Members[i]
		switch {
		case m.Voter:
			continue
		case m.Silent > dropLearnerAfter:
			return &schema.MemberChange{Action: string(ledger.Remove), Replica: m.ID.String()}
		case m.Silent > orphanAfter || m.Behind > keepEntries:
			continue
		}
		old := hosts[m.ID.Host]
		switch {
		case old != nil:
			return &schema.MemberChange{Action: string(ledger.Replace), Replica: m.ID.String(), OldReplica: old.ID.String()}
		case voters < wanted:
			return &schema.MemberChange{Action: string(ledger.Promote), Replica: m.ID.String()}
		case silent != nil:
			return &schema.MemberChange{Action: string(ledger.Replace), Replica: m.ID.String(), OldReplica: silent.ID.String()}
		}
	}
	return nil
}
