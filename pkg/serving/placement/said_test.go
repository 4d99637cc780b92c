package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

func engineStatus(id serving.EngineID, started int64) *presence.EngineStatus {
	return &presence.EngineStatus{Record: presence.Record{Engine: id, Service: "web", Address: "10.0.0.9:80", DataCentre: "a", State: presence.Ready,
		Slots: 4, Started: started}}
}

// Guards against a view of the hubs, older than the engine's answer, that brings back an
// engine which has said that it leaves.
func TestEngineThatSaidItLeavesStaysOut(t *testing.T) {
	p := &placement.Pool{Random: rand.New(rand.NewPCG(1, 1)), DataCentre: "a"}
	need := &placement.Need{Service: &routing.Service{ID: "web"}}
	p.SetEngine(engineStatus("e-1", 100))
	assert.Assert(t, p.SetLeaving("e-1"))
	assert.Assert(t, !p.SetLeaving("e-1"))
	p.SetEngine(engineStatus("e-1", 100))
	_, err := p.Place(0, need)
	assert.Equal(t, serving.KindOf(err), serving.KindNoEngine)
	assert.Assert(t, p.Claim(0, "e-1", need) == nil)
	p.SetEngine(engineStatus("e-1", 200))
	_, err = p.Place(0, need)
	assert.NilError(t, err, "another process runs at the address")
}

// Guards against a pause that another engine with room, or the end of the pause, doesn't
// end, and against a refusal without the time until then.
func TestPausedEngine(t *testing.T) {
	p := &placement.Pool{Random: rand.New(rand.NewPCG(1, 1)), DataCentre: "a"}
	need := &placement.Need{Service: &routing.Service{ID: "web"}}
	p.SetEngine(engineStatus("e-1", 100))
	p.Pause(time.Second, "e-1", 3*time.Second)
	p.Pause(time.Second, "e-1", time.Second)
	_, err := p.Place(2*time.Second, need)
	e := serving.AsError(err)
	assert.Equal(t, e.Kind, serving.KindOverloaded)
	assert.Equal(t, e.Detail, placement.DetailEngineLimit)
	assert.Equal(t, e.RetryAfter, 2*time.Second)
	assert.Assert(t, p.Claim(2*time.Second, "e-1", need) == nil)
	_, err = p.Place(4*time.Second, need)
	assert.NilError(t, err)
}
