package registry

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

const (
	kModel   = schema.ObjectKind_OBJECT_KIND_MODEL
	kEngine  = schema.ObjectKind_OBJECT_KIND_ENGINE
	kDC      = schema.ObjectKind_OBJECT_KIND_DATA_CENTRE
	kAccount = schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT
	kService = schema.ObjectKind_OBJECT_KIND_SERVICE

	accepted  = schema.Outcome_OUTCOME_ACCEPTED
	conflicts = schema.Outcome_OUTCOME_CONFLICT
	reused    = schema.Outcome_OUTCOME_COMMAND_ID_REUSED
	invalid   = schema.Outcome_OUTCOME_INVALID
	ambiguous = schema.Outcome_OUTCOME_AMBIGUOUS_NAME
	missing   = schema.Outcome_OUTCOME_NOT_FOUND
	expired   = schema.Outcome_OUTCOME_EXPIRED
	inUse     = schema.Outcome_OUTCOME_IN_USE

	dayMS   = int64(24 * 60 * 60 * 1000)
	startMS = 100 * dayMS
)

var testConfig = Config{Schemes: []string{"catalog", "legacy", "site"}, HistoryLimit: 50}

func newMachine(t testing.TB) *Machine {
	m, err := New(testConfig)
	assert.NilError(t, err)
	return m
}

func encode(t testing.TB, c *schema.Command) []byte {
	b, err := proto.Marshal(c)
	assert.NilError(t, err)
	return b
}

func apply(t testing.TB, m *Machine, c *schema.Command) *schema.CommandResult {
	var res schema.CommandResult
	assert.NilError(t, proto.Unmarshal(m.Apply(1, encode(t, c)), &res))
	return &res
}

func changeAt(nowMS int64, c *schema.Change) *schema.Command {
	return &schema.Command{NowMs: nowMS, Body: &schema.Command_Change{Change: c}}
}

func claimAt(nowMS int64, attempt, content string) *schema.Command {
	return &schema.Command{NowMs: nowMS, Body: &schema.Command_Claim{Claim: &schema.ClaimRequest{
		Key: testKey(), ContentHash: []byte(content), Holder: "entry-" + attempt, AttemptId: attempt,
	}}}
}

func settleAt(nowMS int64, attempt string, state schema.ClaimState, lookup bool) *schema.Command {
	s := &schema.SettleRequest{Key: testKey(), Holder: "entry-" + attempt, AttemptId: attempt, State: state, ByLookup: lookup}
	if state == done {
		s.Answer = &schema.Answer{Status: 200, Body: []byte("order 7")}
	}
	return &schema.Command{NowMs: nowMS, Body: &schema.Command_Settle{Settle: s}}
}

func testKey() *schema.ClaimKey {
	return &schema.ClaimKey{ClientAccount: "aguja", Service: "counter", Key: "stylus-1"}
}

func model(id string) *schema.Object {
	return &schema.Object{Kind: kModel, Id: id, Spec: &schema.Object_Model{Model: &schema.Model{
		Versions: []*schema.ModelVersion{{Version: "v1", Share: 1}},
	}}}
}

func engine(id, model string) *schema.Object {
	return &schema.Object{Kind: kEngine, Id: id, Spec: &schema.Object_Engine{Engine: &schema.EngineWant{
		Models: []*schema.ModelRef{{Model: model, Version: "v1"}},
	}}}
}

func dataCentre(id, region string) *schema.Object {
	return &schema.Object{Kind: kDC, Id: id, Spec: &schema.Object_DataCentre{DataCentre: &schema.DataCentre{Region: region}}}
}

func account(id string, keys ...string) *schema.Object {
	a := &schema.ClientAccount{Weight: 1}
	for _, k := range keys {
		h := sha256.Sum256([]byte(k))
		a.KeyHashes = append(a.KeyHashes, h[:])
	}
	return &schema.Object{Kind: kAccount, Id: id, Spec: &schema.Object_ClientAccount{ClientAccount: a}}
}

func put(o *schema.Object) *schema.Change {
	return &schema.Change{Action: &schema.Change_Put{Put: o}}
}

func remove(kind schema.ObjectKind, name string) *schema.Change {
	return &schema.Change{Action: &schema.Change_Remove{Remove: &schema.ObjectName{Kind: kind, Name: name}}}
}

func takeOut(kind schema.ObjectKind, name string) *schema.Change {
	return &schema.Change{Action: &schema.Change_TakeOut{TakeOut: &schema.ObjectName{Kind: kind, Name: name}}}
}

func putAlias(scheme, name, target string) *schema.Change {
	return &schema.Change{Action: &schema.Change_PutAlias{PutAlias: &schema.Alias{Scheme: scheme, Name: name, Kind: kModel, Target: target}}}
}

// issue sets the command id, expected revision, issue time and operator of a change.
func issue(c *schema.Change, id string, expected uint64) *schema.Change {
	c.CommandId, c.ExpectedRevision, c.IssuedAtMs, c.Operator = id, expected, startMS, "op"
	return c
}

// run applies changes in order and returns the outcomes.
func run(t testing.TB, m *Machine, changes ...*schema.Change) []schema.Outcome {
	var out []schema.Outcome
	for i, c := range changes {
		if c.CommandId == "" {
			issue(c, fmt.Sprintf("c%d-%d", m.Revision(), i), c.ExpectedRevision)
		}
		out = append(out, apply(t, m, changeAt(startMS, c)).GetChange().GetOutcome())
	}
	return out
}

func expecting(c *schema.Change, revision uint64) *schema.Change {
	c.ExpectedRevision = revision
	return c
}
