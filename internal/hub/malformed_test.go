package hub

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/internal/schematest"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/routing"
)

// Guards against one malformed message that ends a hub, or leaves it locked, which for its
// entries is the same. The messages come from other hubs and from entries.
func TestMalformedMessagesLeaveHubUsable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &Hub{Host: "10.0.0.4", DataCentre: "a", Region: "a", Address: "http://10.0.0.4:80", ControlAddress: "10.0.0.4:81", Control: http.NotFoundHandler(), ServesRollouts: true,
			DecodeConfig: func([]byte) (*routing.Config, error) { return &routing.Config{}, nil }}
		h.setup()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		for range rapid.IntRange(1, 6).Draw(rt, "messages") {
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0:
				in := &schema.WatchRequest{}
				schematest.Draw(rt, in)
				in.WaitMs = min(in.WaitMs, 1)
				_, _ = h.Watch(ctx, in)
			case 1:
				in := &schema.HubReport{}
				schematest.Draw(rt, in)
				_, _ = h.Report(ctx, in)
			case 2:
				in := &schema.PlaceRequest{}
				schematest.Draw(rt, in)
				_, _ = h.Place(ctx, in)
			}
		}
		_, err := h.Watch(t.Context(), &schema.WatchRequest{Entry: "sound"})
		assert.NilError(rt, err)
	})
}
