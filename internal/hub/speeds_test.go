package hub

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/machine"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
)

// Guards against a hub that doesn't learn the speeds which entries report to another hub, or
// doesn't tell its own entries, which then place long streams at slow engines while they
// choose engines themselves. Entries are told nothing more of services with even engines, and
// reports with values that can't be true change nothing.
func TestSpeedsReachEntriesOfOtherHubs(t *testing.T) {
	c := startHubs(t)
	c.put(1)
	uses := []*schema.EngineUse{{Engine: "unknown", Steps: []byte{255, 255}, Factor: -1, Slowness: -1, PacedStreams: -1}}
	add := func(id string, service serving.ServiceID, slowness float64) {
		c.hubs[0].Heartbeat(presence.Record{Engine: serving.EngineID(id), Service: service, Address: id + ":80", DataCentre: "a", State: presence.Ready, Slots: 4, Started: 5, Sequence: 1})
		var steps machine.Steps
		steps.Record(slowness, 100)
		uses = append(uses, &schema.EngineUse{Engine: id, Running: 2, Steps: steps.ToWire(), PacedStreams: 1, MaxPauseMs: 180, Factor: 100, FactorAgeMs: 5})
	}
	for i := range 8 {
		add(fmt.Sprint("fast-", i), "s", 0.83)
		add(fmt.Sprint("even-", i), "t", 1)
	}
	add("slow", "s", 1.8)
	add("slow-2", "s", 1.8)
	poll := func(h *testHub, entry string, uses ...*schema.EngineUse) *schema.WatchResult {
		res, err := h.Watch(t.Context(), &schema.WatchRequest{Entry: entry, Uses: uses})
		assert.NilError(t, err)
		return res
	}
	eventually(t, func() error {
		poll(c.hubs[4], "x", uses...)
		res := poll(c.hubs[1], "y")
		if len(res.GetMachines()) != 2 {
			return fmt.Errorf("machines %v", res.GetMachines())
		}
		told := 0
		for _, u := range res.GetUses() {
			assert.Equal(t, len(u.GetSteps()), 0)
			assert.Equal(t, u.GetFactor(), int32(0))
			if strings.HasPrefix(u.GetEngine(), "even") {
				assert.Equal(t, u.GetSlowness()+u.GetPacedStreams()+u.GetMaxPauseMs(), int32(0), "of an even engine")
			}
			if u.GetEngine() == "slow" && u.GetSlowness() > 1600 && u.GetSlowness() < 2000 && u.GetPacedStreams() == 1 {
				told++
			}
		}
		if told == 0 {
			return fmt.Errorf("uses %v", res.GetUses())
		}
		return nil
	})
}
