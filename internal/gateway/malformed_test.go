package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/internal/schematest"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
	"turmericdrum.org/turmericdrum/pkg/serving/saturation"
	"turmericdrum.org/turmericdrum/pkg/serving/usage"
)

// Guards against one malformed answer of a hub that ends an entry.
func TestMalformedAnswersOfHubLeaveEntryUsable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := &Gateway{Host: "10.0.0.1", DataCentre: "a", Region: "a", Hubs: []string{"http://10.0.0.1:80"}, Exposure: Exposure{Enabled: true, Share: 0.1, Allowance: 50},
			Capacity:     saturation.Capacity{Cores: 1, LinkMbps: 1, Descriptors: 1},
			DecodeConfig: func([]byte) (*routing.Config, error) { return &routing.Config{}, nil }}
		g.setup()
		w := &g.watcher
		for range rapid.IntRange(1, 6).Draw(rt, "answers") {
			res := &schema.WatchResult{}
			schematest.Draw(rt, res)
			w.applyState(res)
			g.hostLoad.apply(0, res.GetSaturation())
			w.applyEngines(res, w.hubs[0], []usage.Use{{Engine: "a", Running: 1}})
			g.board.applyRollouts(g.Clock.Now(), g.Clock.Now(), res)
			g.leaveOldVersions()
			_, reported := g.board.reportRollouts(g.Clock.Now(), res.GetHubIncarnation())
			reported(false)
			for _, a := range res.GetHubs() {
				w.addHub(a)
			}
			_ = w.ownUse()
			_, _ = w.ownOutcomes()
		}
	})
}

// Guards against an unexpected error in the decoder of the configuration, or behind it, that
// ends the entry or leaves its state locked.
func TestPanicInPollIsAFailedPoll(t *testing.T) {
	g := &Gateway{Host: "10.0.0.1", DataCentre: "a", Region: "a", Hubs: []string{"http://10.0.0.1:80"},
		DecodeConfig: func([]byte) (*routing.Config, error) { panic("no such field") }}
	g.setup()
	document, err := deployment.Compress([]byte("{}"))
	assert.NilError(t, err)
	res := &schema.WatchResult{Confirmed: true, State: &schema.DeploymentState{Revision: 2, Config: &schema.DeploymentConfig{Version: 1, Document: document}}}
	err = recovered("poll the hub", func() error { g.watcher.applyState(res); return nil })
	assert.Equal(t, serving.KindOf(err), serving.KindInternal)
	assert.Assert(t, g.board.mu.TryLock())
	assert.Assert(t, g.board.view.Load() == nil)
}
