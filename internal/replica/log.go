package replica

import (
	"context"
	"expvar"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/ledger"
)

// messagesRejected counts messages of other replicas that no replica could have sent.
var messagesRejected = expvar.NewInt("log_messages_rejected")

// request is one call that the control goroutine handles; exactly one of
// command, read and change is set.
type request struct {
	ctx     context.Context
	command []byte
	read    bool
	change  *ledger.MemberChange
	reply   chan response
}

type response struct {
	result []byte
	err    error
}

type pendingProposal struct {
	term  ledger.Term
	reply chan response
}

type pendingRead struct {
	index ledger.Index
	reply chan response
}

type pendingChange struct {
	change ledger.MemberChange
	term   ledger.Term
	reply  chan response
}

// ErrNotOpen returns the error of a replica that is asked for its identity before it has read
// it from its data folder.
func ErrNotOpen() error {
	return serving.NewError(serving.KindOverloaded, "the replica has not opened its data folder yet").WithRetryAfter(100 * time.Millisecond)
}

func errLeadershipLost() error {
	return serving.NewError(serving.KindNoQuorum, "the leadership was lost while the command was pending").WithRan(serving.RanUnknown)
}

// call passes a request to the control goroutine and waits for its response.
func (n *Node) call(ctx context.Context, q request) ([]byte, error) {
	n.setup()
	q.ctx, q.reply = ctx, make(chan response, 1)
	stopped := serving.NewError(serving.KindDraining, "the replica has stopped")
	select {
	case n.requests <- q:
	case <-ctx.Done():
		return nil, serving.WrapError(ctx.Err(), serving.KindDeadline, "the replica is busy")
	case <-n.stopped:
		return nil, stopped
	}
	ran := serving.RanUnknown
	if q.read {
		ran = serving.NotRun
	}
	select {
	case r := <-q.reply:
		return r.result, r.err
	case <-ctx.Done():
		return nil, serving.WrapError(ctx.Err(), serving.KindDeadline, "no result in time").WithRan(ran)
	case <-n.stopped:
	}
	select {
	case r := <-q.reply:
		return r.result, r.err
	default:
		return nil, stopped.WithRan(ran)
	}
}

// Propose implements serving.ReplicatedLog.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if command == nil {
		command = []byte{}
	}
	return n.call(ctx, request{command: command})
}

// ReadBarrier implements serving.ReplicatedLog.
func (n *Node) ReadBarrier(ctx context.Context) error {
	_, err := n.call(ctx, request{read: true})
	return err
}

// Leader implements serving.ReplicatedLog.
func (n *Node) Leader() (address string, self bool) {
	n.setup()
	s := n.status.Load()
	return s.LeaderAddress, s.Role == ledger.Leader
}

// Status returns the state of the replica in the form that is sent to operators.
// Revision is not set, because it belongs to the state machine.
func (n *Node) Status() *schema.ReplicaStatus {
	n.setup()
	s := n.status.Load()
	out := &schema.ReplicaStatus{
		Replica: s.Self.String(), Role: s.Role.String(), Term: uint64(s.Term), CommitIndex: uint64(s.Commit),
		AppliedIndex: uint64(s.applied), Leader: s.Leader.String(), LastIndex: uint64(s.Last), SnapshotIndex: uint64(s.Snapshot),
		Members: membersToWire(s.Membership.Members, s.Match),
	}
	for _, old := range s.Membership.OldVoters {
		if !slices.ContainsFunc(s.Membership.Members, func(m ledger.Member) bool { return m.ID == old.ID }) {
			out.Members = append(out.Members, membersToWire([]ledger.Member{old}, s.Match)...)
		}
	}
	return out
}

// ChangeMember changes the membership by one step and returns once the change is
// committed. While the learner to promote is catching up or another change is in
// progress, it retries until the context ends. A change that is already in effect is
// accepted, so a caller can safely resend it.
func (n *Node) ChangeMember(ctx context.Context, in *schema.MemberChange) (*schema.MemberChangeResult, error) {
	change := ledger.MemberChange{Action: ledger.Action(in.GetAction()), Address: in.GetAddress()}
	var err error
	if change.Replica, err = serving.ParseReplicaID(in.GetReplica()); err != nil {
		return nil, err
	}
	if change.Action == ledger.Replace {
		if change.Old, err = serving.ParseReplicaID(in.GetOldReplica()); err != nil {
			return nil, err
		}
	}
	for {
		_, err := n.call(ctx, request{change: &change})
		if err == nil {
			return &schema.MemberChangeResult{Accepted: true, Message: "the change is committed"}, nil
		}
		e := serving.AsError(err)
		switch {
		case e.Kind == serving.KindInvalid:
			return &schema.MemberChangeResult{Message: e.Message}, nil
		case e.Kind != serving.KindConflict || e.RetryAfter == 0:
			return nil, err
		}
		select {
		case <-ctx.Done():
			return &schema.MemberChangeResult{Message: e.Message}, nil
		case <-time.After(e.RetryAfter):
		}
	}
}

// Deliver implements schema.Log. It returns before the messages are processed, and
// drops messages while the inbox is full.
func (n *Node) Deliver(_ context.Context, in *schema.LogMessages) (*schema.DeliverResult, error) {
	n.setup()
	var invalid error
	for _, wire := range in.GetMessages() {
		m, err := fromWire(wire)
		if err != nil {
			// The other messages are independent of it.
			messagesRejected.Add(1)
			klog.InfoS("Log message rejected", "from", wire.GetFrom(), "address", wire.GetFromAddress(), "type", wire.GetType(), "err", err)
			invalid = err
			continue
		}
		n.addresses.Store(wire.GetFrom(), wire.GetFromAddress())
		select {
		case n.inbox <- m:
		default:
		}
	}
	self := n.status.Load().Self
	if self == (serving.ReplicaID{}) && len(in.GetMessages()) == 0 {
		return nil, ErrNotOpen()
	}
	out := &schema.DeliverResult{Replica: self.String()}
	if len(in.GetMessages()) == 0 {
		// A call without messages asks which identities have sent messages; see seenBy.
		n.addresses.Range(func(id, _ any) bool {
			out.Seen = append(out.Seen, id.(string))
			return true
		})
		slices.Sort(out.Seen)
	}
	if invalid != nil {
		return nil, invalid
	}
	return out, nil
}

// handle processes a request on the control goroutine.
func (n *Node) handle(q request) {
	now := n.Clock.Now()
	switch {
	case q.ctx.Err() != nil:
		// The call ended before anything was proposed.
		q.reply <- response{err: serving.WrapError(q.ctx.Err(), serving.KindDeadline, "the replica is busy")}
	case q.read:
		index, err := n.replica.ReadIndex(now)
		if err != nil {
			q.reply <- response{err: err}
			return
		}
		n.pendingReads = append(n.pendingReads, pendingRead{index: index, reply: q.reply})
	case q.change != nil:
		n.handleChange(now, q)
	case len(n.pendingProposals) >= maxPendingProposals:
		q.reply <- response{err: serving.NewError(serving.KindOverloaded, "too many commands wait for the quorum").WithRetryAfter(n.Config.Heartbeat)}
	default:
		index, term, err := n.replica.Propose(now, q.command)
		if err != nil {
			q.reply <- response{err: err}
			return
		}
		n.pendingProposals[index] = pendingProposal{term: term, reply: q.reply}
	}
}
