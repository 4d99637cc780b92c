package control_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/control"
	"turmericdrum.org/turmericdrum/internal/control/controltest"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

const (
	clusterKey  = "cluster"
	operatorKey = "bootstrap"
)

// replica is one server with its log.
type replica struct {
	log     *controltest.Log
	machine *registry.Machine
	address string
}

func start(t *testing.T) *replica {
	m, err := registry.New(registry.Config{Schemes: []string{"legacy"}})
	assert.NilError(t, err)
	l := &controltest.Log{Machine: m}
	s := &control.Server{Log: l, Replica: l, Machine: m, ClusterKey: rpc.HashKey(clusterKey), BootstrapKey: rpc.HashKey(operatorKey)}
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return &replica{l, m, strings.TrimPrefix(srv.URL, "http://")}
}

func client(key string, addresses ...string) *rpc.Client {
	return &rpc.Client{Addresses: addresses, Key: key, Timeout: 2 * time.Second, BackoffMin: time.Millisecond}
}

func putDataCentre(id, command string) *schema.Change {
	return &schema.Change{CommandId: command, IssuedAtMs: time.Now().UnixMilli(), Action: &schema.Change_Put{Put: &schema.Object{
		Kind: schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, Id: id,
		Spec: &schema.Object_DataCentre{DataCentre: &schema.DataCentre{Region: "norr"}},
	}}}
}

func putAccount(id, key string, operator bool) *schema.Change {
	h := rpc.HashKey(key)
	return &schema.Change{CommandId: id, IssuedAtMs: time.Now().UnixMilli(), Action: &schema.Change_Put{Put: &schema.Object{
		Kind: schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, Id: id,
		Spec: &schema.Object_ClientAccount{ClientAccount: &schema.ClientAccount{Weight: 1, KeyHashes: [][]byte{h[:]}, Operator: operator}},
	}}}
}

// Guards against a resend after a lost answer that applies a change twice, and
// against a client that does not follow the leader hint.
func TestClientFollowsLeaderAndResends(t *testing.T) {
	leader, follower := start(t), start(t)
	follower.log.SetLeader(leader.address)
	leader.log.FailAfterApply(2)
	c := client(operatorKey, "127.0.0.1:1", follower.address)
	res, err := c.Apply(t.Context(), putDataCentre("norr-1", "c1"))
	assert.NilError(t, err)
	assert.Equal(t, res.GetOutcome(), schema.Outcome_OUTCOME_ACCEPTED)
	h, err := c.History(t.Context(), &schema.HistoryRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(h.GetEntries()), 1)
	assert.Equal(t, h.GetEntries()[0].GetChange().GetOperator(), "bootstrap")
}

// Guards against a change of unknown outcome that is reported as not run.
func TestClientReportsUnknownOutcome(t *testing.T) {
	r := start(t)
	r.log.FailAfterApply(1_000_000)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := client(operatorKey, r.address).Apply(ctx, putDataCentre("norr-1", "c1"))
	assert.Equal(t, serving.KindOf(err), serving.KindOutcomeUnknown)
	assert.Equal(t, serving.AsError(err).Ran, serving.RanUnknown)
	ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = client(clusterKey, "127.0.0.1:1").GetView(ctx, &schema.ViewRequest{})
	assert.Equal(t, serving.KindOf(err), serving.KindNoQuorum)
}

// Guards against a client that follows leader hints forever, or without a pause, when
// two replicas name each other as the leader.
func TestClientStopsWhenReplicasNameEachOther(t *testing.T) {
	a, b := start(t), start(t)
	a.log.SetLeader(b.address)
	b.log.SetLeader(a.address)
	calls := 0
	c := client(operatorKey, a.address, b.address)
	c.Timeout, c.BackoffMin = 300*time.Millisecond, 50*time.Millisecond
	c.Random = func() float64 { calls++; return 1 }
	_, err := c.Apply(t.Context(), putDataCentre("norr-1", "c1"))
	assert.Equal(t, serving.KindOf(err), serving.KindNotLeader)
	assert.Equal(t, serving.AsError(err).Ran, serving.NotRun)
	// The pauses are 50, 100 and 200 ms; the third would exceed the timeout of 300 ms.
	assert.Assert(t, calls <= 3, "%d pauses", calls)
	_, err = rpc.ParseKeyHash("12")
	assert.Equal(t, serving.KindOf(err), serving.KindInvalid)
}

// Guards against keys that are accepted by a service for which they are not valid.
func TestAuthentication(t *testing.T) {
	r := start(t)
	bootstrapClient := client(operatorKey, r.address)
	for _, change := range []*schema.Change{putAccount("op", "op-key", true), putAccount("aguja", "caller-key", false)} {
		_, err := bootstrapClient.Apply(t.Context(), change)
		assert.NilError(t, err)
	}
	const none = serving.Kind("")
	tests := []struct {
		key             string
		operators, view serving.Kind
	}{
		{operatorKey, none, serving.KindUnauthenticated},
		{"op-key", none, serving.KindUnauthenticated},
		{"caller-key", serving.KindForbidden, serving.KindUnauthenticated},
		{clusterKey, serving.KindUnauthenticated, none},
		{"other", serving.KindUnauthenticated, serving.KindUnauthenticated},
	}
	for _, tt := range tests {
		c := client(tt.key, r.address)
		check := func(err error, want serving.Kind) {
			t.Helper()
			if want == none {
				assert.NilError(t, err, tt.key)
				return
			}
			assert.Equal(t, serving.KindOf(err), want, tt.key)
		}
		_, err := c.Read(t.Context(), &schema.ReadRequest{})
		check(err, tt.operators)
		_, err = c.Status(t.Context(), &schema.StatusRequest{})
		check(err, tt.operators)
		_, err = c.Apply(t.Context(), putDataCentre("norr-1", "c-"+tt.key))
		check(err, tt.operators)
		_, err = c.GetView(t.Context(), &schema.ViewRequest{})
		check(err, tt.view)
		_, err = c.Lookup(t.Context(), &schema.LookupRequest{})
		check(err, tt.view)
	}
}

// Guards against views that are older than one the entry already has, that come
// from a replica that is not the leader, or that omit a change.
func TestGetView(t *testing.T) {
	r := start(t)
	op, c := client(operatorKey, r.address), client(clusterKey, r.address)
	res, err := c.GetView(t.Context(), &schema.ViewRequest{})
	assert.NilError(t, err)
	view, err := registry.NewView(res.GetConfig())
	assert.NilError(t, err)
	for i, id := range []string{"norr-1", "mitt-1", "syd-1"} {
		_, err := op.Apply(t.Context(), putDataCentre(id, id))
		assert.NilError(t, err)
		res, err = c.GetView(t.Context(), &schema.ViewRequest{ConfigRevision: uint64(view.Revision()), HaveRevision: uint64(view.Revision())})
		assert.NilError(t, err)
		view, err = view.Update(res.GetConfig())
		assert.NilError(t, err)
		assert.Equal(t, len(view.List(schema.ObjectKind_OBJECT_KIND_DATA_CENTRE)), i+1)
		assert.Equal(t, len(res.GetConfig().GetObjects()), 1)
	}
	res, err = c.GetView(t.Context(), &schema.ViewRequest{HaveRevision: 3})
	assert.NilError(t, err)
	assert.Assert(t, res.GetUnchanged())
	short := client(clusterKey, r.address)
	short.Timeout = 100 * time.Millisecond
	_, err = short.GetView(t.Context(), &schema.ViewRequest{HaveRevision: 4})
	assert.Equal(t, serving.KindOf(err), serving.KindViewExpired)
	r.log.SetLeader("127.0.0.1:1")
	_, err = short.GetView(t.Context(), &schema.ViewRequest{})
	assert.Assert(t, err != nil)
}

// Guards against an order that is granted to no attempt or to two attempts after
// the answer to a claim was lost.
func TestClaimAfterLostAnswer(t *testing.T) {
	r := start(t)
	c := client(clusterKey, r.address)
	claim := func(attempt string) schema.ClaimState {
		res, err := c.Claim(t.Context(), &schema.ClaimRequest{Key: &schema.ClaimKey{ClientAccount: "a", Service: "s", Key: "k"},
			ContentHash: []byte("x"), Holder: "entry", AttemptId: attempt})
		assert.NilError(t, err)
		return res.GetState()
	}
	r.log.FailAfterApply(1)
	assert.Equal(t, claim("1"), schema.ClaimState_CLAIM_STATE_GRANTED)
	assert.Equal(t, claim("2"), schema.ClaimState_CLAIM_STATE_IN_PROGRESS)
	_, err := c.Claim(t.Context(), &schema.ClaimRequest{})
	assert.Equal(t, serving.KindOf(err), serving.KindInvalid)
}

// Guards against a server that keeps running after its context has ended.
func TestRunEndsWithContext(t *testing.T) {
	m, err := registry.New(registry.Config{Schemes: []string{"legacy"}})
	assert.NilError(t, err)
	srv := httptest.NewUnstartedServer(nil)
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, (&control.Server{Log: &controltest.Log{Machine: m}, Machine: m}).Run(ctx, srv.Listener))
}
