package control

import (
	"context"
	"crypto/subtle"
	"strings"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/internal/replica"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// bootstrapOperator is the operator that is recorded for changes made with the
// bootstrap key.
const bootstrapOperator = "bootstrap"

// operators implements schema.Operators.
type operators struct{ *Server }

var _ schema.Operators = operators{}

// operator returns the name of the operator whose key authenticates the call.
func (s operators) operator(ctx context.Context) (string, error) {
	key, ok := rpc.CallerKey(ctx)
	if !ok {
		return "", serving.NewError(serving.KindUnauthenticated, "the call has no bearer key")
	}
	if s.BootstrapKey != (rpc.KeyHash{}) && subtle.ConstantTimeCompare(key[:], s.BootstrapKey[:]) == 1 {
		return bootstrapOperator, nil
	}
	id, account, ok := s.Machine.AccountByKeyHash(key)
	if !ok {
		return "", serving.NewError(serving.KindUnauthenticated, "no account has this key")
	}
	if !account.GetOperator() {
		return "", serving.NewError(serving.KindForbidden, "client account "+string(id)+" is not one of an operator")
	}
	return string(id), nil
}

// authorize returns the operator after confirming that this replica is the leader
// and has applied all accepted changes, so that a revoked key is rejected.
func (s operators) authorize(ctx context.Context) (string, error) {
	if err := s.Log.ReadBarrier(ctx); err != nil {
		return "", err
	}
	return s.operator(ctx)
}

// Apply applies a change.
func (s operators) Apply(ctx context.Context, c *schema.Change) (*schema.ChangeResult, error) {
	name, err := s.authorize(ctx)
	if err != nil {
		return nil, err
	}
	c = proto.CloneOf(c)
	c.Operator = name
	res, err := s.propose(ctx, &schema.Command{Body: &schema.Command_Change{Change: c}})
	return res.GetChange(), err
}

// Read returns configuration objects.
func (s operators) Read(ctx context.Context, r *schema.ReadRequest) (*schema.ReadResult, error) {
	if _, err := s.authorize(ctx); err != nil {
		return nil, err
	}
	return s.Machine.Read(r)
}

// History returns accepted changes.
func (s operators) History(ctx context.Context, r *schema.HistoryRequest) (*schema.HistoryResult, error) {
	if _, err := s.authorize(ctx); err != nil {
		return nil, err
	}
	return s.Machine.History(r), nil
}

// Status returns the state of this replica. It does not wait for a read barrier,
// because operators need the state most when there is no leader.
func (s operators) Status(ctx context.Context, _ *schema.StatusRequest) (*schema.ReplicaStatus, error) {
	if _, err := s.operator(ctx); err != nil {
		return nil, err
	}
	if s.Replica == nil {
		return nil, serving.NewError(serving.KindInternal, "this process has no replica of its own")
	}
	st := proto.CloneOf(s.Replica.Status())
	if _, err := serving.ParseReplicaID(st.GetReplica()); err != nil {
		return nil, replica.ErrNotOpen()
	}
	st.Revision = uint64(s.Machine.Revision())
	return st, nil
}

// ChangeMember changes the membership of the replicated log.
func (s operators) ChangeMember(ctx context.Context, c *schema.MemberChange) (*schema.MemberChangeResult, error) {
	if _, err := s.authorize(ctx); err != nil {
		return nil, err
	}
	if s.Replica == nil {
		return nil, serving.NewError(serving.KindInternal, "this process has no replica of its own")
	}
	c = proto.CloneOf(c)
	// Operators pass HOST:PORT, but the addresses of members are base URLs.
	if c.GetAddress() != "" && !strings.Contains(c.GetAddress(), "://") {
		c.Address = "http://" + c.GetAddress()
	}
	res, err := s.Replica.ChangeMember(ctx, c)
	if err == nil {
		return res, nil
	}
	switch e := serving.AsError(err); e.Kind {
	case serving.KindInvalid, serving.KindConflict, serving.KindNotFound:
		return &schema.MemberChangeResult{Message: e.Message}, nil
	default:
		return nil, e
	}
}
