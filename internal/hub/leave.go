package hub

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/replica"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/membership"
)

const (
	// leaveInterval is the interval between requests to hand over the vote.
	leaveInterval = 100 * time.Millisecond
	// leaveTTL is how long the leader counts a voter as leaving after a request. A host
	// whose process has started again sends none.
	leaveTTL = joinTimeout + 3*leaveInterval
	// leaveReserve is the part of the grace period that is left to close the connections and
	// the data folder.
	leaveReserve = shutdownTimeout + 500*time.Millisecond
)

// leave hands over the vote of this hub to a learner, the successor of its host, before the
// process ends. Without this the vote counts as that of a lost disk until the leader has
// noticed that the hub is silent, and the tolerated losses of disks in that time would leave
// no majority. The hub goes on serving meanwhile. A hub that has no successor keeps its vote
// and ends at once, because it may only restart.
func (h *Hub) leave(ctx context.Context) {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	s := h.replica.current().State()
	if !s.Member(s.Self).Voter || s.Voters() == len(s.Members) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, max(0, h.Grace-leaveReserve))
	defer cancel()
	start := h.Clock.Now()
	klog.InfoS("Handing over the vote", "replica", s.Self, "leading", s.Leading, "members", len(s.Members), "voters", s.Voters(), "grace", h.Grace)
	granted, err := h.requestLeave(ctx, s.Self)
	for !granted && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(leaveInterval):
			granted, err = h.requestLeave(ctx, s.Self)
		}
	}
	s = h.replica.current().State()
	klog.InfoS("Shutting down after the request to hand over the vote", "replica", s.Self, "granted", granted, "took", h.Clock.Now()-start,
		"voter", s.Member(s.Self).Voter, "voters", s.Voters(), "err", err)
}

// requestLeave asks the leader, which may be this hub, whether the replica may leave.
func (h *Hub) requestLeave(ctx context.Context, self serving.ReplicaID) (granted bool, err error) {
	if s := h.replica.current().State(); s.Leading {
		return h.mayLeave(&s, self), nil
	}
	return h.askLeader(ctx, func(ctx context.Context, hub schema.Hub) (bool, string, error) {
		res, err := hub.Leave(ctx, &schema.LeaveRequest{Replica: self.String()})
		return res.GetGranted(), res.GetLeader(), err
	})
}

// Leave implements schema.Hub. The leader replaces the sender's replica by a learner; other
// hubs answer with the leader's address.
func (h *Hub) Leave(_ context.Context, in *schema.LeaveRequest) (*schema.LeaveResult, error) {
	id, err := serving.ParseReplicaID(in.GetReplica())
	if err != nil {
		return nil, err
	}
	s := h.replica.current().State()
	if !s.Leading {
		return &schema.LeaveResult{Leader: s.Leader}, nil
	}
	return &schema.LeaveResult{Granted: h.mayLeave(&s, id)}, nil
}

// mayLeave reports whether a replica has no vote any more, or keeps it because it has no
// successor. Otherwise manageMembers replaces it. s is the state of the leader.
func (h *Hub) mayLeave(s *replica.State, id serving.ReplicaID) bool {
	if s.Settled && (!s.Member(id).Voter || !membership.HasSuccessor(s.Members)) {
		return true
	}
	if s.Member(id).Voter {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.leavingUntil[id] = h.Clock.Now() + leaveTTL
	}
	return false
}

// markLeaving sets Leaving of the members whose processes have announced their end.
func (h *Hub) markLeaving(members []membership.Member) []membership.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	for id, until := range h.leavingUntil {
		if now >= until {
			delete(h.leavingUntil, id)
		}
	}
	for i := range members {
		_, members[i].Leaving = h.leavingUntil[members[i].ID]
	}
	return members
}
