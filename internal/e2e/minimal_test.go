package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/settings"
	"turmericdrum.org/turmericdrum/pkg/schema"
)

// Guards against calls or configuration changes that work within one process, but not
// between a caller, a control replica, an entry and engines in separate processes.
func TestMinimalDeployment(t *testing.T) {
	f := newFleet(t)
	controlAddress, entryAddress := freeAddress(t), freeAddress(t)
	cs := &settings.Settings{
		Host: "control-1", DataCentre: "dc-a", Region: "region-a",
		Listen: settings.Address(controlAddress), ClusterKey: clusterKey,
		Control: &settings.Control{
			Data: f.dir + "/control-1", OperatorKeyHash: hexHash(operatorKey),
			Replicas: []settings.Replica{{Host: "control-1", Address: settings.Address(controlAddress)}},
		},
	}
	f.start("control-1", controlAddress, "turmericdrum", "control", "--bootstrap", "--settings", f.writeSettings("control-1", cs))
	es := f.entrySettings("entry-1", entryAddress, []string{controlAddress})
	f.start("entry-1", entryAddress, "turmericdrum", "entry", "--settings", f.writeSettings("entry-1", es))
	for _, name := range []string{"engine-1", "engine-2"} {
		f.start(name, "", "standin-engine", "--name", name, "--data-centre", "dc-a", "--entry", entryAddress,
			"--cluster-key", clusterKey, "--model", "guide@1")
	}

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	op := operator(controlAddress)
	var revision uint64
	eventually(t, "operator's changes", 20*time.Second, func() error {
		var err error
		revision, err = putBasics(ctx, op)
		return err
	})
	eventually(t, "entry is ready", 10*time.Second, func() error { return checkReady(entryAddress) })

	const length = 40
	request := map[string]any{"model": "guide", "prompt": "which needle fits", "stream": true, "test_length": length}
	eventually(t, "complete answer", 10*time.Second, func() error {
		a, err := complete(ctx, entryAddress, callerKey, request)
		if err != nil {
			return err
		}
		return a.checkComplete(length)
	})

	a, err := complete(ctx, entryAddress, "wrong-key", request)
	assert.NilError(t, err)
	assert.Equal(t, a.status, http.StatusUnauthorized)

	res, err := op.Apply(ctx, &schema.Change{
		CommandId: "take-out-1", Operator: "op", ExpectedRevision: revision, IssuedAtMs: time.Now().UnixMilli(),
		Action: &schema.Change_TakeOut{TakeOut: &schema.ObjectName{Kind: schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, Name: "dc-a"}},
	})
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome, schema.Outcome_OUTCOME_ACCEPTED, res.Message)
	eventually(t, "data centre is taken out", 3*time.Second, func() error {
		a, err := complete(ctx, entryAddress, callerKey, request)
		if err == nil && a.status != http.StatusServiceUnavailable {
			return fmt.Errorf("status %d", a.status)
		}
		return err
	})
}

// putBasics creates a data centre, a model and a client account. It returns the
// revision of the data centre.
func putBasics(ctx context.Context, op schema.Operators) (uint64, error) {
	account := &schema.ClientAccount{Weight: 1, KeyHashes: [][]byte{keyHash(callerKey)}}
	objects := []*schema.Object{
		{Kind: schema.ObjectKind_OBJECT_KIND_MODEL, Id: "guide", Spec: &schema.Object_Model{Model: &schema.Model{Versions: []*schema.ModelVersion{{Version: "1", Share: 1}}}}},
		{Kind: schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, Id: "bench", Spec: &schema.Object_ClientAccount{ClientAccount: account}},
		{Kind: schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, Id: "dc-a", Spec: &schema.Object_DataCentre{DataCentre: &schema.DataCentre{Region: "region-a"}}},
	}
	var revision uint64
	for _, o := range objects {
		res, err := op.Apply(ctx, &schema.Change{
			CommandId: "put-" + o.Id, Operator: "op", IssuedAtMs: time.Now().UnixMilli(),
			Action: &schema.Change_Put{Put: o},
		})
		if err != nil {
			return 0, err
		}
		if res.Outcome != schema.Outcome_OUTCOME_ACCEPTED {
			return 0, fmt.Errorf("put %s: %v %s", o.Id, res.Outcome, res.Message)
		}
		revision = res.Revision
	}
	return revision, nil
}
