package deployment_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
)

const (
	canary    = schema.RolloutPhase_ROLLOUT_PHASE_CANARY
	loadTest  = schema.RolloutPhase_ROLLOUT_PHASE_LOAD_TEST
	cutover   = schema.RolloutPhase_ROLLOUT_PHASE_CUTOVER
	completed = schema.RolloutPhase_ROLLOUT_PHASE_COMPLETED
	reverted  = schema.RolloutPhase_ROLLOUT_PHASE_REVERTED
)

func start(service, to string, replaces uint64) []byte {
	return deployment.StartRollout(&schema.Rollout{Service: service, To: to, DurationNs: 12e9, Phase: canary}, replaces)
}

func advance(id uint64, expected, phase schema.RolloutPhase) []byte {
	return deployment.AdvanceRollout(&schema.RolloutAdvance{Id: id, Expected: expected, Phase: phase, Reason: phase.String(), ElapsedMs: 7000})
}

func counts(id uint64, elapsedMs, sent int64) []byte {
	return deployment.RecordRollout(&schema.RolloutRecord{Id: id, ElapsedMs: elapsedMs, Counts: []*schema.RolloutCounts{{Route: "r", Sent: sent}}})
}

// Guards against a second rollout beside one in progress, a step by the command of an earlier
// leader, and a rollout that goes on after its end.
func TestRolloutCommands(t *testing.T) {
	for _, tc := range []struct {
		name     string
		commands [][]byte
		// to, phase and elapsed are those of the service's rollout at the end, revision the
		// index of the last command that entries must learn of.
		to       string
		phase    schema.RolloutPhase
		elapsed  int64
		revision uint64
	}{
		{"started", [][]byte{start("s", "v2", 0)}, "v2", canary, 0, 1},
		{"started twice", [][]byte{start("s", "v2", 0), start("s", "v2", 0)}, "v2", canary, 0, 1},
		{"another order in progress", [][]byte{start("s", "v2", 0), start("s", "v3", 1)}, "v2", canary, 0, 1},
		{"without a service", [][]byte{start("s", "v2", 0), start("", "v2", 0)}, "v2", canary, 0, 1},
		{"all phases", [][]byte{start("s", "v2", 0), advance(1, canary, loadTest), advance(1, loadTest, cutover), advance(1, cutover, completed)}, "v2", completed, 7000, 4},
		{"step of an earlier leader", [][]byte{start("s", "v2", 0), advance(1, canary, reverted), advance(1, canary, cutover)}, "v2", reverted, 7000, 2},
		{"no step after the end", [][]byte{start("s", "v2", 0), advance(1, canary, reverted), advance(1, reverted, canary), counts(1, 9000, 4)}, "v2", reverted, 7000, 2},
		{"step of another rollout", [][]byte{start("s", "v2", 0), advance(9, canary, reverted)}, "v2", canary, 0, 1},
		{"counts are not news for entries", [][]byte{start("s", "v2", 0), counts(1, 900, 4)}, "v2", canary, 900, 1},
		{"elapsed time doesn't decrease", [][]byte{start("s", "v2", 0), counts(1, 900, 4), counts(1, 300, 5)}, "v2", canary, 900, 1},
		{"next one after the end", [][]byte{start("s", "v2", 0), advance(1, canary, reverted), start("s", "v3", 1)}, "v3", canary, 0, 3},
		{"late repetition after the end", [][]byte{start("s", "v2", 0), advance(1, canary, reverted), start("s", "v2", 0)}, "v2", reverted, 7000, 2},
		{"forgotten only after the end", [][]byte{start("s", "v2", 0), deployment.ForgetRollout(1)}, "v2", canary, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := deployment.New()
			for i, c := range tc.commands {
				m.Apply(uint64(i+1), c)
			}
			// The state survives a snapshot.
			b, err := m.Snapshot()
			assert.NilError(t, err)
			restored := deployment.New()
			assert.NilError(t, restored.Restore(b))
			r := deployment.RolloutOf(restored.State(), "s")
			assert.Equal(t, r.GetTo(), tc.to)
			assert.Equal(t, r.GetPhase(), tc.phase)
			assert.Equal(t, r.GetElapsedMs(), tc.elapsed)
			assert.Equal(t, restored.State().GetRolloutsRevision(), tc.revision)
			assert.Equal(t, restored.State().GetRevision(), uint64(0), "a rollout made entries load the configuration again")
		})
	}
}

// Guards against a state without bound, and against dropping a rollout in progress for it.
func TestRolloutsAreBounded(t *testing.T) {
	m := deployment.New()
	index := uint64(0)
	apply := func(c []byte) uint64 {
		index++
		m.Apply(index, c)
		return index
	}
	first := apply(start("in-progress", "v2", 0))
	for i := range deployment.MaxRollouts + 10 {
		id := apply(start(fmt.Sprint("s-", i), "v2", 0))
		apply(advance(id, canary, reverted))
	}
	assert.Equal(t, len(m.State().GetRollouts()), deployment.MaxRollouts)
	assert.Equal(t, deployment.RolloutOf(m.State(), "in-progress").GetId(), first)
	assert.Assert(t, deployment.RolloutOf(m.State(), "s-0") == nil)
	last := deployment.RolloutOf(m.State(), serving.ServiceID(fmt.Sprint("s-", deployment.MaxRollouts+9)))
	apply(deployment.ForgetRollout(last.GetId()))
	assert.Equal(t, len(m.State().GetRollouts()), deployment.MaxRollouts-1)
}

// Guards against a snapshot of an earlier version that can't be restored, and against commands
// for the configuration that lose the rollouts.
func TestRolloutsBesideOtherState(t *testing.T) {
	b, err := proto.Marshal(&schema.DeploymentState{Revision: 4, Config: &schema.DeploymentConfig{Version: 3}})
	assert.NilError(t, err)
	m := deployment.New()
	assert.NilError(t, m.Restore(b))
	assert.Equal(t, len(m.State().GetRollouts()), 0)
	m.Apply(5, start("s", "v2", 0))
	m.Apply(6, deployment.PutConfig(4, []byte("d")))
	m.Apply(7, deployment.SetOutOfService("a", true))
	assert.Equal(t, deployment.RolloutOf(m.State(), "s").GetId(), uint64(5))
	assert.Equal(t, m.State().GetRevision(), uint64(7))
	assert.Equal(t, m.State().GetRolloutsRevision(), uint64(5))
}
