package admin_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/admin"
	"turmericdrum.org/turmericdrum/internal/control"
	"turmericdrum.org/turmericdrum/internal/control/controltest"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// shell runs command lines against one control replica.
type shell struct {
	t       *testing.T
	log     *controltest.Log
	machine *registry.Machine
	address string
}

func newShell(t *testing.T) *shell {
	m, err := registry.New(registry.Config{Schemes: []string{"legacy", "site"}})
	assert.NilError(t, err)
	l := &controltest.Log{Machine: m}
	s := &control.Server{Log: l, Replica: l, Machine: m, BootstrapKey: rpc.HashKey("op")}
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return &shell{t, l, m, strings.TrimPrefix(srv.URL, "http://")}
}

func (s *shell) run(line string) (string, error) {
	s.t.Helper()
	var c admin.Command
	p, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &c)
	assert.NilError(s.t, err)
	assert.NilError(s.t, p.Parse(append([]string{"--server", s.address, "--key", "op", "--timeout", "300ms"}, strings.Fields(line)...)), line)
	var out bytes.Buffer
	err = c.Run(s.t.Context(), &out)
	return out.String(), err
}

func (s *shell) mustRun(line string) string {
	s.t.Helper()
	out, err := s.run(line)
	assert.NilError(s.t, err, line)
	return out
}

// Guards against subcommands that send a wrong change, print wrong state or return
// an error of the wrong kind. The cases run in order against one replica.
func TestCommands(t *testing.T) {
	s := newShell(t)
	tests := []struct {
		line string
		kind serving.Kind
		want string
	}{
		{"put data-centre leon-1 --region leon", "", "accepted at revision 1"},
		{"put model drafter --version v1=0.75 --version v2=0.25 --min-warm 2", "", "revision 2"},
		{"put model drafter --min-warm 3", "", "revision 3"},
		{"show model drafter", "", "min_warm=3 v1=0.75 v2=0.25"},
		{"alias put legacy model D7 drafter", "", "revision 4"},
		{"alias put legacy model D7 drafter", serving.KindConflict, ""},
		{"put engine e-1 --model D7@v1 --role decode", "", "revision 5"},
		{"show engine e-1", "", "role=decode out=false drafter@v1"},
		{"take-out engine e-1", "", "revision 6"},
		{"put engine e-1 --role prefill", "", "revision 7"},
		{"show engine e-1", "", "role=prefill out=true drafter@v1"},
		{"bring-back engine e-1", "", "revision 8"},
		{"take-out data-centre leon-1", "", "revision 9"},
		{"list data-centre", "", "out=true"},
		{"put service desk --generates --model D7", "", "revision 10"},
		{"put service counter --route /orders,30s --route /catalog,idempotent --lookup-path /calls", "", "revision 11"},
		{"show service counter", "", "route=/orders,idempotent=false,30000ms route=/catalog,idempotent=true,0ms"},
		{"put host h-1 --address 10.0.0.1:7000 --data-centre leon-1 --entry", "", "revision 12"},
		{"remove data-centre leon-1", serving.KindConflict, ""},
		{"remove host h-1", "", "revision 13"},
		{"remove host h-1", serving.KindNotFound, ""},
		{"put model other --version v1", "", "revision 14"},
		{"alias move legacy model D7 other", "", "revision 15"},
		{"alias move legacy model D8 other", serving.KindNotFound, ""},
		{"alias list model", "", "legacy  D7     other"},
		{"alias put site model drafter other", serving.KindAmbiguousName, ""},
		{"alias remove legacy model D7", "", "revision 16"},
		{"--expected-revision 3 put model other --min-warm 1", serving.KindConflict, ""},
		{"history --after 15", "", "alias remove"},
		{"status", "", "memory/1"},
		{"members add-learner leon-2/b2 10.0.0.2:7100", "", "accepted"},
		{"members replace leon-1 leon-2/b2", serving.KindInvalid, ""},
		{"list box", serving.KindInvalid, ""},
		{"--output xml list model", serving.KindInvalid, ""},
	}
	for _, tt := range tests {
		out, err := s.run(tt.line)
		if tt.kind == "" {
			assert.NilError(t, err, tt.line)
			assert.Assert(t, strings.Contains(out, tt.want), "%s: %s", tt.line, out)
			continue
		}
		assert.Equal(t, serving.KindOf(err), tt.kind, "%s: %v", tt.line, err)
		assert.ErrorContains(t, err, "remedy: ", tt.line)
	}
}

// Guards against an added key that does not authenticate and a removed key that still
// does. Also guards against a client that sends a key itself instead of its hash: show
// would then print the key.
func TestGenerateKey(t *testing.T) {
	s := newShell(t)
	var out struct{ Key string }
	assert.NilError(t, json.Unmarshal([]byte(s.mustRun("--output json put account aguja --generate-key --add-key first")), &out))
	for _, key := range []string{out.Key, "first"} {
		id, _, ok := s.machine.AccountByKeyHash(rpc.HashKey(key))
		assert.Assert(t, ok)
		assert.Equal(t, id, serving.ClientAccountID("aguja"))
	}
	assert.Assert(t, !strings.Contains(s.mustRun("--output json show account aguja"), out.Key))
	s.mustRun("put account aguja --remove-key-hash a7937b64b8ca") // The hash of "first".
	_, _, ok := s.machine.AccountByKeyHash(rpc.HashKey("first"))
	assert.Assert(t, !ok)
}

// Guards against a change that is applied twice. The replica applies the change but
// its answer is lost, and the operator sends the change again as the remedy says.
func TestResendAfterUnknownOutcome(t *testing.T) {
	s := newShell(t)
	s.mustRun("put model drafter --version v1")
	s.log.FailAfterApply(1_000_000)
	_, err := s.run("put model drafter --min-warm 2")
	assert.Equal(t, serving.KindOf(err), serving.KindOutcomeUnknown)
	s.log.FailAfterApply(0)
	var e *serving.Error
	assert.Assert(t, errors.As(err, &e))
	options := regexp.MustCompile(`--command-id \S+ --expected-revision \d+ --issued-at \d+`).FindString(e.Remedy)
	assert.Assert(t, strings.Contains(s.mustRun(options+" put model drafter --min-warm 2"), "revision 2"))
	assert.Equal(t, s.machine.Revision(), serving.Revision(2))
}

// Guards against a status command that fails because one of the replicas does not
// answer, or that omits this replica from its output.
func TestStatusListsUnreachableReplicas(t *testing.T) {
	s := newShell(t)
	c := admin.Command{Server: s.address + ",127.0.0.1:1", Key: "op", Timeout: 200 * time.Millisecond, Status: &admin.StatusCommand{}}
	var out bytes.Buffer
	assert.NilError(t, c.Run(t.Context(), &out))
	assert.Assert(t, strings.Contains(out.String(), "127.0.0.1:1 does not answer"), out.String())
}
