package hub

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
)

// watchOnce polls a hub as an entry does that knows nothing yet.
func watchOnce(t *testing.T, h *testHub) *schema.WatchResult {
	t.Helper()
	res, err := h.Watch(t.Context(), &schema.WatchRequest{Entry: "x", WaitMs: 20})
	assert.NilError(t, err)
	return res
}

// stopAfterCheckpoint stops all hubs once each has stored a configuration and an engine.
func (c *testHubs) stopAfterCheckpoint(version uint64, engine string) {
	c.t.Helper()
	for _, h := range c.hubs {
		eventually(c.t, func() error {
			s := h.checkpoint(1)
			if s.GetState().GetConfig().GetVersion() != version || len(s.GetEngines()) != 1 || s.GetEngines()[0].GetEngine() != engine {
				return fmt.Errorf("hub %s knows %v", h.Host, s)
			}
			return nil
		})
	}
	time.Sleep(checkpointInterval + checkpointInterval/2)
	for _, h := range c.hubs {
		h.stop()
	}
}

// Guards against a deployment that refuses all callers after a loss of power until a leader
// is elected and the engines have sent their heartbeats. Without a majority of the hubs there
// is no leader at all.
func TestHubServesCheckpointBeforeALeaderIsElected(t *testing.T) {
	c := startHubs(t)
	c.put(7)
	c.hubs[0].Heartbeat(presence.Record{Engine: "e", Service: "s", Address: "10.0.0.9:80", DataCentre: "a", State: presence.Ready, Slots: 4, Started: 5, Sequence: 3})
	c.stopAfterCheckpoint(7, "e")
	for i, h := range c.hubs[:2] {
		c.hubs[i] = c.start(i, h.folder, false)
	}
	var res *schema.WatchResult
	eventually(t, func() error {
		res = watchOnce(t, c.hubs[1])
		if res.GetState().GetConfig().GetVersion() != 7 || len(res.GetEngines()) != 1 {
			return fmt.Errorf("received %v", res)
		}
		return nil
	})
	assert.Equal(t, res.GetEngines()[0].GetState(), "ready")
	assert.Equal(t, res.GetEngines()[0].GetSequence(), int64(3))
	assert.Assert(t, !res.GetConfirmed())
	assert.Assert(t, res.StateAgeMs != nil && res.GetStateAgeMs() > 0, "%v", res)
	// Reads and orders of operators still need a leader.
	_, _, err := c.hubs[1].Config(t.Context())
	assert.Assert(t, err != nil)
}

// Guards against a checkpoint that outlives the loss of its disk, and against a data folder
// that can't be opened because a checkpoint lies beside a lost identity.
func TestCheckpointWithoutIdentity(t *testing.T) {
	c := startHubs(t)
	c.put(7)
	c.hubs[0].Heartbeat(presence.Record{Engine: "e", Service: "s", Address: "10.0.0.9:80", DataCentre: "a", State: presence.Ready, Slots: 4, Started: 5, Sequence: 3})
	c.stopAfterCheckpoint(7, "e")
	names, err := filepath.Glob(filepath.Join(c.hubs[4].folder, "*"))
	assert.NilError(t, err)
	kept := 0
	for _, name := range names {
		if ok, _ := filepath.Match("aux-*", filepath.Base(name)); ok {
			kept++
			continue
		}
		assert.NilError(t, os.RemoveAll(name))
	}
	assert.Assert(t, kept > 0)
	for i, h := range c.hubs {
		c.hubs[i] = c.start(i, h.folder, false)
	}
	c.put(9)
	c.expectConfig(9)
	eventually(t, func() error {
		if res := watchOnce(t, c.hubs[4]); !res.GetConfirmed() || res.GetState().GetConfig().GetVersion() != 9 {
			return fmt.Errorf("received %v", res)
		}
		return nil
	})
}
