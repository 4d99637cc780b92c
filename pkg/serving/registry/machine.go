package registry

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

var _ serving.StateMachine = (*Machine)(nil)

// Machine is the replicated state machine of the registry. One goroutine applies
// commands; any goroutine may read.
type Machine struct {
	cfg     Config
	defects defects

	mu sync.RWMutex
	*state
}

// defects makes the machine violate rules. Tests set its fields to verify that their
// checks detect the violations.
type defects struct {
	omitResults      bool
	timeoutIsNotRun  bool
	skipContentCheck bool
}

// state is the content of a snapshot and the indexes derived from it.
type state struct {
	nowMS    int64
	revision uint64
	objects  map[objectKey]*schema.Object
	aliases  map[aliasKey]*schema.Alias
	history  []*schema.HistoryEntry
	results  results
	claims   claims
	entries  *schema.EntryList
	// keyOwners maps the hash of an API key to the id of its client account. It is
	// derived from objects.
	keyOwners map[string]string
}

type objectKey struct {
	kind schema.ObjectKind
	id   string
}

type aliasKey struct {
	kind   schema.ObjectKind
	scheme string
	name   string
}

func newState() *state {
	return &state{
		objects:   map[objectKey]*schema.Object{},
		aliases:   map[aliasKey]*schema.Alias{},
		results:   newResults(),
		claims:    newClaims(),
		entries:   &schema.EntryList{},
		keyOwners: map[string]string{},
	}
}

// New returns an empty machine.
func New(cfg Config) (*Machine, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Machine{cfg: cfg, state: newState()}, nil
}

// Apply applies one marshaled schema.Command and returns a marshaled
// schema.CommandResult. A command that cannot be decoded changes nothing.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var cmd schema.Command
	if err := proto.Unmarshal(command, &cmd); err != nil {
		return marshalResult(&schema.CommandResult{Error: "the command cannot be decoded"})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(cmd.GetNowMs())
	switch body := cmd.GetBody().(type) {
	case *schema.Command_Change:
		res := m.applyChange(body.Change)
		return marshalResult(&schema.CommandResult{Body: &schema.CommandResult_Change{Change: res}})
	case *schema.Command_Claim:
		res := m.applyClaim(body.Claim)
		return marshalResult(&schema.CommandResult{Body: &schema.CommandResult_Claim{Claim: res}})
	case *schema.Command_Settle:
		res := m.applySettle(body.Settle)
		return marshalResult(&schema.CommandResult{Body: &schema.CommandResult_Claim{Claim: res}})
	case *schema.Command_SetEntries:
		res := m.applyEntries(body.SetEntries)
		return marshalResult(&schema.CommandResult{Body: &schema.CommandResult_Change{Change: res}})
	default:
		return marshalResult(&schema.CommandResult{Error: "the command has no body that this version knows"})
	}
}

// advance moves the time forward and removes results and claims past their retention.
func (m *Machine) advance(nowMS int64) {
	m.nowMS = max(m.nowMS, nowMS)
	m.results.expire(m.nowMS)
	m.claims.expire(m.nowMS, m.cfg)
}

// Revision returns the revision of the last accepted change, or 0.
func (m *Machine) Revision() serving.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return serving.Revision(m.revision)
}

func marshalResult(res *schema.CommandResult) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(res)
	if err != nil {
		// Encoding fails only for strings that are not valid UTF-8, and names are
		// validated before they are used.
		b, _ = proto.Marshal(&schema.CommandResult{Error: "the result cannot be encoded"})
	}
	return b
}
