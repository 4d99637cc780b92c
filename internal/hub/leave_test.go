package hub

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// waitForLearner waits until the leader has hub i as a learner.
func (c *testHubs) waitForLearner(i int) {
	c.t.Helper()
	eventually(c.t, func() error {
		return c.onLeader(func(h *Hub) error {
			s := h.replica.current().State()
			for _, m := range s.Members {
				if s.Leading && !m.Voter && m.Acked && m.ID.Host == serving.HostID(c.host(i)) {
					return nil
				}
			}
			return fmt.Errorf("hub %s does not lead, or has no learner %s", h.Host, c.host(i))
		})
	})
}

// Guards against the loss of acknowledged changes after a planned replacement: a host that was
// stopped keeps its vote although its successor is ready, so that the tolerated losses of disks
// right after it leave no majority.
func TestPlannedReplacementThenLossOfTwoDisks(t *testing.T) {
	for _, tc := range []struct {
		name string
		// hosts is the number of hosts that are replaced at the same time, and leads is set if
		// one of them has the leader.
		hosts int
		leads bool
	}{
		{"a follower is replaced", 1, false},
		{"the leader is replaced", 1, true},
		{"two followers are replaced at once", 2, false},
		{"the leader and a follower are replaced at once", 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startHubs(t)
			c.put(1)
			var successors []*testHub
			for i := range tc.hosts {
				successors = append(successors, c.start(5+i, t.TempDir(), false))
				c.waitForLearner(5 + i)
			}
			first := c.leader()
			if !tc.leads {
				first++
			}
			replaced := map[*testHub]bool{}
			for i := range tc.hosts {
				replaced[c.hubs[(first+i)%len(c.hubs)]] = true
			}
			begin := time.Now()
			var g sync.WaitGroup
			for old := range replaced {
				g.Go(old.stop)
			}
			g.Wait()
			assert.Assert(t, time.Since(begin) < testGrace)
			c.hubs = append(slices.DeleteFunc(c.hubs, func(h *testHub) bool { return replaced[h] }), successors...)
			c.put(2)
			for i, h := range c.hubs[:2] {
				h.stop()
				assert.NilError(t, os.RemoveAll(h.folder))
				c.hubs[i] = c.start(c.indexOf(h), h.folder, false)
			}
			c.expectConfig(2)
			c.put(3)
			c.expectConfig(3)
		})
	}
}

// indexOf returns the index of the host of a hub.
func (c *testHubs) indexOf(h *testHub) int {
	for i := range c.clocks {
		if c.address(i) == h.Address {
			return i
		}
	}
	c.t.Fatalf("hub %s has no host", h.Host)
	return -1
}

// Guards against a rolling restart that waits for a hand-over without a successor, or moves
// votes although the hosts come back.
func TestRestartKeepsVote(t *testing.T) {
	c := startHubs(t)
	c.put(1)
	voters := map[serving.ReplicaID]bool{}
	for _, m := range c.hubs[c.leader()].replica.current().State().Members {
		voters[m.ID] = m.Voter
	}
	for i, h := range c.hubs {
		begin := time.Now()
		h.stop()
		assert.Assert(t, time.Since(begin) < testGrace/2, "hub %d took %v", i, time.Since(begin))
		c.hubs[i] = c.start(i, h.folder, false)
		c.put(uint64(i + 2))
	}
	assert.NilError(t, c.onLeader(func(h *Hub) error {
		s := h.replica.current().State()
		if !s.Leading || s.Voters() != 5 || len(s.Members) != 5 {
			return fmt.Errorf("hub %s leads: %t, members %v", h.Host, s.Leading, s.Members)
		}
		for _, m := range s.Members {
			assert.Assert(t, m.Voter && voters[m.ID], "%s is new, or has lost its vote", m.ID)
		}
		return nil
	}))
}
