package admin

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// session executes one command.
type session struct {
	*Command
	client *rpc.Client
	out    printer
}

// readObject returns the object that a name refers to, or nil if there is none.
func (s *session) readObject(ctx context.Context, kind schema.ObjectKind, name string) (*schema.Object, error) {
	res, err := s.client.Read(ctx, &schema.ReadRequest{Kind: kind, Name: name})
	if serving.KindOf(err) == serving.KindNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(res.GetObjects()) != 1 {
		return nil, serving.NewError(serving.KindInternal, fmt.Sprintf("the server answered with %d objects for one name", len(res.GetObjects())))
	}
	return res.GetObjects()[0], nil
}

// send fills in the command id, expected revision and issue time of a change and
// sends it. If the outcome is unknown, the remedy of the error lists the options with
// which the change can be sent again, followed by extraOptions.
func (s *session) send(ctx context.Context, c *schema.Change, revision uint64, extraOptions string) (*schema.ChangeResult, error) {
	c.CommandId, c.ExpectedRevision, c.IssuedAtMs = s.CommandID, revision, s.IssuedAtMS
	if c.CommandId == "" {
		c.CommandId = rand.Text()
	}
	if s.ExpectedRevision != nil {
		c.ExpectedRevision = *s.ExpectedRevision
	}
	if c.IssuedAtMs == 0 {
		c.IssuedAtMs = s.now().UnixMilli()
	}
	res, err := s.client.Apply(ctx, c)
	if serving.KindOf(err) == serving.KindOutcomeUnknown && err != nil {
		e := serving.AsError(err)
		e.Remedy = fmt.Sprintf("repeat the command with --command-id %s --expected-revision %d --issued-at %d%s; it is applied at most once",
			c.GetCommandId(), c.GetExpectedRevision(), c.GetIssuedAtMs(), extraOptions)
		return nil, e
	}
	if err != nil {
		return nil, err
	}
	return res, rpc.OutcomeError(res)
}

// change sends a change and prints its result.
func (s *session) change(ctx context.Context, c *schema.Change, revision uint64) error {
	res, err := s.send(ctx, c, revision, "")
	if err != nil {
		return err
	}
	return s.out.accepted(c.GetCommandId(), res)
}

func (s *session) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// changeObject sends a change of an object, based on its current revision. For an
// object that does not exist, the revision is 0 and the server refuses the change.
func (s *session) changeObject(ctx context.Context, n *NameCommand, build func(*schema.ObjectName) *schema.Change) error {
	kind, err := parseKind(n.Kind)
	if err != nil {
		return err
	}
	o, err := s.readObject(ctx, kind, n.Name)
	if err != nil {
		return err
	}
	return s.change(ctx, build(&schema.ObjectName{Kind: kind, Name: n.Name}), o.GetRevision())
}

func (s *session) list(ctx context.Context, kindName, name string) error {
	kind, err := parseKind(kindName)
	if err != nil {
		return err
	}
	res, err := s.client.Read(ctx, &schema.ReadRequest{Kind: kind, Name: name})
	if err != nil {
		return err
	}
	return s.out.objects(res)
}

func (s *session) history(ctx context.Context, h *HistoryCommand) error {
	res, err := s.client.History(ctx, &schema.HistoryRequest{AfterRevision: h.After, Limit: h.Limit})
	if err != nil {
		return err
	}
	return s.out.history(res)
}

// status requests the state of each replica separately, because the states differ,
// and lists the replicas that do not answer. It fails only if none answers.
func (s *session) status(ctx context.Context) error {
	var list []*schema.ReplicaStatus
	failures := map[string]error{}
	var lastErr error
	for _, addr := range s.addresses() {
		st, err := s.dial(addr).Status(ctx, &schema.StatusRequest{})
		if err != nil {
			failures[addr], lastErr = err, err
			continue
		}
		list = append(list, st)
	}
	if len(list) == 0 {
		return lastErr
	}
	return s.out.status(list, failures)
}
