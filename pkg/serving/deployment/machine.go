// Package deployment implements the replicated state of a deployment: the routing
// configuration with the highest version, the data centres that operators have taken out
// of service, the prompts that are blocked because they crash engines, and the rollouts of
// other versions of the engines' software. It is a state machine that applies the commands of
// the replicated log.
//
// # Usage
//
//	m := deployment.New()
//	node := &replica.Node{Machine: m, ...}
//	result, err := node.Propose(ctx, deployment.PutConfig(7, document))
//	state := m.State()
//
// Commands are idempotent, so an operator may resend them after a lost
// acknowledgement. A configuration whose version is not higher than the current
// version changes nothing.
package deployment

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

var (
	_ serving.StateMachine    = (*Machine)(nil)
	_ serving.SnapshotChecker = (*Machine)(nil)
)

// Machine is the state machine. It is safe for concurrent use.
type Machine struct {
	mu    sync.Mutex
	state *schema.DeploymentState
	// changed is closed at the next change of the state, and then replaced.
	changed chan struct{}
}

// New returns a machine without a configuration.
func New() *Machine {
	return &Machine{state: &schema.DeploymentState{}, changed: make(chan struct{})}
}

// PutConfig returns the command that replaces the configuration, unless the current
// version is the same or higher. The document must be compressed with Compress.
func PutConfig(version uint64, document []byte) []byte {
	return encode(&schema.DeploymentCommand{Command: &schema.DeploymentCommand_Config{
		Config: &schema.DeploymentConfig{Version: version, Document: document}}})
}

// SetOutOfService returns the command that takes a data centre out of service, or
// puts it back into service if out is false.
func SetOutOfService(dc serving.DataCentreID, out bool) []byte {
	return encode(&schema.DeploymentCommand{Command: &schema.DeploymentCommand_DataCentre{
		DataCentre: &schema.DataCentreOrder{DataCentre: string(dc), Out: out}}})
}

// BlockPrompt returns the command that blocks the prompts with all parts of a block. It
// replaces blocks of more parts that include these. Above MaxBlocks, the oldest block is
// dropped.
func BlockPrompt(b quarantine.Block) []byte {
	return encode(&schema.DeploymentCommand{Command: &schema.DeploymentCommand_Block{Block: b.ToWire()}})
}

// UnblockPrompt returns the command that removes a block.
func UnblockPrompt(b quarantine.Block) []byte {
	return encode(&schema.DeploymentCommand{Command: &schema.DeploymentCommand_Unblock{Unblock: b.ToWire()}})
}

// MaxBlocks bounds the number of blocks.
const MaxBlocks = 64

func encode(m proto.Message) []byte {
	// Marshal fails only for invalid UTF-8, and ids are validated when they are
	// received.
	b, _ := proto.Marshal(m)
	return b
}

// State returns the current state, which must not be modified.
func (m *Machine) State() *schema.DeploymentState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Changed returns a channel that is closed at the next change of the state.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Apply implements serving.StateMachine. The result is always empty. Commands that
// can't be decoded are ignored.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	var in schema.DeploymentCommand
	if proto.Unmarshal(command, &in) != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := &schema.DeploymentState{Revision: index, Config: m.state.GetConfig(), Out: m.state.GetOut(), Blocks: m.state.GetBlocks(),
		Rollouts: m.state.GetRollouts(), RolloutsRevision: m.state.GetRolloutsRevision()}
	switch c := in.GetCommand().(type) {
	case *schema.DeploymentCommand_Config:
		if c.Config.GetVersion() <= m.state.GetConfig().GetVersion() && m.state.GetConfig() != nil {
			return nil
		}
		next.Config = c.Config
	case *schema.DeploymentCommand_DataCentre:
		out, changed := setOutOfService(m.state.GetOut(), c.DataCentre)
		if !changed {
			return nil
		}
		next.Out = out
	case *schema.DeploymentCommand_Block:
		blocks, changed := addBlock(m.state.GetBlocks(), c.Block)
		if !changed {
			return nil
		}
		next.Blocks = blocks
	case *schema.DeploymentCommand_Unblock:
		at := slices.IndexFunc(m.state.GetBlocks(), func(b *schema.PromptBlock) bool { return slices.Equal(b.GetParts(), c.Unblock.GetParts()) })
		if at < 0 {
			return nil
		}
		next.Blocks = slices.Delete(slices.Clone(m.state.GetBlocks()), at, at+1)
	default:
		if !applyRollout(next, m.state.GetRevision(), &in) {
			return nil
		}
	}
	m.set(next)
	return nil
}

// set replaces the state and notifies the watchers. The caller holds mu.
func (m *Machine) set(state *schema.DeploymentState) {
	m.state = state
	close(m.changed)
	m.changed = make(chan struct{})
}

// setOutOfService returns the sorted list of data centres that are out of service
// after a command, and reports whether it differs from out, which is not modified.
func setOutOfService(out []string, order *schema.DataCentreOrder) ([]string, bool) {
	at, found := slices.BinarySearch(out, order.GetDataCentre())
	switch {
	case found == order.GetOut():
		return out, false
	case found:
		return slices.Delete(slices.Clone(out), at, at+1), true
	default:
		return slices.Insert(slices.Clone(out), at, order.GetDataCentre()), true
	}
}

// addBlock returns the blocks after a command, and reports whether they differ from
// blocks, which is not modified.
func addBlock(blocks []*schema.PromptBlock, added *schema.PromptBlock) ([]*schema.PromptBlock, bool) {
	if len(added.GetParts()) == 0 {
		return blocks, false
	}
	includes := func(b, part *schema.PromptBlock) bool {
		for _, p := range part.GetParts() {
			if !slices.Contains(b.GetParts(), p) {
				return false
			}
		}
		return true
	}
	if slices.ContainsFunc(blocks, func(b *schema.PromptBlock) bool { return includes(added, b) }) {
		return blocks, false
	}
	out := slices.DeleteFunc(slices.Clone(blocks), func(b *schema.PromptBlock) bool { return includes(b, added) })
	out = append(out, added)
	return out[max(0, len(out)-MaxBlocks):], true
}

// Snapshot implements serving.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	b, err := proto.Marshal(m.State())
	if err != nil {
		return nil, serving.WrapError(err, serving.KindInternal, "encode the deployment state")
	}
	return b, nil
}

func decodeState(snapshot []byte) (*schema.DeploymentState, error) {
	state := &schema.DeploymentState{}
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return nil, serving.WrapError(err, serving.KindDamaged, "decode the deployment state")
	}
	return state, nil
}

// CheckSnapshot implements serving.SnapshotChecker.
func (m *Machine) CheckSnapshot(snapshot []byte) error {
	_, err := decodeState(snapshot)
	return err
}

// Restore implements serving.StateMachine.
func (m *Machine) Restore(snapshot []byte) error {
	state, err := decodeState(snapshot)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(state)
	return nil
}
