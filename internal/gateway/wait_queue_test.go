package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/placement"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

// Guards against a sound engine that is never used again after it was cut off: a call that waits
// until the end of the backoff claims the engine's only probe at its last attempt, and drops it.
func TestProbeAfterWaitIsUsed(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// callerLeaves is set if the caller of the waiting call leaves meanwhile.
		callerLeaves bool
	}{
		{"the call waits", false},
		{"its caller leaves", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := &Gateway{Host: "10.0.0.1", DataCentre: "a", Region: "a"}
			g.setup()
			g.board.pool.SetEngine(&presence.EngineStatus{Record: presence.Record{Engine: "e", Service: "s", Address: "10.0.0.9:80",
				DataCentre: "a", State: presence.Ready, Slots: 6, Started: 1}})
			need := &placement.Need{Service: &routing.Service{ID: "s"}}
			lost, err := g.place(t.Context(), need, 0, 0)
			assert.NilError(t, err)
			g.endTicket(lost, placement.Unreachable, 0)
			_, err = g.place(t.Context(), need, 0, 0)
			assert.Assert(t, err != nil, "the engine has no backoff")

			// The backoff ends within this time, and no other call ends that would place it.
			const wait = time.Second
			ctx, cancel := context.WithTimeout(t.Context(), 2*wait)
			defer cancel()
			if tc.callerLeaves {
				time.AfterFunc(wait/2, cancel)
			}
			ticket, err := g.place(ctx, need, 0, wait)
			if tc.callerLeaves {
				assert.Assert(t, err != nil)
			} else {
				assert.NilError(t, err)
				g.endTicket(ticket, placement.OK, time.Millisecond)
			}
			next, err := g.place(t.Context(), need, 0, wait)
			assert.NilError(t, err, "the engine is not used again")
			g.endTicket(next, placement.OK, time.Millisecond)
			assert.Assert(t, g.board.pool.Total("e").Running == 0, "load stays counted")
		})
	}
}
