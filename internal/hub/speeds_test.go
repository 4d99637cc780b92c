package hub

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/machine"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
)

// Guards against a hub that doesn't learn the speeds which entries report to another hub, or
// doesn't tell its own entries, which then place long streams at slow engines while they
// choose engines themselves. Reports with values that can't be true must change nothing.
func TestSpeedsReachEntriesOfOtherHubs(t *testing.T) {
	c := startHubs(t)
	c.put(1)
	c.hubs[0].Heartbeat(presence.Record{Engine: "e", Service: "s", Address: "10.0.0.9:80", DataCentre: "a", State: presence.Ready, Slots: 4, Started: 5, Sequence: 1})
	var steps machine.Steps
	steps.Record(1.8, 100)
	poll := func(h *testHub, entry string, uses ...*schema.EngineUse) *schema.WatchResult {
		res, err := h.Watch(t.Context(), &schema.WatchRequest{Entry: entry, Uses: uses})
		assert.NilError(t, err)
		return res
	}
	eventually(t, func() error {
		poll(c.hubs[4], "x", &schema.EngineUse{Engine: "e", Running: 2, Steps: steps.ToWire(), Factor: 250, FactorAgeMs: 5},
			&schema.EngineUse{Engine: "unknown", Steps: []byte{255, 255}, Factor: -1, Slowness: -1, PacedStreams: -1})
		res := poll(c.hubs[1], "y")
		if len(res.GetMachines()) != 1 {
			return fmt.Errorf("machines %v", res.GetMachines())
		}
		for _, u := range res.GetUses() {
			if u.GetEngine() == "e" && u.GetSlowness() > 1600 && u.GetSlowness() < 2000 {
				assert.Equal(t, len(u.GetSteps()), 0)
				assert.Equal(t, u.GetFactor(), int32(0))
				return nil
			}
		}
		return fmt.Errorf("uses %v", res.GetUses())
	})
}
