// Package deployment is the replicated state of a deployment: the routing
// configuration of the highest version, and the data centres that operators have
// taken out of service. It is a state machine of the replicated log.
//
// # Usage
//
//	m := deployment.New()
//	node := &replica.Node{Machine: m, ...}
//	result, err := node.Propose(ctx, deployment.PutConfig(7, document))
//	state := m.State()
//
// Commands are idempotent, so that an operator who lost an acknowledgement may
// resend them: a configuration whose version is not higher than the one in force
// changes nothing.
package deployment

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

var _ serving.StateMachine = (*Machine)(nil)

// Machine is the state machine. Its methods may be called by any goroutine.
type Machine struct {
	mu    sync.Mutex
	state *schema.DeploymentState
	// changed is closed at the next change.
	changed chan struct{}
}

// New returns a machine without a configuration.
func New() *Machine {
	return &Machine{state: &schema.DeploymentState{}, changed: make(chan struct{})}
}

// PutConfig returns the command that puts a configuration in force unless a
// higher version is in force already. The document is compressed.
func PutConfig(version uint64, document []byte) []byte {
	return encode(&schema.DeploymentCommand{Command: &schema.DeploymentCommand_Config{
		Config: &schema.DeploymentConfig{Version: version, Document: document}}})
}

// SetOut returns the command that takes a data centre out of service or brings
// it back.
func SetOut(dc serving.DataCentreID, out bool) []byte {
	return encode(&schema.DeploymentCommand{Command: &schema.DeploymentCommand_DataCentre{
		DataCentre: &schema.DataCentreOrder{DataCentre: string(dc), Out: out}}})
}

func encode(m proto.Message) []byte {
	// Encoding a message without invalid UTF-8 can't fail, and ids are checked
	// where they arrive.
	b, _ := proto.Marshal(m)
	return b
}

// State returns the state, which the caller must not change.
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

// Apply implements serving.StateMachine. The result is empty; a command that
// can't be decoded changes nothing.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	var c schema.DeploymentCommand
	if proto.Unmarshal(command, &c) != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := &schema.DeploymentState{Revision: index, Config: m.state.GetConfig(), Out: m.state.GetOut()}
	switch c := c.GetCommand().(type) {
	case *schema.DeploymentCommand_Config:
		if c.Config.GetVersion() <= m.state.GetConfig().GetVersion() && m.state.GetConfig() != nil {
			return nil
		}
		next.Config = c.Config
	case *schema.DeploymentCommand_DataCentre:
		out, changed := setOut(m.state.GetOut(), c.DataCentre)
		if !changed {
			return nil
		}
		next.Out = out
	default:
		return nil
	}
	m.set(next)
	return nil
}

func (m *Machine) set(state *schema.DeploymentState) {
	m.state = state
	close(m.changed)
	m.changed = make(chan struct{})
}

func setOut(out []string, order *schema.DataCentreOrder) ([]string, bool) {
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

// Snapshot implements serving.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	b, err := proto.Marshal(m.State())
	if err != nil {
		return nil, serving.WrapError(err, serving.KindInternal, "encode the deployment state")
	}
	return b, nil
}

// Restore implements serving.StateMachine.
func (m *Machine) Restore(snapshot []byte) error {
	state := &schema.DeploymentState{}
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return serving.WrapError(err, serving.KindDamaged, "decode the deployment state")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(state)
	return nil
}
